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
	// The new version may get trialShare of the requests plus trialSlack, and must get no
	// requests later than maxRollbackTime after toleratedBadAnswers bad answers. trialRunners
	// is the number of runners of each version, trialRate the number of requests per second.
	trialShare          = 0.1
	trialSlack          = 50
	trialDuration       = 12 * time.Second
	trialRunners        = 4
	trialRate           = 160
	maxRollbackTime     = 5 * time.Second
	toleratedBadAnswers = 50
	oldVersion          = canary.Version("v1")
	newVersion          = canary.Version("v2")
)

// trialTest simulates an operator's order of a new software version while callers send requests to
// all daemons.
type trialTest struct {
	*testFleet
	// loadRandom is the source of random requests, answerRandom that of the new version's failures.
	loadRandom, answerRandom *rand.Rand
	// fails returns the new version's current failure rate for a path, slowdown the factor by
	// which its answers take longer.
	fails    func(path string) float64
	slowdown func(path string) float64

	mu sync.Mutex
	// asked counts the requests sent between the operator's order and its time limit, exposed
	// those of them that the new version received, and badAnswers the new version's bad answers.
	// toleranceReachedAt is the time of its fiftieth bad answer, lastExposedAt that of its last
	// request.
	asked, exposed, badAnswers        int
	toleranceReachedAt, lastExposedAt time.Duration
	orderedAt                         time.Duration
	// stopped says that the old runners have been stopped.
	stopped bool
	// served, refused and failed count the callers' results.
	served, refused, failed int
	reasons                 map[refusal.Reason]int
	states                  []canary.State
	downDaemons             map[int]bool
}

func newTrial(w *testFleet) *trialTest {
	tw := &trialTest{
		testFleet: w, loadRandom: rand.New(rand.NewPCG(1, 0)), answerRandom: rand.New(rand.NewPCG(1, 1)),
		fails: func(string) float64 { return 0 }, slowdown: func(string) float64 { return 1 },
		reasons: map[refusal.Reason]int{}, downDaemons: map[int]bool{},
	}
	tw.startRunners(oldVersion)
	time.Sleep(time.Second)
	return tw
}

// startRunners starts runners of a version.
func (tw *trialTest) startRunners(v canary.Version) {
	for i := range trialRunners {
		id := fmt.Sprintf("%s-%d", v, i)
		tw.runners.add(id).setScript(tw.answerOf(v))
		tw.put(runnerPrefix+id, edge.Runner{Runner: view.Runner{
			ID: ident.RunnerID(id), Address: id, Service: "app", FailureDomain: "north", State: view.Live,
		}, Slots: 8, Version: v})
	}
}

// stopRunners stops a version's runners immediately, together with their requests.
func (tw *trialTest) stopRunners(v canary.Version) {
	for i := range trialRunners {
		tw.remove(fmt.Sprintf("%s-%d", v, i))
	}
}

// remove stops a runner.
func (tw *trialTest) remove(id string) {
	tw.runners.mu.Lock()
	delete(tw.runners.byID, id)
	tw.runners.mu.Unlock()
	entry, err := tw.store.Get(context.Background(), runnerPrefix+id)
	tw.NoErr(err)
	tw.NoErr(tw.store.Delete(context.Background(), runnerPrefix+id, entry.Revision))
}

func (tw *trialTest) answerOf(v canary.Version) func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
	return func(_ context.Context, a *edge.Attempt) (*edge.Answer, error) {
		work, bad := 20*time.Millisecond, false
		if v == newVersion {
			bad = tw.countExposed(a.Request.Path, &work)
		}
		time.Sleep(work)
		if bad {
			return plainAnswer(http.StatusInternalServerError, "failed"), nil
		}
		return plainAnswer(http.StatusOK, "from "+a.Address), nil
	}
}

// countExposed counts a request at the new version, lengthens its work and reports whether it
// fails.
func (tw *trialTest) countExposed(path string, work *time.Duration) bool {
	tw.mu.Lock()
	defer tw.mu.Unlock()
	fails, slowdown := tw.answerRandom.Float64() < tw.fails(path), tw.slowdown(path)
	*work = time.Duration(float64(*work) * slowdown)
	now := tw.steady()
	tw.lastExposedAt = now
	if now <= tw.orderedAt+trialDuration {
		tw.exposed++
	}
	if fails || slowdown > 1 {
		tw.badAnswers++
		if tw.badAnswers == toleratedBadAnswers {
			tw.toleranceReachedAt = now
		}
	}
	return fails
}

