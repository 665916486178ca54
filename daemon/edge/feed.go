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

// Relays watch the key-value service and pass on what was written, so that a change
// does not answer the watches of a whole fleet.

const (
	// maxFeedBytes is passed on in one message; a wave of runners takes a few.
	maxFeedBytes = 8 << 10
	// maxFeedValueBytes is the longest value that is passed on at all. A longer configuration
	// is read from the service, as a newer one that is heard of is.
	maxFeedValueBytes = 32 << 10
	// feedAgeShare is the part of the time in which a runner's notice must be known up to which
	// a follower's copy of the service may be old before it watches itself. The rest covers
	// a first watch of its own.
	feedAgeShare = 0.55
	// feedCheckInterval is between two looks at whether relays still pass changes on.
	feedCheckInterval = 500 * time.Millisecond
)

// feedIsCurrent tells whether relays pass on what is written. A relay that has lost the service goes
// on speaking, and so does one that is feedIsCurrent by such a one: what counts is the age of what is
// known.
func (e *Edge) feedIsCurrent() bool {
	e.mu.Lock()
	watches := e.plan.WatchesStore
	e.mu.Unlock()
	e.dir.mu.Lock()
	defer e.dir.mu.Unlock()
	oldest := e.deps.Steady() - time.Duration(feedAgeShare*float64(e.set.Bounds.DrainWithin))
	return !watches && !e.dir.incomplete && e.dir.at != 0 && e.dir.current >= oldest
}

// feedAfter is what a daemon lacks that knows everything up to a revision.
func (e *Edge) feedAfter(now time.Duration, at uint64) *peersv1.Feed {
	if at == 0 {
		return nil // it has yet to list the service, or does not ask
	}
	e.dir.mu.Lock()
	defer e.dir.mu.Unlock()
	part, ok := e.dir.log.Since(at, maxFeedBytes)
	if !ok {
		return &peersv1.Feed{After: at, Gap: e.dir.log.LastRevision() != 0}
	}
	told := &peersv1.Feed{After: part.After, Through: part.Through, Head: e.dir.log.LastRevision(), AgeNs: int64(now - e.dir.current)}
	for _, c := range part.Changes {
		if len(c.Value) <= maxFeedValueBytes {
			told.Changes = append(told.Changes, &peersv1.Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
		}
	}
	return told
}

// applyFeed takes in what a relay passes on.
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
		// Nothing is missing up to the sender's own copy.
		e.dir.current = max(e.dir.current, now-age)
	}
	e.dir.mu.Unlock()
	if !usable {
		return
	}
	events := make([]kv.Event, 0, len(f.Changes))
	for _, c := range f.Changes {
		events = append(events, kv.Event{Entry: kv.Entry{Key: c.Key, Value: c.Value, Revision: kv.Revision(c.Revision)}, Deleted: c.Deleted})
	}
	// When the relay read it is not known; the proof comes with its word.
	e.apply(events, kv.Revision(f.Through), freshness.Never)
}

// fedToFollowers tells whether followers need a key.
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

// feedChanges are the events that are passed on.
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
