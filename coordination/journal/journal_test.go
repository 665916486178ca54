package journal_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/journal"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

const owner = ident.Incarnation("entry-1~aa")

var start = time.Unix(1_700_000_000, 0)

func id(issued time.Time, suffix string) actionkey.ID {
	token := actionkey.Token{Owner: owner, Issued: issued, Lifetime: time.Minute, Journaled: true}
	return actionkey.ID{Workspace: "huaman", Key: token.String() + suffix}
}

func decode(is *is.I, w journal.Write) journal.Entry {
	e, err := journal.Decode("", w.Value)
	is.NoErr(err)
	return e
}

// Only one write is in flight at a time; items added meanwhile share the next entry.
func TestGroupCommit(t *testing.T) {
	is := is.New(t)
	w := journal.NewWriter(start, journal.DefaultConfig(owner))
	w.AddIntent(journal.Intent{ID: id(start, "a")})
	first, ok := w.Flush(start)
	is.True(ok)
	for i := range 100 {
		w.AddIntent(journal.Intent{ID: id(start, fmt.Sprint("b", i))})
	}
	_, ok = w.Flush(start)
	is.True(!ok)
	p := w.HandleWritten(start, journal.Written{Index: first.Index})
	is.Equal(len(p.Durable), 1)
	second, ok := w.Flush(start)
	is.True(ok)
	is.Equal(len(decode(is, second).Intents), 100)
}

func TestWritesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	cfg := journal.DefaultConfig(owner)
	w := journal.NewWriter(start, cfg)
	writes := 0
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		w.AddIntent(journal.Intent{ID: id(start, fmt.Sprint(ms))})
		if write, ok := w.Flush(now); ok {
			writes++
			w.HandleWritten(now, journal.Written{Index: write.Index})
		}
	}
	is.True(float64(writes) <= cfg.Burst+10*cfg.WritesPerSecond)
	is.True(float64(writes) >= 10*cfg.WritesPerSecond-1)
}

// Guards against entries larger than the key-value service's limit of one megabyte. After a
// busy minute such an entry would be refused on every retry, and nothing more would be journaled.
func TestEntriesStayBelowValueLimit(t *testing.T) {
	is := is.New(t)
	w := journal.NewWriter(start, journal.DefaultConfig(owner))
	for i := range 300 {
		w.AddOutcome(start, journal.Outcome{ID: id(start, fmt.Sprint(i)), Body: []byte(strings.Repeat("\xff", 16<<10))})
	}
	w.AddOutcome(start, journal.Outcome{ID: id(start, "large"), Body: make([]byte, 17<<10)})
	now := start.Add(time.Second)
	outcomes := 0
	for write, ok := w.Flush(now); ok; write, ok = w.Flush(now) {
		is.True(len(write.Value) < 1<<20)
		outcomes += len(decode(is, write).Outcomes)
		now = now.Add(time.Second)
		w.HandleWritten(now, journal.Written{Index: write.Index})
	}
	is.Equal(outcomes, 301)
}

// Guards against a daemon that runs out of memory during a long outage of the key-value service
// because its queued outcomes grow without bound.
func TestQueuedOutcomesAreBounded(t *testing.T) {
	is := is.New(t)
	cfg := journal.DefaultConfig(owner)
	cfg.MaxQueuedBytes = 10 << 10
	w := journal.NewWriter(start, cfg)
	for i := range 1000 {
		w.AddOutcome(start, journal.Outcome{ID: id(start, fmt.Sprint(i))})
	}
	write, _ := w.Flush(start.Add(time.Second))
	kept := decode(is, write).Outcomes
	is.True(len(write.Value) < 10<<10)
	is.Equal(kept[len(kept)-1].ID, id(start, "999")) // the oldest are dropped first
}

// The answer to the first write is lost. Guards against an action that is journaled twice under
// two indexes, and against an owner that takes its own entry for the seal of another daemon.
func TestLostAnswerIsResolvedByExistingEntry(t *testing.T) {
	is := is.New(t)
	w := journal.NewWriter(start, journal.DefaultConfig(owner))
	w.AddIntent(journal.Intent{ID: id(start, "a")})
	first, _ := w.Flush(start)
	w.HandleWritten(start, journal.Written{Index: first.Index, Status: journal.Unknown})
	now := start.Add(time.Second)
	again, ok := w.Flush(now)
	is.True(ok)
	is.Equal(again, first)
	p := w.HandleWritten(now, journal.Written{Index: again.Index, Status: journal.Conflict, Existing: decode(is, first)})
	is.Equal(len(p.Durable), 1)
	is.True(!p.Sealed)

	w.AddIntent(journal.Intent{ID: id(start, "b")})
	next, _ := w.Flush(now)
	seal := journal.Entry{Nonce: "seal/entry-2~bb", Seal: &journal.Seal{By: "entry-2~bb"}}
	p = w.HandleWritten(now, journal.Written{Index: next.Index, Status: journal.Conflict, Existing: seal})
	is.True(p.Sealed)
	is.Equal(len(p.Durable), 0)
}

