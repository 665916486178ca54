package routing

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/view"
	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/load"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/prefix"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func runners(n int) []view.Runner {
	list := make([]view.Runner, n)
	for i := range list {
		list[i] = view.Runner{
			ID:            ident.RunnerID(fmt.Sprintf("r%05d", i)),
			Address:       fmt.Sprintf("10.0.0.%d:80", i),
			FailureDomain: ident.FailureDomain(fmt.Sprintf("d%d", i%4)),
			VMClass:       "spot",
			Reclaimable:   true,
			PricePerHour:  1,
			State:         view.Live,
		}
	}
	return list
}

func report(at time.Time, queued int) load.Report {
	return load.Report{
		AsOf:          at,
		QueuedTokens:  queued,
		KVBlocksTotal: 10000,
		KVBlocksFree:  10000,
		PrefillRate:   10000,
		DecodeRate:    50,
		Models:        []load.Model{{Name: "m", Version: "1", Adapters: []string{"a"}}},
	}
}

func newTable(n int) *Table {
	cfg := Default("g1", "d0")
	cfg.Samples = 0
	cfg.LoadBound = 0
	t := New(cfg)
	t.SetModels([]manifest.Model{{Name: "m", Version: "1"}})
	t.SetRunners(start, runners(n))
	for _, r := range runners(n) {
		t.Report(start, r.ID, report(start, 0))
	}
	return t
}

func TestEstimateCorrectsALaggingReport(t *testing.T) {
	is := is.New(t)
	tb := newTable(1)
	r := &Request{Model: "m", PromptTokens: 5000, OutputTokens: 10}
	c, err := tb.Pick(start, r)
	is.NoErr(err)
	is.Equal(c.Estimate, 500*time.Millisecond)
	k := tb.Dispatch(start.Add(time.Second), c, r)
	// This report was made before the dispatch and doesn't include it.
	tb.Report(start.Add(2*time.Second), "r00000", report(start.Add(500*time.Millisecond), 1000))
	c, _ = tb.Pick(start, r)
	is.Equal(c.Estimate, 1100*time.Millisecond)
	// This report was made after the dispatch and includes it in the queued tokens.
	tb.Report(start.Add(3*time.Second), "r00000", report(start.Add(2*time.Second), 6000))
	c, _ = tb.Pick(start, r)
	is.Equal(c.Estimate, 1100*time.Millisecond)
	tb.FirstToken(start.Add(4*time.Second), &k)
	c, _ = tb.Pick(start, r)
	is.Equal(c.Estimate, 600*time.Millisecond)
	tb.Finished(start.Add(5*time.Second), &k)
	tb.Finished(start.Add(5*time.Second), &k)
	is.Equal(tb.scores[0].inFlight, 0)
	is.Equal(tb.slots[0].pendingKV, 0.0)
}

func TestCachedPrefixIsPreferredUntilQueueIsLonger(t *testing.T) {
	is := is.New(t)
	tb := newTable(4)
	chain := make([]prefix.Hash, 100)
	for i := range chain {
		chain[i] = prefix.Hash(i + 1)
	}
	r := &Request{Model: "m", Adapter: "a", Prefix: chain, PromptTokens: 1600, OutputTokens: 10}
	first, err := tb.Pick(start, r)
	is.NoErr(err)
	is.Equal(first.Runner, ident.RunnerID("r00000")) // the gateway's failure domain wins among equals
	k := tb.Dispatch(start, first, r)
	tb.FirstToken(start, &k)
	again, _ := tb.Pick(start, r)
	is.Equal(again.Runner, first.Runner)
	is.Equal(again.CachedBlocks, 100)
	tb.Report(start, first.Runner, report(start.Add(time.Second), 3000))
	moved, _ := tb.Pick(start, r)
	is.True(moved.Runner != first.Runner)
}

