package feed_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/feed"
	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
)

// service simulates the key-value service: the existing keys with the revisions of their
// last writes, and all changes.
type service struct {
	revision uint64
	keys     map[string]uint64
	changes  []feed.Change
}

func (s *service) write(key string, deleted bool) {
	if _, exists := s.keys[key]; deleted && !exists {
		return
	}
	s.revision++
	s.changes = append(s.changes, feed.Change{Key: key, Value: []byte(fmt.Sprint(s.revision)), Revision: s.revision, Deleted: deleted})
	s.keys[key] = s.revision
	if deleted {
		delete(s.keys, key)
	}
}

func (s *service) list() []feed.Change {
	var list []feed.Change
	for key, revision := range s.keys {
		list = append(list, feed.Change{Key: key, Value: []byte(fmt.Sprint(revision)), Revision: revision})
	}
	return list
}

// follower applies batches as a daemon that doesn't watch the service does: it skips those that
// don't follow its position.
type follower struct {
	position  feed.Position
	revisions map[string]uint64
	keys      map[string]uint64
	// snapshot is the copy that the follower fills if it has none, or can't go on with its own;
	// nil otherwise.
	snapshot *feed.Snapshot
}

func newFollower() *follower {
	return &follower{revisions: map[string]uint64{}, keys: map[string]uint64{}, snapshot: &feed.Snapshot{}}
}

// asks returns the position after which the follower asks for changes.
func (f *follower) asks() feed.Position {
	if f.snapshot != nil {
		return f.snapshot.Position()
	}
	return f.position
}

func (f *follower) apply(p feed.Batch) {
	if f.snapshot != nil {
		f.fill(p)
		return
	}
	if !p.Follows(f.position) {
		return
	}
	for _, c := range p.Changes {
		if c.Revision <= f.revisions[c.Key] {
			continue
		}
		f.revisions[c.Key] = c.Revision
		f.keys[c.Key] = c.Revision
		if c.Deleted {
			delete(f.keys, c.Key)
		}
	}
	if p.Next.At > f.position.At {
		f.position = p.Next
	}
}

func (f *follower) fill(p feed.Batch) {
	if !f.snapshot.Add(p) || !f.snapshot.Complete() {
		return
	}
	f.position = f.snapshot.Position()
	clear(f.keys)
	clear(f.revisions)
	for _, c := range f.snapshot.Entries() {
		f.keys[c.Key], f.revisions[c.Key] = c.Revision, c.Revision
	}
	f.snapshot = nil
}

// startAgain begins a new snapshot if a log can't go on from the follower's position.
func (f *follower) startAgain() { f.snapshot = &feed.Snapshot{} }

// Guards against a follower that misses a change, or keeps a key that was deleted while it got
// its first copy: batches are lost, delayed and duplicated,
// the relays' watches break and start again from a list, and the follower changes relays.
func TestFollowerConvergesToServiceState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &service{keys: map[string]uint64{}}
		s.write("first", false)
		logs := []*feed.Log{feed.NewLog(1), feed.NewLog(2)}
		watchedThrough := []int{0, 0}
		for i, l := range logs {
			l.Reset(s.list(), s.revision)
			watchedThrough[i] = len(s.changes)
		}
		f := newFollower()
		var delayed []feed.Batch
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "relay")
			l := logs[i]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				s.write(fmt.Sprint("k", rapid.IntRange(0, 8).Draw(t, "key")), rapid.Bool().Draw(t, "ends"))
			case 2:
				l.Apply(s.changes[watchedThrough[i]:], s.revision)
				watchedThrough[i] = len(s.changes)
			case 3:
				// The list is read after the revision from which the watch continues.
				listRevision, changesBeforeList := s.revision, len(s.changes)
				s.write(fmt.Sprint("k", rapid.IntRange(0, 8).Draw(t, "between")), rapid.Bool().Draw(t, "ends"))
				l.Reset(s.list(), listRevision)
				watchedThrough[i] = changesBeforeList
			case 4:
				if p, ok := l.Since(f.asks(), rapid.IntRange(1, 200).Draw(t, "bytes")); ok {
					f.apply(p)
					delayed = append(delayed, p)
				} else if rapid.Bool().Draw(t, "again") {
					f.startAgain()
				}
			case 5:
				if len(delayed) > 0 {
					f.apply(delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "late")])
				}
			}
		}
		logs[0].Apply(s.changes[watchedThrough[0]:], s.revision)
		for f.position != (feed.Position{At: s.revision}) || f.snapshot != nil {
			before := f.asks()
			p, ok := logs[0].Since(before, 100)
			if !ok {
				f.startAgain()
				continue
			}
			f.apply(p)
			if f.asks() == before && f.snapshot != nil {
				t.Fatal("no progress")
			}
		}
		if !maps.Equal(f.keys, s.keys) {
			t.Fatalf("the follower holds %v, the service %v", f.keys, s.keys)
		}
	})
}

