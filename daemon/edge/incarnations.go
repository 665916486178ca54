package edge

import (
	"maps"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/ident"
)

// A runner's entry describes one incarnation of it. A runner that has started again under the name and at the
// address that it had is described by its former entry until its new one has been read, so it is asked over each
// connection which incarnation it is.

// restartedMemory is how long a runner counts as restarted after another incarnation has answered or a connection has
// failed. Its entry is replaced or removed within that time while the key-value service takes writes.
const restartedMemory = revivalDelay

// recentRunners holds the incarnations of which something was found out within restartedMemory, and when that was.
type recentRunners struct {
	mu sync.Mutex
	at map[ident.RunnerID]time.Duration
}

func (r *recentRunners) add(now time.Duration, id ident.RunnerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at == nil {
		r.at = map[ident.RunnerID]time.Duration{}
	}
	r.forgetOldLocked(now)
	r.at[id] = now
}

func (r *recentRunners) forgetOldLocked(now time.Duration) {
	maps.DeleteFunc(r.at, func(_ ident.RunnerID, at time.Duration) bool { return now-at >= restartedMemory })
}

func (r *recentRunners) forget(id ident.RunnerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.at, id)
}

// contains reports whether something was found out of an incarnation within restartedMemory.
func (r *recentRunners) contains(now time.Duration, id ident.RunnerID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, known := r.at[id]
	return known && now-at < restartedMemory
}

// list returns the incarnations of which it was found out within restartedMemory.
func (r *recentRunners) list(now time.Duration) map[ident.RunnerID]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetOldLocked(now)
	if len(r.at) == 0 {
		return nil
	}
	recent := make(map[ident.RunnerID]bool, len(r.at))
	for id := range r.at {
		recent[id] = true
	}
	return recent
}

// asksIncarnation reports whether the runner has to say which incarnation it is before the request is sent: its
// software version matters to streams that may be resumed.
func (a *attempt) asksIncarnation() bool {
	return a.entry.SaysIncarnation && a.s.exchange.Terms.Resumable
}

// onIdentified returns what is called with the runner's incarnation; nil if it need not say.
func (a *attempt) onIdentified() func(ident.RunnerID, bool) {
	if !a.asksIncarnation() {
		return nil
	}
	return a.handleIdentified
}

// handleIdentified records which incarnation the runner at the other end of the connection says it is. It may also be another
// runner, which answers 421.
func (a *attempt) handleIdentified(says ident.RunnerID, answered bool) {
	a.incarnation, a.doesNotSay = says, says == "" && answered
	e := a.s.edge
	switch says {
	case a.choice.Runner:
		e.log.Count("incarnations.entered")
		e.restarted.forget(says)
	case "":
		e.log.Count("incarnations.unknown")
	default:
		a.foundRestarted = true
		e.restarted.add(e.deps.Steady(), a.choice.Runner)
		a.s.note("runner_restarted", decisions.F("runner", a.choice.Runner), decisions.F("says", says), decisions.F("version", a.entry.Version),
			decisions.F("list_age", a.s.pool.listAge()))
	}
}

// isEntered reports whether the incarnation that answers is known to be the one that its entry describes. Of a runner that
// doesn't say, that is believed unless a connection to it has failed lately.
func (a *attempt) isEntered() bool {
	if !a.doesNotSay {
		return a.incarnation == a.choice.Runner
	}
	e := a.s.edge
	return !e.mayHaveEnded.contains(e.deps.Steady(), a.choice.Runner) && a.s.pool.isCurrent(a.choice.Runner, a.choice.Address, a.entry.Version)
}

// recordMayHaveEnded records that a connection to the runner has failed, as it does when the runner ends.
func (a *attempt) recordMayHaveEnded() {
	if a.entry.SaysIncarnation {
		e := a.s.edge
		e.mayHaveEnded.add(e.deps.Steady(), a.choice.Runner)
	}
}

// mayBegin reports whether the request may be sent to the incarnation that answers at the runner's address. A stream goes on
// only where the version is known. A new one begins at an incarnation without an entry only if there is no other runner, and
// goes on nowhere then.
func (a *attempt) mayBegin() bool {
	switch {
	case !a.asksIncarnation() || a.isEntered():
		return true
	case a.s.bound.known:
		return false
	}
	return a.incarnation == "" || !a.s.pool.hasFitToBegin()
}
