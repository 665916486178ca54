package edge

import (
	"time"

	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// A key-value service that comes back from a copy shows entries again that were removed since. A runner
// whose entry was removed has left or ended, so it isn't used again until it has written anew, or its
// entry has outlasted revivalDelay.

const (
	// removedMemory is how long the removal of an entry is remembered: longer than a copy is old.
	removedMemory = 5 * time.Minute
	// revivalDelay is longer than the platform keeps the entry of a runner that says nothing.
	revivalDelay = 5 * time.Second
)

// removedRunner is a runner whose entry was removed, with the number of its last write and the history
// of the service that showed the removal.
type removedRunner struct {
	id      ident.RunnerID
	seq     uint64
	history uint64
	at      time.Duration
}

// revivedEntry is an entry that has come back with the service's copy, and when it did.
type revivedEntry struct {
	entry kv.Entry
	at    time.Duration
}

// removedRunners holds the removed runners, and the entries that have come back, by their keys.
type removedRunners struct {
	runners   map[string]removedRunner
	revived   map[string]revivedEntry
	expiredAt time.Duration
}

func newRemovedRunners() removedRunners {
	return removedRunners{runners: map[string]removedRunner{}, revived: map[string]revivedEntry{}}
}

// add records that the service has shown, in a history, that a runner's entry was removed.
func (m *removedRunners) add(now time.Duration, key string, r Runner, history uint64) {
	m.runners[key] = removedRunner{id: r.ID, seq: r.Seq, history: history, at: now}
}

// holdBack reports whether an entry was removed in an earlier history and hasn't been written since. Such
// an entry is kept until it is due.
func (m *removedRunners) holdBack(now time.Duration, entry kv.Entry, r Runner) bool {
	former, known := m.runners[entry.Key]
	if !known || former.id != r.ID || r.Seq > former.seq || entry.Revision.History() <= former.history {
		m.forget(entry.Key)
		return false
	}
	m.revived[entry.Key] = revivedEntry{entry, now}
	return true
}

func (m *removedRunners) forget(key string) {
	delete(m.runners, key)
	delete(m.revived, key)
}

// takeDue returns the entries that have come back and have stayed for revivalDelay, and forgets that they
// were removed.
func (m *removedRunners) takeDue(now time.Duration) []kv.Entry {
	var due []kv.Entry
	for key, r := range m.revived {
		if now-r.at >= revivalDelay {
			due = append(due, r.entry)
			m.forget(key)
		}
	}
	return due
}

// expire forgets removals after removedMemory.
func (m *removedRunners) expire(now time.Duration) {
	if now-m.expiredAt < expireLeavingInterval {
		return
	}
	m.expiredAt = now
	for key, r := range m.runners {
		if now-r.at > removedMemory {
			delete(m.runners, key)
		}
	}
}

// useRevivedRunners uses the runners whose entries have come back with the service and were not removed
// again.
func (e *Edge) useRevivedRunners() {
	e.dir.mu.Lock()
	due := e.dir.removed.takeDue(e.deps.Steady())
	for _, entry := range due {
		e.setRunner(entry, time.Now(), decisions.F("told_by", "store"))
	}
	e.dir.mu.Unlock()
	if len(due) > 0 {
		e.publishRunners()
	}
}
