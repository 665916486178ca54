package streamversion

import (
	"maps"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
)

// History tells which software versions the runners of the services have had lately.
type History struct {
	// knownSince is the time since which this daemon knows all versions, by itself or by other
	// daemons.
	knownSince time.Duration
	services   map[string]*versions
}

// versions are those of one service.
type versions struct {
	// lastSeen holds for each version when there was last a runner of it.
	lastSeen map[canary.Version]time.Duration
	// severalUntil is the latest time at which, as other daemons say, there was a runner of a
	// version other than the one in use; zero if none does.
	several      bool
	severalUntil time.Duration
}

// NewHistory returns a history that begins now. complete says that there have been no streams before.
func NewHistory(now time.Duration, complete bool) *History {
	h := &History{knownSince: now, services: map[string]*versions{}}
	if complete {
		h.knownSince = now - Memory
	}
	return h
}

func (h *History) service(name string) *versions {
	v := h.services[name]
	if v == nil {
		v = &versions{lastSeen: map[canary.Version]time.Duration{}}
		h.services[name] = v
	}
	return v
}

// Observe records that a service has runners of a version now.
func (h *History) Observe(now time.Duration, service string, v canary.Version) {
	h.service(service).lastSeen[v] = now
}

// Statement is what a daemon tells others of its history.
type Statement struct {
	// Known is how long the daemon has known all versions, at most Memory.
	Known time.Duration
	// Several holds the services that have had runners of several versions in that time, with the
	// time that has passed since there were last two.
	Several map[string]time.Duration
}

// Statement returns what this daemon knows.
func (h *History) Statement(now time.Duration) Statement {
	s := Statement{Known: min(Memory, now-h.knownSince)}
	for name, v := range h.services {
		if at, several := v.lastSeveral(now); several {
			if s.Several == nil {
				s.Several = map[string]time.Duration{}
			}
			s.Several[name] = now - at
		}
	}
	return s
}

// Merge records what another daemon has stated. A daemon that has just started learns in this way what
// the runners were before.
func (h *History) Merge(now time.Duration, s Statement) {
	h.knownSince = min(h.knownSince, now-s.Known)
	for name, age := range s.Several {
		v := h.service(name)
		if at := now - age; !v.several || at > v.severalUntil {
			v.several, v.severalUntil = true, at
		}
	}
}

// KnownFor returns how long this daemon has known all versions.
func (h *History) KnownFor(now time.Duration) time.Duration { return now - h.knownSince }

// Interrupt records that versions may have come and gone up to now of which this daemon has seen and heard nothing.
func (h *History) Interrupt(now time.Duration) { h.knownSince = now }

// maxStatementDelay covers the time by which another daemon may have seen a version later than this one.
const maxStatementDelay = 2 * time.Second

// NamedSince returns the time since which Versions names all versions. Of a version that had gone before this daemon
// started, it may know by others only that there was one.
func (h *History) NamedSince(now time.Duration) time.Duration {
	since := h.knownSince
	for _, v := range h.services {
		at, several := v.lastSeveral(now)
		if !several {
			continue
		}
		if own, named := v.ownSeveral(); !named || own < at-maxStatementDelay {
			since = max(since, at)
		}
	}
	return since
}

// Versions returns the versions that the runners of each service have had during Memory, sorted.
func (h *History) Versions(now time.Duration) map[string][]canary.Version {
	services := make(map[string][]canary.Version, len(h.services))
	for name, v := range h.services {
		v.forgetOld(now)
		if len(v.lastSeen) > 0 {
			services[name] = slices.Sorted(maps.Keys(v.lastSeen))
		}
	}
	return services
}

// Load records what daemons that have ended knew: all versions since a time. It isn't known when they last saw
// them, so it counts as now.
func (h *History) Load(now, knownSince time.Duration, services map[string][]canary.Version) {
	h.knownSince = min(h.knownSince, knownSince)
	for name, versions := range services {
		for _, v := range versions {
			h.Observe(now, name, v)
		}
	}
}

// Only returns the version of a service's runners if they have had no other one during Memory.
func (h *History) Only(now time.Duration, service string) (canary.Version, bool) {
	v := h.services[service]
	if v == nil || now-h.knownSince < Memory {
		return "", false
	}
	if _, several := v.lastSeveral(now); several {
		return "", false
	}
	for version := range v.lastSeen {
		return version, true
	}
	return "", false
}

// forgetOld forgets the versions that were last seen before Memory.
func (v *versions) forgetOld(now time.Duration) {
	maps.DeleteFunc(v.lastSeen, func(_ canary.Version, at time.Duration) bool { return now-at >= Memory })
}

// ownSeveral returns when this daemon last saw runners of two versions.
func (v *versions) ownSeveral() (time.Duration, bool) {
	var latest, second time.Duration
	for _, at := range v.lastSeen {
		if at >= latest {
			latest, at = at, latest
		}
		second = max(second, at)
	}
	return second, len(v.lastSeen) > 1
}

// lastSeveral returns when there were last runners of two versions, and forgets the versions that were
// last seen before Memory.
func (v *versions) lastSeveral(now time.Duration) (time.Duration, bool) {
	v.forgetOld(now)
	second, several := v.ownSeveral()
	if v.several && now-v.severalUntil >= Memory {
		v.several = false
	}
	if v.several && (!several || v.severalUntil > second) {
		return v.severalUntil, true
	}
	return second, several
}
