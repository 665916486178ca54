package edge

import (
	"context"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/streamversion"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// Runners of several software versions may serve one service side by side, and a stream goes on only
// at the version that began it. Package streamversion describes how the daemons remember versions; its
// holders are the daemons that share the quotas, which relays know, too.

// streamUnknownRetryAfter is the retry time of a request whose stream is unknown. Another daemon may know it, or
// reach the ones that do.
const streamUnknownRetryAfter = 300 * time.Millisecond

// unknownVersion stands for the version of a stream whose runner's version isn't known. No runner has it.
const unknownVersion canary.Version = "\x00unknown"

// versionSource says how a daemon has learned the version of a stream.
type versionSource string

const (
	fromOwnRecord   versionSource = "own_record"
	fromHolder      versionSource = "holder"
	fromOnlyVersion versionSource = "only_version"
	// fromSaved is what the key-value service keeps, fromFirstEvent the runner of the first event.
	fromSaved      versionSource = "saved"
	fromFirstEvent versionSource = "first_event"
)

// streamVersions holds what this daemon knows of the versions of streams and services.
type streamVersions struct {
	mu      sync.Mutex
	records *streamversion.Records
	history *streamversion.History
	asks    asks[canary.Version]
	// sends holds the records that wait for an acknowledgement.
	sends asks[struct{}]
	saver streamSaver
	// observedAt is when tickLoop last observed the versions.
	observedAt time.Duration
}

func (v *streamVersions) init(now time.Duration) {
	v.records = streamversion.NewRecords()
	v.history = streamversion.NewHistory(now, false)
	v.asks.init()
	v.sends.init()
	v.saver.init()
	v.observedAt = now
}

// assumeComplete records that there have been no streams before this daemon's start.
func (v *streamVersions) assumeComplete(startedAt time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.history = streamversion.NewHistory(startedAt, true)
}

func (v *streamVersions) get(now time.Duration, s streamversion.Stream) (canary.Version, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.records.Get(now, s)
}

// observe records that a service has runners of a version.
func (v *streamVersions) observe(now time.Duration, service string, version canary.Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.history.Observe(now, service, version)
}

// knownFor returns how long this daemon has known all versions.
func (v *streamVersions) knownFor(now time.Duration) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.history.KnownFor(now)
}

// putStream records the version of a stream as something says it. Two records of a stream that differ show that a daemon
// was wrong about a runner's version.
func (e *Edge) putStream(s streamversion.Stream, version canary.Version, source versionSource) {
	e.streams.mu.Lock()
	kept := e.streams.records.Put(e.deps.Steady(), s, version)
	e.streams.mu.Unlock()
	if kept != version {
		e.log.Note("stream_record_conflict", decisions.F("stream_hash", uint64(s)), decisions.F("version", version), decisions.F("source", source), decisions.F("recorded", kept))
	}
}

func (v *streamVersions) only(now time.Duration, service string) (canary.Version, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.history.Only(now, service)
}

// boundVersion is the software version at which a stream must go on; known is false as long as any
// version may serve it.
type boundVersion struct {
	version canary.Version
	known   bool
}

// bindResumed binds a request that resumes a stream to the version that began it.
func (s *requestHandler) bindResumed(ctx context.Context) *refusal.Refusal {
	if s.req.LastEventID == "" || !s.exchange.Terms.Resumable || s.bound.known {
		return nil
	}
	start := time.Now()
	version, source, known := s.edge.streamVersion(ctx, s.pool.name, s.req.Resumes)
	s.note("resumes", decisions.F("stream", s.req.Resumes), decisions.F("last_event", s.req.LastEventID),
		decisions.F("known", known), decisions.F("version", version), decisions.F("source", source), decisions.F("took", time.Since(start)),
		decisions.F("copy_age", s.edge.copyAge()), decisions.F("config_age", s.edge.configAge()), decisions.F("known_for", s.edge.streams.knownFor(s.edge.deps.Steady())))
	if !known || version == unknownVersion {
		return refusal.New(refusal.StreamUnknown, "no daemon knows the software version of stream %q", s.req.Resumes).After(streamUnknownRetryAfter)
	}
	s.edge.log.Count("resumed_by." + string(source))
	s.bound = boundVersion{version, true}
	return nil
}

// streamVersion returns the version of the stream that a request began, and how it was learned.
func (e *Edge) streamVersion(ctx context.Context, service, request string) (canary.Version, versionSource, bool) {
	now := e.deps.Steady()
	stream := streamversion.StreamOf(service, request)
	if v, known := e.streams.get(now, stream); known && request != "" {
		return v, fromOwnRecord, true
	}
	if request != "" {
		if v, known := e.askHolders(ctx, stream); known {
			return v, fromHolder, true
		}
	}
	v, only := e.streams.only(e.deps.Steady(), service)
	return v, fromOnlyVersion, only && e.isOnlyVersion(ctx, service, v)
}

// observeVersions records which versions the services' runners have, and since when.
func (e *Edge) observeVersions() {
	now := e.deps.Steady()
	if e.mayHaveMissedVersions(now) {
		e.streams.mu.Lock()
		e.streams.history.Interrupt(now)
		e.streams.mu.Unlock()
	}
	e.streams.observedAt = now
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	for name, p := range e.pools {
		p.mu.Lock()
		versions := p.versions
		p.mu.Unlock()
		e.streams.mu.Lock()
		for _, v := range versions {
			e.streams.history.Observe(now, name, v)
		}
		e.streams.saver.observe(now, name, versions)
		e.streams.mu.Unlock()
	}
}

