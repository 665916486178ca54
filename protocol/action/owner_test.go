package action_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/journal"
	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// ownerDriver calls one Owner with a simulated clock and records its effects.
type ownerDriver struct {
	now     time.Time
	owner   *action.Owner
	waiters action.Waiter
	replies map[action.Waiter]action.Result
	sent    map[string]int
	write   *action.Write
}

func newOwnerDriver(change func(*action.Config)) *ownerDriver {
	cfg := action.DefaultConfig("entry-1~aa")
	if change != nil {
		change(&cfg)
	}
	start := time.Unix(1_700_000_000, 0)
	return &ownerDriver{
		now:     start,
		owner:   action.NewOwner(start, cfg),
		replies: map[action.Waiter]action.Result{},
		sent:    map[string]int{},
	}
}

func (drv *ownerDriver) recordEffects(effects []action.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case *action.Reply:
			drv.replies[e.Waiter] = e.Result
		case *action.Dispatch:
			drv.sent[e.ID.Key]++
		case *action.Write:
			drv.write = e
		}
	}
}

func (drv *ownerDriver) key(suffix string) string {
	return drv.owner.Token(drv.now).String() + suffix
}

func (drv *ownerDriver) submit(key, body string) action.Waiter {
	drv.waiters++
	drv.recordEffects(drv.owner.Submit(drv.now, action.Request{
		Waiter: drv.waiters, ID: actionID(key), BodyHash: body, Policy: manifest.OutageRun,
		Call: call.ServiceCall{Body: []byte(body)},
	}))
	return drv.waiters
}

func (drv *ownerDriver) finishWrite(s journal.Status, standing journal.Entry) {
	w := drv.write
	drv.write = nil
	drv.recordEffects(drv.owner.Written(drv.now, journal.Written{Index: w.Index, Status: s, Existing: standing}))
}

func (drv *ownerDriver) advance(d time.Duration) {
	drv.now = drv.now.Add(d)
	drv.recordEffects(drv.owner.Tick(drv.now))
}

func (drv *ownerDriver) executedOf(w action.Waiter) refusal.Executed {
	return drv.replies[w].Executed()
}

func TestDispatchOnlyAfterIntentIsJournaled(t *testing.T) {
	is := is.New(t)
	drv := newOwnerDriver(nil)
	key := drv.key("a")
	first, second := drv.submit(key, "x"), drv.submit(key, "x")
	is.Equal(drv.sent[key], 0)
	drv.finishWrite(journal.Created, journal.Entry{})
	is.Equal(drv.sent[key], 1)
	drv.recordEffects(drv.owner.Finished(drv.now, actionID(key), action.Result{Answer: call.Answer{Body: []byte("ok")}}))
	is.Equal(string(drv.replies[first].Answer.Body), "ok")
	is.Equal(string(drv.replies[second].Answer.Body), "ok")
	is.Equal(drv.executedOf(drv.submit(key, "y")), refusal.ExecutedUnknown) // the same key with another body
}

// Guards against an action that runs after its caller was told "not executed":
// the action is refused during a journal outage, and its journal entry takes
// effect later.
func TestLateJournalEntryDoesNotDispatch(t *testing.T) {
	is := is.New(t)
	drv := newOwnerDriver(nil)
	key := drv.key("a")
	w := drv.submit(key, "x")
	drv.advance(time.Second)
	is.Equal(drv.replies[w].Refusal.Reason, refusal.JournalUnavailable)
	is.Equal(drv.executedOf(w), refusal.ExecutedNo)
	drv.finishWrite(journal.Created, journal.Entry{})
	is.Equal(drv.sent[key], 0)
	is.Equal(drv.executedOf(drv.submit(key, "x")), refusal.ExecutedNo) // a repetition gets the same result
}

// Guards against an action that runs long after its caller was told "not
// executed": a VM is suspended for a day while an action waits for the journal.
// Meanwhile another gateway seals the journal, answers the caller, and deletes
// the seal, so that the resumed VM can create its journal entry.
func TestKeyThatExpiredDuringJournalWriteDoesNotRun(t *testing.T) {
	is := is.New(t)
	drv := newOwnerDriver(nil)
	key := drv.key("a")
	w := drv.submit(key, "x")
	drv.now = drv.now.Add(24 * time.Hour)
	drv.finishWrite(journal.Created, journal.Entry{})
	is.Equal(drv.sent[key], 0)
	is.Equal(drv.executedOf(w), refusal.ExecutedNo)
}

