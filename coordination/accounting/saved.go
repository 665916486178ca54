package accounting

import (
	"maps"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Snapshot is a book's open windows as the key-value service keeps them: counts that only
// daemons know are lost with those that end together. It names the daemons, so that what one
// tells later counts in place of what is saved of it, not beside it.
type Snapshot struct {
	// Workspaces that windows count by place.
	Workspaces []ident.Workspace `json:"workspaces"`
	// Daemons in the order of their names.
	Daemons []DaemonSnapshot `json:"daemons"`
}

// DaemonSnapshot are the open windows of one daemon.
type DaemonSnapshot struct {
	Incarnation ident.Incarnation  `json:"incarnation"`
	Windows     map[Window][]int64 `json:"windows"`
}

// TakeSnapshot returns the windows whose report is not known to have been made and would still be
// in time.
func (l *Ledger) TakeSnapshot(now time.Time) Snapshot {
	s := Snapshot{Workspaces: l.Workspaces()}
	for _, id := range slices.Sorted(maps.Keys(l.counts)) {
		windows := map[Window][]int64{}
		for w, counts := range l.OpenWindows(now, id) {
			if !l.reported[w] {
				windows[w] = ByPlace(s.Workspaces, counts)
			}
		}
		if len(windows) > 0 {
			s.Daemons = append(s.Daemons, DaemonSnapshot{Incarnation: id, Windows: windows})
		}
	}
	return s
}

// Load takes in what was saved, by this daemon or others.
func (l *Ledger) Load(s Snapshot) {
	for _, d := range s.Daemons {
		windows := make(map[Window]Counts, len(d.Windows))
		for w, counts := range d.Windows {
			windows[w] = FromPlaces(s.Workspaces, counts)
		}
		l.Receive(d.Incarnation, windows)
	}
}

// ByPlace are counts in the order of some workspaces, up to the last that is not zero.
func ByPlace(workspaces []ident.Workspace, counts Counts) []int64 {
	var byPlace []int64
	for place, ws := range workspaces {
		if n := counts[ws]; n > 0 {
			byPlace = append(byPlace, make([]int64, place-len(byPlace))...)
			byPlace = append(byPlace, n)
		}
	}
	return byPlace
}

// FromPlaces undoes ByPlace. What has no workspace is left out.
func FromPlaces(workspaces []ident.Workspace, byPlace []int64) Counts {
	counts := Counts{}
	for place, n := range byPlace[:min(len(byPlace), len(workspaces))] {
		if n > 0 {
			counts[workspaces[place]] = n
		}
	}
	return counts
}
