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
	is.True(!f.RecordRead(4, 20*time.Second)) // a lagging answer, sent later
	is.Equal(f.Age(21*time.Second), 11*time.Second)
	is.Equal(f.Revision(), uint64(5))
}

func TestPeerWithNewerConfiguration(t *testing.T) {
	is := is.New(t)
	f := freshness.New()
	f.RecordRead(5, 0)
	newer := f.Receive(freshness.Statement{Revision: 6, Proved: true, Echo: 9 * time.Second})
	is.True(newer)
	is.Equal(f.Age(10*time.Second), 10*time.Second) // ours is not the newest
}

// A daemon is frozen while a peer's word waits in its socket. The word says "I
// read the service just now"; taken at its word on waking, a key that was taken
// away during the freeze would go on working.
func TestStatementDelayedWhileFrozen(t *testing.T) {
	is := is.New(t)
	f := freshness.New()
	f.RecordRead(5, 0)
	peer := freshness.New()
	peer.RecordRead(5, time.Second)
	// Our stamp of 0.9 s reaches the peer, which answers; then we freeze until 9 s.
	w := peer.StatementFor(&freshness.Stamp{Sent: 900 * time.Millisecond, Received: time.Second})
	f.Receive(w)
	is.True(f.Age(9*time.Second) >= 8*time.Second)
}

// Daemons with clocks of their own exchange words that are delayed and dropped
// at random while the configuration changes. Whatever one believes to be proved
// at a time must have been the newest then.
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
			trackers [n]*freshness.Tracker
			offsets  [n]time.Duration
			stamps   [n][n]*freshness.Stamp
			pending  []message
			// changedAt is when each revision came into being.
			changedAt = []time.Duration{0, 0}
		)
		for i := range n {
			trackers[i] = freshness.New()
			offsets[i] = time.Duration(rapid.IntRange(0, 100_000).Draw(t, "offset")) * time.Millisecond
		}
		for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
			if rapid.IntRange(0, 19).Draw(t, "change") == 0 {
				changedAt = append(changedAt, now)
			}
			i := rapid.IntRange(0, n-1).Draw(t, "daemon")
			j := rapid.IntRange(0, n-1).Draw(t, "peer")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				trackers[i].RecordRead(uint64(len(changedAt)-1), now+offsets[i])
			case 1, 2:
				delay := time.Duration(rapid.IntRange(0, 6000).Draw(t, "delay")) * time.Millisecond
				pending = append(pending, message{to: j, from: i, statement: trackers[i].StatementFor(stamps[i][j]), sent: now + offsets[i], due: now + delay})
			}
			undelivered := pending[:0]
			for _, m := range pending {
				if m.due > now {
					undelivered = append(undelivered, m)
					continue
				}
				stamps[m.to][m.from] = &freshness.Stamp{Sent: m.sent, Received: now + offsets[m.to]}
				trackers[m.to].Receive(m.statement)
			}
			pending = undelivered
			for i := range n {
				age := trackers[i].Age(now + offsets[i])
				if age > time.Hour {
					continue
				}
				next := int(trackers[i].Revision()) + 1
				if next < len(changedAt) && changedAt[next] < now-age {
					t.Fatalf("daemon %d at %v takes revision %d for proved %v ago, but %d came at %v", i, now, next-1, age, next, changedAt[next])
				}
			}
		}
	})
}
