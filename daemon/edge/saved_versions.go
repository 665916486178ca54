package edge

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// This file saves which software versions the services have had lately, and keeps streams that may be
// resumed from a new version until it is saved.

const (
	// savedVersionsKey is the key with the services' versions.
	savedVersionsKey = savedStreamsPrefix + "versions"
	// maxClockError is the time by which two daemons' estimates of the time of day may differ.
	maxClockError = time.Second
	// maxVersionWait is how long streams that may be resumed don't begin at runners of a new version while it isn't saved:
	// if all daemons were lost meanwhile, nobody would know that there was one.
	maxVersionWait = 2 * time.Second
)

// savedVersions is the value of savedVersionsKey.
type savedVersions struct {
	// History is the number of the key-value service's history in which the value was written. A later
	// one of an earlier history may be lost.
	History uint64 `json:"history,omitempty"`
	// KnownSinceMillis is the Unix time since which Services lists all versions that requests were sent to.
	KnownSinceMillis int64                       `json:"known_since_unix_ms"`
	Services         map[string][]canary.Version `json:"services"`
}

// says reports whether two values say the same, but for the error of the time of day.
func (v savedVersions) says(other savedVersions) bool {
	apart := time.Duration(v.KnownSinceMillis-other.KnownSinceMillis) * time.Millisecond
	return v.History == other.History && apart.Abs() <= maxClockError && maps.EqualFunc(v.Services, other.Services, slices.Equal)
}

// observe records which versions a service's runners have.
func (s *streamSaver) observe(now time.Duration, service string, versions []canary.Version) {
	seen := make(map[canary.Version]time.Duration, len(versions))
	for _, v := range versions {
		at, known := s.firstSeen[service][v]
		if !known {
			at = now
		}
		seen[v] = at
	}
	s.firstSeen[service] = seen
}

// unsaved returns those of a service's versions that came so lately that they may not be saved yet; none if no
// version of the service is saved.
func (s *streamSaver) unsaved(now time.Duration, service string, versions []canary.Version) []canary.Version {
	saved := s.versionsSaved[service]
	if len(saved) == 0 {
		return nil
	}
	var unsaved []canary.Version
	for _, v := range versions {
		at, known := s.firstSeen[service][v]
		if !slices.Contains(saved, v) && (!known || now-at < maxVersionWait) {
			unsaved = append(unsaved, v)
		}
	}
	return unsaved
}

// unfitToBegin returns the runners at which no stream that may be resumed should begin, unless no other runner takes
// requests: those of versions that aren't saved yet, and restarted ones, whose version isn't known.
func (p *pool) unfitToBegin() prefix.Set {
	restarted := p.edge.restarted.list(p.edge.deps.Steady())
	p.mu.Lock()
	defer p.mu.Unlock()
	unfit, hasFit := p.unfitToBeginLocked(restarted)
	if len(unfit) == 0 || !hasFit {
		return prefix.Set{}
	}
	return p.table.Exclude(unfit...)
}

// hasFitToBegin reports whether a runner takes requests that unfitToBegin doesn't return.
func (p *pool) hasFitToBegin() bool {
	restarted := p.edge.restarted.list(p.edge.deps.Steady())
	p.mu.Lock()
	defer p.mu.Unlock()
	_, hasFit := p.unfitToBeginLocked(restarted)
	return hasFit
}

// unfitToBeginLocked lists the runners of versions that aren't saved yet and restarted ones, and reports whether another one
// takes requests. The caller must hold mu.
func (p *pool) unfitToBeginLocked(restarted map[ident.RunnerID]bool) (unfit []ident.RunnerID, hasFit bool) {
	unsaved := p.unsavedVersionsLocked(p.edge.deps.Steady())
	if len(unsaved) == 0 && len(restarted) == 0 {
		return nil, true
	}
	for id, r := range p.runners {
		if slices.Contains(unsaved, r.Version) || restarted[id] {
			unfit = append(unfit, id)
		} else if r.State != view.Leaving {
			hasFit = true
		}
	}
	return unfit, hasFit
}

// unsavedVersionsLocked returns the versions that aren't saved yet. The caller must hold mu.
func (p *pool) unsavedVersionsLocked(now time.Duration) []canary.Version {
	if len(p.versions) < 2 {
		return nil
	}
	streams := &p.edge.streams
	streams.mu.Lock()
	defer streams.mu.Unlock()
	return streams.saver.unsaved(now, p.name, p.versions)
}

// writeSavedVersions writes the services' versions if they have changed; false if that failed.
func (e *Edge) writeSavedVersions(ctx context.Context) bool {
	saver := &e.streams.saver
	next := e.versionsToSave()
	if next.says(saver.versions) {
		return true
	}
	data, err := json.Marshal(next)
	if err != nil {
		e.log.Note("streams_unsaved", decisions.F("key", savedVersionsKey), decisions.F("error", err.Error()))
		return true
	}
	if !e.writeSaved(ctx, savedVersionsKey, data) {
		return false
	}
	saver.versions = next
	return true
}

// versionsToSave returns the services' versions.
func (e *Edge) versionsToSave() savedVersions {
	now := e.deps.Steady()
	history, _ := e.dir.presentHistory()
	e.streams.mu.Lock()
	knownSince, services := e.streams.history.NamedSince(now), e.streams.history.Versions(now)
	e.streams.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	since := e.wallClock.At(knownSince).Add(maxClockError)
	return savedVersions{History: history, KnownSinceMillis: since.UnixMilli(), Services: services}
}

// noteSavedVersions takes up which versions are saved, as the key-value service or a relay shows. This daemon may have missed
// the ones that are new among them.
func (e *Edge) noteSavedVersions(value []byte) (saved savedVersions, ok bool) {
	if json.Unmarshal(value, &saved) != nil {
		return savedVersions{}, false
	}
	e.streams.mu.Lock()
	defer e.streams.mu.Unlock()
	now := e.deps.Steady()
	for service, versions := range saved.Services {
		for _, v := range versions {
			if !slices.Contains(e.streams.saver.versionsSaved[service], v) {
				e.streams.history.Observe(now, service, v)
			}
		}
	}
	e.streams.saver.versionsSaved = saved.Services
	return saved, true
}

// applySavedVersions reports whether the saved versions are the last ones that were written.
func (e *Edge) applySavedVersions(now time.Duration, entry kv.Entry) bool {
	saved, ok := e.noteSavedVersions(entry.Value)
	if !ok || saved.History != entry.Revision.History() {
		return false
	}
	e.mu.Lock()
	knownFor := e.wallClock.At(now).Sub(time.UnixMilli(saved.KnownSinceMillis))
	e.mu.Unlock()
	e.streams.mu.Lock()
	defer e.streams.mu.Unlock()
	e.streams.history.Load(now, now-max(0, knownFor), saved.Services)
	return true
}