// Guards against an action that runs after it was refused because the table was
// full: a delayed copy of the same request arrives when there is room again.
func TestKeyRefusedByFullTableStaysRefused(t *testing.T) {
	is := is.New(t)
	drv := newOwnerDriver(func(c *action.Config) { c.MaxRecords, c.MaxTombstones = 1, 1 })
	drv.submit(drv.key("a"), "x")
	refused := drv.submit(drv.key("b"), "x")
	is.Equal(drv.replies[refused].Refusal.Reason, refusal.ActionTableFull)
	is.Equal(drv.executedOf(refused), refusal.ExecutedNo)
	is.Equal(drv.executedOf(drv.submit(drv.key("c"), "x")), refusal.ExecutedUnknown) // no tombstone was left for this key
	is.Equal(drv.executedOf(drv.submit(drv.key("b"), "x")), refusal.ExecutedNo)
}

func TestExpiredKeyIsUnknown(t *testing.T) {
	is := is.New(t)
	drv := newOwnerDriver(nil)
	key := drv.key("a")
	drv.advance(3 * time.Minute)
	w := drv.submit(key, "x")
	is.Equal(drv.executedOf(w), refusal.ExecutedUnknown)
	is.Equal(drv.replies[w].Refusal.Reason, refusal.KeyExpired)
}

func TestOversizedAnswerIsDroppedButReportedExecuted(t *testing.T) {
	is := is.New(t)
	drv := newOwnerDriver(func(c *action.Config) { c.MaxBytes, c.AnswerReserve = 1000, 100 })
	key := drv.key("a")
	first := drv.submit(key, "x")
	drv.finishWrite(journal.Created, journal.Entry{})
	large := strings.Repeat("y", 2000)
	drv.recordEffects(drv.owner.Finished(drv.now, actionID(key), action.Result{Answer: call.Answer{Body: []byte(large)}}))
	is.Equal(string(drv.replies[first].Answer.Body), large)
	again := drv.submit(key, "x")
	is.Equal(drv.replies[again].Refusal.Reason, refusal.AnswerNotKept)
	is.Equal(drv.executedOf(again), refusal.ExecutedYes)
}

// In any order of calls, an owner dispatches each key at most once and keeps to
// MaxRecords. NextDue must not return the current time directly after a Tick,
// since its caller would then call Tick in an endless loop.
func TestOwnerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drv := newOwnerDriver(func(c *action.Config) { c.MaxRecords, c.TokenLifetime = 4, 5*time.Second })
		var keys []string
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				if len(keys) == 0 || rapid.Bool().Draw(t, "new") {
					keys = append(keys, drv.key(fmt.Sprint("k", len(keys))))
				}
				drv.submit(rapid.SampledFrom(keys).Draw(t, "key"), "x")
			},
			"written": func(t *rapid.T) {
				if drv.write == nil {
					t.Skip("no journal write is in flight")
				}
				drv.finishWrite(rapid.SampledFrom([]journal.Status{journal.Created, journal.Unknown}).Draw(t, "status"), journal.Entry{})
			},
			"finished": func(t *rapid.T) {
				if len(keys) == 0 {
					t.Skip("no key has been used yet")
				}
				drv.recordEffects(drv.owner.Finished(drv.now, actionID(rapid.SampledFrom(keys).Draw(t, "key")), action.Result{}))
			},
			"pass": func(t *rapid.T) {
				drv.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				drv.recordEffects(drv.owner.Tick(drv.now))
				if due := drv.owner.NextDue(drv.now); !due.IsZero() && !due.After(drv.now) && drv.write == nil {
					t.Fatalf("the next tick was due %v ago, directly after a tick", drv.now.Sub(due))
				}
				if drv.owner.Len() > 4 {
					t.Fatalf("the table holds %d records, more than its limit", drv.owner.Len())
				}
				for key, n := range drv.sent {
					if n > 1 {
						t.Fatalf("key %s was dispatched %d times", key, n)
					}
				}
			},
		})
	})
}