func TestPlacementByVersionAndAdapter(t *testing.T) {
	is := is.New(t)
	tb := newTable(2)
	old := report(start.Add(time.Second), 0)
	old.Models = []load.Model{{Name: "m", Version: "0"}}
	tb.Report(start, "r00000", old)
	for range 20 {
		c, err := tb.Pick(start, &Request{Model: "m", PromptTokens: 1})
		is.NoErr(err)
		is.Equal(c.Runner, ident.RunnerID("r00001"))
	}
	c, err := tb.Pick(start, &Request{Model: "m", PromptTokens: 1, Exclude: tb.Exclude("r00001")})
	is.NoErr(err)
	is.Equal(c.Runner, ident.RunnerID("r00000")) // an old version is better than none
	_, err = tb.Pick(start, &Request{Model: "m", Adapter: "b", PromptTokens: 1})
	var none *NoRunnerError
	is.True(errors.As(err, &none))
	is.Equal(none.Cause, NotLoaded)
}

// Guards against a long request that is cut off by a reclaim because it was sent to a
// failure domain with many recent reclaims whose queue was slightly shorter.
func TestLongRequestAvoidsReclaims(t *testing.T) {
	is := is.New(t)
	tb := newTable(8)
	list := runners(8)
	list[0].State = view.Leaving
	tb.SetRunners(start.Add(time.Minute), list)
	short := &Request{Model: "m", PromptTokens: 100, OutputTokens: 10}
	c, err := tb.Pick(start, short)
	is.NoErr(err)
	is.Equal(c.Runner, ident.RunnerID("r00004")) // r00004 is in d0, the gateway's failure domain
	long := &Request{Model: "m", PromptTokens: 100, OutputTokens: 3000, Long: true, Slack: time.Second}
	c, err = tb.Pick(start, long)
	is.NoErr(err)
	is.True(c.Runner != "r00004")
	long.Slack = 0
	c, err = tb.Pick(start, long)
	is.NoErr(err)
	is.Equal(c.Runner, ident.RunnerID("r00004")) // without slack only the fastest runner qualifies
}

// Guards against requests that are sent to a VM with a reclaim notice because an
// outdated runner list still shows it as live.
func TestLeavingIsNeverPicked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 70).Draw(t, "runners")
		list := runners(n)
		tb := newTable(n)
		left := map[ident.RunnerID]bool{}
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Second)
			i := rapid.IntRange(0, n-1).Draw(t, "runner")
			id := list[i].ID
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				list[i].State = view.Leaving
				tb.SetRunners(now, list)
				left[id] = true
			case 1:
				r := report(now, 0)
				r.Leaving = true
				_, known := tb.byID[id]
				tb.Report(now, id, r)
				tb.Report(now, id, report(now, 0))
				if known {
					left[id] = true
				}
			case 2:
				tb.SetEjected(id, rapid.Bool().Draw(t, "ejected"))
			case 3:
				tb.SetRunners(now, list)
			}
			long := rapid.Bool().Draw(t, "long")
			c, err := tb.Pick(now, &Request{Model: "m", PromptTokens: 10, OutputTokens: 10, Long: long, Slack: time.Second})
			if err == nil && left[c.Runner] {
				t.Fatalf("picked leaving runner %s", c.Runner)
			}
			if err != nil && !tb.live.Or(tb.suspect).Empty() {
				t.Fatalf("%v although runners are left", err)
			}
		}
	})
}

func TestShareBorrowsIdleBatchSlots(t *testing.T) {
	is := is.New(t)
	busy := Capacity{Runners: 10, BatchSlots: 100, FreeSlots: 20, DecodeRate: 5000}
	places, perSecond := busy.Share(5, 30)
	is.Equal(places, 20.0) // the quarter reserved for urgent requests is not free
	is.Equal(perSecond, 1000.0)
	idle := Capacity{Runners: 10, BatchSlots: 100, FreeSlots: 85, DecodeRate: 5000}
	places, _ = idle.Share(5, 15)
	is.Equal(places, 45.0)
}

