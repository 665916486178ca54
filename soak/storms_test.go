package soak_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

const (
	stormDaemons, stormRunners = 5, 10
	// stormTime is the time of two windows of the retry budget.
	stormTime = 2 * site.RetryWindow
	// A storm's runners refuse connections and serve by turns, so many of them at a time.
	refusalTime      = 1500 * time.Millisecond
	refusingAtATime  = 6
	stormFaultsDrawn = 5000
)

// storm describes requests that fail at many runners.
type storm struct {
	perSecond int
	with      conditions
	// kind is the index of the requests' kind in requestKinds.
	kind int
	// faults come in a share of the requests of each runner that isn't sound; the last ones in the order of IDs are.
	fault site.Fault
	share float64
	sound int
	// failsAfter is the time that the others take; zero for the runners' own.
	failsAfter time.Duration
	// served is the share of the requests that must be answered.
	served float64
	// bodyBytes is added to the requests' bodies.
	bodyBytes int
	// disturb goes on until its context ends.
	disturb func(ctx context.Context, f *fleet)
}

// Guards against connections that are refused and add to the retry budget, each as a new request.
func TestRefusedConnectionsDontAddToRetryBudget(t *testing.T) {
	for name, s := range map[string]storm{
		"connections closed": {perSecond: 130, with: conditions{attempts: 3}, fault: site.DropResponse, share: 0.6, disturb: refuseByTurns},
		"turned away":        {perSecond: 130, with: conditions{attempts: 4}, fault: site.QueueFull, share: 0.7, disturb: refuseByTurns},
	} {
		t.Run(name, s.play)
	}
}

// Guards against processes that start with a retry budget that their former lives have spent.
func TestRestartsDontRenewRetryBudget(t *testing.T) {
	for name, s := range map[string]storm{
		"all":               {perSecond: 25, with: conditions{attempts: 4}, fault: site.DropResponse, share: 0.8, disturb: killAllEvery(1500 * time.Millisecond)},
		"one after another": {perSecond: 25, with: conditions{attempts: 4}, fault: site.DropResponse, share: 0.8, disturb: killInTurnEvery(400 * time.Millisecond)},
	} {
		t.Run(name, s.play)
	}
}

// Guards against processes that start with a full retry budget because their settings say that the fleet has never served.
func TestRestartsWithFirstSettingsDontRenewRetryBudget(t *testing.T) {
	for name, disturb := range map[string]func(context.Context, *fleet){
		"all":               killAllEvery(3 * time.Second),
		"one after another": killInTurnEvery(400 * time.Millisecond),
		"store away":        whileStoreIsAwayByTurns(killAllEvery(4 * time.Second)),
	} {
		s := storm{perSecond: 25, with: conditions{attempts: 4, firstStarts: true}, fault: site.DropResponse, share: 0.8, disturb: disturb}
		t.Run(name, s.play)
	}
}

// Guards against retries that wait for connections which don't open, and reach runners together with those of a later window.
func TestRetriesThatWaitDontPileUp(t *testing.T) {
	for name, span := range map[string]time.Duration{"short": 2 * time.Second, "long": 12 * time.Second} {
		s := storm{perSecond: 130, with: conditions{attempts: 4}, fault: site.DropResponse, share: 0.7, disturb: stallByTurns(span)}
		t.Run(name, s.play)
	}
}

// Guards against runners that fail at once and draw the requests, since they are always idle.
func TestFailingRunnersDontDrawRequests(t *testing.T) {
	for name, s := range map[string]storm{
		"closed":          {perSecond: 25, fault: site.DropResponse, share: 1, sound: 5, served: 0.9},
		"closed, many":    {perSecond: 130, fault: site.DropResponse, share: 1, sound: 5, served: 0.9},
		"rejected":        {perSecond: 25, fault: site.QueueFull, share: 1, sound: 5, served: 0.9},
		"failed":          {perSecond: 25, fault: site.InternalError, share: 1, sound: 5, served: 0.9},
		"seven sound":     {perSecond: 25, fault: site.DropResponse, share: 1, sound: 7, served: 0.97},
		"failed slowly":   {perSecond: 25, fault: site.DropResponse, share: 1, sound: 5, failsAfter: 300 * time.Millisecond, served: 0.9},
		"one sound":       {perSecond: 25, fault: site.DropResponse, share: 1, sound: 1, served: 0.9},
		"failed at times": {perSecond: 25, fault: site.DropResponse, share: 0.4, sound: 5, served: 0.9},
		"streams":         {perSecond: 25, kind: 2, fault: site.TruncateStream, share: 1, sound: 5, served: 0.9},
	} {
		s.with, s.disturb = conditions{attempts: 4}, waitForEnd
		t.Run(name, s.play)
	}
}

