package feed

import (
	"maps"
	"slices"
)

// Snapshot collects the whole content of the service from the batches of a log. The zero value
// is empty.
type Snapshot struct {
	position Position
	entries  map[string]Change
}

// Position returns the position after which the next batch must follow.
func (s *Snapshot) Position() Position { return s.position }

// Complete reports whether the snapshot holds what existed at its position.
func (s *Snapshot) Complete() bool { return s.position.Complete() }

// Add applies a batch and reports whether it follows.
func (s *Snapshot) Add(b Batch) bool {
	if !b.Follows(s.position) {
		return false
	}
	if s.entries == nil {
		s.entries = map[string]Change{}
	}
	s.position = b.Next
	for _, c := range b.Changes {
		if c.Deleted {
			delete(s.entries, c.Key)
		} else {
			s.entries[c.Key] = c
		}
	}
	return true
}

// Entries returns the keys that exist, in no order.
func (s *Snapshot) Entries() []Change { return slices.Collect(maps.Values(s.entries)) }
