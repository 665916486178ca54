package edge

import (
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/ident"
)

// A runner that leaves says so in its entry, and in its answers when the key-value service can't take the
// entry. Its ID is that of one incarnation, for which the word is final: it holds although the entry says
// something else, lapses, or comes back.

const (
	// leavingMemory is how long a runner without an entry is remembered as leaving. An entry that has
	// lapsed while the service was unreachable comes back within seconds of the service's return.
	leavingMemory = 10 * time.Minute
	// expireLeavingInterval is the time between two looks for runners that can be forgotten.
	expireLeavingInterval = time.Minute
)

// leavingRunners holds the runners that are known to be leaving, by runnerHash.
type leavingRunners struct {
	marks     map[uint64]leavingMark
	expiredAt time.Duration
}

// leavingMark says since when a runner is known to be leaving, and when its entry was last known.
type leavingMark struct{ since, entryKnownAt time.Duration }

// learn records that a runner is leaving, and reports whether that is new.
func (l *leavingRunners) learn(now time.Duration, runner uint64) bool {
	if l.has(runner) {
		return false
	}
	l.marks[runner] = leavingMark{since: now, entryKnownAt: now}
	return true
}

// tellAgain makes learnedSince list a runner anew.
func (l *leavingRunners) tellAgain(now time.Duration, runner uint64) {
	mark := l.marks[runner]
	mark.since = now
	l.marks[runner] = mark
}

func (l *leavingRunners) has(runner uint64) bool {
	_, known := l.marks[runner]
	return known
}

// learnedSince lists the hashes of the runners that were found to be leaving since a time.
func (l *leavingRunners) learnedSince(from time.Duration) []uint64 {
	var hashes []uint64
	for runner, mark := range l.marks {
		if mark.since >= from {
			hashes = append(hashes, runner)
		}
	}
	slices.Sort(hashes)
	return hashes
}

// expire forgets runners that have had no entry for leavingMemory.
func (l *leavingRunners) expire(now time.Duration, runners map[string]Runner) {
	if now-l.expiredAt < expireLeavingInterval || len(l.marks) == 0 {
		return
	}
	l.expiredAt = now
	for _, r := range runners {
		h := runnerHash(r.ID)
		if mark, known := l.marks[h]; known {
			mark.entryKnownAt = now
			l.marks[h] = mark
		}
	}
	for runner, mark := range l.marks {
		if now-mark.entryKnownAt > leavingMemory {
			delete(l.marks, runner)
		}
	}
}

// leavingHashesSince lists the hashes of the runners that were found to be leaving since a time.
func (f *directory) leavingHashesSince(from time.Duration) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving.learnedSince(from)
}

func (e *Edge) isLeaving(id ident.RunnerID) bool {
	e.dir.mu.Lock()
	defer e.dir.mu.Unlock()
	return e.dir.leaving.has(runnerHash(id))
}

func (e *Edge) expireLeaving() {
	e.dir.mu.Lock()
	defer e.dir.mu.Unlock()
	e.dir.leaving.expire(e.deps.Steady(), e.dir.runners)
	e.dir.removed.expire(e.deps.Steady())
}

// receiveLeaving marks runners that another daemon has found to be leaving. This daemon may read their entries
// later, because it waits to read several changes together or can't reach the service.
func (e *Edge) receiveLeaving(hashes []uint64) {
	e.markLeaving(hashes, decisions.F("told_by", "peer"))
}

// recordLeavingAnswer records that a runner has said in an answer that it is leaving, and reports whether that
// is new.
func (e *Edge) recordLeavingAnswer(id ident.RunnerID) bool {
	return e.markLeaving([]uint64{runnerHash(id)}, decisions.F("told_by", "answer"))
}

// markLeaving records that runners are leaving and stops their use. It reports whether that is new of any. The
// other daemons are told, since some of them receive messages only from this one.
func (e *Edge) markLeaving(hashes []uint64, source decisions.Field) bool {
	if len(hashes) == 0 {
		return false
	}
	now := e.deps.Steady()
	learned, changed := false, false
	e.dir.mu.Lock()
	for _, h := range hashes {
		learned = e.dir.leaving.learn(now, h) || learned
	}
	if !learned {
		e.dir.mu.Unlock()
		return false
	}
	for key, r := range e.dir.runners {
		if r.State == view.Leaving || !e.dir.leaving.has(runnerHash(r.ID)) {
			continue
		}
		r.State = view.Leaving
		e.dir.runners[key] = r
		e.dir.withdrawn = append(e.dir.withdrawn, r.ID)
		changed = true
		e.log.Note("runner", decisions.F("runner", r.ID), decisions.F("service", r.Service), decisions.F("failure_domain", r.FailureDomain),
			decisions.F("state", r.State), source)
	}
	e.dir.mu.Unlock()
	if changed {
		e.publishRunners()
	}
	return true
}

// observeLeaving takes up what the runner's answer says about its leaving.
func (a *attempt) observeLeaving(answer *Answer) {
	a.s.leavingRunner = 0
	if !answer.Leaving {
		return
	}
	a.s.leavingRunner = runnerHash(a.choice.Runner)
	state := a.s.pool.entryOf(a.choice.Runner).State
	if a.s.edge.recordLeavingAnswer(a.choice.Runner) {
		a.s.note("runner_says_leaving", decisions.F("runner", a.choice.Runner), decisions.F("state", state))
	}
}
