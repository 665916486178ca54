package freshness_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/freshness"
	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
)

func TestStaleReadProvesNothing(t *testing.T) {
	is := is.New(t)
	f := freshness.New()
	is.True(f.Age(0) > time.Hour)
	is.True(f.RecordRead(5, 10*time.Second))
	is.True(!f.RecordRead(4, 20*time.Second)) // a stale answer, although sent later
	is.Equal(f.Age(21*time.Second), 11*time.Second)
	is.Equal(f.Version(), uint64(5))
}

func TestPeerWithNewerConfiguration(t *testing.T) {
	is := is.New(t)
	f := freshness.New()
	f.RecordRead(5, 0)
	newer := f.Receive(9*time.Second, freshness.Statement{Version: 6, Proved: true, Echo: 9 * time.Second})
	is.True(newer)
	is.Equal(f.Age(10*time.Second), 10*time.Second) // the peer's proof is of version 6; for version 5 only the read at time 0 counts
}

// Guards against an older version that counts as proved because the service shows it, having lost the newer one.
func TestVersionThatServiceHasLost(t *testing.T) {
	is := is.New(t)
	f := freshness.New()
	f.RecordRead(21, time.Second)
	is.True(f.Receive(2*time.Second, freshness.Statement{Version: 28, Proved: true, Echo: time.Second}))
	is.True(!f.Lost())
	is.True(!f.RecordRead(21, 3*time.Second))
	is.True(f.Lost())
	f.Receive(4*time.Second, freshness.Statement{Version: 21, Proved: true, Echo: 4 * time.Second})
	is.True(f.Age(4*time.Second) > time.Hour)
	is.True(f.RecordRead(28, 5*time.Second))
	is.True(!f.Lost())
	is.Equal(f.Age(6*time.Second), time.Second)
	is.True(!f.RecordRead(21, 7*time.Second))
	is.Equal(f.Age(8*time.Second), 3*time.Second)
}

// A daemon is suspended while a peer's statement waits in its socket. If the statement were
// dated by its receipt, a key that was revoked during the suspension would go on working.
func TestStatementDelayedWhileSuspended(t *testing.T) {
	is := is.New(t)
	f := freshness.New()
	f.RecordRead(5, 0)
	peer := freshness.New()
	peer.RecordRead(5, time.Second)
	// The daemon's stamp, sent at 0.9 s, reaches the peer at 1 s. The peer answers with
	// its statement. Then the daemon is suspended until 9 s.
	w := peer.StatementFor(&freshness.Stamp{Sent: 900 * time.Millisecond, Received: time.Second})
	f.Receive(9*time.Second, w)
	is.True(f.Age(9*time.Second) >= 8*time.Second)
}

// Daemons with different clocks exchange statements that are randomly delayed and lost
// while the configuration changes. A configuration that a daemon believes to have been
// proved at some time must have been the newest one at that time.
func TestProofIsNeverTooYoung(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 3
		type message struct {
			to, from  int
			statement freshness.Statement
			sent      time.Duration
			due       time.Duration
		}
		var (
			trackers     [n]*freshness.Tracker
			clockOffsets [n]time.Duration
			stamps       [n][n]*freshness.Stamp
			pending      []message
			// changedAt is when each version was created.
			changedAt = []time.Duration{0, 0}
		)
		for i := range n {
			trackers[i] = freshness.New()
			clockOffsets[i] = time.Duration(rapid.IntRange(0, 100_000).Draw(t, "offset")) * time.Millisecond
		}
		for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
			if rapid.IntRange(0, 19).Draw(t, "change") == 0 {
				changedAt = append(changedAt, now)
			}
			i := rapid.IntRange(0, n-1).Draw(t, "daemon")
			j := rapid.IntRange(0, n-1).Draw(t, "peer")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				trackers[i].RecordRead(uint64(len(changedAt)-1), now+clockOffsets[i])
			case 1, 2:
				delay := time.Duration(rapid.IntRange(0, 6000).Draw(t, "delay")) * time.Millisecond
				pending = append(pending, message{to: j, from: i, statement: trackers[i].StatementFor(stamps[i][j]), sent: now + clockOffsets[i], due: now + delay})
			}
			undelivered := pending[:0]
			for _, m := range pending {
				if m.due > now {
					undelivered = append(undelivered, m)
					continue
				}
				stamps[m.to][m.from] = &freshness.Stamp{Sent: m.sent, Received: now + clockOffsets[m.to]}
				trackers[m.to].Receive(now+clockOffsets[m.to], m.statement)
			}
			pending = undelivered
			for i := range n {
				age := trackers[i].Age(now + clockOffsets[i])
				if age > time.Hour {
					continue
				}
				nextVersion := int(trackers[i].Version()) + 1
				if nextVersion < len(changedAt) && changedAt[nextVersion] < now-age {
					t.Fatalf("daemon %d at %v considers version %d proved %v ago, but version %d was created at %v", i, now, nextVersion-1, age, nextVersion, changedAt[nextVersion])
				}
			}
		}
	})
}
