package soak_test

import (
	"context"
	"slices"
	"syscall"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

const (
	// cutOffDaemon is the index of the only daemon of the second domain, which reaches no runner in these tests.
	cutOffDaemon   = 1
	helperAttempts = 3
	helpedRequests = 6
	// runnerFailsAfter is the time that a runner takes to fail a request.
	runnerFailsAfter = 300 * time.Millisecond
	pathsLostWithin  = 3 * time.Second
)

// helperPlay plays requests that a daemon lets another one serve, and that fail at all runners.
type helperPlay struct {
	// kind is the index of the requests' kind in requestKinds, and fault what the runners do.
	kind  int
	fault site.Fault
	// disturb is called when the request has reached its first runner.
	disturb func(helper, delegating *daemon)
}

// Guards against requests that reach more runners than their route allows since a helper that was paused goes on with those that
// other daemons serve meanwhile, or since what it has told is lost.
func TestDisturbedHelpersKeepToAttempts(t *testing.T) {
	for name, p := range map[string]helperPlay{
		"paused":          {0, site.DropResponse, pauseHelperFor(1700 * time.Millisecond)},
		"paused for long": {0, site.DropResponse, pauseHelperFor(2800 * time.Millisecond)},
		"paused, stream":  {2, site.TruncateStream, pauseHelperFor(1700 * time.Millisecond)},
		"killed":          {0, site.DropResponse, func(helper, _ *daemon) { restartAfter(helper, helper.kill, 0) }},
		"both paused": {0, site.DropResponse, func(helper, d *daemon) {
			d.signal(syscall.SIGSTOP)
			helper.pauseFor(1700 * time.Millisecond)
			d.resume()
		}},
	} {
		t.Run(name, p.play)
	}
}

func pauseHelperFor(span time.Duration) func(helper, delegating *daemon) {
	return func(helper, _ *daemon) { helper.pauseFor(span) }
}

func (p helperPlay) play(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, stormRunners, conditions{domains: true, attempts: helperAttempts})
	f.cutOffSecondDomain()
	time.Sleep(pathsLostWithin)
	for _, r := range f.allRunners() {
		r.SetWorkload(runnerFailsAfter, 1)
	}
	repeated := 0
	for range helpedRequests {
		id := p.send(f)
		arrivals := len(f.arrivalsByRequest()[id])
		if arrivals > 1 {
			repeated++
		}
		if arrivals > helperAttempts {
			t.Errorf("%s arrived %d times, %d allowed", id, arrivals, helperAttempts)
		}
	}
	t.Logf("%d of %d requests were repeated", repeated, helpedRequests)
	if repeated == 0 {
		t.Error("no request was repeated")
	}
	if t.Failed() {
		f.saveLogs(f.seed)
	}
}

// send sends a request to the daemon that is cut off, disturbs its helper, and returns the request's ID when it is over.
func (p helperPlay) send(f *fleet) string {
	for _, r := range f.allRunners() {
		r.SetNextFaults(slices.Repeat([]site.Fault{p.fault}, 2*helperAttempts)...)
	}
	c := newCaller(f, callers)
	defer c.client.CloseIdleConnections()
	delegating := f.daemons[cutOffDaemon]
	a := f.attemptLog.add(requestKinds[p.kind], stableKey, delegating.CallerAddress())
	f.calling.Go(func() { c.sendOnce(context.Background(), a, callerTimeout) })
	defer f.calling.Wait()
	for deadline := time.Now().Add(callerTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if helpers := f.helpersOf(delegating, a); len(helpers) > 0 && len(f.arrivalsByRequest()[a.id]) > 0 {
			p.disturb(helpers[0], delegating)
			break
		}
	}
	return a.id
}

// cutOffSecondDomain takes the runners of the second domain away and cuts the links from there to the others.
func (f *fleet) cutOffSecondDomain() {
	for _, r := range f.allRunners() {
		if r.zone == zones[1] {
			r.proxy.set(resetting)
		}
	}
	f.setFarLinks(zones[:1], resetting)
}
