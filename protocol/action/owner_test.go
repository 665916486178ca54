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

// hand drives one owner step by step.
type hand struct {
	now     time.Time
	owner   *action.Owner
	waiters action.Waiter
	replies map[action.Waiter]action.Result
	sent    map[string]int
	write   *action.Write
}

func newHand(change func(*action.Config)) *hand {
	cfg := action.DefaultConfig("entry-1~aa")
	if change != nil {
		change(&cfg)
	}
	start := time.Unix(1_700_000_000, 0)
	return &hand{
		now:     start,
		owner:   action.NewOwner(start, cfg),
		replies: map[action.Waiter]action.Result{},
		sent:    map[string]int{},
	}
}

func (h *hand) take(effects []action.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case *action.Reply:
			h.replies[e.Waiter] = e.Result
		case *action.Dispatch:
			h.sent[e.ID.Key]++
		case *action.Write:
			h.write = e
		}
	}
}

func (h *hand) key(suffix string) string { return h.owner.Token(h.now).String() + suffix }

func (h *hand) submit(key, body string) action.Waiter {
	h.waiters++
	h.take(h.owner.Submit(h.now, action.Request{
		Waiter: h.waiters, ID: idOf(key), BodyHash: body, Policy: manifest.OutageRun,
		Call: call.ServiceCall{Body: []byte(body)},
	}))
	return h.waiters
}

func (h *hand) written(s journal.Status, standing journal.Entry) {
	w := h.write
	h.write = nil
	h.take(h.owner.Written(h.now, journal.Written{Index: w.Index, Status: s, Standing: standing}))
}

func (h *hand) pass(d time.Duration) {
	h.now = h.now.Add(d)
	h.take(h.owner.Tick(h.now))
}

func (h *hand) told(w action.Waiter) refusal.Executed { return h.replies[w].Executed() }

func TestDispatchOnlyAfterTheJournal(t *testing.T) {
	is := is.New(t)
	h := newHand(nil)
	key := h.key("a")
	first, second := h.submit(key, "x"), h.submit(key, "x")
	is.Equal(h.sent[key], 0)
	h.written(journal.Created, journal.Entry{})
	is.Equal(h.sent[key], 1)
	h.take(h.owner.Finished(h.now, idOf(key), action.Result{Answer: call.Answer{Body: []byte("ok")}}))
	is.Equal(string(h.replies[first].Answer.Body), "ok")
	is.Equal(string(h.replies[second].Answer.Body), "ok")
	is.Equal(h.told(h.submit(key, "y")), refusal.ExecutedUnknown) // another body
}

// Story: a pledge waits a second in an outage and its caller is told "not
// run". Later the journal entry takes effect after all, and the pledge runs.
func TestLateJournalEntryDoesNotDispatch(t *testing.T) {
	is := is.New(t)
	h := newHand(nil)
	key := h.key("a")
	w := h.submit(key, "x")
	h.pass(time.Second)
	is.Equal(h.replies[w].Refusal.Reason, refusal.JournalUnavailable)
	is.Equal(h.told(w), refusal.ExecutedNo)
	h.written(journal.Created, journal.Entry{})
	is.Equal(h.sent[key], 0)
	is.Equal(h.told(h.submit(key, "x")), refusal.ExecutedNo) // also when asked again
}

// Story: a VM is suspended for a day with a booking that waits for the journal.
// Its log was sealed, the caller told "not run", the seal collected. The VM
// wakes, its journal entry is created, and the booking runs.
func TestKeyThatExpiredInTheJournalDoesNotRun(t *testing.T) {
	is := is.New(t)
	h := newHand(nil)
	key := h.key("a")
	w := h.submit(key, "x")
	h.now = h.now.Add(24 * time.Hour)
	h.written(journal.Created, journal.Entry{})
	is.Equal(h.sent[key], 0)
	is.Equal(h.told(w), refusal.ExecutedNo)
}

// Story: a booking is refused for lack of memory; a copy of it that was slow
// on another way is accepted a moment later and runs.
func TestRefusedAtTheBoundStaysRefused(t *testing.T) {
	is := is.New(t)
	h := newHand(func(c *action.Config) { c.MaxRecords, c.MaxTombstones = 1, 1 })
	h.submit(h.key("a"), "x")
	refused := h.submit(h.key("b"), "x")
	is.Equal(h.replies[refused].Refusal.Reason, refusal.ActionTableFull)
	is.Equal(h.told(refused), refusal.ExecutedNo)
	is.Equal(h.told(h.submit(h.key("c"), "x")), refusal.ExecutedUnknown) // not remembered
	is.Equal(h.told(h.submit(h.key("b"), "x")), refusal.ExecutedNo)
}

func TestExpiredKeyIsUnknown(t *testing.T) {
	is := is.New(t)
	h := newHand(nil)
	key := h.key("a")
	h.pass(3 * time.Minute)
	w := h.submit(key, "x")
	is.Equal(h.told(w), refusal.ExecutedUnknown)
	is.Equal(h.replies[w].Refusal.Reason, refusal.KeyExpired)
}

func TestAnswerOverTheBoundIsForgottenNotDenied(t *testing.T) {
	is := is.New(t)
	h := newHand(func(c *action.Config) { c.MaxBytes, c.AnswerReserve = 1000, 100 })
	key := h.key("a")
	first := h.submit(key, "x")
	h.written(journal.Created, journal.Entry{})
	large := strings.Repeat("y", 2000)
	h.take(h.owner.Finished(h.now, idOf(key), action.Result{Answer: call.Answer{Body: []byte(large)}}))
	is.Equal(string(h.replies[first].Answer.Body), large)
	again := h.submit(key, "x")
	is.Equal(h.replies[again].Refusal.Reason, refusal.AnswerNotKept)
	is.Equal(h.told(again), refusal.ExecutedYes)
}

// Under any order of calls an owner dispatches each key at most once, keeps
// its bound, and never asks to be ticked in the past: that would be a loop
// that spins.
func TestOwnerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHand(func(c *action.Config) { c.MaxRecords, c.TokenLifetime = 4, 5*time.Second })
		var keys []string
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				if len(keys) == 0 || rapid.Bool().Draw(t, "new") {
					keys = append(keys, h.key(fmt.Sprint("k", len(keys))))
				}
				h.submit(rapid.SampledFrom(keys).Draw(t, "key"), "x")
			},
			"written": func(t *rapid.T) {
				if h.write == nil {
					t.Skip("nothing in flight")
				}
				h.written(rapid.SampledFrom([]journal.Status{journal.Created, journal.Doubtful}).Draw(t, "status"), journal.Entry{})
			},
			"finished": func(t *rapid.T) {
				if len(keys) == 0 {
					t.Skip("no keys")
				}
				h.take(h.owner.Finished(h.now, idOf(rapid.SampledFrom(keys).Draw(t, "key")), action.Result{}))
			},
			"pass": func(t *rapid.T) {
				h.pass(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				h.take(h.owner.Tick(h.now))
				if due := h.owner.Due(h.now); !due.IsZero() && !due.After(h.now) && h.write == nil {
					t.Fatalf("due %v ago after a tick", h.now.Sub(due))
				}
				if h.owner.Len() > 4 {
					t.Fatalf("%d records", h.owner.Len())
				}
				for key, n := range h.sent {
					if n > 1 {
						t.Fatalf("%s dispatched %d times", key, n)
					}
				}
			},
		})
	})
}
