package config_test

import (
	"errors"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/config"
	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// checkInvariants is called after every step.
func (w *cluster) checkInvariants(t *rapid.T) {
	for i, f := range w.followers {
		head, m := f.InForce()
		if head.Generation < w.highestInForce[i] {
			t.Fatalf("daemon %d returned from generation %d to %d", i, w.highestInForce[i], head.Generation)
		}
		w.highestInForce[i] = head.Generation
		if head.Generation > 0 {
			w.checkInForce(t, head, m)
		}
	}
	winner := map[uint64]string{}
	for _, s := range w.submissions {
		w.checkSubmission(t, s)
		if done, ok := s.Step().(*config.Done); ok {
			g := uint64(done.Accepted.Generation)
			if other, taken := winner[g]; taken {
				t.Fatalf("submissions %s and %s were both accepted as generation %d", other, s.id, g)
			}
			winner[g] = s.id
		}
	}
}

func (w *cluster) checkInForce(t *rapid.T, head config.Accepted, m *manifest.Manifest) {
	accepted, ok := w.accepted[head.Generation]
	if !ok || accepted.SubmissionID != head.SubmissionID {
		t.Fatalf("generation %d of %s is in force but was never accepted", head.Generation, head.SubmissionID)
	}
	for _, s := range w.submissions {
		if s.id == head.SubmissionID && m.Services[0].Runners != s.content {
			t.Fatalf("generation %d has another submission's content", head.Generation)
		}
	}
}

func (w *cluster) checkSubmission(t *rapid.T, s *submission) {
	if w.acceptedCount[s.id] > 1 {
		t.Fatalf("submission %s was accepted %d times", s.id, w.acceptedCount[s.id])
	}
	switch step := s.Step().(type) {
	case *config.Done:
		if w.accepted[step.Accepted.Generation].SubmissionID != s.id {
			t.Fatalf("submission %s is Done with a generation that belongs to another one", s.id)
		}
	case *config.Failed:
		var conflict *config.ConflictError
		if errors.As(step.Err, &conflict) && w.acceptedCount[s.id] > 0 {
			t.Fatalf("submission %s failed with a conflict but was accepted", s.id)
		}
	}
	var notAccepted *config.NotAcceptedError
	if errors.As(s.abortErr, &notAccepted) && w.acceptedCount[s.id] > 0 {
		t.Fatalf("submission %s was reported as not accepted but was accepted", s.id)
	}
}

// converge ends all faults and lets every daemon learn the head.
func (w *cluster) converge(t *rapid.T) {
	w.storeDown = false
	for _, s := range w.delayedSwaps {
		w.swap(s)
	}
	w.delayedSwaps = nil
	for range 4 {
		for i, f := range w.followers {
			w.now = w.now.Add(10 * time.Second)
			if w.revision > 0 {
				w.queueFetches(i, f.Learn(w.now, w.head.Accepted, config.StoreSource))
			}
			for len(w.fetches) > 0 {
				pending := w.fetches[0]
				w.fetches = w.fetches[1:]
				w.queueFetches(pending.daemon, w.followers[pending.daemon].Supply(w.now, w.fetchResult(pending)))
			}
		}
	}
	w.checkInvariants(t)
	for i, f := range w.followers {
		if head, _ := f.InForce(); head.Generation != w.head.Generation {
			t.Fatalf("daemon %d stays at generation %d, accepted is %d", i, head.Generation, w.head.Generation)
		}
	}
}

// Operators submit concurrently, answers are lost, swaps take effect late, daemons restart,
// and the key-value service fails at any step. Guards against two operators who both believe
// that their manifest is the accepted one, and against a daemon that returns to an older one.
func TestRegisterUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster()
		t.Repeat(map[string]func(*rapid.T){
			"submit":   w.submit,
			"advance":  w.advance,
			"advance2": w.advance,
			"late":     w.applyDelayedSwap,
			"announce": w.announce,
			"fetch":    w.answerFetch,
			"tick":     w.tick,
			"restart":  w.restart,
			"outage":   func(t *rapid.T) { w.storeDown = rapid.Bool().Draw(t, "down") },
			"":         w.checkInvariants,
		})
		w.converge(t)
	})
}

// Guards against a duplicate change. The answer to an operator's swap is lost after the swap
// took effect, and another operator's change follows before the first one reads the head again.
// If the first operator got a conflict error, it would apply its change a second time.
func TestLostSwapAnswerIsFoundInHistory(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	first, err := config.NewSubmission(content(1), "ana", "first", 0, 0)
	is.NoErr(err)
	first.HeadRead(now, config.Head{}, 0)
	first.SectionsStored()
	first.HeadRead(now, config.Head{}, 0)
	swap, ok := first.Step().(*config.SwapHead)
	is.True(ok)
	first.SwapLost()

	second, err := config.NewSubmission(content(2), "luz", "second", 1, 0)
	is.NoErr(err)
	second.HeadRead(now, swap.Head, 1)
	second.SectionsStored()
	second.HeadRead(now, swap.Head, 1)
	next, ok := second.Step().(*config.SwapHead)
	is.True(ok)
	second.Swapped()

	first.HeadRead(now, next.Head, 2)
	done, ok := first.Step().(*config.Done)
	is.True(ok)
	is.Equal(int(done.Accepted.Generation), 1)
}

