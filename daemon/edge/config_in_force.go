package edge

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/quota"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/route"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// This file puts the operator's configurations into force, and dates the proofs that the one in force is the newest.

// confirmedByIdleWatch dates the proof that an empty answer of a watch gives. A service that
// answered after the full timeout had found no change up to its end. An earlier answer proves
// only the state at the time of the call.
func (e *Edge) confirmedByIdleWatch(after kv.Revision, sent, wait time.Duration) {
	at := sent
	if e.deps.Steady()-sent >= wait {
		at = sent + wait
	}
	e.confirmedByWatch(after, at)
}

// confirmedByWatch records that a watch that began after a revision has proved the version that
// the service showed last to be the newest one at the given time. It proves nothing if that was in
// an earlier history of the service, or if another daemon has a newer version.
func (e *Edge) confirmedByWatch(after kv.Revision, at time.Duration) {
	e.dir.mu.Lock()
	e.dir.currentAt = max(e.dir.currentAt, at)
	e.dir.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	shown := e.configShown
	if shown.version == 0 || shown.revision.History() != after.History() || e.configBehindSince != 0 {
		return
	}
	e.fresh.RecordRead(shown.version, at)
	e.refreshPhase(e.deps.Steady())
}

// shownConfig is the newest version of the configuration by the word of the key-value service, which
// showed it last at a revision; zero if it can't be decoded.
type shownConfig struct {
	revision kv.Revision
	version  uint64
}

// note takes up what the service showed, unless it has shown something later. It reports whether
// that is new. A version that was written over the one in force, in the same history, is outdated:
// the one in force remains the newest. In a later history nothing says so.
func (s *shownConfig) note(revision kv.Revision, version, inForce uint64) bool {
	if revision <= s.revision {
		return false
	}
	if s.version == inForce && s.revision.History() == revision.History() {
		version = max(version, inForce)
	}
	*s = shownConfig{revision, version}
	return true
}

// noteUnreadable takes up that the service showed a value that can't be decoded.
func (s *shownConfig) noteUnreadable(revision kv.Revision) {
	if revision > s.revision {
		*s = shownConfig{revision: revision}
	}
}

// applyConfig activates an operator's configuration unless it is older than the active one. Only the
// operator's version numbers tell: an outdated answer, or a service that has come back from a copy,
// must not restore what has been removed.
func (e *Edge) applyConfig(event kv.Event, sent time.Duration) {
	if event.Deleted {
		e.log.Note("config_ignored", decisions.F("reason", "deleted"), decisions.F("revision", uint64(event.Revision)))
		return
	}
	config, err := e.deps.Codec.Config(event.Value)
	if err != nil {
		e.log.Note("config_ignored", decisions.F("reason", err.Error()), decisions.F("revision", uint64(event.Revision)))
		e.mu.Lock()
		e.configShown.noteUnreadable(event.Revision)
		e.mu.Unlock()
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	version := uint64(config.Version)
	inForce := e.fresh.Version()
	if e.configShown.note(event.Revision, version, inForce) && version < inForce {
		e.log.Note("config_ignored", decisions.F("reason", "older"), decisions.F("version", version),
			decisions.F("revision", event.Revision), decisions.F("in_force", inForce))
	}
	newest := version
	if event.Revision == e.configShown.revision {
		newest = e.configShown.version
	}
	if e.fresh.RecordRead(newest, sent) {
		e.configs.Add(version, event.Value)
		e.configBehindSince = 0
		e.activateConfig(route.NewTable(config), event.Revision)
	}
	e.refreshPhase(e.deps.Steady())
}

// limitsOf returns the workspaces' quotas.
func limitsOf(t *route.Table) map[ident.Workspace]quota.Limit {
	limits := map[ident.Workspace]quota.Limit{}
	for i := range t.Config().Workspaces {
		w := &t.Config().Workspaces[i]
		limits[w.Name] = quota.Limit{PerSecond: w.Quota.PerSecond, Burst: w.Quota.Burst}
	}
	return limits
}

// activateConfig puts a configuration into force. The caller must hold mu.
func (e *Edge) activateConfig(t *route.Table, revision kv.Revision) {
	e.limiter.SetLimits(e.deps.Steady(), limitsOf(t))
	e.table.Store(t)
	e.setServices(t)
	e.log.Note("config_in_force", decisions.F("version", t.Version()), decisions.F("revision", revision),
		decisions.F("routes", len(t.Config().Routes)), decisions.F("workspaces", len(t.Config().Workspaces)), decisions.F("keyless", t.Config().Keyless))
}

// setServices creates or updates the pools of a configuration's services. Pools of services
// that are no longer configured are kept, since requests may still be in progress there.
func (e *Edge) setServices(t *route.Table) {
	e.poolsMu.Lock()
	for i := range t.Config().Services {
		s := &t.Config().Services[i]
		p, ok := e.pools[s.Name]
		if !ok {
			p = newPool(e, *s)
			e.pools[s.Name] = p
		}
		p.setService(*s)
	}
	e.poolsMu.Unlock()
	e.publishRunners()
}
