package polling

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/state/ident"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func runnerIDs(n int) []ident.RunnerID {
	ids := make([]ident.RunnerID, n)
	for i := range ids {
		ids[i] = ident.RunnerID('a' + rune(i))
	}
	return ids
}

// runReads makes the planner's reads for the given time in steps of 10 ms. size returns the
// result of each read. It returns the total bytes and the number of reads per target.
func runReads(p *Planner, span time.Duration, size func(Read) Result) (bytes int, reads map[Target]int) {
	reads = map[Target]int{}
	for at := time.Duration(0); at < span; at += 10 * time.Millisecond {
		now := epoch.Add(at)
		for read, _, ok := p.Next(now); ok; read, _, ok = p.Next(now) {
			result := size(read)
			bytes += result.LoadBytes + result.EventBytes
			reads[read.Target]++
			p.HandleResult(now, read, result)
		}
	}
	return bytes, reads
}

// Guards against reads that take bandwidth from heartbeats and callers when a daemon gets more
// services and runners: only the budget may limit the reads.
func TestReadsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.Float64Range(1000, 100_000).Draw(t, "budget")
		p := New(Default())
		p.SetBudget(epoch, budget)
		for i := range rapid.IntRange(1, 4).Draw(t, "services") {
			p.SetTargets(string(rune('a'+i)), runnerIDs(rapid.IntRange(1, 64).Draw(t, "runners")))
		}
		largest := 0
		bytes, _ := runReads(p, time.Minute, func(r Read) Result {
			result := Result{LoadBytes: rapid.IntRange(300, 1500).Draw(t, "load")}
			if r.Events {
				result.EventBytes = rapid.IntRange(400, 30_000).Draw(t, "events")
				result.Gap = rapid.Bool().Draw(t, "gap")
			}
			largest = max(largest, result.LoadBytes+result.EventBytes)
			return result
		})
		// The limit is a minute of budget, the saved credit of loads and of events, and one
		// read beyond the credit of each.
		if limit := budget*62 + 2*float64(largest) + 2*1500; float64(bytes) > limit {
			t.Fatalf("%d bytes read in a minute with a budget of %.0f per second", bytes, budget)
		}
	})
}

func TestUsedRunnersAreReadMoreOften(t *testing.T) {
	is := is.New(t)
	p := New(Default())
	p.SetBudget(epoch, 3000)
	p.SetTargets("llm", runnerIDs(64))
	busy := Target{"llm", "a"}
	_, reads := runReads(p, time.Minute, func(r Read) Result {
		for range 8 {
			p.RecordUse(busy)
		}
		return Result{LoadBytes: 600}
	})
	is.Equal(len(reads), 64)
	for target, n := range reads {
		is.True(target == busy || n < reads[busy])
	}
}

// Cache events arrive faster than the budget allows to read. Without a delay each page would
// follow a gap, and the prefix index would drop what it knows of the runner again and again.
func TestEventsAreDelayedAfterGaps(t *testing.T) {
	is := is.New(t)
	p := New(Default())
	p.SetBudget(epoch, 256_000)
	p.SetTargets("llm", runnerIDs(1))
	pages := 0
	runReads(p, time.Hour, func(r Read) Result {
		if r.Events {
			pages++
		}
		return Result{LoadBytes: 600, Gap: r.Events}
	})
	is.Equal(pages, 3) // at 0, 10 and 30 minutes
}

// Without callers, reading all runners twice a second would cost a daemon more than its
// heartbeats. The first request must restore the short interval.
func TestReadsSlowDownWhileIdle(t *testing.T) {
	is := is.New(t)
	p := New(Default())
	p.SetBudget(epoch, 1e6)
	p.SetTargets("llm", runnerIDs(16))
	count := func(from, to time.Duration) int {
		n := 0
		for at := from; at < to; at += 10 * time.Millisecond {
			for read, _, ok := p.Next(epoch.Add(at)); ok; read, _, ok = p.Next(epoch.Add(at)) {
				n++
				p.HandleResult(epoch.Add(at), read, Result{LoadBytes: 500})
			}
		}
		return n
	}
	busy := count(0, 4*time.Second)
	count(4*time.Second, 10*time.Second)
	idle := count(10*time.Second, 14*time.Second)
	p.RecordUse(Target{"llm", "a"})
	again := count(14*time.Second, 18*time.Second)
	is.True(idle*3 < busy)
	is.True(again > idle*2)
}