// order writes an operator's order of a version to the key-value service; the tests start the
// runners of that version a second later.
func (tw *trialTest) order(target canary.Version) {
	tw.orderedAt = tw.steady()
	tw.put(orderPrefix+"app", canary.Order{Service: "app", Target: target, Duration: trialDuration})
}

// status returns the status that the operator reads.
func (tw *trialTest) status() (s orderStatus) {
	entry, err := tw.store.Get(context.Background(), statusPrefix+"app")
	tw.NoErr(err)
	if entry.Revision != 0 {
		tw.NoErr(json.Unmarshal(entry.Value, &s))
	}
	return s
}

// runLoad sends callers' requests for the given span. As soon as the status says that the new
// version is in use, the operator stops the old runners.
func (tw *trialTest) runLoad(length time.Duration) {
	var asking sync.WaitGroup
	for end := tw.steady() + length; tw.steady() < end; {
		time.Sleep(time.Second / trialRate)
		tw.pollStatus()
		path := "/pledge/1"
		if tw.loadRandom.IntN(5) == 0 {
			path = "/read/1"
		}
		i := tw.loadRandom.IntN(len(tw.daemons))
		if tw.downDaemons[i] {
			continue
		}
		tw.mu.Lock()
		if tw.orderedAt > 0 && tw.steady() <= tw.orderedAt+trialDuration {
			tw.asked++
		}
		tw.mu.Unlock()
		asking.Add(1)
		d := tw.daemons[i]
		go func() {
			defer asking.Done()
			tw.recordAnswer(tw.ask(d, path, key))
		}()
	}
	asking.Wait()
}

func (tw *trialTest) recordAnswer(a *recordedReply) {
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

func (tw *trialTest) pollStatus() {
	s := tw.status()
	if n := len(tw.states); s.State != "" && (n == 0 || tw.states[n-1] != s.State) {
		tw.states = append(tw.states, s.State)
	}
	if s.State == canary.Completed && s.Target == newVersion && !tw.stopped {
		tw.stopped = true
		tw.stopRunners(oldVersion)
	}
}

// checkResult checks what must hold for every trial: the limit on the time in which a bad version
// still gets requests, and that a decision is final. For a bad version it also checks the limit on
// its part of the requests.
func (tw *trialTest) checkResult(bad bool) {
	tw.t.Logf("%v: %d of %d requests exposed, %d bad, served %d refused %d failed %d %v",
		tw.states, tw.exposed, tw.asked, tw.badAnswers, tw.served, tw.refused, tw.failed, tw.reasons)
	tw.True(!bad || float64(tw.exposed) <= trialShare*float64(tw.asked)+trialSlack)
	tw.True(tw.toleranceReachedAt == 0 || tw.lastExposedAt <= tw.toleranceReachedAt+maxRollbackTime)
	for i, s := range tw.states {
		tw.True(!s.Final() || i == len(tw.states)-1) // a decision is never reversed
	}
}

// withTrial simulates an operator's order to change a service's software version, with callers'
// load, until the time limit of the order has passed. bad makes the new version a bad one; it is
// nil for a good version. faults is called after the new version's runners have started.
func withTrial(t *testing.T, daemons int, bad, faults func(tw *trialTest)) {
	run := withFleet
	if daemons > relays.AllWatchFleet {
		run = withRelayFleet
	}
	withTrialIn(t, run, daemons, bad, faults)
}

// withTrialIn does the same as withTrial in a fleet that run starts.
func withTrialIn(t *testing.T, run fleetSetup, daemons int, bad, faults func(tw *trialTest)) {
	run(t, daemons, config(1), func(w *testFleet) {
		tw := newTrial(w)
		if bad != nil {
			bad(tw)
		}
		tw.runLoad(3 * time.Second)
		tw.order(newVersion)
		tw.runLoad(time.Second)
		tw.startRunners(newVersion)
		if faults != nil {
			faults(tw)
		}
		tw.runLoad(tw.orderedAt + trialDuration + time.Second - tw.steady())
		tw.checkResult(bad != nil)
	})
}

// Guards against a good version that isn't put into use in time, and against requests that fail
// when the old runners are stopped.
func TestGoodVersionIsCompleted(t *testing.T) {
	for _, daemons := range []int{1, 5, 33, 40} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			withTrial(t, daemons, nil, func(tw *trialTest) {
				tw.runLoad(trialDuration - time.Second)
				tw.Equal(tw.status(), orderStatus{newVersion, canary.Completed})
				tw.Equal(tw.refused+tw.failed, 0)
			})
		})
	}
}