// Two daemons serve the same 130 runners. One daemon sends a long prompt to a runner and
// announces it to the other. If the other daemon's table holds only some of the runners,
// it can't send the next request with this prompt there, and the prompt is computed twice.
func TestAssumedPrefixIsFollowedAmongManyRunners(t *testing.T) {
	is := is.New(t)
	const n = 130
	tb := newTable(n)
	for i, r := range runners(n) {
		chain := []prefix.Hash{prefix.Hash(2*i + 1), prefix.Hash(2*i + 2)}
		tb.Assume(r.ID, chain)
		c, err := tb.Pick(start, &Request{
			Model: "m", Prefix: chain, PrefixTokens: []int{8000, 16000}, PromptTokens: 17000, OutputTokens: 100,
		})
		is.NoErr(err)
		is.Equal(c.Runner, r.ID)
	}
}

func TestSubsetIsStableAndSpreadOverFailureDomains(t *testing.T) {
	is := is.New(t)
	all := runners(1000)
	before := Subset("g7", all, 64)
	is.Equal(len(before), 64)
	perDomain := map[ident.FailureDomain]int{}
	for _, r := range before {
		perDomain[r.FailureDomain]++
	}
	is.Equal(len(perDomain), 4)
	is.Equal(perDomain["d0"], 16)
	gone := before[10].ID
	var rest []view.Runner
	for _, r := range all {
		if r.ID != gone {
			rest = append(rest, r)
		}
	}
	kept := map[ident.RunnerID]bool{}
	for _, r := range before {
		kept[r.ID] = true
	}
	changed := 0
	for _, r := range Subset("g7", rest, 64) {
		if !kept[r.ID] {
			changed++
		}
	}
	is.Equal(changed, 1)
}

// Keeping only the first few runners of each failure domain must give the same result as
// sorting the whole list.
func TestSubsetMatchesFullSort(t *testing.T) {
	is := is.New(t)
	all := runners(300)
	for size := 1; size < 300; size += 23 {
		byDomain := map[ident.FailureDomain][]view.Runner{}
		for _, r := range all {
			byDomain[r.FailureDomain] = append(byDomain[r.FailureDomain], r)
		}
		var want []view.Runner
		for _, list := range byDomain {
			slices.SortFunc(list, func(a, b view.Runner) int {
				return cmp.Compare(rendezvousHash("g7", b.ID), rendezvousHash("g7", a.ID))
			})
		}
		for place := 0; len(want) < size; place++ {
			for _, d := range []ident.FailureDomain{"d0", "d1", "d2", "d3"} {
				if len(want) < size && place < len(byDomain[d]) {
					want = append(want, byDomain[d][place])
				}
			}
		}
		is.Equal(Subset("g7", all, size), want)
	}
}

func newFullTable(samples int) (*Table, *Request) {
	tb := newTable(MaxRunners)
	tb.cfg.Samples = samples
	tb.cfg.LoadBound = 2
	chain := make([]prefix.Hash, 3*MaxRunners)
	for i := range chain {
		chain[i] = prefix.Hash(i + 1)
	}
	for i := range MaxRunners {
		tb.index.Assume(i, chain[:i*3])
	}
	return tb, &Request{Model: "m", Adapter: "a", Prefix: chain, PromptTokens: 4000, OutputTokens: 100}
}

