package edge

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumstack.org/geraniumstack/coordination/feed"
	"geraniumstack.org/geraniumstack/coordination/freshness"
	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/daemon/holder"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// Some relays watch the key-value service and pass changes on to the other daemons, so that a
// change doesn't cost the service an answer to every daemon of the fleet. A daemon that has just
// started gets the whole content from its relays, too: listed by all daemons of a large fleet at
// the same time, it would fill the service's link for longer than a call may take.

const (
	// maxFeedBytes bounds the changes in one message before they are compressed. When many
	// runners change at once, several messages are needed.
	maxFeedBytes = 256 << 10
	// maxPackedBytes bounds the compressed changes, and the compressed configuration, in one
	// message. A configuration that is longer is read from the service by each daemon.
	maxPackedBytes = 20 << 10
	// relayFeedAgeShare and feedAgeShare are the fractions of Bounds.DrainWithin, the time in
	// which a runner's notice must be known, that the copy of a relay and of any other daemon
	// may be old before that daemon watches the service itself. The rest of that time covers
	// its first watch. A relay comes first, so that its followers are fed again before they
	// all watch.
	relayFeedAgeShare = 0.4
	feedAgeShare      = 0.55
	// fallbackAgeShare is the fraction of Bounds.DrainWithin that a relay's copy may be old before the relay
	// asks a watcher of another failure domain for changes, so that it needn't watch the service itself.
	fallbackAgeShare = 0.3
	// watchedCopyAge is how old the copy of a watcher is at most while the service answers.
	watchedCopyAge = largeFleetBatchDelay + relayWatchTimeout
	// feedCheckInterval is the time between two checks whether the feed is current.
	feedCheckInterval = 500 * time.Millisecond
)

// feedRequest is what a daemon that gets its changes from this one has.
type feedRequest struct {
	wanted        bool
	position      feed.Position
	configVersion uint64
}

func feedRequestOf(h *peersv1.Hello) feedRequest {
	return feedRequest{
		wanted: h.FeedWanted, position: feed.Position{At: h.FeedAt, Log: h.FeedLog, Floor: h.FeedFloor}, configVersion: h.ConfigVersion,
	}
}

// packedBatch is a batch of changes with its encoding for messages.
type packedBatch struct {
	feed.Batch
	packed []byte
}

// feedIsCurrent reports whether relays pass changes on in time. It checks the age of the known
// data, not whether a relay is heard: a relay that can't reach the service keeps sending
// messages, and so does a relay that gets its feed from such a relay.
func (e *Edge) feedIsCurrent() bool {
	share := feedAgeShare
	e.mu.Lock()
	watches := e.relayPlan.WatchesStore
	if e.relayPlan.Relay && !e.relayPlan.Direct {
		share = relayFeedAgeShare
	}
	e.mu.Unlock()
	e.dir.mu.Lock()
	defer e.dir.mu.Unlock()
	oldest := e.deps.Steady() - time.Duration(share*float64(e.settings.Bounds.DrainWithin))
	return !watches && e.dir.hasCopy() && e.dir.currentAt >= oldest
}

// updateFallback chooses the watcher of another failure domain that this relay asks for changes while its copy
// is old, or while it should watch the service itself and can't. The caller must hold e.mu.
func (e *Edge) updateFallback(now time.Duration) {
	if !e.relayPlan.Relay {
		e.fallback = feed.Fallback{}
		return
	}
	var others []ident.Incarnation
	for _, w := range e.relayPlan.OtherWatchers {
		if w.FailureDomain != e.settings.FailureDomain {
			others = append(others, w.Incarnation)
		}
	}
	limit := max(watchedCopyAge, time.Duration(fallbackAgeShare*float64(e.settings.Bounds.DrainWithin)))
	before := e.fallback.Source(now)
	age, failed := e.dir.freshness(now)
	e.fallback.Update(now, failed && e.relayPlan.WatchesStore, age > limit, others)
	if source := e.fallback.Source(now); source != before {
		e.log.Note("feed_fallback", decisions.F("asks", source), decisions.F("age", age))
	}
}

