package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

const (
	trialShare    = 0.1
	trialSlack    = 50
	trialFor      = 12 * time.Second
	trialRunners  = 4
	trialRate     = 160
	rolledBackIn  = 5 * time.Second
	badsTolerated = 50
	oldVersion    = canary.Version("v1")
	newVersion    = canary.Version("v2")
)

// trialWorld plays an operator's order while callers ask all daemons.
type trialWorld struct {
	*testFleet
	// luck draws the load, answers the new version's answers.
	luck, answers *rand.Rand
	// fails and slower say how the new version answers a path now.
	fails  func(path string) float64
	slower func(path string) float64

	mu sync.Mutex
	// asked are all requests from the order until its time is over, exposed those of them
	// that the new version got, bads its bad answers, fiftieth when it gave the fiftieth.
	asked, exposed, bads int
	fiftieth, lastNew    time.Duration
	orderedAt            time.Duration
	// stopped are the old runners' ends.
	stopped bool
	// results are what callers got in all.
	served, refused, failed int
	reasons                 map[refusal.Reason]int
	states                  []canary.State
	down                    map[int]bool
}

func newTrial(w *testFleet) *trialWorld {
	tw := &trialWorld{
		testFleet: w, luck: rand.New(rand.NewPCG(1, 0)), answers: rand.New(rand.NewPCG(1, 1)),
		fails: func(string) float64 { return 0 }, slower: func(string) float64 { return 1 },
		reasons: map[refusal.Reason]int{}, down: map[int]bool{},
	}
	tw.start(oldVersion)
	time.Sleep(time.Second)
	return tw
}

// start starts runners of a version.
func (tw *trialWorld) start(v canary.Version) {
	for i := range trialRunners {
		id := fmt.Sprintf("%s-%d", v, i)
		tw.runners.add(id).play(tw.answer(v))
		tw.put(runnerPrefix+id, edge.Runner{Runner: view.Runner{
			ID: ident.RunnerID(id), Address: id, Service: "app", FailureDomain: "north", State: view.Live,
		}, Slots: 8, Version: v})
	}
}

// stop stops a version's runners at once, with what they are doing.
func (tw *trialWorld) stop(v canary.Version) {
	for i := range trialRunners {
		tw.remove(fmt.Sprintf("%s-%d", v, i))
	}
}

// remove ends a runner.
func (tw *trialWorld) remove(id string) {
	tw.runners.mu.Lock()
	delete(tw.runners.byID, id)
	tw.runners.mu.Unlock()
	entry, err := tw.store.Get(context.Background(), runnerPrefix+id)
	tw.NoErr(err)
	tw.NoErr(tw.store.Delete(context.Background(), runnerPrefix+id, entry.Revision))
}

func (tw *trialWorld) answer(v canary.Version) func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
	return func(_ context.Context, a *edge.Attempt) (*edge.Answer, error) {
		work, bad := 20*time.Millisecond, false
		if v == newVersion {
			bad = tw.badly(a.Request.Path, &work)
		}
		time.Sleep(work)
		if bad {
			return plain(http.StatusInternalServerError, "failed"), nil
		}
		return plain(http.StatusOK, "from "+a.Address), nil
	}
}

// badly counts a request at the new version and tells whether it fails.
func (tw *trialWorld) badly(path string, work *time.Duration) bool {
	tw.mu.Lock()
	defer tw.mu.Unlock()
	fails, slower := tw.answers.Float64() < tw.fails(path), tw.slower(path)
	*work = time.Duration(float64(*work) * slower)
	now := tw.steady()
	tw.lastNew = now
	if now <= tw.orderedAt+trialFor {
		tw.exposed++
	}
	if fails || slower > 1 {
		tw.bads++
		if tw.bads == badsTolerated {
			tw.fiftieth = now
		}
	}
	return fails
}

// order asks for the new version; its runners come a second later.
func (tw *trialWorld) order(target canary.Version) {
	tw.orderedAt = tw.steady()
	tw.put(orderPrefix+"app", canary.Order{Service: "app", Target: target, Duration: trialFor})
}

