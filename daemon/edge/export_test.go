package edge

import (
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/route"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// PutInForceWhile reads a configuration at a revision and runs during in the middle of
// putting it into force, when what others know of it is still the former one.
func (e *Edge) PutInForceWhile(c route.Config, revision kv.Revision, during func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	during()
	e.fresh.RecordRead(uint64(revision), e.deps.Steady())
	e.putInForce(route.NewTable(c), revision)
}

// EngineRate is the tokens a second that a service's engines are taken to read.
func (e *Edge) EngineRate(service string) float64 {
	p := e.pool(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engines.Rate()
}

// KnowsFleetWork tells whether the work of most of the fleet is known for long enough for
// runners to be given back.
func (e *Edge) KnowsFleetWork() bool { return e.complete(e.deps.Steady(), knownFor) }

// LeavingRunners is the number of runners that the daemon knows to be leaving.
func (e *Edge) LeavingRunners() int {
	e.dir.mu.Lock()
	defer e.dir.mu.Unlock()
	n := 0
	for _, r := range e.dir.runners {
		if r.State == view.Leaving {
			n++
		}
	}
	return n
}

// IsRelay tells whether the daemon takes itself for a relay.
func (e *Edge) IsRelay() bool { return e.relaying.Load() }

// Elects tells whether the daemon takes another one for a relay.
func (e *Edge) Elects(other *Edge) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.elects(other.self)
}

// HoldsDuties tells whether the daemon holds the duties.
func (e *Edge) HoldsDuties() bool { return e.duties.holder.Token() != 0 }

// FleetSize is the number of daemons that the daemon counts on.
func (e *Edge) FleetSize() int { return e.fleetSize() }

// AlivePeers is the number of other daemons that the daemon takes to be alive.
func (e *Edge) AlivePeers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.alive)
}
