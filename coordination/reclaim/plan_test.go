package reclaim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/reclaim"
	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
	"geraniumstack.org/geraniumstack/state/ident"
)

func drawBatch(t *rapid.T) reclaim.Batch {
	b := reclaim.Batch{
		SafetyMargin: time.Duration(rapid.IntRange(0, 5).Draw(t, "margin")) * time.Second,
		Link: reclaim.Link{
			BytesPerSecond: float64(rapid.IntRange(0, 1000).Draw(t, "rate")),
			Setup:          time.Duration(rapid.IntRange(0, 500).Draw(t, "setup")) * time.Millisecond,
			BusyFor:        time.Duration(rapid.IntRange(0, 5).Draw(t, "busy")) * time.Second,
		},
	}
	runners := rapid.IntRange(1, 6).Draw(t, "runners")
	for i := range runners {
		id := ident.RunnerID(fmt.Sprintf("s%d", i))
		b.Sources = append(b.Sources, reclaim.Source{
			Runner: id, TimeLeft: time.Duration(rapid.IntRange(0, 60).Draw(t, "left")) * time.Second,
			DecodeRate: float64(rapid.IntRange(0, 50).Draw(t, "decode")),
		})
		// After a second notice, a runner that was a target is itself leaving.
		if rapid.Bool().Draw(t, "also target") {
			b.Targets = append(b.Targets, reclaim.Target{Runner: id, Slots: 9, FreeTokens: 1 << 20, PrefillRate: 100})
		}
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "targets") {
		b.Targets = append(b.Targets, reclaim.Target{
			Runner:      ident.RunnerID(fmt.Sprintf("t%d", i)),
			Slots:       rapid.IntRange(0, 4).Draw(t, "slots"),
			FreeTokens:  rapid.IntRange(0, 4000).Draw(t, "free"),
			PrefillRate: float64(rapid.IntRange(0, 400).Draw(t, "prefill")),
		})
	}
	for i := range rapid.IntRange(0, 20).Draw(t, "streams") {
		b.Streams = append(b.Streams, reclaim.Stream{
			Request:    ident.RequestID(fmt.Sprintf("r%02d", i)),
			Runner:     b.Sources[rapid.IntRange(0, runners-1).Draw(t, "source")].Runner,
			Urgent:     rapid.Bool().Draw(t, "urgent"),
			Context:    rapid.IntRange(1, 1000).Draw(t, "context"),
			Remaining:  rapid.IntRange(0, 1000).Draw(t, "remaining"),
			CacheBytes: int64(rapid.IntRange(1, 5000).Draw(t, "bytes")),
			Pinned:     rapid.Bool().Draw(t, "pinned"),
		})
	}
	return b
}

// Checks the constraints of a plan: every stream gets exactly one decision, no stream goes to a
// leaving runner, no work starts after its deadline, the link carries one transfer at a time, no
// target is overfilled, and no pinned stream is exported.
func TestPlanRespectsConstraints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := drawBatch(t)
		sources := map[ident.RunnerID]reclaim.Source{}
		for _, s := range b.Sources {
			sources[s.Runner] = s
		}
		streams := map[ident.RequestID]reclaim.Stream{}
		for _, s := range b.Streams {
			streams[s.Request] = s
		}
		free := map[ident.RunnerID]int{}
		for _, x := range b.Targets {
			free[x.Runner] = x.FreeTokens
		}
		var moves []reclaim.Decision
		decided := map[ident.RequestID]bool{}
		for _, d := range reclaim.Plan(b) {
			s := streams[d.Request]
			if decided[d.Request] {
				t.Fatalf("two decisions for %s", d.Request)
			}
			decided[d.Request] = true
			if _, leaving := sources[d.Target]; leaving {
				t.Fatalf("%s is sent to leaving runner %s", d.Request, d.Target)
			}
			limit := sources[s.Runner].TimeLeft - b.SafetyMargin
			if (d.Kind == reclaim.Move && d.End > limit) || d.Start > max(limit, 0) {
				t.Fatalf("%+v misses the deadline %v", d, limit)
			}
			if d.Kind == reclaim.Move {
				moves = append(moves, d)
			}
			if d.Kind == reclaim.Move && s.Pinned {
				t.Fatalf("pinned stream %s is moved", d.Request)
			}
			if d.Target != "" {
				free[d.Target] -= s.Context + s.Remaining
			}
		}
		if len(decided) != len(b.Streams) {
			t.Fatalf("decisions for %d of %d streams", len(decided), len(b.Streams))
		}
		checkLink(t, b.Link, moves)
		for r, left := range free {
			if left < 0 {
				t.Fatalf("target %s is overfilled by %d tokens", r, -left)
			}
		}
	})
}

