package actions_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/journal"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/standin/service"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// Story: a finder's phone sends a pledge three times through three gateways,
// and three bounties are pledged. The copies come at the same time.
func TestDuplicatesThroughSeveralGateways(t *testing.T) {
	withThreeGateways(t, func(f *fleet) {
		key := f.key(1, "pledge")
		for _, r := range f.runners {
			r.SetFaults(service.Faults{DelayMillis: 4000}) // longer than a poll
		}
		answers := make([]string, 6)
		var wg sync.WaitGroup
		for i := range answers {
			wg.Go(func() {
				answer, err := f.pledge(i%3, key)
				f.is.NoErr(err)
				answers[i] = answer
			})
		}
		wg.Wait()
		for _, a := range answers {
			f.is.Equal(a, answers[0])
		}
		f.is.Equal(f.executionCount(key), 1)
		_, err := f.post(0, key, "/closures")
		f.expectRefusal(err, refusal.ExecutedUnknown, refusal.KeyReused)
	})
}

// Story: a pledge gets no answer for minutes. The connection between its
// gateway and the owner went silent, while a new one would have worked.
func TestSilentConnectionBetweenGateways(t *testing.T) {
	withThreeGateways(t, func(f *fleet) {
		_, err := f.pledge(0, f.key(1, "first"))
		f.is.NoErr(err)
		f.is.True(f.network.Silence("entry-1:90") > 0)

		start := time.Now()
		key := f.key(1, "second")
		_, err = f.pledge(0, key)
		f.is.NoErr(err)
		f.is.True(time.Since(start) < 5*time.Second)
		f.is.Equal(f.executionCount(key), 1)
	})
}

// Story: a desk is told that a booking didn't run, books again, and the slot
// is sold twice. The owner of the first had crashed after it ran.
func TestOwnerCrash(t *testing.T) {
	withThreeGateways(t, func(f *fleet) {
		done, fresh, open := f.key(1, "done"), f.key(1, "fresh"), f.key(1, "open")
		want, err := f.pledge(0, done)
		f.is.NoErr(err)
		time.Sleep(time.Second) // its outcome is journaled
		for _, r := range f.runners {
			r.SetFaults(service.Faults{HangSilently: 1})
		}
		go func() { _, _ = f.pledge(0, open) }()
		time.Sleep(500 * time.Millisecond)
		f.nodes[1].crash()
		f.removeFromDirectory(1)

		got, err := f.outcome(0, done)
		f.is.NoErr(err)
		f.is.Equal(got, want)
		_, err = f.pledge(2, fresh)
		f.expectRefusal(err, refusal.ExecutedNo, refusal.OwnerGone)
		_, err = f.pledge(2, open)
		f.expectRefusal(err, refusal.ExecutedUnknown, refusal.OutcomeUnknown)
		f.is.Equal(f.executionCount(open), 1)
		f.is.Equal(f.executionCount(fresh), 0)
		time.Sleep(time.Minute) // the pledge that hangs ends
	})
}

// Story: a pledge is run by a VM that has just been started. It has the
// address of the owner that was reclaimed, and the directory doesn't know yet.
func TestReplacedVMWithTheSameAddress(t *testing.T) {
	withThreeGateways(t, func(f *fleet) {
		key := f.key(1, "pledge")
		f.nodes[1].crash()
		f.nodes[1] = f.start(1, 2)

		_, err := f.pledge(0, key)
		f.expectRefusal(err, refusal.ExecutedNo, refusal.OwnerGone)
		f.is.Equal(f.nodes[0].counter("actions.forward.not_owner"), int64(1))
		_, err = f.pledge(0, f.key(1, "pledge"))
		f.is.NoErr(err)
	})
}

