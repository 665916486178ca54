package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var classes = []manifest.Class{
	{Name: "chat", Priority: 10, TTFTMillis: 500, TBTMillis: 50},
	{Name: "review", Priority: 5, TTFTMillis: 5000, TBTMillis: 100},
	{Name: "bulletin", Priority: 1, TTFTMillis: 60000, TBTMillis: 200, Deferrable: true},
}

func newTestController(limit float64, workspaces ...manifest.Workspace) *Controller {
	cfg := Default()
	cfg.Limiter.Min = limit
	c := New(cfg)
	c.SetLimits(workspaces, classes)
	c.SetCapacity(limit, 1000)
	return c
}

func newItem(id ID, ws ident.Workspace, class string) Item {
	return Item{ID: id, Workspace: ws, Class: class, Cost: 100, TimeToFirstToken: 100 * time.Millisecond, ServiceTime: time.Second}
}

// Guards against urgent requests that wait for seconds because long deferrable
// requests occupy every place at the runners and none of these ends soon.
func TestCapacityIsReservedForUrgentWork(t *testing.T) {
	is := is.New(t)
	c := newTestController(20, manifest.Workspace{Name: "a", Weight: 1})
	is.Equal(len(c.Offer(start, newItem(1, "a", "chat"), nil)), 1)
	is.Equal(len(c.Offer(start, newItem(2, "a", "chat"), nil)), 1)
	for id := ID(3); id < 40; id++ {
		c.Offer(start, newItem(id, "a", "bulletin"), nil)
	}
	is.True(c.Running() >= 15 && c.Running() <= 18)
	is.Equal(len(c.Offer(start, newItem(50, "a", "chat"), nil)), 1)
	is.Equal(len(c.Offer(start, newItem(51, "a", "chat"), nil)), 1)
	c = newTestController(1, manifest.Workspace{Name: "a", Weight: 1})
	c.Offer(start, newItem(1, "a", "bulletin"), nil)
	c.Offer(start, newItem(2, "a", "bulletin"), nil)
	c.Offer(start, newItem(3, "a", "chat"), nil)
	is.Equal(c.Finish(start.Add(50*time.Millisecond), 1, 100, nil)[0].ID, ID(3))
}

// Guards against a small workspace whose low-priority work never runs because
// a large workspace has more work of a middle class than the whole capacity.
func TestLargeWorkspaceDoesNotStarveLowerClassesOfOthers(t *testing.T) {
	is := is.New(t)
	c := newTestController(4, manifest.Workspace{Name: "large", Weight: 1}, manifest.Workspace{Name: "small", Weight: 1})
	now := start
	served := map[ident.Workspace]int{}
	owner := map[ID]ident.Workspace{}
	var running []ID
	for id := ID(1); id < 400; id += 2 {
		now = now.Add(25 * time.Millisecond)
		owner[id], owner[id+1] = "large", "small"
		effects := c.Offer(now, newItem(id, "large", "review"), nil)
		effects = c.Offer(now, newItem(id+1, "small", "bulletin"), effects)
		if len(running) > 0 {
			effects = c.Finish(now, running[0], 100, effects)
			running = running[1:]
		}
		for _, e := range effects {
			if e.Kind == Admit {
				served[owner[e.ID]]++
				running = append(running, e.ID)
			}
		}
	}
	is.True(served["small"] > served["large"]/2)
}

// Guards against callers that wait for seconds only to be refused, although
// the queue was known to be too long when their request arrived.
func TestRefusesAtOnceWhatCannotMeetItsTarget(t *testing.T) {
	is := is.New(t)
	counted := map[refusal.Reason]int{}
	c := newTestController(1, manifest.Workspace{Name: "a", Weight: 1})
	c.cfg.Count = func(r refusal.Reason, _ ident.Workspace, _ string) { counted[r]++ }
	for i := range 5 {
		c.Offer(start, newItem(ID(i), "a", "chat"), nil)
	}
	effects := c.Offer(start, newItem(9, "a", "chat"), nil)
	is.Equal(len(effects), 1)
	is.Equal(effects[0].Refusal.Reason, refusal.Overloaded)
	is.Equal(effects[0].Refusal.Executed, refusal.ExecutedNo)
	is.True(effects[0].Refusal.RetryAfter > 0)
	late := newItem(10, "a", "bulletin")
	late.Deadline = start.Add(time.Second)
	effects = c.Offer(start, late, nil)
	is.Equal(effects[0].Refusal.Reason, refusal.DeadlineUnreachable)
	// Queued items are refused as overloaded once it is too late to admit them.
	effects = c.Tick(start.Add(time.Second), nil)
	is.Equal(len(effects), 4)
	is.Equal(counted[refusal.Overloaded], 5)
	is.Equal(counted[refusal.DeadlineUnreachable], 1)
}