// Guards against a wrong definite answer: the answer to a swap is lost, and so many changes
// follow that the head no longer lists the submission.
func TestLostSwapAnswerBeyondHistoryIsUnknown(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s, err := config.NewSubmission(content(1), "ana", "first", config.AnyGeneration, 0)
	is.NoErr(err)
	s.HeadRead(now, config.Head{}, 0)
	s.SectionsStored()
	s.HeadRead(now, config.Head{}, 0)
	s.SwapLost()
	later := config.Head{Accepted: config.Accepted{Generation: 50, SubmissionID: "later"}}
	for g := 49; g > 49-config.MaxPast; g-- {
		later.Past = append(later.Past, config.Accepted{Generation: 1, SubmissionID: "other"})
		later.Past[len(later.Past)-1].Generation += later.Generation - 2
	}
	s.HeadRead(now, later, 50)
	failed, ok := s.Step().(*config.Failed)
	is.True(ok)
	var unknown *config.OutcomeUnknownError
	is.True(errors.As(failed.Err, &unknown))
}

// Guards against a daemon of an older program version that drops its configuration, or
// fetches for ever, when it gets a manifest format that it can't read.
func TestUnreadableConfigurationKeepsPreviousInForce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := config.NewFollower()
	sections, err := manifest.Split(content(3))
	is.NoErr(err)
	data := map[manifest.Hash][]byte{}
	for _, s := range sections {
		data[s.Hash] = s.Data
	}
	is.Equal(len(f.Adopt(now, config.Accepted{Generation: 1, Sections: manifest.Hashes(sections)}, data)), 1)
	newer := []byte(`{"format":"geraniumstack/v9"}`)
	head := config.Accepted{Generation: 2, Sections: []manifest.Hash{manifest.HashOf(newer)}}
	f.Learn(now, head, config.StoreSource)
	effects := f.Supply(now, map[manifest.Hash][]byte{head.Sections[0]: newer})
	rejected, ok := effects[0].(*config.Reject)
	is.True(ok)
	var unsupported *manifest.UnsupportedFormatError
	is.True(errors.As(rejected.Err, &unsupported))
	inForce, _ := f.InForce()
	is.Equal(int(inForce.Generation), 1)
	is.Equal(len(f.Learn(now, head, config.StoreSource)), 0)
	is.Equal(len(f.Sections(manifest.Hashes(sections))), len(sections)) // still served to peers
}

// monotonicModel is the model of a generation that never decreases, as read from one daemon.
func monotonicModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return int64(0) },
		Step: func(state, _, output any) (bool, any) {
			return output.(int64) >= state.(int64), output
		},
	}
}

// Guards against a daemon that returns to old credentials and limits when a peer that was
// paused announces an earlier generation. The first check expects that the generations read
// from the daemon never decrease. The second one makes the follower forget its generation before
// each announcement, so that it accepts the earlier one, and expects that the same check fails.
func TestDelayedHeadDoesNotRevert(t *testing.T) {
	is := is.New(t)
	is.True(porcupine.CheckOperations(monotonicModel(), readsAroundDelayedHead(t, func(*config.Follower) {})))
	is.True(!porcupine.CheckOperations(monotonicModel(), readsAroundDelayedHead(t, (*config.Follower).ResetInForceGeneration)))
}

func readsAroundDelayedHead(t *testing.T, corrupt func(*config.Follower)) []porcupine.Operation {
	t.Helper()
	f := config.NewFollower()
	var reads []porcupine.Operation
	for i, g := range []int{1, 2, 1} {
		sections, err := manifest.Split(content(g))
		if err != nil {
			t.Fatal(err)
		}
		data := map[manifest.Hash][]byte{}
		for _, s := range sections {
			data[s.Hash] = s.Data
		}
		now := time.Unix(int64(1000+10*i), 0)
		head := config.Accepted{Generation: ident.Generation(g), Sections: manifest.Hashes(sections)}
		corrupt(f)
		f.Learn(now, head, config.StoreSource)
		f.Supply(now, data)
		inForce, _ := f.InForce()
		reads = append(reads, porcupine.Operation{
			Call: now.UnixNano(), Return: now.UnixNano() + 1, Output: int64(inForce.Generation),
		})
	}
	return reads
}