// asksForFeed reports whether this relay asks another one for the changes of the key-value service. The caller
// must hold e.mu.
func (e *Edge) asksForFeed(now time.Duration, r peers.Member) bool {
	if r.Incarnation == e.relayPlan.WatchSource.Incarnation {
		return !e.relayPlan.WatchesStore
	}
	return r.Incarnation == e.fallback.Source(now)
}

// feedAfter returns the changes, and the configuration if it is newer, for a daemon that asks for
// them; nil if it doesn't. The caller must hold e.mu.
func (e *Edge) feedAfter(now time.Duration, request feedRequest) *peersv1.Feed {
	if !request.wanted {
		return nil
	}
	encoded := e.encodedChanges(now, request.position)
	encoded.After, encoded.AfterLog, encoded.AfterFloor = request.position.At, request.position.Log, request.position.Floor
	encoded.Config = e.configAfter(request.configVersion)
	return encoded
}

// configAfter returns the configuration for a daemon that has a given version; nil if that isn't older
// or if a message can't hold the update. The caller must hold e.mu.
func (e *Edge) configAfter(version uint64) *peersv1.ConfigUpdate {
	u, newer := e.configs.Update(version)
	if !newer || len(u.Packed) > maxPackedBytes {
		return nil
	}
	message := &peersv1.ConfigUpdate{Version: u.Version, BaseVersion: u.Base, Packed: u.Packed}
	if e.configShown.version == u.Version {
		message.Revision = uint64(e.configShown.revision)
	}
	return message
}

// encodedChanges returns the changes after a position. Most receivers have the same position, so
// their changes are packed once.
func (e *Edge) encodedChanges(now time.Duration, after feed.Position) *peersv1.Feed {
	e.dir.mu.Lock()
	defer e.dir.mu.Unlock()
	head := e.dir.changeLog.LastRevision()
	if head != e.dir.batchesHead || e.dir.batches == nil {
		e.dir.batchesHead, e.dir.batches = head, map[feed.Position]packedBatch{}
	}
	b, known := e.dir.batches[after]
	if !known {
		var ok bool
		if b, ok = e.packBatch(after); !ok {
			return &peersv1.Feed{Gap: e.dir.changeLog.Forgot(after)}
		}
		e.dir.batches[after] = b
	}
	return &peersv1.Feed{
		Through: b.Next.At, ThroughLog: b.Next.Log, ThroughFloor: b.Next.Floor, Packed: b.packed,
		Head: head, AgeNs: int64(now - e.dir.currentAt),
	}
}

// packBatch packs the changes after a position, fewer if they would exceed maxPackedBytes. The
// caller must hold dir.mu.
func (e *Edge) packBatch(after feed.Position) (packedBatch, bool) {
	for limit := maxFeedBytes; ; limit /= 2 {
		b, ok := e.dir.changeLog.Since(after, limit)
		if !ok || len(b.Changes) == 0 {
			return packedBatch{Batch: b}, ok
		}
		packed, err := packChanges(b.Changes)
		if err != nil {
			e.log.Note("message_failed", decisions.F("error", err.Error()))
			return packedBatch{}, false
		}
		if len(packed) <= maxPackedBytes || limit == 0 {
			return packedBatch{b, packed}, true
		}
	}
}

