package edge

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// maxRevisions bounds the number of keys whose latest revision is remembered; above it, the
// revisions of all keys but the current runners' are dropped.
const maxRevisions = 20_000

// lapsedGrace is how long a runner whose entry has expired is still used if the service was
// unreachable shortly before, with the lowest preference. Its entry expired because the service
// was unreachable, and a runner that is alive registers again once the service is back.
const lapsedGrace = 1500 * time.Millisecond

// lostGrace is the same for a runner whose entry the service may have lost when it came back from a
// copy. The runner writes again within about two seconds, which a large fleet learns within another.
const lostGrace = 3 * time.Second

// lapsedRunner is a runner whose entry has expired: until when it is still used, and in which history of
// the service its entry has expired.
type lapsedRunner struct {
	until   time.Duration
	history uint64
}

// publishInterval is the least time between two passes of a long list of runners to the pools.
const publishInterval = time.Second

// runnerHash returns the hash that identifies a runner in messages.
func runnerHash(id ident.RunnerID) uint64 { return xxhash.Sum64String(string(id)) }

// recordRevision records a key's revision and reports whether it is newer than the known one.
// The same change may arrive both from a relay and from this daemon's own watch. The caller
// must hold dir.mu.
func (f *directory) recordRevision(key string, revision kv.Revision) bool {
	if revision <= f.revisions[key] {
		return false
	}
	if len(f.revisions) >= maxRevisions {
		for k := range f.revisions {
			if _, there := f.runners[k]; !there {
				delete(f.revisions, k)
			}
		}
	}
	f.revisions[key] = revision
	return true
}

// setRunner applies a runner's entry from the given source. The caller must hold dir.mu.
func (e *Edge) setRunner(entry kv.Entry, now time.Time, source decisions.Field) {
	r, err := e.deps.Codec.Runner(entry.Key, entry.Value, now)
	if err != nil {
		e.log.Note("runner_ignored", decisions.F("key", entry.Key), decisions.F("reason", err.Error()))
		return
	}
	if e.dir.removed.holdBack(e.deps.Steady(), entry, r) {
		e.log.Note("runner_ignored", decisions.F("key", entry.Key), decisions.F("reason", "removed before the service came back"),
			decisions.F("seq", r.Seq), decisions.F("revision", entry.Revision))
		return
	}
	delete(e.dir.lapsed, entry.Key)
	before, known := e.dir.runners[entry.Key]
	switch hash := runnerHash(r.ID); {
	case r.State == view.Leaving:
		e.dir.leaving.learn(e.deps.Steady(), hash)
	case e.dir.leaving.has(hash):
		// The runner or another daemon has said so before this older entry was read, or the service has
		// not taken the newer one or has lost it. A runner that is leaving never returns to another state.
		// Daemons that start now read the older entry, too, and need to be told.
		r.State = view.Leaving
		e.dir.leaving.tellAgain(e.deps.Steady(), hash)
	}
	if r.State == view.Leaving && (!known || before.State != view.Leaving) {
		e.dir.withdrawn = append(e.dir.withdrawn, r.ID)
	}
	e.dir.runners[entry.Key] = r
	if !known || before.State != r.State || before.ID != r.ID {
		e.log.Note("runner", decisions.F("runner", r.ID), decisions.F("service", r.Service), decisions.F("failure_domain", r.FailureDomain),
			decisions.F("state", r.State), decisions.F("version", r.Version), decisions.F("reclaimable", r.Reclaimable), decisions.F("revision", entry.Revision), source)
	}
}

// removeRunner applies the removal of a runner's entry, which was known at one revision and gone at a
// later one. If that belongs to another history, the service may just have lost the entry. The caller must
// hold dir.mu.
func (e *Edge) removeRunner(key string, known, gone kv.Revision) {
	delete(e.dir.removed.revived, key)
	r, exists := e.dir.runners[key]
	if _, hasLapsed := e.dir.lapsed[key]; !exists || hasLapsed {
		// Each relay dates a removal that its listing has shown by itself, so that it may arrive twice.
		return
	}
	now := e.deps.Steady()
	if grace := e.graceOfRemoval(now, known, gone); r.State == view.Live && grace > 0 {
		r.State = view.Suspect
		e.dir.runners[key] = r
		e.dir.lapsed[key] = lapsedRunner{until: now + grace, history: gone.History()}
		e.log.Note("runner_lapsed", decisions.F("runner", r.ID), decisions.F("since_store_trouble", now-e.dir.storeFailedAt), decisions.F("grace", grace))
		return
	}
	delete(e.dir.runners, key)
	e.dir.removed.add(now, key, r, gone.History())
	e.dir.withdrawn = append(e.dir.withdrawn, r.ID)
	e.log.Note("runner_gone", decisions.F("runner", r.ID), decisions.F("service", r.Service))
}