// Guards against a bad version that gets more than its share of requests, or that isn't rolled
// back.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, bad := range map[string]func(tw *trialTest){
		"fails":           func(tw *trialTest) { tw.fails = func(string) float64 { return 0.4 } },
		"fails on a path": func(tw *trialTest) { tw.fails = failsOn("/read/1") },
		"slow":            func(tw *trialTest) { tw.slowdown = func(string) float64 { return 4 } },
		"fails late": func(tw *trialTest) {
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
				withTrial(t, daemons, bad, func(tw *trialTest) {
					tw.runLoad(trialDuration - time.Second)
					tw.Equal(tw.status(), orderStatus{newVersion, canary.RolledBack})
				})
			})
		}
	}
}

// Guards against wrong decisions in a fleet whose daemons all exchange messages directly.
func TestTrialsOfADirectFleet(t *testing.T) {
	for name, bad := range map[string]func(tw *trialTest){
		"good": nil,
		"bad":  func(tw *trialTest) { tw.fails = failsOn("/read/1") },
	} {
		t.Run(name, func(t *testing.T) {
			withTrialIn(t, withDirectFleet, 33, bad, func(tw *trialTest) {
				tw.runLoad(trialDuration - time.Second)
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

// Guards against a trial that starts again, or hands out its share of requests twice, when the
// duty holder is killed in the middle of it.
func TestTrialOutlivesItsHolder(t *testing.T) {
	for name, bad := range map[string]func(tw *trialTest){
		"good": nil,
		"bad":  func(tw *trialTest) { tw.fails = func(string) float64 { return 0.08 } },
	} {
		t.Run(name, func(t *testing.T) {
			withTrial(t, 5, bad, func(tw *trialTest) {
				tw.runLoad(1500 * time.Millisecond)
				tw.killHolder()
				tw.runLoad(trialDuration - 2500*time.Millisecond)
				tw.True(tw.status().State.Final())
				tw.Equal(tw.refused, 0)
				if bad == nil {
					tw.Equal(tw.status().State, canary.Completed)
				}
			})
		})
	}
}

func (tw *trialTest) killHolder() {
	i := tw.holderIndex()
	tw.True(i >= 0)
	tw.downDaemons[i] = true
	tw.daemons[i].kill()
}

// Guards against a bad version that keeps getting requests while the key-value service is
// unreachable.
func TestTrialWhileTheServiceIsAway(t *testing.T) {
	withTrial(t, 5, func(tw *trialTest) { tw.fails = func(string) float64 { return 0.5 } }, func(tw *trialTest) {
		tw.cutStore(true)
		tw.runLoad(4 * time.Second)
		tw.cutStore(false)
		tw.runLoad(trialDuration - 5*time.Second)
		tw.Equal(tw.status().State, canary.RolledBack)
	})
}

func (tw *trialTest) cutStore(cut bool) {
	for _, d := range tw.daemons {
		d.store.setFaults(cut, false)
	}
}

// Guards against allowances (numbers of requests that a daemon may send to the new version) that
// the duty holder hands out twice because messages are lost.
func TestTrialWithLostMessages(t *testing.T) {
	withTrial(t, 5, func(tw *trialTest) { tw.fails = failsOn("/read/1") }, func(tw *trialTest) {
		tw.network.setLossRate(0.3, rand.New(rand.NewPCG(2, 0)))
		tw.runLoad(trialDuration - time.Second)
		tw.Equal(tw.status().State, canary.RolledBack)
	})
}

// Guards against refusing requests after the old runners have been stopped, at a daemon that
// can't learn of it. The daemon must use the new runners because it is out of contact.
func TestDaemonCutOffFindsTheNewRunners(t *testing.T) {
	withTrial(t, 5, nil, func(tw *trialTest) {
		tw.runLoad(5 * time.Second)
		cut := tw.daemons[4]
		if cut.HoldsDuties() {
			cut = tw.daemons[3]
		}
		tw.network.isolate(cut.address, true)
		cut.store.setFaults(true, false)
		tw.runLoad(trialDuration - 6*time.Second)
		tw.Equal(tw.status().State, canary.Completed)
		// Requests were refused only because their keys might have been revoked, not for lack
		// of runners.
		tw.Equal(tw.reasons[refusal.NoRunner], 0)
	})
}

// Guards against putting a version into use that has too few runners to serve all callers.
func TestTooFewNewRunners(t *testing.T) {
	withTrial(t, 5, nil, func(tw *trialTest) {
		for i := 1; i < trialRunners; i++ {
			tw.remove(fmt.Sprintf("%s-%d", newVersion, i))
		}
		tw.runLoad(trialDuration - time.Second)
		tw.Equal(tw.status(), orderStatus{newVersion, canary.RolledBack})
		tw.Equal(tw.refused+tw.failed, 0)
	})
}

// Guards against orders whose status is never set: one for a service without runners, and one
// for the version that is already in use.
func TestOrdersThatNeedNoTrial(t *testing.T) {
	withFleet(t, 5, config(1), func(w *testFleet) {
		tw := newTrial(w)
		tw.put(orderPrefix+"none", canary.Order{Service: "none", Target: newVersion, Duration: 2 * time.Second})
		tw.order(oldVersion)
		tw.runLoad(4 * time.Second)
		tw.Equal(tw.status(), orderStatus{oldVersion, canary.Completed})
		tw.Equal(tw.refused+tw.failed, 0)
		entry, err := tw.store.Get(context.Background(), statusPrefix+"none")
		tw.NoErr(err)
		var s orderStatus
		tw.NoErr(json.Unmarshal(entry.Value, &s))
		tw.Equal(s.State, canary.RolledBack)
	})
}

// Guards against sending requests to a version that was rolled back once another version is
// ordered, or while that one is on trial.
func TestSecondOrderWhileOneRuns(t *testing.T) {
	withTrial(t, 5, func(tw *trialTest) { tw.fails = func(string) float64 { return 1 } }, func(tw *trialTest) {
		tw.runLoad(5 * time.Second)
		tw.mu.Lock()
		before := tw.exposed
		tw.mu.Unlock()
		tw.put(orderPrefix+"app", canary.Order{Service: "app", Target: "v3", Duration: trialDuration})
		tw.runLoad(trialDuration)
		tw.Equal(tw.exposed, before)
		tw.Equal(tw.status(), orderStatus{"v3", canary.RolledBack})
		tw.states = nil
	})
}

// Guards against a trial that reaches a wrong decision because the operator changes routes
// meanwhile.
func TestConfigurationChangesDuringATrial(t *testing.T) {
	withTrial(t, 5, func(tw *trialTest) { tw.fails = func(string) float64 { return 0.4 } }, func(tw *trialTest) {
		for i := range 10 {
			c := config(uint64(i + 2))
			c.Routes[i%2].Name = fmt.Sprint("moved-", i)
			tw.configure(c)
			tw.runLoad(300 * time.Millisecond)
		}
		tw.runLoad(trialDuration - 4*time.Second)
		tw.Equal(tw.status().State, canary.RolledBack)
	})
}

// Guards against a trial that starts from scratch after all daemons were killed.
func TestTrialAfterAllDaemonsWereKilled(t *testing.T) {
	withTrial(t, 5, func(tw *trialTest) { tw.fails = func(string) float64 { return 0.08 } }, func(tw *trialTest) {
		tw.runLoad(2 * time.Second)
		for _, d := range tw.daemons {
			d.kill()
		}
		tw.servedBefore = true
		for i := range tw.daemons {
			tw.restart(i)
		}
		time.Sleep(time.Second)
		tw.runLoad(trialDuration - 4*time.Second)
		tw.True(tw.status().State.Final())
	})
}