func packChanges(changes []feed.Change) ([]byte, error) {
	m := &peersv1.Changes{}
	for _, c := range changes {
		m.Changes = append(m.Changes, &peersv1.Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, &feed.PackError{Op: "encode", Err: err}
	}
	return feed.Pack(data, nil)
}

// unpackBatch decodes the changes that another daemon passes on.
func unpackBatch(f *peersv1.Feed) (feed.Batch, error) {
	b := feed.Batch{
		After: feed.Position{At: f.After, Log: f.AfterLog, Floor: f.AfterFloor},
		Next:  feed.Position{At: f.Through, Log: f.ThroughLog, Floor: f.ThroughFloor},
	}
	if len(f.Packed) == 0 {
		return b, nil
	}
	data, err := feed.Unpack(f.Packed, nil)
	if err != nil {
		return b, err
	}
	m := &peersv1.Changes{}
	if err := proto.Unmarshal(data, m); err != nil {
		return b, &feed.PackError{Op: "decode", Err: err}
	}
	for _, c := range m.Changes {
		b.Changes = append(b.Changes, feed.Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
	}
	return b, nil
}

// applyFeed applies the configuration and the changes that a relay passes on.
func (e *Edge) applyFeed(f *peersv1.Feed) {
	if f.Config != nil {
		e.applyConfigUpdate(f.Config)
	}
	b, err := unpackBatch(f)
	if err != nil {
		e.log.Note("message_ignored", decisions.F("reason", err.Error()))
		return
	}
	now := e.deps.Steady()
	currentAt := now - time.Duration(f.AgeNs)
	e.dir.mu.Lock()
	switch {
	case f.Gap && b.After == e.dir.position && e.dir.snapshot == nil:
		e.log.Note("feed_gap", decisions.F("at", b.After.At))
		e.dir.startSnapshot(now)
		e.dir.mu.Unlock()
	case e.dir.snapshot != nil:
		added, complete := e.dir.addToSnapshot(now, b)
		e.dir.mu.Unlock()
		if complete {
			e.applySnapshot()
		} else if added {
			e.sendRound(0) // asks for the next part
		}
	case b.Follows(e.dir.position):
		e.dir.mu.Unlock()
		e.applyChanges(eventsOf(b.Changes), b.Next, freshness.Never)
		if !b.Next.Complete() {
			e.sendRound(0) // asks for the next part
		}
	default:
		e.dir.mu.Unlock()
	}
	e.dir.noteCurrent(f.Head, currentAt)
}

func eventsOf(changes []feed.Change) []kv.Event {
	events := make([]kv.Event, 0, len(changes))
	for _, c := range changes {
		events = append(events, kv.Event{Entry: kv.Entry{Key: c.Key, Value: c.Value, Revision: kv.Revision(c.Revision)}, Deleted: c.Deleted})
	}
	return events
}

// applySnapshot replaces the copy by the complete snapshot.
func (e *Edge) applySnapshot() {
	e.dir.mu.Lock()
	s := e.dir.snapshot
	e.dir.snapshot = nil
	newer := s != nil && s.Position().At >= e.dir.position.At
	e.dir.mu.Unlock()
	if !newer {
		return
	}
	var entries []kv.Entry
	for _, event := range eventsOf(s.Entries()) {
		entries = append(entries, event.Entry)
	}
	from := kv.Revision(s.Position().At)
	e.replaceAll(entries, from, freshness.Never)
	// Unlike a list, a snapshot shows what existed at its revision.
	e.applyChanges(nil, s.Position(), freshness.Never)
	e.log.Note("feed_snapshot", decisions.F("entries", len(entries)), decisions.F("at", uint64(from)))
}

// applyConfigUpdate applies a configuration that a relay passes on. The time at which the relay
// read it is unknown; how recent it is follows from the time stamps in the relay's message.
func (e *Edge) applyConfigUpdate(u *peersv1.ConfigUpdate) {
	e.mu.Lock()
	if u.Version <= e.configs.Latest() {
		e.mu.Unlock()
		return
	}
	value, err := e.configs.Apply(feed.ConfigUpdate{Version: u.Version, Base: u.BaseVersion, Packed: u.Packed})
	e.mu.Unlock()
	if err != nil {
		e.log.Note("config_ignored", decisions.F("reason", err.Error()), decisions.F("version", u.Version))
		return
	}
	e.applyConfig(kv.Event{Entry: kv.Entry{Key: e.deps.Codec.ConfigKey(), Value: value, Revision: kv.Revision(u.Revision)}}, freshness.Never)
}

// fedToFollowers reports whether changes of a key are passed on in order. The configuration is
// passed on apart from them.
func (e *Edge) fedToFollowers(key string) bool {
	for _, prefix := range [...]string{e.deps.Codec.RunnerPrefix(), holder.KeyPrefix, e.deps.Codec.OrderPrefix(), trialPrefix, savedVersionsKey} {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// feedChanges converts the events that are passed on.
func (e *Edge) feedChanges(events []kv.Event) []feed.Change {
	var changes []feed.Change
	for _, event := range events {
		if e.fedToFollowers(event.Key) {
			changes = append(changes, feed.Change{
				Key: event.Key, Value: event.Value, Revision: uint64(event.Revision), Deleted: event.Deleted,
			})
		}
	}
	return changes
}
