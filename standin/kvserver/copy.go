package kvserver

import (
	"bytes"
	"maps"
	"slices"

	"geraniumstack.org/geraniumstack/transport/kv"
)

// Copy is what the store held at one time.
type Copy struct {
	revision          kv.Revision
	compactedRevision kv.Revision
	entries           map[string]kv.Entry
	history           []kv.Event
	leases            []lease
}

// Copy returns a copy from which the store can come back.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{
		revision: s.revision, compactedRevision: s.compactedRevision, entries: maps.Clone(s.entries),
		history: slices.Clone(s.history),
	}
	for _, l := range s.leases {
		c.leases = append(c.leases, *l)
	}
	return c
}

// Restore makes the store come back from a copy, in a new history: what was written since is gone,
// leases too, and the revisions since are given out again. The copy's leases run once more and can't be
// renewed. Watches from earlier histories get a *kv.CompactedError. Before the store answers, the
// changes again are made, which others write again; only their keys, values and deletions count.
func (s *Store) Restore(c *Copy, again ...kv.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.revision, s.compactedRevision = s.inHistory(c.revision), s.inHistory(c.compactedRevision)
	s.entries, s.history, s.historyBytes = map[string]kv.Entry{}, nil, 0
	for key, e := range c.entries {
		e.Revision = s.inHistory(e.Revision)
		s.entries[key] = e
	}
	for _, e := range c.history {
		e.Revision = s.inHistory(e.Revision)
		s.history = append(s.history, e)
		s.historyBytes += len(e.Value)
	}
	s.restoreLeases(c)
	for _, change := range again {
		s.writeAgain(change)
	}
	for w := range s.watchers {
		w.notify()
	}
}

func (s *Store) writeAgain(change kv.Event) {
	current, exists := s.entries[change.Key]
	switch {
	case change.Deleted && exists:
		s.remove(current)
	case !change.Deleted && !bytes.Equal(current.Value, change.Value):
		s.revision = s.nextRevision()
		e := kv.Entry{Key: change.Key, Value: change.Value, Revision: s.revision}
		s.entries[change.Key] = e
		s.publishEvent(kv.Event{Entry: e})
	}
}

func (s *Store) restoreLeases(c *Copy) {
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.leases = map[kv.LeaseID]*lease{}
	for _, l := range c.leases {
		s.addLease(l.id, l.epoch, l.ttl)
	}
	for key, e := range s.entries {
		if l := s.leases[e.Lease]; l != nil {
			l.keys[key] = struct{}{}
		}
	}
}

// LastRevision returns the revision of the last change.
func (s *Store) LastRevision() kv.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// History returns the number of the store's history, which grows with each Restore.
func (s *Store) History() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

func (s *Store) inHistory(r kv.Revision) kv.Revision { return kv.RevisionIn(s.epoch, r.Number()) }

func (s *Store) nextRevision() kv.Revision { return kv.RevisionIn(s.epoch, s.revision.Number()+1) }