func TestVerdict(t *testing.T) {
	is := is.New(t)
	log := journal.NewLog(owner)
	done, open, absent := id(start, "done"), id(start, "open"), id(start, "absent")
	log.Add(0, journal.Entry{
		Intents:  []journal.Intent{{ID: done, BodyHash: "h"}, {ID: open, BodyHash: "h"}},
		Outcomes: []journal.Outcome{{ID: done, BodyHash: "h", Executed: refusal.ExecutedYes, Status: 201}},
	})
	is.Equal(log.Verdict(start, absent, "h").Executed, refusal.ExecutedUnknown) // not sealed
	log.Add(1, journal.Entry{Seal: &journal.Seal{By: "entry-2~bb"}})
	is.Equal(log.Verdict(start, done, "h").Executed, refusal.ExecutedYes)
	is.Equal(log.Verdict(start, done, "other").Executed, refusal.ExecutedUnknown)
	is.Equal(log.Verdict(start, open, "h").Executed, refusal.ExecutedUnknown)
	is.Equal(log.Verdict(start, absent, "h").Executed, refusal.ExecutedNo)

	unpromised := actionkey.Token{Owner: owner, Issued: start, Lifetime: time.Minute}
	is.Equal(log.Verdict(start, actionkey.ID{Workspace: "huaman", Key: unpromised.String() + "a"}, "h").Executed,
		refusal.ExecutedUnknown)
}

// Guards against an executed action that is reported as not executed after its entry was
// deleted, because the clock of the gateway that asks is slow.
func TestCollectedKeyIsUnknown(t *testing.T) {
	is := is.New(t)
	log := journal.NewLog(owner)
	log.Add(7, journal.Entry{Floor: start.Add(2 * time.Minute).UnixMilli()})
	log.Add(8, journal.Entry{Seal: &journal.Seal{By: "entry-2~bb"}})
	// By the slow clock the key has not expired yet. The verdict is unknown all the same, because
	// Floor is later than the expiry, so the key's entry may have been deleted.
	v := log.Verdict(start, id(start, "old"), "h")
	is.Equal(v.Executed, refusal.ExecutedUnknown)
	is.Equal(v.Reason, refusal.KeyExpired)
}

// Guards against an action that is reported as not executed while the owner continues. A gateway
// was paused between reading and sealing the log for so long that the owner had written and
// deleted an entry at the index of the seal.
func TestSealBeforeLastEntryIsIgnored(t *testing.T) {
	is := is.New(t)
	log := journal.NewLog(owner)
	log.Add(3, journal.Entry{Seal: &journal.Seal{By: "entry-2~bb"}})
	log.Add(4, journal.Entry{Intents: []journal.Intent{{ID: id(start, "a")}}})
	is.True(log.Seal() == nil)
	is.Equal(log.Next(), uint64(5))
}

// Entries whose keys have expired are deleted, but never the last entry.
func TestCollection(t *testing.T) {
	is := is.New(t)
	w := journal.NewWriter(start, journal.DefaultConfig(owner))
	now := start
	for i := range 3 {
		w.AddIntent(journal.Intent{ID: id(now, fmt.Sprint(i))})
		write, ok := w.Flush(now)
		is.True(ok)
		w.HandleWritten(now, journal.Written{Index: write.Index, Revision: uint64(i + 10)})
		_, early := w.CollectNext(now)
		is.True(!early)
		now = now.Add(20 * time.Second) // the keys live for a minute
	}
	now = now.Add(5 * time.Minute)
	w.AddIntent(journal.Intent{ID: id(now, "last")})
	write, _ := w.Flush(now)
	w.HandleWritten(now, journal.Written{Index: write.Index})
	var collected []journal.Collect
	for c, ok := w.CollectNext(now); ok; c, ok = w.CollectNext(now) {
		collected = append(collected, c)
	}
	is.Equal(collected, []journal.Collect{{Index: 0, Revision: 10}, {Index: 1, Revision: 11}, {Index: 2, Revision: 12}})
}