func TestWorkspaceLimits(t *testing.T) {
	is := is.New(t)
	c := newTestController(100, manifest.Workspace{Name: "a", Weight: 1, MaxConcurrent: 1}, manifest.Workspace{Name: "b", Weight: 1, TokensPerSecond: 50})
	c.Offer(start, newItem(1, "a", "chat"), nil)
	effects := c.Offer(start, newItem(2, "a", "chat"), nil)
	is.Equal(effects[0].Refusal.Reason, refusal.WorkspaceLimit)
	is.Equal(len(c.Offer(start, newItem(3, "a", "bulletin"), nil)), 0) // deferrable work waits for the first request to end
	is.Equal(c.Finish(start, 1, 100, nil)[0].ID, ID(3))
	is.Equal(c.Offer(start, newItem(4, "b", "chat"), nil)[0].Kind, Admit)
	is.Equal(c.Offer(start, newItem(5, "b", "chat"), nil)[0].Refusal.Reason, refusal.WorkspaceLimit)
	is.Equal(len(c.Offer(start, newItem(6, "b", "bulletin"), nil)), 0)
	is.Equal(c.Tick(start.Add(100*time.Millisecond), nil)[0].ID, ID(6))
	c.Finish(start.Add(time.Second), 4, 10, nil) // the request cost less than was charged at admission
	is.Equal(len(c.Cancel(start, 6, nil)), 0)
	is.Equal(c.Running(), 1)
}

// TestSharesConvergeToWeights checks that, while all workspaces always have
// queued work, the cost served to each approaches its share by weight.
func TestSharesConvergeToWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "workspaces")
		var list []manifest.Workspace
		total := 0.0
		for i := range n {
			w := float64(rapid.IntRange(1, 8).Draw(t, "weight"))
			total += w
			list = append(list, manifest.Workspace{Name: ident.Workspace(fmt.Sprint(i)), Weight: w})
		}
		c := newTestController(4, list...)
		costs := rapid.IntRange(1, 50)
		served := make([]float64, n)
		owner, cost := map[ID]int{}, map[ID]float64{}
		var running []ID
		next := ID(0)
		offer := func(w int) {
			next++
			it := newItem(next, list[w].Name, "bulletin")
			it.Cost = float64(costs.Draw(t, "cost"))
			owner[next], cost[next] = w, it.Cost
			running = appendAdmitted(t, running, c.Offer(start, it, nil))
		}
		for w := range n {
			for range 6 {
				offer(w)
			}
		}
		for range 400 {
			id := running[0]
			running = running[1:]
			served[owner[id]] += cost[id]
			running = appendAdmitted(t, running, c.Finish(start, id, cost[id], nil))
			offer(owner[id])
		}
		sum := 0.0
		for _, s := range served {
			sum += s
		}
		for w := range n {
			want := sum * list[w].Weight / total
			if d := served[w] - want; d > 400 || d < -400 {
				t.Fatalf("workspace %d with weight %g of %g was served cost %g of %g", w, list[w].Weight, total, served[w], sum)
			}
		}
	})
}

func appendAdmitted(t *rapid.T, running []ID, effects []Effect) []ID {
	for _, e := range effects {
		if e.Kind != Admit {
			t.Fatalf("an item was refused: %v", e.Refusal)
		}
		running = append(running, e.ID)
	}
	return running
}