// mayHaveMissedVersions reports whether this daemon was suspended, or neither has a recent copy of the key-value service
// nor hears a daemon that may have one.
func (e *Edge) mayHaveMissedVersions(now time.Duration) bool {
	if now-e.streams.observedAt > maxTickGap {
		return true
	}
	age, _ := e.dir.freshness(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	return age > maxTickGap && !e.hearsAny(now, e.alive)
}

// addVersionHistory adds what this daemon knows of the services' versions to a message.
func (e *Edge) addVersionHistory(now time.Duration, h *peersv1.Hello) {
	e.streams.mu.Lock()
	defer e.streams.mu.Unlock()
	s := e.streams.history.Statement(now)
	h.VersionsKnownNs = int64(s.Known)
	for service, age := range s.Several {
		h.SeveralVersions = append(h.SeveralVersions, &peersv1.SeveralVersions{Service: service, AgeNs: int64(age)})
	}
}

// receiveVersionHistory records what another daemon knows of the services' versions.
func (e *Edge) receiveVersionHistory(now time.Duration, h *peersv1.Hello) {
	s := streamversion.Statement{Known: time.Duration(h.VersionsKnownNs), Several: make(map[string]time.Duration, len(h.SeveralVersions))}
	for _, m := range h.SeveralVersions {
		s.Several[m.Service] = time.Duration(m.AgeNs)
	}
	e.streams.mu.Lock()
	defer e.streams.mu.Unlock()
	e.streams.history.Merge(now, s)
}

// otherVersions returns the runners at which the request must not begin or go on because of their version.
func (s *requestHandler) otherVersions() prefix.Set {
	if !s.bound.known && s.exchange.Terms.Resumable {
		return s.pool.unfitToBegin()
	}
	return s.pool.otherVersions(s.bound)
}

// otherVersions returns the runners whose version isn't known to be the one at which a stream must go on.
func (p *pool) otherVersions(b boundVersion) prefix.Set {
	if !b.known {
		return prefix.Set{}
	}
	restarted := p.edge.restarted.list(p.edge.deps.Steady())
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []ident.RunnerID
	for id, r := range p.runners {
		if r.Version != b.version || restarted[id] {
			ids = append(ids, id)
		}
	}
	return p.table.Exclude(ids...)
}

// isCurrent reports whether a runner is still the one that its entry described when it was chosen. A
// runner that has started again, or another one at its address, may have another version.
func (p *pool) isCurrent(id ident.RunnerID, address string, v canary.Version) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, known := p.runners[id]; known {
		return r.Version == v
	}
	for _, r := range p.runners {
		if r.Address == address {
			return false
		}
	}
	return true
}

// streamVersion returns the version that makes the events of an attempt's answer, and false if that
// is in doubt.
func (a *attempt) streamVersion() (canary.Version, bool) {
	if a.helperBody != nil {
		return a.helperBody.streamVersion.version, a.helperBody.streamVersion.known
	}
	if a.entry.SaysIncarnation {
		return a.entry.Version, a.isEntered()
	}
	return a.entry.Version, a.s.pool.isCurrent(a.choice.Runner, a.choice.Address, a.entry.Version)
}

// versionMismatchError says that a stream would go on at another software version than the one that
// began it.
type versionMismatchError struct{ Want, Got canary.Version }

func (e *versionMismatchError) Error() string {
	return "stream began at version " + string(e.Want) + " and would go on at " + string(e.Got)
}

// checkVersion fails an attempt at a runner that must not go on with the stream. It is called before any
// of the attempt's events are taken.
func (a *attempt) checkVersion() error {
	if !a.s.bound.known {
		return nil
	}
	if v, known := a.streamVersion(); !known || v != a.s.bound.version {
		a.s.edge.log.Count("stream_version_mismatch")
		return &versionMismatchError{a.s.bound.version, v}
	}
	return nil
}

// bindStream binds the stream to the version of the runner whose first event is about to reach the
// caller, and records it. If that version is in doubt, the stream can't go on elsewhere.
func (a *attempt) bindStream() {
	s := a.s
	if !s.exchange.Terms.Resumable || s.recorded {
		return
	}
	s.recorded = true
	if !s.bound.known {
		s.bound.version, s.bound.known = a.streamVersion()
	}
	if !s.bound.known {
		s.exchange.Terms.Resumable = false
		s.note("stream_version_doubtful", decisions.F("runner", a.choice.Runner), decisions.F("version", a.entry.Version), decisions.F("says", a.incarnation))
		s.edge.streams.observe(s.edge.deps.Steady(), s.pool.name, unknownVersion)
		a.recordVersion(unknownVersion)
		return
	}
	a.recordVersion(s.bound.version)
}

// recordVersion records the version of the stream whose first event the attempt brings.
func (a *attempt) recordVersion(version canary.Version) {
	s := a.s
	first := s.req.ID
	if s.req.LastEventID != "" {
		first = s.req.Resumes
	}
	if first == "" {
		return // the caller doesn't name its stream, so nothing may be recorded for it
	}
	stream := streamversion.StreamOf(s.pool.name, first)
	if a.helper != "" {
		s.edge.putStream(stream, version, fromFirstEvent)
		return
	}
	s.edge.recordStream(stream, version)
	if _, only := s.edge.streams.only(s.edge.deps.Steady(), s.pool.name); !only {
		s.edge.streams.addUnsaved(stream, version)
	}
}