// graceOfRemoval returns how long a runner is still used whose entry was known at one revision and gone at
// a later one. The caller must hold dir.mu.
func (e *Edge) graceOfRemoval(now time.Duration, known, gone kv.Revision) time.Duration {
	switch {
	case known.History() != gone.History():
		return lostGrace
	case e.dir.storeFailedAt != 0 && now-e.dir.storeFailedAt < lapsedGrace:
		return lapsedGrace
	}
	return 0
}

// expireLapsed removes the runners whose expired entries have not come back in time.
func (e *Edge) expireLapsed() {
	now := e.deps.Steady()
	e.dir.mu.Lock()
	expired := false
	for key, l := range e.dir.lapsed {
		if now < l.until {
			continue
		}
		e.dir.removed.add(now, key, e.dir.runners[key], l.history)
		delete(e.dir.lapsed, key)
		delete(e.dir.runners, key)
		expired = true
		e.log.Note("runner_gone", decisions.F("key", key), decisions.F("reason", "entry did not come back"))
	}
	e.dir.mu.Unlock()
	if expired {
		e.publishRunners()
	}
}

// runnerList is a copy of the runners, by service, with their addresses. copiedAt is a time of Deps.Steady.
type runnerList struct {
	number    publication
	copiedAt  time.Duration
	byService map[string][]Runner
	addresses map[string]bool
}

// withdrawal names runners that must not be used any more.
type withdrawal struct {
	number  publication
	runners []ident.RunnerID
}

// publication numbers the lists and withdrawals in the order in which they are taken from the directory.
// Goroutines that publish at the same time may reach a pool in another order.
type publication uint64

// publishRunners passes the runners to the pools of their services. While many runners come and
// go, it does so once in publishInterval, and only withdraws those that are leaving or gone at
// once: sorting thousands of runners for every message would take most of a small VM's processor.
func (e *Edge) publishRunners() {
	list, w := e.dir.takePublication(e.deps.Steady())
	if list == nil {
		e.withdrawRunners(w)
		return
	}
	e.passRunners(list)
}

// takePublication copies the runners for the pools, or returns just those to withdraw if the list is long
// and was copied less than publishInterval ago.
func (f *directory) takePublication(now time.Duration) (*runnerList, withdrawal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publications++
	withdrawn := f.withdrawn
	f.withdrawn = nil
	isLong := len(f.runners) > routing.MaxRunners
	f.unpublished = isLong && f.publishedAt != 0 && now-f.publishedAt < publishInterval
	if f.unpublished {
		return nil, withdrawal{number: f.publications, runners: withdrawn}
	}
	if isLong {
		f.publishedAt = max(1, now)
	}
	list := &runnerList{number: f.publications, copiedAt: now, byService: map[string][]Runner{}, addresses: map[string]bool{}}
	for _, r := range f.runners {
		list.byService[r.Service] = append(list.byService[r.Service], r)
		list.addresses[r.Address] = true
	}
	return list, withdrawal{}
}

// passRunners passes a list to the pools and to the client that holds the connections.
func (e *Edge) passRunners(list *runnerList) {
	e.poolsMu.RLock()
	for _, p := range e.pools {
		p.setRunners(time.Now(), list)
	}
	e.poolsMu.RUnlock()
	e.retainConnections(list)
	e.log.Time("runners.pass_us", e.deps.Steady()-list.copiedAt)
}

// retainConnections closes idle connections to addresses that a list lacks, unless a newer list has been
// passed on.
func (e *Edge) retainConnections(list *runnerList) {
	e.retained.mu.Lock()
	defer e.retained.mu.Unlock()
	if list.number < e.retained.number {
		return
	}
	e.retained.number = list.number
	e.deps.Runners.Retain(list.addresses)
}

// publishLateRunners passes on the changes that publishRunners has left for later.
func (e *Edge) publishLateRunners() {
	e.dir.mu.Lock()
	due := e.dir.unpublished && e.deps.Steady()-e.dir.publishedAt >= publishInterval
	e.dir.mu.Unlock()
	if due {
		e.publishRunners()
	}
}

func (e *Edge) withdrawRunners(w withdrawal) {
	if len(w.runners) == 0 {
		return
	}
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	for _, p := range e.pools {
		p.withdraw(time.Now(), w)
	}
}