// TestSchedulerIsWorkConserving makes random sequences of calls and checks
// that no class has queued items while the limit has room for it, that each
// item is decided once, and that the counts and limits hold.
func TestSchedulerIsWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		c := newTestController(float64(limit), manifest.Workspace{Name: "a", Weight: 1}, manifest.Workspace{Name: "b", Weight: 3})
		c.cfg.MaxQueued = 8
		waiting, running := map[ID]bool{}, map[ID]bool{}
		now := start
		for id := ID(1); id < 80; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			var effects []Effect
			switch call := rapid.IntRange(0, 5).Draw(t, "call"); {
			case call <= 2:
				waiting[id] = true
				ws := rapid.SampledFrom([]ident.Workspace{"a", "b"}).Draw(t, "workspace")
				k := rapid.SampledFrom(classes).Draw(t, "class")
				effects = c.Offer(now, newItem(id, ws, k.Name), nil)
			case call == 3:
				effects = c.Tick(now, nil)
			case call == 4:
				victim := ID(rapid.IntRange(1, int(id)).Draw(t, "victim"))
				delete(waiting, victim)
				delete(running, victim)
				effects = c.Cancel(now, victim, nil)
			default:
				victim := ID(rapid.IntRange(1, int(id)).Draw(t, "victim"))
				delete(running, victim)
				effects = c.Finish(now, victim, 50, nil)
			}
			effects = c.Tick(now, effects)
			for _, e := range effects {
				if !waiting[e.ID] {
					t.Fatalf("effect %s for item %d, which is not queued", e.Kind, e.ID)
				}
				delete(waiting, e.ID)
				if e.Kind == Admit {
					running[e.ID] = true
				}
			}
			if c.Queued() != len(waiting) || c.Running() != len(running) || len(running) > limit || len(waiting) > 8 {
				t.Fatalf("queued %d of %d, running %d of %d", c.Queued(), len(waiting), c.Running(), len(running))
			}
			for _, k := range c.byPriority {
				if len(k.active) > 0 && c.hasRoom(now, k) {
					t.Fatalf("class %s has queued items although the limit has room for it", k.Name)
				}
			}
		}
	})
}

func TestLowerClassesAreNotStarved(t *testing.T) {
	is := is.New(t)
	c := newTestController(1, manifest.Workspace{Name: "a", Weight: 1})
	c.Offer(start, newItem(1, "a", "chat"), nil)
	c.Offer(start, newItem(2, "a", "bulletin"), nil)
	served := 0
	running := ID(1)
	for id := ID(3); id < 100 && served == 0; id++ {
		c.Offer(start, newItem(id, "a", "chat"), nil)
		for _, e := range c.Finish(start, running, 100, nil) {
			running = e.ID
			if e.ID == 2 {
				served = int(id)
			}
		}
	}
	is.True(served > 15 && served < 30) // MinClassShare lets it run after about 20 requests of the same cost
}

func TestLimiterFollowsCapacity(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(DefaultLimiter())
	l.SetReportedConcurrency(100)
	now := start
	step := func(ratio float64) {
		now = now.Add(time.Second)
		l.MarkReached(now.Add(-time.Millisecond))
		l.Sample(now, ratio)
	}
	step(0.5)
	step(0.5)
	is.Equal(l.Limit(), 100) // the limit does not exceed what the runners report
	for range 10 {
		step(2)
	}
	is.True(l.Limit() < 50)
	before := l.Limit()
	l.SetReportedConcurrency(50) // half of the runners are lost
	is.True(l.Limit() <= before/2+1)
}

// BenchmarkRefusal measures the refusal of urgent requests at a gateway whose
// queue is full.
func BenchmarkRefusal(b *testing.B) {
	var workspaces []manifest.Workspace
	for i := range 50 {
		workspaces = append(workspaces, manifest.Workspace{Name: ident.Workspace(fmt.Sprint(i)), Weight: 1})
	}
	c := newTestController(16, workspaces...)
	for id := ID(0); id < 4096; id++ {
		c.Offer(start, newItem(id, workspaces[id%50].Name, "bulletin"), nil)
	}
	var effects []Effect
	b.ReportAllocs()
	for b.Loop() {
		effects = c.Offer(start, newItem(5000, "1", "chat"), effects[:0])
	}
}
