package feed_test

import (
	"fmt"
	"maps"
	"testing"

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

// follower applies batches as a daemon that doesn't watch the service does: it skips a
// batch that starts after the revision through which it knows everything.
type follower struct {
	completeThrough uint64
	revisions       map[string]uint64
	keys            map[string]uint64
}

func (f *follower) apply(p feed.Batch) {
	if p.After > f.completeThrough {
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
	f.completeThrough = max(f.completeThrough, p.Through)
}

// Guards against a follower that misses a change: batches are lost, delayed and duplicated,
// the relays' watches break and start again from a list, and the follower changes relays.
func TestFollowerConvergesToServiceState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &service{keys: map[string]uint64{}}
		s.write("first", false)
		logs := []*feed.Log{feed.NewLog(), feed.NewLog()}
		watchedThrough := []int{0, 0}
		for i, l := range logs {
			l.Reset(s.list(), s.revision)
			watchedThrough[i] = len(s.changes)
		}
		f := &follower{revisions: map[string]uint64{}, keys: map[string]uint64{}}
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
				if p, ok := l.Since(f.completeThrough, rapid.IntRange(1, 200).Draw(t, "bytes")); ok {
					f.apply(p)
					delayed = append(delayed, p)
				}
			case 5:
				if len(delayed) > 0 {
					f.apply(delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "late")])
				}
			}
		}
		logs[0].Apply(s.changes[watchedThrough[0]:], s.revision)
		for f.completeThrough < s.revision {
			before := f.completeThrough
			p, ok := logs[0].Since(f.completeThrough, 100)
			if !ok {
				// The log can't tell which keys were deleted, so the follower lists the
				// service itself.
				f.completeThrough, f.keys = s.revision, maps.Clone(s.keys)
				break
			}
			f.apply(p)
			if f.completeThrough == before && len(p.Changes) == 0 {
				t.Fatal("no progress")
			}
		}
		if !maps.Equal(f.keys, s.keys) {
			t.Fatalf("the follower holds %v, the service %v", f.keys, s.keys)
		}
	})
}

// Guards against all followers listing the keys of the service whenever their relay had to
// do so. For a follower that knows all changes through the relay's last revision before
// the list, the relay can compute the changes.
func TestListLeavesNoGapForOwnFollowers(t *testing.T) {
	is := is.New(t)
	l := feed.NewLog()
	l.Reset([]feed.Change{{Key: "a", Revision: 3}, {Key: "b", Revision: 5}}, 5)
	l.Reset([]feed.Change{{Key: "b", Revision: 5}, {Key: "c", Revision: 8}}, 9)
	p, ok := l.Since(5, 1000)
	is.True(ok)
	is.Equal(p.Through, uint64(9))
	is.Equal(len(p.Changes), 2) // the deletion of a, and c
	_, ok = l.Since(7, 1000)
	is.True(!ok) // the follower may hold a key that was written and deleted in the gap
}

// Guards against a follower that keeps a key forever because the relay forgot its deletion.
func TestForgottenDeletionsAreReportedAsGap(t *testing.T) {
	is := is.New(t)
	l := feed.NewLog()
	_, ok := l.Since(0, 1000)
	is.True(!ok) // the log is empty
	l.Reset(nil, 1)
	revision := uint64(1)
	for i := range 6000 {
		key := fmt.Sprint("k", i)
		l.Apply([]feed.Change{{Key: key, Revision: revision + 1}, {Key: key, Revision: revision + 2, Deleted: true}}, revision+2)
		revision += 2
	}
	_, ok = l.Since(1, 1000)
	is.True(!ok)
	_, ok = l.Since(revision-2, 1000)
	is.True(ok)
}
