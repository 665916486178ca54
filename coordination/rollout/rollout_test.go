package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/rollout"
	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// fleet simulates runners that execute orders. A load takes ten seconds.
type fleet struct {
	loaded  map[ident.RunnerID][]rollout.Loaded
	loading map[rollout.Order]time.Duration
	ids     []ident.RunnerID
}

func newFleet(n int, version string) *fleet {
	f := &fleet{loaded: map[ident.RunnerID][]rollout.Loaded{}, loading: map[rollout.Order]time.Duration{}}
	for i := range n {
		id := ident.RunnerID(fmt.Sprintf("r%02d", i))
		f.ids = append(f.ids, id)
		if version != "" {
			f.loaded[id] = []rollout.Loaded{{Model: "m", Version: version}}
		}
	}
	return f
}

func (f *fleet) report() []rollout.Runner {
	var out []rollout.Runner
	for _, id := range f.ids {
		r := rollout.Runner{ID: id, Loaded: append([]rollout.Loaded{}, f.loaded[id]...)}
		for o := range f.loading {
			if o.Runner == id {
				r.Loaded = append(r.Loaded, rollout.Loaded{Model: o.Model, Version: o.Version, Loading: true})
			}
		}
		out = append(out, r)
	}
	return out
}

func (f *fleet) execute(now time.Duration, o rollout.Order) {
	if o.Kind == rollout.Load {
		f.loading[o] = now + 10*time.Second
		return
	}
	var kept []rollout.Loaded
	for _, l := range f.loaded[o.Runner] {
		if l.Model != o.Model || l.Version != o.Version {
			kept = append(kept, l)
		}
	}
	f.loaded[o.Runner] = kept
}

func (f *fleet) advance(now time.Duration) {
	for o, done := range f.loading {
		if now >= done {
			delete(f.loading, o)
			f.loaded[o.Runner] = append(f.loaded[o.Runner], rollout.Loaded{Model: o.Model, Version: o.Version})
		}
	}
}

func (f *fleet) serving(version string) int {
	n := 0
	for _, list := range f.loaded {
		for _, l := range list {
			if l.Version == version {
				n++
			}
		}
	}
	return n
}

// Guards against a loss of capacity when an operator changes a model's version: at most a quarter
// of the runners may load at once, and each must keep the old version until it serves the new one.
func TestRollingUpdateKeepsCapacity(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(rt, "runners")
		f := newFleet(n, "1")
		p := rollout.New(rollout.DefaultLimits())
		models := []manifest.Model{{Name: "m", Version: "2"}}
		for now := time.Second; now < 30*time.Minute; now += 5 * time.Second {
			f.advance(now)
			for _, o := range p.Plan(now, models, f.report()) {
				if rapid.IntRange(0, 9).Draw(rt, "fails") == 0 {
					p.HandleFailure(now, o)
					continue
				}
				f.execute(now, o)
			}
			if len(f.loading) > max(1, n/4) {
				rt.Fatalf("%d of %d runners load at once", len(f.loading), n)
			}
			for _, id := range f.ids {
				if len(f.loaded[id]) == 0 {
					rt.Fatalf("runner %s serves nothing", id)
				}
			}
		}
		if f.serving("2") != n || f.serving("1") != 0 {
			rt.Fatalf("at the end %d serve the new version, %d the old", f.serving("2"), f.serving("1"))
		}
	})
}

func TestCanaryShareIsStable(t *testing.T) {
	is := is.New(t)
	m := &manifest.Model{Name: "m", Version: "1", Canary: &manifest.Canary{Version: "2", Share: 0.25}}
	f := newFleet(12, "")
	chosen := map[ident.RunnerID]bool{}
	for id, version := range rollout.Targets(m, f.ids) {
		if version == "2" {
			chosen[id] = true
		}
	}
	is.Equal(len(chosen), 3)
	moved := 0
	for id, version := range rollout.Targets(m, f.ids[1:]) {
		if (version == "2") != chosen[id] {
			moved++
		}
	}
	is.True(moved <= 1) // removing one runner changes at most one canary
}

// Guards against frequent retries of a version that no runner can load. The weight store is
// shared, so the delays must grow.
func TestFailedLoadBacksOff(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, "1")
	p := rollout.New(rollout.DefaultLimits())
	models := []manifest.Model{{Name: "m", Version: "broken"}}
	tries := 0
	for now := time.Second; now < time.Hour; now += time.Second {
		for _, o := range p.Plan(now, models, f.report()) {
			tries++
			p.HandleFailure(now, o)
		}
	}
	is.True(tries >= 10 && tries <= 20)
	is.Equal(f.serving("1"), 1)
}

