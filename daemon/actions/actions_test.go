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

// A client sends the same call through several gateways at the same time. Without
// a common owner each gateway would run the call.
func TestDuplicatesThroughSeveralGateways(t *testing.T) {
	withThreeGateways(t, func(f *fleet) {
		key := f.key(1, "pledge")
		for _, r := range f.runners {
			r.SetFaults(service.Faults{DelayMillis: 4000}) // longer than Times.Poll
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

// The connection between a gateway and the owner stops transmitting without being
// closed. The call must be repeated on a new connection instead of waiting for
// minutes.
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

// The owner crashes after a call ran. If the caller were told that the call had
// not run, it would send the call again and the effect would happen twice.
func TestOwnerCrash(t *testing.T) {
	withThreeGateways(t, func(f *fleet) {
		done, fresh, open := f.key(1, "done"), f.key(1, "fresh"), f.key(1, "open")
		want, err := f.pledge(0, done)
		f.is.NoErr(err)
		time.Sleep(time.Second) // until the outcome is journaled
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
		time.Sleep(time.Minute) // until the hanging call ends
	})
}

// A new VM gets the address of an owner that was reclaimed, before the directory
// is updated. The new VM must not run calls for the old owner.
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

// The key-value service is down for ten minutes. Calls of a route whose outage
// policy allows it (/pledges) must run without the journal if their token was
// issued during the outage. Calls with an older token and calls of other routes
// (/closures) must be refused.
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
		time.Sleep(10 * time.Second) // until the outcomes are journaled
		f.nodes[1].crash()
		f.removeFromDirectory(1)
		_, err = f.outcome(0, keys[19])
		f.is.NoErr(err)
		f.is.Equal(f.executionCount(old), 0)
		f.is.Equal(len(f.log.ExecutedRepeatedly()), 0)
	})
}

// An owner is paused, another gateway seals the owner's log and answers that a
// call didn't run, and the owner resumes. The owner must not run the call
// afterwards.
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
		// The daemon continues with a new owner.
		_, err = f.pledge(0, f.key(1, "pledge"))
		f.is.NoErr(err)
	})
}

// The key-value service stores a journal entry, but its response is lost. The
// call must neither hang nor run twice.
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

// Two operators drain the same VM at the same time. If the table went to two
// successors, a later query could reach one that doesn't know the call.
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

// A VM is drained during an outage of the key-value service, when its log can't
// be sealed. The answers must survive: the successor seals the log when the
// service is available again.
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

// A caller that doesn't use tokens sends the same call through several gateways.
// Without a claim each gateway would run the call.
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

// Logs of reclaimed VMs must be deleted, or they would fill up the key-value
// service. After the deletion a call that ran must not be reported as not
// executed.
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
		time.Sleep(time.Minute) // until the log is sealed, without any query
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
		f.is.Equal(verdict.Executed, refusal.ExecutedUnknown) // also with a slow clock
	})
}

// An action that a runner refuses is sent to another runner. An action whose
// connection breaks after it was sent may have run and is not sent again.
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
			f.is.True(e.Action != "") // the key was passed to the runner
		}
	})
}