func TestPickAllocatesNothing(t *testing.T) {
	is := is.New(t)
	for _, long := range []bool{false, true} {
		tb, r := newFullTable(2)
		r.Long, r.Slack = long, time.Second
		is.Equal(testing.AllocsPerRun(1000, func() {
			c, _ := tb.Pick(start, r)
			k := tb.Dispatch(start, c, r)
			tb.Finished(start, &k)
		}), 0.0)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, c := range []struct {
		name    string
		samples int
		long    bool
	}{{"best_of_2", 2, false}, {"best_of_all", 0, false}, {"long_of_all", 2, true}} {
		b.Run(c.name, func(b *testing.B) {
			tb, r := newFullTable(c.samples)
			r.Long, r.Slack = c.long, time.Second
			b.ReportAllocs()
			for b.Loop() {
				_, _ = tb.Pick(start, r)
			}
		})
	}
}

// BenchmarkSubset measures the subset of 10,000 runners, the scale planned for in two years.
func BenchmarkSubset(b *testing.B) {
	all := runners(10000)
	for b.Loop() {
		Subset("g1", all, MaxRunners)
	}
}

// BenchmarkSetRunners measures the whole cost of a change of one runner for a table.
func BenchmarkSetRunners(b *testing.B) {
	all := runners(10000)
	tb := newTable(0)
	for n := 0; b.Loop(); n++ {
		r := &all[n%len(all)]
		r.State = view.Leaving
		tb.SetRunners(start, all)
		r.State = view.Live
	}
}

// Two gateways route prompts with the same shared prefix before they have exchanged
// placements. Both must pick the same runner, or the prefix is computed twice. Once a
// runner is known to hold the prefix, a newly started runner with a higher hash must not
// be assumed to hold it.
func TestSharedPrefixHasOneHomeUntilCached(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	runners := func(n int) []view.Runner {
		var list []view.Runner
		for i := range n {
			id := fmt.Sprintf("r%d", i)
			list = append(list, view.Runner{ID: ident.RunnerID(id), Address: id, FailureDomain: "a", State: view.Live})
		}
		return list
	}
	table := func(seed uint64, n int) *Table {
		cfg := Default("g", "a")
		cfg.Samples, cfg.LoadBound, cfg.Seed = 0, 0, seed
		tab := New(cfg)
		tab.SetRunners(now, runners(n))
		return tab
	}
	moved := 0
	for part := uint64(1); part <= 40; part++ {
		r := &Request{
			Prefix: []prefix.Hash{part, part + 1000}, PrefixTokens: []int{13_000, 14_000}, PromptTokens: 14_000, OutputTokens: 10,
			Shared: part, SharedTokens: 13_000,
		}
		first, second := table(part, 4), table(part+100, 4)
		a, err := first.Pick(now, r)
		is.NoErr(err)
		b, err := second.Pick(now, r)
		is.NoErr(err)
		is.Equal(a.Runner, b.Runner)
		k := first.Dispatch(now, a, r)
		first.Finished(now, &k)
		first.SetRunners(now, runners(8))
		next := *r
		next.Prefix = []prefix.Hash{part, part + 2000} // another prompt with the same shared prefix
		c, err := first.Pick(now, &next)
		is.NoErr(err)
		is.Equal(c.Runner, a.Runner)
		if d, _ := table(1, 8).Pick(now, r); d.Runner != a.Runner {
			moved++
		}
	}
	is.True(moved > 0) // for some prefixes the hash points to another of the eight runners
}

// Covers a prompt that is sent to a runner without its shared prefix. If another runner,
// live or leaving, is known to hold the prefix, the choice names that runner as the source
// for a copy, and only the rest of the prompt counts as uncached.
func TestSharedPrefixIsFetchedFromHolder(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	list := []view.Runner{
		{ID: "a", Address: "a:1", FailureDomain: "x", State: view.Live},
		{ID: "b", Address: "b:1", FailureDomain: "x", State: view.Live},
	}
	cfg := Default("g", "x")
	cfg.Samples, cfg.LoadBound = 0, 0
	tab := New(cfg)
	tab.SetRunners(now, list)
	r := &Request{Prefix: []prefix.Hash{7, 8}, PrefixTokens: []int{13_000, 14_000}, PromptTokens: 14_000, OutputTokens: 10,
		Shared: 7, SharedTokens: 13_000, Fetchable: true}
	first, err := tab.Pick(now, r)
	is.NoErr(err)
	is.Equal(first.FetchFrom, "") // no runner has cached it yet
	k := tab.Dispatch(now, first, r)
	tab.Finished(now, &k)
	again, err := tab.Pick(now, r)
	is.NoErr(err)
	is.Equal(again.Runner, first.Runner)
	is.Equal(again.FetchFrom, "") // the chosen runner has cached it already
	next := *r
	next.Prefix = []prefix.Hash{7, 9}
	next.Exclude = tab.Exclude(first.Runner)
	other, err := tab.Pick(now, &next)
	is.NoErr(err)
	is.Equal(other.FetchFrom, first.Address)
	is.Equal(other.Uncached, 1000)
	for i := range list {
		if list[i].ID == first.Runner {
			list[i].State = view.Leaving
		}
	}
	tab.SetRunners(now, list)
	next.Exclude = prefix.Set{}
	other, err = tab.Pick(now, &next)
	is.NoErr(err)
	is.Equal(other.FetchFrom, first.Address)
	next.Fetchable = false
	other, err = tab.Pick(now, &next)
	is.NoErr(err)
	is.Equal(other.FetchFrom, "")
	is.Equal(other.Uncached, 14_000) // no live runner has cached it
	tab.TrustHomes(true)
	other, err = tab.Pick(now, &next)
	is.NoErr(err)
	is.Equal(other.Uncached, 1000) // its home is assumed to hold it
}

// The home of a shared prefix is the runner that all gateways choose for it by hash while no runner
// is known to have it cached. In a new fleet the caches of all runners are empty, so each shared
// prefix has to be computed once. When Pick assumed that the home already had the prefix cached, the
// prefill of the shared prefixes, the largest part of the work in the fleet's first minute, was not
// counted: too few runners were started, and prompts were queued behind uncounted ones. The
// assumption is only right when the runners hold prefixes that the daemons don't know of, as after a
// restart of the daemons.
func TestUncachedPromptsCountAsWork(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	cfg := Default("g", "x")
	cfg.Samples, cfg.LoadBound = 0, 0
	for _, trusted := range []bool{false, true} {
		tab := New(cfg)
		tab.SetRunners(now, []view.Runner{{ID: "a", FailureDomain: "x", State: view.Live}, {ID: "b", FailureDomain: "x", State: view.Live}})
		tab.TrustHomes(trusted)
		work := 0
		for i := range 20 {
			r := &Request{Prefix: []prefix.Hash{prefix.Hash(100 + i), prefix.Hash(200 + i)}, PrefixTokens: []int{5000, 6000},
				PromptTokens: 6000, OutputTokens: 10, Shared: prefix.Hash(100 + i), SharedTokens: 5000}
			c, err := tab.Pick(now, r)
			is.NoErr(err)
			tab.Dispatch(now, c, r)
			work += c.Uncached
		}
		queued := 0
		for _, l := range tab.OwnLoads(nil) {
			queued += l.Prefill
		}
		is.Equal(queued, work)
		if trusted {
			is.True(work < 20*6000/2)
		} else {
			is.Equal(work, 20*6000)
		}
	}
}

// Guards against a risk of pauses that doesn't move a choice, or that makes a request look too late to serve.
func TestPauseRiskMovesChoicesOnly(t *testing.T) {
	is := is.New(t)
	tb := newTable(2)
	tb.Report(start.Add(time.Second), "r00000", report(start.Add(time.Second), 1000))
	r := &Request{Model: "m", PromptTokens: 5000, OutputTokens: 10, PauseWeight: 1}
	tb.SetPauseRisks(func(id ident.RunnerID) float64 { return map[ident.RunnerID]float64{"r00001": 0.2}[id] })
	c, err := tb.Pick(start, r)
	is.NoErr(err)
	is.Equal(c.Runner, ident.RunnerID("r00000"))
	is.Equal(c.Estimate, 600*time.Millisecond)
	list, _ := tb.Candidates(r, 2)
	is.Equal(list[0].Runner, c.Runner)
	r.PauseWeight = 0 // a route without a longest pause
	c, _ = tb.Pick(start, r)
	is.Equal(c.Runner, ident.RunnerID("r00001"))
	is.Equal(c.Estimate, 504*time.Millisecond) // in another failure domain
}
