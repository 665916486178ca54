package soak_test

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

// An answer that has begun is cut only if its caller leaves, its deadline has passed, its daemon is disturbed, or
// the runner that it came from has failed. Belief that a runner has failed is no reason
// (docs/design/silent-runners.md). What happened is taken from the soak's own records of callers, runners, links
// and signals. Only which daemon helped another is taken from a daemon's log.

const (
	// graceReserve is the part of the grace that a daemon leaves for its process to exit; it cuts its answers then
	// (platform.md, own stop).
	graceReserve = 400 * time.Millisecond
	// maxSignalDelay is how long after its sending a signal may act on a busy machine.
	maxSignalDelay = 200 * time.Millisecond
	// callSilenceLimit is the time without any data after which a daemon closes its calls to another (2.5 seconds,
	// transport/peerhttp), less some for a busy machine.
	callSilenceLimit = 2400 * time.Millisecond
	// maxTransitTime bounds the time that data takes between a daemon and a runner: the delay of a link, and some for
	// a busy machine.
	maxTransitTime = linkDelay + 50*time.Millisecond
)

// excuse is why an answer may be cut; empty for none.
type excuse string

const (
	callerLeft       excuse = "caller left"
	deadlinePassed   excuse = "deadline passed"
	daemonKilled     excuse = "daemon killed"
	graceOver        excuse = "grace over"
	helperFailed     excuse = "helper disturbed"
	callPaused       excuse = "helped, and one of the two paused"
	runnerToldToFail excuse = "runner told to fail"
	runnerEnded      excuse = "runner ended"
	runnerCutOff     excuse = "runner cut off"
)

// runnerRun is one run of a request at a runner, and why it may have ended early; empty if the runner went on.
type runnerRun struct {
	site.Execution
	runner *proxiedRunner
	excuse excuse
}

// checkCuts checks that no answer was cut while its runner lives.
func (f *fleet) checkCuts(found *findings) {
	runs := f.runsByRequest()
	for _, a := range f.attemptLog.byID {
		if a.isCut() && f.excuseOf(a, runs[a.id]) == "" {
			found.add("answer cut while its runner lives", "%s %s by %s after %v, %d bytes, at %s", a.path, a.id, a.daemonAddress,
				a.ended.Sub(a.sent), len(a.answer), describeRuns(a, runs[a.id]))
		}
	}
}

// isCut reports whether the caller got only a part of an answer.
func (a *attempt) isCut() bool { return a.status != 0 && a.truncated }

func describeRuns(a *attempt, runs []runnerRun) string {
	var lines []string
	for _, run := range runs {
		sent := "nothing sent"
		if !run.LastSent.IsZero() {
			sent = fmt.Sprintf("last event at %v", run.LastSent.Sub(a.sent))
		}
		lines = append(lines, fmt.Sprintf("%s received at %v, %s %s", run.runner.ID, run.Received.Sub(a.sent), sent, run.excuse))
	}
	return strings.Join(lines, "; ")
}

// runsByRequest lists the runs of each request that began before its answer ended.
func (f *fleet) runsByRequest() map[string][]runnerRun {
	runs := map[string][]runnerRun{}
	for _, b := range f.allRunners() {
		for _, e := range b.Executions() {
			a, known := f.attemptLog.byID[e.ID]
			if !known || !e.Received.Before(a.ended) {
				continue
			}
			runs[e.ID] = append(runs[e.ID], runnerRun{e, b, f.excuseOfRun(b, &e, a)})
		}
	}
	return runs
}

// excuseOfRun returns why a run may have ended before its answer was whole.
func (f *fleet) excuseOfRun(b *proxiedRunner, e *site.Execution, a *attempt) excuse {
	why := b.excuseOf(e, a)
	if why == "" && isFar(b, f.daemonAt(a.daemonAddress)) && b.proxy.far.cutOff.overlap(e.Received, a.ended) {
		return runnerCutOff
	}
	return why
}

// excuseOf returns why a run may have ended before its answer was whole, the link between the domains apart. Silence is no reason, nor is a slow link.
func (r *proxiedRunner) excuseOf(e *site.Execution, a *attempt) excuse {
	switch {
	case e.Fault != "" && e.LastSent.Before(a.ended):
		// The runner has cut its own stream, or answered with no stream, before the caller's was cut.
		return runnerToldToFail
	case r.ended.overlap(e.Received, a.ended):
		// The runner's end closes its connections.
		return runnerEnded
	case r.proxy.cutOff.overlap(e.Received, a.ended):
		// The link has reset the connection or lost a part of the answer, after which nothing more of it arrives.
		return runnerCutOff
	}
	return ""
}

