package edge

import (
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/coordination/feed"
	"geraniumstack.org/geraniumstack/coordination/freshness"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/daemon/holder"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// Some relays watch the key-value service and pass changes on to the other daemons, so that a
// change doesn't cost the service an answer to every daemon of the fleet.

const (
	// maxFeedBytes bounds the changes in one message. When many runners change at once,
	// several messages are needed.
	maxFeedBytes = 8 << 10
	// maxFeedValueBytes is the size of the longest value that is passed on. A longer
	// configuration is read from the service by each daemon, as soon as it hears of the newer
	// revision.
	maxFeedValueBytes = 32 << 10
	// feedAgeShare is the fraction of Bounds.DrainWithin, the time in which a runner's notice
	// must be known, that a follower's copy of the service may be old before the follower
	// watches the service itself. The rest of that time covers its first watch.
	feedAgeShare = 0.55
	// feedCheckInterval is the time between two checks whether the feed is current.
	feedCheckInterval = 500 * time.Millisecond
)

// feedIsCurrent reports whether relays pass changes on in time. It checks the age of the known
// data, not whether a relay is heard: a relay that can't reach the service keeps sending
// messages, and so does a relay that gets its feed from such a relay.
func (e *Edge) feedIsCurrent() bool {
	e.mu.Lock()
	watches := e.relayPlan.WatchesStore
	e.mu.Unlock()
	e.dir.mu.Lock()
	defer e.dir.mu.Unlock()
	oldest := e.deps.Steady() - time.Duration(feedAgeShare*float64(e.settings.Bounds.DrainWithin))
	return !watches && !e.dir.incomplete && e.dir.at != 0 && e.dir.currentAt >= oldest
}

// feedAfter returns the changes after a revision for a daemon that is up to date until then.
func (e *Edge) feedAfter(now time.Duration, at uint64) *peersv1.Feed {
	if at == 0 {
		return nil // the daemon has not listed the service yet, or doesn't need a feed
	}
	e.dir.mu.Lock()
	defer e.dir.mu.Unlock()
	part, ok := e.dir.changeLog.Since(at, maxFeedBytes)
	if !ok {
		return &peersv1.Feed{After: at, Gap: e.dir.changeLog.LastRevision() != 0}
	}
	encoded := &peersv1.Feed{After: part.After, Through: part.Through, Head: e.dir.changeLog.LastRevision(), AgeNs: int64(now - e.dir.currentAt)}
	for _, c := range part.Changes {
		if len(c.Value) <= maxFeedValueBytes {
			encoded.Changes = append(encoded.Changes, &peersv1.Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
		}
	}
	return encoded
}

// applyFeed applies the changes that a relay passes on.
func (e *Edge) applyFeed(f *peersv1.Feed) {
	now := e.deps.Steady()
	e.dir.mu.Lock()
	at, age := uint64(e.dir.at), time.Duration(f.AgeNs)
	usable := !f.Gap && f.Through != 0 && f.After <= at && at != 0
	switch {
	case f.Gap && f.After == at && at != 0:
		if !e.dir.incomplete {
			e.log.Note("feed_gap", decisions.F("at", at))
		}
		e.dir.incomplete = true
	case usable && (len(f.Changes) == 0 || f.Through >= f.Head):
		// With these changes this copy is as recent as the sender's.
		e.dir.currentAt = max(e.dir.currentAt, now-age)
	}
	e.dir.mu.Unlock()
	if !usable {
		return
	}
	events := make([]kv.Event, 0, len(f.Changes))
	for _, c := range f.Changes {
		events = append(events, kv.Event{Entry: kv.Entry{Key: c.Key, Value: c.Value, Revision: kv.Revision(c.Revision)}, Deleted: c.Deleted})
	}
	// The time at which the relay read the changes is unknown. How recent the configuration is
	// follows from the time stamps in the relay's message.
	e.applyChanges(events, kv.Revision(f.Through), freshness.Never)
}

// fedToFollowers reports whether changes of a key are passed on.
func (e *Edge) fedToFollowers(key string) bool {
	if key == e.deps.Codec.ConfigKey() {
		return true
	}
	for _, prefix := range [...]string{e.deps.Codec.RunnerPrefix(), holder.KeyPrefix, e.deps.Codec.OrderPrefix(), trialPrefix} {
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