func checkLink(t *rapid.T, link reclaim.Link, moves []reclaim.Decision) {
	for i, a := range moves {
		if a.Start < link.BusyFor {
			t.Fatalf("%+v starts while the link is busy", a)
		}
		for _, b := range moves[i+1:] {
			if a.Start < b.End && b.Start < a.End {
				t.Fatalf("transfers %+v and %+v overlap", a, b)
			}
		}
	}
}

// A reclaim affects a runner with a long review and a chat, and only one KV cache can be
// transferred in time. The transfer must go to the review, whose context costs most to compute
// again; the chat is resumed at once.
func TestLinkIsUsedForMostTokensSaved(t *testing.T) {
	is := is.New(t)
	plan := reclaim.Plan(reclaim.Batch{
		SafetyMargin: time.Second,
		Sources:      []reclaim.Source{{Runner: "s", TimeLeft: 4 * time.Second, DecodeRate: 10}},
		Targets:      []reclaim.Target{{Runner: "t", Slots: 4, FreeTokens: 1 << 20, PrefillRate: 1000}},
		Link:         reclaim.Link{BytesPerSecond: 100, Setup: time.Second},
		Streams: []reclaim.Stream{
			{Request: "chat", Runner: "s", Urgent: true, Context: 100, Remaining: 500, CacheBytes: 2},
			{Request: "review", Runner: "s", Context: 9000, Remaining: 500, CacheBytes: 180},
			{Request: "short", Runner: "s", Urgent: true, Context: 100, Remaining: 30, CacheBytes: 2},
		},
	})
	is.Equal(plan[0].Kind, reclaim.Resume)
	is.Equal(plan[0].Start, time.Duration(0))
	is.Equal(plan[1].Kind, reclaim.Move)
	is.Equal(plan[1].Recomputed, 0)
	is.Equal(plan[2].Kind, reclaim.Finish)
}

// Half of the fleet is reclaimed, and fewer slots than streams remain. Streams with a caller who
// reads along get the slots, and the bulletin waits.
func TestUrgentStreamsGetRemainingCapacity(t *testing.T) {
	is := is.New(t)
	plan := reclaim.Plan(reclaim.Batch{
		Sources: []reclaim.Source{{Runner: "s", TimeLeft: 30 * time.Second, DecodeRate: 1}},
		Targets: []reclaim.Target{{Runner: "t", Slots: 1, FreeTokens: 500, PrefillRate: 1000}},
		Link:    reclaim.Link{BytesPerSecond: 100},
		Streams: []reclaim.Stream{
			{Request: "bulletin", Runner: "s", Context: 400, Remaining: 100, CacheBytes: 10},
			{Request: "chat", Runner: "s", Urgent: true, Context: 50, Remaining: 400, CacheBytes: 10},
		},
	})
	is.Equal(plan[0].Kind, reclaim.Wait)
	is.Equal(plan[1].Kind, reclaim.Move)
}

func BenchmarkPlan(b *testing.B) {
	batch := reclaim.Batch{SafetyMargin: time.Second, Link: reclaim.Link{BytesPerSecond: 1e9, Setup: time.Millisecond}}
	for i := range 16 {
		batch.Sources = append(batch.Sources, reclaim.Source{Runner: ident.RunnerID(fmt.Sprintf("s%d", i)), TimeLeft: 30 * time.Second, DecodeRate: 20})
	}
	for i := range 48 {
		batch.Targets = append(batch.Targets, reclaim.Target{Runner: ident.RunnerID(fmt.Sprintf("t%d", i)), Slots: 16, FreeTokens: 100_000, PrefillRate: 7000})
	}
	for i := range 500 {
		batch.Streams = append(batch.Streams, reclaim.Stream{
			Request: ident.RequestID(fmt.Sprintf("r%d", i)), Runner: batch.Sources[i%16].Runner, Urgent: i%3 == 0,
			Context: 500 + 17*i, Remaining: 2000, CacheBytes: int64(500+17*i) << 17,
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		reclaim.Plan(batch)
	}
}