// status is what the operator reads.
func (tw *trialWorld) status() (s orderStatus) {
	entry, err := tw.store.Get(context.Background(), statusPrefix+"app")
	tw.NoErr(err)
	if entry.Revision != 0 {
		tw.NoErr(json.Unmarshal(entry.Value, &s))
	}
	return s
}

// load has callers ask for a time. The operator stops what the status says at once.
func (tw *trialWorld) load(length time.Duration) {
	var asking sync.WaitGroup
	for end := tw.steady() + length; tw.steady() < end; {
		time.Sleep(time.Second / trialRate)
		tw.operate()
		path := "/pledge/1"
		if tw.luck.IntN(5) == 0 {
			path = "/read/1"
		}
		i := tw.luck.IntN(len(tw.daemons))
		if tw.down[i] {
			continue
		}
		tw.mu.Lock()
		if tw.orderedAt > 0 && tw.steady() <= tw.orderedAt+trialFor {
			tw.asked++
		}
		tw.mu.Unlock()
		asking.Add(1)
		d := tw.daemons[i]
		go func() {
			defer asking.Done()
			tw.got(tw.ask(d, path, key))
		}()
	}
	asking.Wait()
}

func (tw *trialWorld) got(a *recordedReply) {
	tw.mu.Lock()
	defer tw.mu.Unlock()
	switch {
	case a.refusal != nil:
		tw.refused++
		tw.reasons[a.refusal.Reason]++
	case a.status != http.StatusOK || !a.finished:
		tw.failed++
	default:
		tw.served++
	}
}

func (tw *trialWorld) operate() {
	s := tw.status()
	if n := len(tw.states); s.State != "" && (n == 0 || tw.states[n-1] != s.State) {
		tw.states = append(tw.states, s.State)
	}
	if s.State == canary.Completed && s.Target == newVersion && !tw.stopped {
		tw.stopped = true
		tw.stop(oldVersion)
	}
}

// check checks what must hold of every order, and of a bad version.
func (tw *trialWorld) check(bad bool) {
	tw.t.Logf("%v: %d of %d requests exposed, %d bad, served %d refused %d failed %d %v",
		tw.states, tw.exposed, tw.asked, tw.bads, tw.served, tw.refused, tw.failed, tw.reasons)
	tw.True(!bad || float64(tw.exposed) <= trialShare*float64(tw.asked)+trialSlack)
	tw.True(tw.fiftieth == 0 || tw.lastNew <= tw.fiftieth+rolledBackIn)
	for i, s := range tw.states {
		tw.True(!s.Final() || i == len(tw.states)-1) // a verdict never turns
	}
}

// inTrial plays the order of a version until its time is over. faults is called once the new
// runners are there.
func inTrial(t *testing.T, daemons int, bad, faults func(tw *trialWorld)) {
	in := withFleet
	if daemons > relays.AllWatchFleet {
		in = withRelayFleet
	}
	inTrialOf(t, in, daemons, bad, faults)
}

// inTrialOf is inTrial in a fleet of a kind.
func inTrialOf(t *testing.T, in fleetRunner, daemons int, bad, faults func(tw *trialWorld)) {
	in(t, daemons, config(1), func(w *testFleet) {
		tw := newTrial(w)
		if bad != nil {
			bad(tw)
		}
		tw.load(3 * time.Second)
		tw.order(newVersion)
		tw.load(time.Second)
		tw.start(newVersion)
		if faults != nil {
			faults(tw)
		}
		tw.load(tw.orderedAt + trialFor + time.Second - tw.steady())
		tw.check(bad != nil)
	})
}

// Guards against a good version that is not put into use in its time, and against requests
// that are lost when the old runners are stopped.
func TestGoodVersionIsCompleted(t *testing.T) {
	for _, daemons := range []int{1, 5, 33, 40} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			inTrial(t, daemons, nil, func(tw *trialWorld) {
				tw.load(trialFor - time.Second)
				tw.Equal(tw.status(), orderStatus{newVersion, canary.Completed})
				tw.Equal(tw.refused+tw.failed, 0)
			})
		})
	}
}

