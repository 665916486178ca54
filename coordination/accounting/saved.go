package accounting

import (
	"maps"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Saved is a book's open windows as the key-value service keeps them: counts that only
// daemons know are lost with those that end together. It names the daemons, so that what one
// tells later counts in place of what is saved of it, not beside it.
type Saved struct {
	// Workspaces that windows count by place.
	Workspaces []ident.Workspace `json:"workspaces"`
	// Daemons in the order of their names.
	Daemons []SavedCounts `json:"daemons"`
}

// SavedCounts are the open windows of one daemon.
type SavedCounts struct {
	Incarnation ident.Incarnation  `json:"incarnation"`
	Windows     map[Window][]int64 `json:"windows"`
}

// Save returns the windows whose report is not known to have been made and would still be
// in time.
func (b *Book) Save(now time.Time) Saved {
	s := Saved{Workspaces: b.Workspaces()}
	for _, id := range slices.Sorted(maps.Keys(b.counts)) {
		windows := map[Window][]int64{}
		for w, counts := range b.Open(now, id) {
			if !b.done[w] {
				windows[w] = ByPlace(s.Workspaces, counts)
			}
		}
		if len(windows) > 0 {
			s.Daemons = append(s.Daemons, SavedCounts{Incarnation: id, Windows: windows})
		}
	}
	return s
}

// Load takes in what was saved, by this daemon or others.
func (b *Book) Load(s Saved) {
	for _, d := range s.Daemons {
		windows := make(map[Window]Counts, len(d.Windows))
		for w, counts := range d.Windows {
			windows[w] = FromPlaces(s.Workspaces, counts)
		}
		b.Heard(d.Incarnation, windows)
	}
}

// ByPlace are counts in the order of some workspaces, up to the last that is not zero.
func ByPlace(workspaces []ident.Workspace, counts Counts) []int64 {
	var by []int64
	for place, ws := range workspaces {
		if n := counts[ws]; n > 0 {
			by = append(by, make([]int64, place-len(by))...)
			by = append(by, n)
		}
	}
	return by
}

// FromPlaces undoes ByPlace. What has no workspace is left out.
func FromPlaces(workspaces []ident.Workspace, by []int64) Counts {
	counts := Counts{}
	for place, n := range by[:min(len(by), len(workspaces))] {
		if n > 0 {
			counts[workspaces[place]] = n
		}
	}
	return counts
}