// fedRelay keeps a log of what another log passes on.
type fedRelay struct {
	log      *feed.Log
	position feed.Position
	unlogged []feed.Change
}

func (r *fedRelay) apply(p feed.Batch) {
	if !p.Follows(r.position) {
		return
	}
	r.position = p.Next
	r.unlogged = append(r.unlogged, p.Changes...)
	if p.Next.Complete() {
		r.log.Apply(r.unlogged, p.Next.At)
		r.unlogged = nil
	}
}

// Guards against a follower that misses deletions because it changes to a relay that began later, with the content
// of another relay's log.
func TestFollowerConvergesThroughRelaysThatBeganLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &service{keys: map[string]uint64{}}
		s.write("first", false)
		watcher := feed.NewLog(1)
		watcher.Reset(s.list(), s.revision)
		watched := len(s.changes)
		relays := []*fedRelay{{log: feed.NewLog(2)}, {log: feed.NewLog(3)}}
		f := newFollower()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			r := relays[rapid.IntRange(0, 1).Draw(t, "relay")]
			bytes := rapid.IntRange(1, 200).Draw(t, "bytes")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				s.write(fmt.Sprint("k", rapid.IntRange(0, 8).Draw(t, "key")), rapid.Bool().Draw(t, "ends"))
			case 2:
				watcher.Apply(s.changes[watched:], s.revision)
				watched = len(s.changes)
			case 3:
				if p, ok := watcher.Since(r.position, bytes); ok {
					r.apply(p)
				}
			case 4:
				if p, ok := r.log.Since(f.asks(), bytes); ok {
					f.apply(p)
				} else if r.log.Forgot(f.asks()) {
					f.startAgain()
				}
			}
			if f.position.Complete() && f.snapshot == nil && !maps.Equal(f.keys, s.keysAt(f.position.At)) {
				t.Fatalf("at %d the follower holds %v, the service held %v", f.position.At, f.keys, s.keysAt(f.position.At))
			}
		}
	})
}

// keysAt returns the keys that existed at a revision, with the revisions of their last writes.
func (s *service) keysAt(revision uint64) map[string]uint64 {
	keys := map[string]uint64{}
	for _, c := range s.changes {
		if c.Revision > revision {
			break
		}
		keys[c.Key] = c.Revision
		if c.Deleted {
			delete(keys, c.Key)
		}
	}
	return keys
}

// Guards against all followers listing the keys of the service whenever their relay had to
// do so. For a follower that knows all changes through the relay's last revision before
// the list, the relay can compute the changes.
func TestListLeavesNoGapForOwnFollowers(t *testing.T) {
	is := is.New(t)
	l := feed.NewLog(1)
	l.Reset([]feed.Change{{Key: "a", Revision: 3}, {Key: "b", Revision: 5}}, 5)
	l.Apply(nil, 5)
	l.Reset([]feed.Change{{Key: "b", Revision: 5}, {Key: "c", Revision: 8}}, 9)
	l.Apply(nil, 9)
	p, ok := l.Since(feed.Position{At: 5}, 1000)
	is.True(ok)
	is.Equal(p.Next.At, uint64(9))
	is.Equal(len(p.Changes), 2) // the deletion of a, and c
	_, ok = l.Since(feed.Position{At: 7}, 1000)
	is.True(!ok) // the follower may hold a key that was written and deleted in the gap
}

