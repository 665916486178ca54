package enginemodel_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/bench/enginemodel"
	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
)

// finish runs the engine until it is idle and returns the events by ID.
func finish(e *enginemodel.Engine) map[int][]enginemodel.Event {
	events := map[int][]enginemodel.Event{}
	for {
		at, busy := e.Next()
		if !busy {
			return events
		}
		for _, ev := range e.Step(at) {
			events[ev.ID] = append(events[ev.ID], ev)
		}
	}
}

func TestSharedPrefixIsComputedOnce(t *testing.T) {
	is := is.New(t)
	e := enginemodel.New(enginemodel.Default())
	s := enginemodel.Sequence{ID: 1, Prompt: 2000, Output: 10, Shared: 7, SharedTokens: 1500, Own: 100}
	e.Submit(0, s)
	is.Equal(finish(e)[1][0].Computed, 2000)
	s.ID, s.Own = 2, 101
	e.Submit(0, s)
	is.Equal(finish(e)[2][0].Computed, 500)
	s.ID, s.Own, s.Imported, s.Emitted = 3, 102, 2004, 4
	e.Submit(0, s)
	is.Equal(finish(e)[3][0].Computed, 0)
}

func TestUrgentSequencesGoFirst(t *testing.T) {
	is := is.New(t)
	cfg := enginemodel.Default()
	cfg.Slots = 1
	e := enginemodel.New(cfg)
	e.Submit(0, enginemodel.Sequence{ID: 1, Prompt: 100, Output: 5})
	e.Submit(0, enginemodel.Sequence{ID: 2, Prompt: 100, Output: 5})
	e.Submit(0, enginemodel.Sequence{ID: 3, Prompt: 100, Output: 5, Priority: 1})
	var order []int
	for at, busy := e.Next(); busy; at, busy = e.Next() {
		for _, ev := range e.Step(at) {
			if ev.Kind == enginemodel.Done {
				order = append(order, ev.ID)
			}
		}
	}
	is.Equal(order, []int{1, 3, 2})
}

// Every sequence emits each token once and ends, whatever the mix, and nothing
// stays reserved.
func TestEverySequenceEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := enginemodel.Default()
		cfg.Slots = rapid.IntRange(1, 4).Draw(t, "slots")
		cfg.KVTokens = rapid.IntRange(500, 3000).Draw(t, "room")
		e := enginemodel.New(cfg)
		var all []enginemodel.Sequence
		for i := range rapid.IntRange(1, 12).Draw(t, "sequences") {
			s := enginemodel.Sequence{
				ID:           i,
				Priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
				Prompt:       rapid.IntRange(1, 400).Draw(t, "prompt"),
				Output:       rapid.IntRange(1, 60).Draw(t, "output"),
				Shared:       enginemodel.Key(rapid.IntRange(1, 3).Draw(t, "shared")),
				SharedTokens: 100, Own: enginemodel.Key(100 + i),
			}
			s.Emitted = rapid.IntRange(0, s.Output-1).Draw(t, "emitted")
			all = append(all, s)
			e.Submit(0, s)
		}
		events := finish(e)
		for _, s := range all {
			next := s.Emitted
			for _, ev := range events[s.ID] {
				if ev.Kind == enginemodel.Token {
					next++
				}
				if ev.Emitted != next {
					t.Fatalf("sequence %d: event %+v at %d", s.ID, ev, next)
				}
			}
			if next != s.Output {
				t.Fatalf("sequence %d ended at %d of %d", s.ID, next, s.Output)
			}
		}
		if l := e.Load(); l.FreeTokens != cfg.KVTokens || l.Running+l.Waiting+l.QueuedTokens != 0 {
			t.Fatalf("idle engine reports %+v", l)
		}
	})
}

func BenchmarkMinute(b *testing.B) {
	for b.Loop() {
		e := enginemodel.New(enginemodel.Default())
		for i := range 200 {
			e.Submit(0, enginemodel.Sequence{ID: i, Prompt: 1500, Output: 200, Shared: 1, SharedTokens: 1000, Own: enginemodel.Key(i + 10)})
		}
		for at, busy := e.Next(); busy && at < time.Minute; at, busy = e.Next() {
			e.Step(at)
		}
	}
}
