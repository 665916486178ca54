// Package kvserver is a stand-in for the platform's key-value service: an
// in-memory store with compare-and-swap, leases and watches, an HTTP server
// around it, and injectable faults. docs/protocols/kv.md describes the
// protocol.
package kvserver

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"geraniumstack.org/geraniumstack/transport/kv"
)

// MaxValueBytes is the size limit of a value.
const MaxValueBytes = 1 << 20

// DefaultHistory is the number of changes that are kept for watches that
// start at an earlier revision. maxHistoryBytes bounds the total size of
// their values.
const (
	DefaultHistory  = 4096
	maxHistoryBytes = 64 << 20
)

// Store is the state of the service. It is safe for concurrent use and
// implements kv.Store, so a test can use it without HTTP. Leases use timers
// of package time, so they follow virtual time inside a testing/synctest
// bubble.
type Store struct {
	mu                sync.Mutex
	revision          kv.Revision
	epoch             uint64 // number of the history
	entries           map[string]kv.Entry
	leases            map[kv.LeaseID]*lease
	lastLease         kv.LeaseID
	history           []kv.Event
	historyBytes      int // total size of the values in history
	maxHistory        int
	compactedRevision kv.Revision
	watchers          map[*watcher]struct{}
	calls             Calls
	faults            Faults
	callMeter         callMeter
	writeLimiter      *rate.Limiter // nil means no limit
	readLimiter       *rate.Limiter
}

var _ kv.Store = (*Store)(nil)

type lease struct {
	id      kv.LeaseID
	epoch   uint64 // the history in which it was granted
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
	keys    map[string]struct{}
}

type watcher struct {
	prefix string
	wake   chan struct{}
}

// New returns an empty store without faults that keeps DefaultHistory
// changes.
func New() *Store { return NewWithHistory(DefaultHistory) }

// NewWithHistory returns an empty store that keeps about maxHistory changes
// for watches. A watch from an earlier revision gets a *kv.CompactedError.
func NewWithHistory(maxHistory int) *Store {
	return &Store{
		entries:    map[string]kv.Entry{},
		leases:     map[kv.LeaseID]*lease{},
		maxHistory: maxHistory,
		watchers:   map[*watcher]struct{}{},
	}
}

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := s.beforeCall(ctx, CallGet); err != nil {
		return kv.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current(key), nil
}

// List implements kv.Store.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]kv.Entry, error) {
	if err := s.beforeCall(ctx, CallList); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []kv.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	return found, nil
}

// CompareAndSwap implements kv.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expected kv.Revision, value []byte, id kv.LeaseID) (kv.Revision, error) {
	if err := s.beforeCall(ctx, CallCompareAndSwap); err != nil {
		return 0, err
	}
	if len(value) > MaxValueBytes {
		return 0, &kv.TooLargeError{Size: len(value), Limit: MaxValueBytes}
	}
	revision, err := s.compareAndSwap(key, expected, value, id)
	if err != nil {
		return 0, err
	}
	return revision, s.afterWrite(ctx, key)
}

func (s *Store) compareAndSwap(key string, expected kv.Revision, value []byte, id kv.LeaseID) (kv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	attachedLease := s.leases[id]
	if id != 0 && attachedLease == nil {
		return 0, &kv.LeaseExpiredError{Lease: id}
	}
	current := s.current(key)
	if current.Revision != expected {
		return 0, &kv.ConflictError{Current: current}
	}
	s.detachFromLease(current)
	s.revision = s.nextRevision()
	e := kv.Entry{Key: key, Value: append([]byte(nil), value...), Revision: s.revision, Lease: id}
	s.entries[key] = e
	if attachedLease != nil {
		attachedLease.keys[key] = struct{}{}
	}
	s.publishEvent(kv.Event{Entry: e})
	return s.revision, nil
}

// Delete implements kv.Store.
func (s *Store) Delete(ctx context.Context, key string, expected kv.Revision) error {
	if err := s.beforeCall(ctx, CallDelete); err != nil {
		return err
	}
	if err := s.deleteExpected(key, expected); err != nil {
		return err
	}
	return s.afterWrite(ctx, key)
}

func (s *Store) deleteExpected(key string, expected kv.Revision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current(key)
	if current.Revision != expected {
		return &kv.ConflictError{Current: current}
	}
	if current.Revision != 0 {
		s.remove(current)
	}
	return nil
}

// Watch implements kv.Store. A watch counts as one call, however long it
// waits.
func (s *Store) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Event, kv.Revision, error) {
	if err := s.beforeCall(ctx, CallWatch); err != nil {
		return nil, after, err
	}
	if err := s.blockIfSilent(ctx); err != nil {
		return nil, after, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	w := &watcher{prefix: prefix, wake: make(chan struct{}, 1)}
	defer s.removeWatcher(w)
	for {
		events, revision, err := s.eventsAfter(w, after)
		if err != nil || len(events) > 0 {
			return events, revision, err
		}
		select {
		case <-w.wake:
			if err := s.blockIfSilent(ctx); err != nil {
				return nil, after, err
			}
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, after, &kv.UnavailableError{Err: ctx.Err()}
		}
		if err := s.checkOutage(); err != nil {
			return nil, after, err
		}
	}
}

// eventsAfter returns the events under the watcher's prefix with a revision
// higher than after, and registers the watcher for the next event.
func (s *Store) eventsAfter(w *watcher, after kv.Revision) ([]kv.Event, kv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[w] = struct{}{}
	if after < s.compactedRevision || after > s.revision || after.History() != s.epoch {
		return nil, after, &kv.CompactedError{Oldest: s.compactedRevision, Current: s.revision}
	}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	var events []kv.Event
	for _, e := range s.history[first:] {
		if strings.HasPrefix(e.Key, w.prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, nil
}

func (s *Store) removeWatcher(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, w)
}

// current returns the entry of a key. If the key is absent, the entry's
// revision is zero.
func (s *Store) current(key string) kv.Entry {
	if e, ok := s.entries[key]; ok {
		return e
	}
	return kv.Entry{Key: key}
}

func (s *Store) detachFromLease(e kv.Entry) {
	if attachedLease := s.leases[e.Lease]; attachedLease != nil {
		delete(attachedLease.keys, e.Key)
	}
}

func (s *Store) remove(e kv.Entry) {
	s.detachFromLease(e)
	delete(s.entries, e.Key)
	s.revision = s.nextRevision()
	s.publishEvent(kv.Event{Entry: kv.Entry{Key: e.Key, Revision: s.revision}, Deleted: true})
}

func (s *Store) publishEvent(e kv.Event) {
	s.history = append(s.history, e)
	s.historyBytes += len(e.Value)
	if len(s.history) > 2*s.maxHistory {
		s.discardHistory(len(s.history) - s.maxHistory)
	}
	if s.historyBytes > maxHistoryBytes {
		s.discardHistory((len(s.history) + 1) / 2)
	}
	for w := range s.watchers {
		if strings.HasPrefix(e.Key, w.prefix) {
			w.notify()
		}
	}
}

func (s *Store) discardHistory(n int) {
	s.compactedRevision = s.history[n-1].Revision
	for _, e := range s.history[:n] {
		s.historyBytes -= len(e.Value)
	}
	s.history = append([]kv.Event(nil), s.history[n:]...)
}

// Compact discards all changes so far, so that a watch from an earlier
// revision gets a *kv.CompactedError.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.history) > 0 {
		s.discardHistory(len(s.history))
	}
}

func (w *watcher) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