// excuseOf returns why an answer may have been cut.
func (f *fleet) excuseOf(a *attempt, runs []runnerRun) excuse {
	switch {
	case a.left:
		// The caller has closed the connection itself.
		return callerLeft
	case a.ended.Sub(a.sent) >= a.timeout().Truncate(time.Millisecond):
		// The request is worth nothing any more: its time is stated in whole milliseconds. The routes' timeouts are longer.
		return deadlinePassed
	}
	d := f.daemonAt(a.daemonAddress)
	if why := d.disturbance(a.sent, a.ended); why != "" {
		return why
	}
	if !a.stream {
		// A daemon has read a plain answer to its end before it begins to pass it on, whatever the runner does.
		return ""
	}
	if why := runsExcuse(runs); why != "" {
		return why
	}
	return f.helperExcuse(d, a, runs)
}

// runsExcuse returns why the answer that the runs made may be cut: no run of it could go on. A run that could is
// no longer the answer's if another has sent something beside it, and the daemon has taken that one in its place.
func runsExcuse(runs []runnerRun) excuse {
	var why excuse
	for _, live := range runs {
		if live.excuse != "" {
			why = live.excuse
			continue
		}
		other := slices.IndexFunc(runs, func(r runnerRun) bool {
			return r.excuse != "" && r.LastSent.After(live.Received.Add(-maxTransitTime))
		})
		if other < 0 {
			return ""
		}
		why = runs[other].excuse
	}
	return why
}

func (f *fleet) daemonAt(address string) *daemon {
	return f.daemons[slices.IndexFunc(f.daemons, func(d *daemon) bool { return d.CallerAddress() == address })]
}

// disturbance returns what the soak has done to a daemon's process that may cut an answer in the given time.
func (d *daemon) disturbance(from, to time.Time) excuse {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case slices.ContainsFunc(d.killedAt, func(at time.Time) bool { return at.After(from.Add(-maxSignalDelay)) && at.Before(to) }):
		// The kernel closes the connections of a killed process.
		return daemonKilled
	case slices.ContainsFunc(d.termAt, func(at time.Time) bool { return from.Before(at.Add(grace)) && !to.Before(at.Add(grace-graceReserve)) }):
		// What has not ended within the grace ends with the process.
		return graceOver
	}
	return ""
}

// helperLine matches the log line of a daemon that lets another one serve a request.
var helperLine = regexp.MustCompile(`"delegated" request="([^"]+)".* helper="([^"]+)"`)

// helperExcuse returns why an answer that came from another daemon may have been cut; empty if none helped. A daemon
// that was paused alone is no reason: the runners' connections stay open meanwhile.
func (f *fleet) helperExcuse(d *daemon, a *attempt, runs []runnerRun) excuse {
	for _, helper := range f.helpersOf(d, a) {
		switch {
		case helper.disturbance(a.sent, a.ended) != "":
			// The call to the helper broke off with its process.
			return helperFailed
		case helper.paused.overlapFor(callSilenceLimit, a.sent, a.ended), d.paused.overlapFor(callSilenceLimit, a.sent, a.ended):
			// Each of two daemons closes its calls to the other when that has been silent for too long.
			return callPaused
		case slices.ContainsFunc(runs, func(run runnerRun) bool {
			return isFar(run.runner, helper) && run.runner.proxy.far.cutOff.overlap(run.Received, a.ended)
		}):
			return runnerCutOff
		}
	}
	return ""
}

// helpersOf lists the daemons that a daemon let serve a request.
func (f *fleet) helpersOf(d *daemon, a *attempt) []*daemon {
	lines := helperLine.FindAllStringSubmatch(d.output.text(), -1)
	var helpers []*daemon
	for _, line := range lines {
		i := slices.IndexFunc(f.daemons, func(h *daemon) bool { return h.Name() == line[2] })
		if line[1] == a.id && i >= 0 {
			helpers = append(helpers, f.daemons[i])
		}
	}
	return helpers
}

// summarizeCuts counts the long streams that met a silence of a runner and the cuts by their reasons.
func (f *fleet) summarizeCuts() string {
	f.attemptLog.mu.Lock()
	defer f.attemptLog.mu.Unlock()
	runs := f.runsByRequest()
	met, whole := 0, 0
	cuts := map[excuse]int{}
	for _, a := range f.attemptLog.byID {
		if a.isCut() {
			cuts[f.excuseOf(a, runs[a.id])]++
		}
		if !slices.ContainsFunc(runs[a.id], func(run runnerRun) bool { return run.runner.silent.overlap(run.Received, a.ended) }) {
			continue
		}
		met++
		if a.status == 200 && !a.truncated {
			whole++
		}
	}
	return fmt.Sprintf("%d answers met a silence of their runner, %d of them whole; cuts: %v", met, whole, cuts)
}