// Guards against a bad version that gets more than its share, or that is not taken back.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, bad := range map[string]func(tw *trialWorld){
		"fails":           func(tw *trialWorld) { tw.fails = func(string) float64 { return 0.4 } },
		"fails on a path": func(tw *trialWorld) { tw.fails = failsOn("/read/1") },
		"slow":            func(tw *trialWorld) { tw.slower = func(string) float64 { return 4 } },
		"fails late": func(tw *trialWorld) {
			tw.fails = func(string) float64 {
				if tw.steady()-tw.orderedAt > 5*time.Second {
					return 0.5
				}
				return 0
			}
		},
	} {
		for _, daemons := range []int{5, 33, 40} {
			t.Run(fmt.Sprintf("%s/%d", name, daemons), func(t *testing.T) {
				inTrial(t, daemons, bad, func(tw *trialWorld) {
					tw.load(trialFor - time.Second)
					tw.Equal(tw.status(), orderStatus{newVersion, canary.RolledBack})
				})
			})
		}
	}
}

// Guards against verdicts that are wrong where all daemons tell each other everything.
func TestTrialsOfADirectFleet(t *testing.T) {
	for name, bad := range map[string]func(tw *trialWorld){
		"good": nil,
		"bad":  func(tw *trialWorld) { tw.fails = failsOn("/read/1") },
	} {
		t.Run(name, func(t *testing.T) {
			inTrialOf(t, withDirectFleet, 33, bad, func(tw *trialWorld) {
				tw.load(trialFor - time.Second)
				want := canary.Completed
				if bad != nil {
					want = canary.RolledBack
				}
				tw.Equal(tw.status(), orderStatus{newVersion, want})
			})
		})
	}
}

func failsOn(path string) func(string) float64 {
	return func(p string) float64 {
		if p == path {
			return 0.6
		}
		return 0
	}
}

// Guards against an order that starts anew, or gives out its share twice, when the holder of
// the duties is killed in the middle of it.
func TestTrialOutlivesItsHolder(t *testing.T) {
	for name, bad := range map[string]func(tw *trialWorld){
		"good": nil,
		"bad":  func(tw *trialWorld) { tw.fails = func(string) float64 { return 0.08 } },
	} {
		t.Run(name, func(t *testing.T) {
			inTrial(t, 5, bad, func(tw *trialWorld) {
				tw.load(1500 * time.Millisecond)
				tw.killHolder()
				tw.load(trialFor - 2500*time.Millisecond)
				tw.True(tw.status().State.Final())
				tw.Equal(tw.refused, 0)
				if bad == nil {
					tw.Equal(tw.status().State, canary.Completed)
				}
			})
		})
	}
}

func (tw *trialWorld) killHolder() {
	i := tw.holderIndex()
	tw.True(i >= 0)
	tw.down[i] = true
	tw.daemons[i].kill()
}

// Guards against a bad version that goes on being tried while the key-value service is away.
func TestTrialWhileTheServiceIsAway(t *testing.T) {
	inTrial(t, 5, func(tw *trialWorld) { tw.fails = func(string) float64 { return 0.5 } }, func(tw *trialWorld) {
		tw.cutStore(true)
		tw.load(4 * time.Second)
		tw.cutStore(false)
		tw.load(trialFor - 5*time.Second)
		tw.Equal(tw.status().State, canary.RolledBack)
	})
}

func (tw *trialWorld) cutStore(cut bool) {
	for _, d := range tw.daemons {
		d.store.setFaults(cut, false)
	}
}

// Guards against shares that are given out twice because messages are lost.
func TestTrialWithLostMessages(t *testing.T) {
	inTrial(t, 5, func(tw *trialWorld) { tw.fails = failsOn("/read/1") }, func(tw *trialWorld) {
		tw.network.setLossRate(0.3, rand.New(rand.NewPCG(2, 0)))
		tw.load(trialFor - time.Second)
		tw.Equal(tw.status().State, canary.RolledBack)
	})
}