// An operator changes an adapter's version. Callers request an adapter by name only, so the old
// version must be unloaded, or both versions would answer. It must stay until the new version
// serves, or requests would be refused.
func TestOldAdapterIsUnloadedAfterNewOneServes(t *testing.T) {
	is := is.New(t)
	p := rollout.New(rollout.DefaultLimits())
	models := []manifest.Model{{Name: "m", Version: "1", Adapters: []manifest.Adapter{{Name: "a", Version: "2"}}}}
	report := func(adapters ...string) []rollout.Runner {
		return []rollout.Runner{{ID: "r", Loaded: []rollout.Loaded{{Model: "m", Version: "1", Adapters: adapters}}}}
	}
	load := rollout.Order{Runner: "r", Kind: rollout.Load, Model: "m", Version: "1", Adapter: "a@2"}
	is.Equal(p.Plan(time.Second, models, report("a@1", "b@1")), []rollout.Order{
		load, {Runner: "r", Kind: rollout.Unload, Model: "m", Version: "1", Adapter: "b@1"},
	})
	is.Equal(len(p.Plan(2*time.Second, models, report("a@1"))), 0)
	is.Equal(p.Plan(3*time.Second, models, report("a@1", "a@2")), []rollout.Order{
		{Runner: "r", Kind: rollout.Unload, Model: "m", Version: "1", Adapter: "a@1"},
	})
	is.Equal(len(p.Plan(4*time.Second, models, report("a@2"))), 0)
}

// A runner has loaded the new version of a model but not its adapters. Requests for an adapter
// go to the old version, which must stay until the adapters are loaded.
func TestOldVersionStaysUntilAdaptersAreLoaded(t *testing.T) {
	is := is.New(t)
	p := rollout.New(rollout.DefaultLimits())
	models := []manifest.Model{{Name: "m", Version: "2", Adapters: []manifest.Adapter{{Name: "a", Version: "1"}}}}
	old := rollout.Loaded{Model: "m", Version: "1", Adapters: []string{"a@1"}}
	withoutAdapters := []rollout.Runner{{ID: "r", Loaded: []rollout.Loaded{old, {Model: "m", Version: "2"}}}}
	complete := []rollout.Runner{{ID: "r", Loaded: []rollout.Loaded{old, {Model: "m", Version: "2", Adapters: []string{"a@1"}}}}}
	orders := p.Plan(time.Second, models, withoutAdapters)
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Kind, rollout.Load)
	is.Equal(p.Plan(2*time.Second, models, complete), []rollout.Order{{Runner: "r", Kind: rollout.Unload, Model: "m", Version: "1"}})
}

// The weight store asks the caller to wait. The load must be ordered when that time has passed,
// without the growing delay of a failure, and its runner must not count as changing meanwhile.
func TestDeferredLoadDoesNotCountAsFailure(t *testing.T) {
	is := is.New(t)
	p := rollout.New(rollout.DefaultLimits())
	f := newFleet(1, "")
	models := []manifest.Model{{Name: "m", Version: "1"}}
	for now := time.Second; now < 10*time.Second; now += time.Second {
		orders := p.Plan(now, models, f.report())
		is.Equal(len(orders), 1)
		p.Defer(now, orders[0], time.Second)
	}
}

func BenchmarkPlan(b *testing.B) {
	f := newFleet(64, "1")
	models := []manifest.Model{{
		Name: "m", Version: "1",
		Adapters: []manifest.Adapter{{Name: "a", Version: "1"}},
		Canary:   &manifest.Canary{Version: "2", Share: 0.25},
	}}
	p := rollout.New(rollout.DefaultLimits())
	reports := f.report()
	for b.Loop() {
		p.Plan(time.Second, models, reports)
	}
}

// The role of all runners of a service changes. An engine may accept no requests during the
// change, so most runners must keep their role until the first ones have changed.
func TestRolesChangeFewRunnersAtATime(t *testing.T) {
	is := is.New(t)
	p := rollout.New(rollout.DefaultLimits())
	p.SetRole("decode")
	models := []manifest.Model{{Name: "m", Version: "1"}}
	reports := newFleet(8, "1").report()
	now := time.Second
	for changed := 0; changed < 8; now += time.Second {
		orders := p.Plan(now, models, reports)
		is.True(len(orders) > 0 && len(orders) <= 2)
		is.Equal(len(p.Plan(now, models, reports)), 0) // no more orders while changes are in progress
		for _, o := range orders {
			is.Equal(o.Kind, rollout.ChangeRole)
			for i := range reports {
				if reports[i].ID == o.Runner {
					reports[i].Role = o.Role
					changed++
				}
			}
		}
	}
	is.Equal(len(p.Plan(now, models, reports)), 0)
	p.SetRole("")
	is.Equal(len(p.Plan(now, models, reports)), 0)
}