// Story: nobody can pledge for ten minutes, since the key-value service is
// down. Pledges are let run without the journal; closures are not.
func TestLongStoreOutage(t *testing.T) {
	withThreeGateways(t, func(f *fleet) {
		old := f.key(1, "old")
		f.store.SetFaults(kvserver.Faults{Outage: true})

		_, err := f.pledge(0, old)
		f.expectRefusal(err, refusal.ExecutedNo, refusal.JournalUnavailable)
		var keys []string
		for i := range 20 {
			key := f.key(1, strings.Repeat("x", i+1))
			keys = append(keys, key)
			_, err = f.pledge(0, key)
			f.is.NoErr(err)
			time.Sleep(30 * time.Second)
		}
		_, err = f.post(0, f.key(1, "closure"), "/closures")
		f.expectRefusal(err, refusal.ExecutedNo, refusal.JournalUnavailable)
		_, err = f.pledge(0, "without-token")
		f.expectRefusal(err, refusal.ExecutedUnknown, refusal.ClaimUnavailable)

		f.store.SetFaults(kvserver.Faults{})
		time.Sleep(10 * time.Second) // the outcomes are journaled now
		f.nodes[1].crash()
		f.removeFromDirectory(1)
		_, err = f.outcome(0, keys[19])
		f.is.NoErr(err)
		f.is.Equal(f.executionCount(old), 0)
		f.is.Equal(len(f.log.RunTwice()), 0)
	})
}

// Story: a pledge runs after its caller was told that it had not. Its owner
// was paused, another gateway sealed the owner's log and said "no", and the
// owner woke up.
func TestPausedOwnerResumesAfterSeal(t *testing.T) {
	withThreeGateways(t, func(f *fleet) {
		key := f.key(1, "pledge")
		self := f.daemons[1]
		f.removeFromDirectory(1)
		_, err := f.pledge(0, key)
		f.expectRefusal(err, refusal.ExecutedNo, refusal.OwnerGone)

		f.mu.Lock()
		f.daemons = append(f.daemons, self)
		f.mu.Unlock()
		_, err = f.pledge(1, key)
		f.expectRefusal(err, refusal.ExecutedNo, refusal.OwnerGone)
		f.is.Equal(f.executionCount(key), 0)
		// The daemon goes on under another owner's name.
		_, err = f.pledge(0, f.key(1, "pledge"))
		f.is.NoErr(err)
	})
}

// Story: a booking hangs, or runs twice. The service took the journal entry
// and its answer was lost.
func TestJournalWriteResponseLost(t *testing.T) {
	withThreeGateways(t, func(f *fleet) {
		f.store.SetFaults(kvserver.Faults{LoseAnswers: 2, LosePrefix: "journal/"})
		key := f.key(1, "pledge")
		_, err := f.pledge(0, key)
		f.is.NoErr(err)
		f.is.Equal(f.executionCount(key), 1)
		f.is.Equal(f.nodes[1].counter("actions.journal.doubtful"), int64(1))
		f.is.Equal(f.nodes[1].counter("actions.dispatched.journaled"), int64(1))
	})
}

// Story: two operators drain the same VM, and a caller that asks for its
// pledge afterwards is told that nothing is known. The tables went two ways.
func TestConcurrentDrainsUseOneSuccessor(t *testing.T) {
	withThreeGateways(t, func(f *fleet) {
		key, late := f.key(1, "pledge"), f.key(1, "late")
		want, err := f.pledge(0, key)
		f.is.NoErr(err)
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				f.is.NoErr(f.nodes[1].Drain(ctx))
			})
		}
		wg.Wait()
		f.nodes[1].crash()
		f.removeFromDirectory(1)

		adopted := f.nodes[0].counter("actions.hand_off.adopted") + f.nodes[2].counter("actions.hand_off.adopted")
		f.is.Equal(adopted, int64(1))
		for _, gateway := range []int{0, 2} {
			got, err := f.outcome(gateway, key)
			f.is.NoErr(err)
			f.is.Equal(got, want)
			_, err = f.pledge(gateway, late)
			f.expectRefusal(err, refusal.ExecutedNo, refusal.OwnerGone)
		}
	})
}