// Guards against callers who are refused after the old runners have been stopped, at a daemon
// that can't learn of it: it goes to the new ones as it has lost touch.
func TestDaemonCutOffFindsTheNewRunners(t *testing.T) {
	inTrial(t, 5, nil, func(tw *trialWorld) {
		tw.load(5 * time.Second)
		cut := tw.daemons[4]
		if cut.HoldsDuties() {
			cut = tw.daemons[3]
		}
		tw.network.isolate(cut.address, true)
		cut.store.setFaults(true, false)
		tw.load(trialFor - 6*time.Second)
		tw.Equal(tw.status().State, canary.Completed)
		// Its callers were refused as their keys may have been taken away, not for want of runners.
		tw.Equal(tw.reasons[refusal.NoRunner], 0)
	})
}

// Guards against a version that is put into use without runners to serve all callers.
func TestTooFewNewRunners(t *testing.T) {
	inTrial(t, 5, nil, func(tw *trialWorld) {
		for i := 1; i < trialRunners; i++ {
			tw.remove(fmt.Sprintf("%s-%d", newVersion, i))
		}
		tw.load(trialFor - time.Second)
		tw.Equal(tw.status(), orderStatus{newVersion, canary.RolledBack})
		tw.Equal(tw.refused+tw.failed, 0)
	})
}

// Guards against orders that are never answered: for a service that nothing runs, and for the
// version that is in use.
func TestOrdersThatNeedNoTrial(t *testing.T) {
	withFleet(t, 5, config(1), func(w *testFleet) {
		tw := newTrial(w)
		tw.put(orderPrefix+"none", canary.Order{Service: "none", Target: newVersion, Duration: 2 * time.Second})
		tw.order(oldVersion)
		tw.load(4 * time.Second)
		tw.Equal(tw.status(), orderStatus{oldVersion, canary.Completed})
		tw.Equal(tw.refused+tw.failed, 0)
		entry, err := tw.store.Get(context.Background(), statusPrefix+"none")
		tw.NoErr(err)
		var s orderStatus
		tw.NoErr(json.Unmarshal(entry.Value, &s))
		tw.Equal(s.State, canary.RolledBack)
	})
}

// Guards against a version that was taken back and gets requests again when another one is
// ordered, or while that one is on trial.
func TestSecondOrderWhileOneRuns(t *testing.T) {
	inTrial(t, 5, func(tw *trialWorld) { tw.fails = func(string) float64 { return 1 } }, func(tw *trialWorld) {
		tw.load(5 * time.Second)
		tw.mu.Lock()
		before := tw.exposed
		tw.mu.Unlock()
		tw.put(orderPrefix+"app", canary.Order{Service: "app", Target: "v3", Duration: trialFor})
		tw.load(trialFor)
		tw.Equal(tw.exposed, before)
		tw.Equal(tw.status(), orderStatus{"v3", canary.RolledBack})
		tw.states = nil
	})
}

// Guards against a trial that goes wrong when the operator moves routes meanwhile.
func TestConfigurationChangesDuringATrial(t *testing.T) {
	inTrial(t, 5, func(tw *trialWorld) { tw.fails = func(string) float64 { return 0.4 } }, func(tw *trialWorld) {
		for i := range 10 {
			c := config(uint64(i + 2))
			c.Routes[i%2].Name = fmt.Sprint("moved-", i)
			tw.configure(c)
			tw.load(300 * time.Millisecond)
		}
		tw.load(trialFor - 4*time.Second)
		tw.Equal(tw.status().State, canary.RolledBack)
	})
}

// Guards against a version that is tried after all daemons were killed as if nothing had been
// known of it.
func TestTrialAfterAllDaemonsWereKilled(t *testing.T) {
	inTrial(t, 5, func(tw *trialWorld) { tw.fails = func(string) float64 { return 0.08 } }, func(tw *trialWorld) {
		tw.load(2 * time.Second)
		for _, d := range tw.daemons {
			d.kill()
		}
		tw.servedBefore = true
		for i := range tw.daemons {
			tw.restart(i)
		}
		time.Sleep(time.Second)
		tw.load(trialFor - 4*time.Second)
		tw.True(tw.status().State.Final())
	})
}