// Guards against answers that are refused as none, and whose requests are sent again beyond the retry budget.
func TestBrokenAnswersKeepToRetryBudget(t *testing.T) {
	for name, s := range map[string]storm{
		"no status":       {perSecond: 130, fault: site.NoStatus, share: 0.8},
		"blank in a name": {perSecond: 130, kind: 2, fault: site.BlankInName, share: 0.8},
		"half sound":      {perSecond: 130, fault: site.NoStatus, share: 1, sound: 5, served: 0.9},
		"all killed":      {perSecond: 25, fault: site.NoStatus, share: 0.8, disturb: killAllEvery(1500 * time.Millisecond)},
	} {
		s.with = conditions{attempts: 4}
		if s.disturb == nil {
			s.disturb = waitForEnd
		}
		t.Run(name, s.play)
	}
}

// Guards against daemons with little of a processor that tell runners of more time than is left, or send again beyond the retry budget.
func TestSlowDaemonsTellOfTheTimeThatIsLeft(t *testing.T) {
	for name, s := range map[string]storm{
		"0.4 of a processor":          {perSecond: 300, fault: site.DropResponse, disturb: runForPartOf(20 * time.Millisecond)},
		"0.1 of a processor":          {perSecond: 130, fault: site.DropResponse, disturb: runForPartOf(5 * time.Millisecond)},
		"0.2 of a processor, uploads": {perSecond: 60, fault: site.DropResponse, bodyBytes: 256 << 10, disturb: runForPartOf(10 * time.Millisecond)},
		"0.2 of a processor, streams": {perSecond: 130, kind: 2, fault: site.TruncateStream, disturb: runForPartOf(10 * time.Millisecond)},
	} {
		s.with, s.share = conditions{attempts: 4}, 0.5
		t.Run(name, s.play)
	}
}

// slowPeriod is so short that a daemon that is stopped for a part of each isn't paused, but slow.
const slowPeriod = 50 * time.Millisecond

// runForPartOf lets the daemons run for so long of each slowPeriod, one after the other.
func runForPartOf(running time.Duration) func(context.Context, *fleet) {
	return func(ctx context.Context, f *fleet) {
		var slow sync.WaitGroup
		for _, d := range f.daemons {
			slow.Go(func() {
				for ctx.Err() == nil {
					// The process lives for the whole of the storm.
					_ = d.cmd.Process.Signal(syscall.SIGSTOP)
					time.Sleep(slowPeriod - running)
					_ = d.cmd.Process.Signal(syscall.SIGCONT)
					time.Sleep(running)
				}
			})
		}
		slow.Wait()
	}
}

// play plays a storm and checks the budget.
func (s storm) play(t *testing.T) {
	t.Parallel()
	f := startFleet(t, stormDaemons, stormRunners, s.with)
	s.setFaults(f)
	ctx, cancel := context.WithTimeout(context.Background(), stormTime)
	defer cancel()
	f.calling.Go(func() { s.disturb(ctx, f) })
	s.send(ctx, f)
	f.calling.Wait()
	f.attemptLog.mu.Lock()
	defer f.attemptLog.mu.Unlock()
	found := &findings{}
	f.checkBudget(found)
	if float64(f.answered()) < s.served*float64(len(f.attemptLog.byID)) {
		found.add("too few answered", "%d of %d", f.answered(), len(f.attemptLog.byID))
	}
	for _, b := range found.list {
		t.Error(b)
	}
	t.Logf("%d of %d answered, %v", f.answered(), len(f.attemptLog.byID), f.worstRepeatWindow(f.arrivalsByRequest()))
	if t.Failed() {
		f.saveLogs(f.seed)
	}
}

// failAtManyRunners makes one runner or half of them refuse connections for a while, and the others fail many requests.
func failAtManyRunners(rng *rand.Rand) fault {
	span, first := durationBetween(rng, 300*time.Millisecond, 2500*time.Millisecond), rng.IntN(1000)
	share := []string{"one runner", "half of the runners"}[rng.IntN(2)]
	next := drawStormFaults(rng, 20+rng.IntN(200), []site.Fault{site.DropResponse, site.QueueFull}[rng.IntN(2)], rng.Float64())
	return fault{description: fmt.Sprintf("%s refuse connections for %v, from %d on, the others get %d faults", share, span, first, len(next)), apply: func(f *fleet) {
		refusing := f.runnersFrom(first, share)
		for _, r := range f.runnersFrom(0, "all runners") {
			if !slices.Contains(refusing, r) {
				r.SetNextFaults(next...)
			}
		}
		var refusals sync.WaitGroup
		for _, r := range refusing {
			refusals.Go(func() { f.refuse(r, span) })
		}
		refusals.Wait()
	}}
}

// refuse makes a runner refuse connections for a while.
func (f *fleet) refuse(r *proxiedRunner, span time.Duration) {
	if err := r.proxy.refuse(span); err != nil {
		f.t.Errorf("%s does not serve again: %v", r.ID, err)
	}
}

// drawStormFaults draws the faults of a runner's next n requests, of which about a share get the fault.
func drawStormFaults(rng *rand.Rand, n int, one site.Fault, share float64) []site.Fault {
	faults := make([]site.Fault, n)
	for i := range faults {
		if rng.Float64() < share {
			faults[i] = one
		}
	}
	return faults
}