// Guards against a follower that keeps a key forever because the relay forgot its deletion.
func TestForgottenDeletionsAreReportedAsGap(t *testing.T) {
	is := is.New(t)
	l := feed.NewLog(1)
	_, ok := l.Since(feed.Position{}, 1000)
	is.True(!ok) // the log is empty
	l.Reset(nil, 1)
	revision := uint64(1)
	for i := range 6000 {
		key := fmt.Sprint("k", i)
		l.Apply([]feed.Change{{Key: key, Revision: revision + 1}, {Key: key, Revision: revision + 2, Deleted: true}}, revision+2)
		revision += 2
	}
	_, ok = l.Since(feed.Position{At: 1}, 1000)
	is.True(!ok)
	_, ok = l.Since(feed.Position{At: revision - 2}, 1000)
	is.True(ok)
}

// Guards against a follower that keeps a key forever because its new relay began with the content of another log,
// which holds no deletions, and passes it on as all changes.
func TestLogThatBeganWithContentKnowsNoEarlierDeletions(t *testing.T) {
	is := is.New(t)
	watcher := feed.NewLog(1)
	watcher.Reset([]feed.Change{{Key: "stays", Revision: 3}, {Key: "goes", Revision: 5}}, 5)
	watcher.Apply(nil, 5)
	watcher.Apply([]feed.Change{{Key: "goes", Revision: 8, Deleted: true}, {Key: "comes", Revision: 9}}, 9)
	content, ok := watcher.Since(feed.Position{}, 1000)
	is.True(ok)
	relay := feed.NewLog(2)
	relay.Apply(content.Changes, content.Next.At)
	follower := feed.Position{At: 6}
	_, ok = relay.Since(follower, 1000)
	is.True(!ok)
	is.True(relay.Forgot(follower)) // so that the follower starts again with an empty copy
	_, ok = relay.Since(feed.Position{At: 9}, 1000)
	is.True(ok)
}

// Guards against a new version of the configuration that is sent in full to every daemon, so that
// changes of a large configuration fill the relays' links.
func TestConfigUpdatesAreSmall(t *testing.T) {
	is := is.New(t)
	var value []byte
	for i := range 3000 {
		value = fmt.Appendf(value, `{"name":"route-%d","path":"/%x/"}`, i, xxhash.Sum64String(fmt.Sprint(i)))
	}
	changed := append(slices.Clone(value[:len(value)/2]), []byte(`{"name":"new"}`)...)
	changed = append(changed, value[len(value)/2:]...)
	sender, receiver := &feed.ConfigHistory{}, &feed.ConfigHistory{}
	sender.Add(3, value)
	receiver.Add(3, value)
	sender.Add(5, changed)
	u, ok := sender.Update(receiver.Latest())
	is.True(ok)
	is.True(len(u.Packed)*100 < len(value))
	got, err := receiver.Apply(u)
	is.NoErr(err)
	is.Equal(string(got), string(changed))
	// A daemon without any version, or with one that the sender has forgotten, gets all of it.
	u, ok = sender.Update(2)
	is.True(ok)
	got, err = (&feed.ConfigHistory{}).Apply(u)
	is.NoErr(err)
	is.Equal(string(got), string(changed))
	_, ok = sender.Update(5)
	is.True(!ok)
}

// Guards against a configuration that is put together from an update and another version than
// the one that the update builds on.
func TestConfigUpdateNeedsItsBase(t *testing.T) {
	is := is.New(t)
	sender, receiver := &feed.ConfigHistory{}, &feed.ConfigHistory{}
	for i := range uint64(3) {
		sender.Add(i+1, fmt.Appendf(nil, "version %d of a configuration", i))
	}
	u, ok := sender.Update(2)
	is.True(ok)
	receiver.Add(1, []byte("version 0 of a configuration"))
	_, err := receiver.Apply(u)
	var unknown *feed.UnknownBaseError
	is.True(errors.As(err, &unknown))
}