// Story: a VM is drained in an outage of the service, and its callers' answers
// are lost. The successor seals the log when the service is back.
func TestDrainDuringStoreOutage(t *testing.T) {
	withThreeGateways(t, func(f *fleet) {
		f.store.SetFaults(kvserver.Faults{Outage: true})
		_, err := f.pledge(0, f.key(1, "first"))
		f.expectRefusal(err, refusal.ExecutedNo, refusal.JournalUnavailable)
		key := f.key(1, "pledge")
		want, err := f.pledge(0, key)
		f.is.NoErr(err)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		f.is.NoErr(f.nodes[1].Drain(ctx))
		f.nodes[1].crash()
		f.removeFromDirectory(1)
		f.store.SetFaults(kvserver.Faults{})
		time.Sleep(10 * time.Second)
		for _, gateway := range []int{0, 2} {
			got, err := f.outcome(gateway, key)
			f.is.NoErr(err)
			f.is.Equal(got, want)
		}
	})
}

// Story: a caller that knows nothing of tokens repeats its pledge at another
// gateway, and it runs twice.
func TestKeysWithoutTokenAreClaimed(t *testing.T) {
	withThreeGateways(t, func(f *fleet) {
		var wg sync.WaitGroup
		answers := make([]string, 3)
		for i := range answers {
			wg.Go(func() {
				answer, err := f.pledge(i, "my-own-key")
				f.is.NoErr(err)
				answers[i] = answer
			})
		}
		wg.Wait()
		f.is.Equal(answers[0], answers[1])
		f.is.Equal(answers[0], answers[2])
		f.is.Equal(len(f.log.Executions()), 1)
		got, err := f.outcome(2, "my-own-key")
		f.is.NoErr(err)
		f.is.Equal(got, answers[0])
	})
}

// Story: the service fills up with the journals of VMs that were reclaimed
// long ago; or they are cleared away, and a pledge that ran is "not executed".
func TestLogsOfEndedDaemonsAreCollected(t *testing.T) {
	withThreeGateways(t, func(f *fleet) {
		key := f.key(1, "pledge")
		_, err := f.pledge(0, key)
		f.is.NoErr(err)
		time.Sleep(time.Second)
		owner := f.daemons[1].Incarnation
		prefix := journal.Prefix(owner)
		f.nodes[1].crash()
		f.removeFromDirectory(1)
		time.Sleep(time.Minute) // sealed, though nobody has asked
		entries, err := f.store.List(t.Context(), prefix, "", 0)
		f.is.NoErr(err)
		f.is.Equal(len(entries), 3)
		_, err = f.outcome(0, key)
		f.is.NoErr(err)

		time.Sleep(10 * time.Minute)
		entries, err = f.store.List(t.Context(), prefix, "", 0)
		f.is.NoErr(err)
		f.is.Equal(len(entries), 1)
		_, err = f.outcome(2, key)
		f.expectRefusal(err, refusal.ExecutedUnknown, refusal.KeyExpired)
		log := journal.NewLog(owner)
		entry, err := journal.Decode(entries[0].Key, entries[0].Value)
		f.is.NoErr(err)
		log.Add(2, entry)
		slow := time.Now().Add(-time.Hour)
		verdict := log.Verdict(slow, actionkey.ID{Workspace: "huaman", Key: key}, "")
		f.is.Equal(verdict.Executed, refusal.ExecutedUnknown) // also by a slow clock
	})
}

// A runner's own refusal sends the action on to the next; a connection that
// broke after it was sent does not.
func TestOnlyUnexecutedActionsGoToAnotherRunner(t *testing.T) {
	withThreeGateways(t, func(f *fleet) {
		f.runners[0].Notice()
		for i := range 5 {
			_, err := f.pledge(0, f.key(1, strings.Repeat("a", i+1)))
			f.is.NoErr(err)
		}
		f.runners[1].SetFaults(service.Faults{CloseAfterExecute: 1})
		key := f.key(1, "broken")
		for range 2 {
			_, err := f.pledge(0, key)
			f.expectRefusal(err, refusal.ExecutedUnknown, refusal.RunnerFailed)
		}
		f.is.Equal(f.executionCount(key), 1)
		for _, e := range f.log.Executions() {
			f.is.True(e.Action != "") // the runner learns the key
		}
	})
}