func (s storm) setFaults(f *fleet) {
	inOrder := f.allRunners()
	slices.SortFunc(inOrder, func(a, b *proxiedRunner) int { return cmp.Compare(a.ID, b.ID) })
	for i, r := range inOrder {
		rng := rand.New(rand.NewPCG(1, uint64(i)))
		if i < stormRunners-s.sound {
			r.SetNextFaults(drawStormFaults(rng, stormFaultsDrawn, s.fault, s.share)...)
			if s.failsAfter > 0 {
				r.SetWorkload(s.failsAfter, 1)
			}
		}
	}
}

// send sends requests to the daemons in turn until the context ends.
func (s storm) send(ctx context.Context, f *fleet) {
	c := newCaller(f, callers)
	defer c.client.CloseIdleConnections()
	ticks := time.NewTicker(time.Second / time.Duration(s.perSecond))
	defer ticks.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		a := f.attemptLog.add(requestKinds[s.kind], stableKey, f.daemons[i%len(f.daemons)].CallerAddress())
		a.body += strings.Repeat("x", s.bodyBytes)
		f.calling.Go(func() {
			answerCtx, cancel := context.WithTimeout(context.Background(), callerTimeout)
			defer cancel()
			c.sendOnce(answerCtx, a, callerTimeout)
		})
	}
}

// answered counts the requests that were served. The caller must hold attemptLog.mu.
func (f *fleet) answered() int {
	n := 0
	for _, a := range f.attemptLog.byID {
		if a.status == 200 && !a.truncated {
			n++
		}
	}
	return n
}

// stallByTurns makes half of the runners open no connection for a time, and then the other half.
func stallByTurns(span time.Duration) func(context.Context, *fleet) {
	return func(ctx context.Context, f *fleet) {
		for first := 0; ctx.Err() == nil; first += stormRunners / 2 {
			var stalls sync.WaitGroup
			for i := range stormRunners / 2 {
				r := f.runner(first + i)
				stalls.Go(func() {
					if err := r.proxy.stall(span); err != nil {
						f.t.Errorf("%s does not stall: %v", r.ID, err)
					}
				})
			}
			stalls.Wait()
		}
	}
}

// refuseByTurns makes the runners refuse connections for a while, some at a time, and serve for a while.
func refuseByTurns(ctx context.Context, f *fleet) {
	for first := 0; ctx.Err() == nil; first += refusingAtATime {
		for i := range refusingAtATime {
			r := f.runner(first + i)
			f.calling.Go(func() { f.refuse(r, refusalTime) })
		}
		time.Sleep(2 * refusalTime)
	}
}

// waitForEnd disturbs nothing.
func waitForEnd(ctx context.Context, _ *fleet) { <-ctx.Done() }

// killAllEvery kills all daemons again and again and starts them at once.
func killAllEvery(interval time.Duration) func(context.Context, *fleet) {
	return func(ctx context.Context, f *fleet) {
		for ctx.Err() == nil {
			time.Sleep(interval)
			f.calling.Go(func() { f.killAll(0) })
		}
	}
}

// whileStoreIsAwayByTurns disturbs a fleet whose store resets its connections for a while and serves for a while.
func whileStoreIsAwayByTurns(disturb func(context.Context, *fleet)) func(context.Context, *fleet) {
	return func(ctx context.Context, f *fleet) {
		f.calling.Go(func() {
			for ctx.Err() == nil {
				f.setStoreLinks(resetting)
				time.Sleep(time.Second)
				f.setStoreLinks(linkUp)
				time.Sleep(3 * time.Second)
			}
		})
		disturb(ctx, f)
	}
}

func (f *fleet) setStoreLinks(l link) {
	for _, d := range f.daemons {
		d.storeProxy.set(l)
	}
}

// killInTurnEvery kills one daemon after the other and starts it at once.
func killInTurnEvery(interval time.Duration) func(context.Context, *fleet) {
	return func(ctx context.Context, f *fleet) {
		for i := 0; ctx.Err() == nil; i++ {
			time.Sleep(interval)
			d := f.daemons[i%len(f.daemons)]
			f.calling.Go(func() { restartAfter(d, d.kill, 0) })
		}
	}
}

// breakAnswers makes one runner or half of them answer many requests with bytes that are no answer.
func breakAnswers(rng *rand.Rand) fault {
	first := rng.IntN(1000)
	share := []string{"one runner", "half of the runners"}[rng.IntN(2)]
	one := []site.Fault{site.NoStatus, site.BlankInName}[rng.IntN(2)]
	next := drawStormFaults(rng, 10+rng.IntN(50), one, rng.Float64())
	return fault{description: fmt.Sprintf("%s answer with %s, from %d on, up to %d times", share, one, first, len(next)), apply: func(f *fleet) {
		for _, r := range f.runnersFrom(first, share) {
			r.SetNextFaults(next...)
		}
	}}
}
