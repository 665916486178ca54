package accounting

import (
	"maps"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Snapshot holds the open windows of a ledger as stored in the key-value service, so that
// counts survive when all daemons that know them end together. It lists the counts by
// daemon, so that counts that a daemon sends later replace its stored ones instead of being
// added to them.
type Snapshot struct {
	// Workspaces are the workspaces that the windows' counts refer to by index.
	Workspaces []ident.Workspace `json:"workspaces"`
	// Daemons is sorted by incarnation.
	Daemons []DaemonSnapshot `json:"daemons"`
}

// DaemonSnapshot holds the open windows of one daemon.
type DaemonSnapshot struct {
	Incarnation ident.Incarnation  `json:"incarnation"`
	Windows     map[Window][]int64 `json:"windows"`
}

// TakeSnapshot returns the windows that are not known to have been reported and can still
// be reported in time.
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

// Load merges a snapshot that was taken by this daemon or another one.
func (l *Ledger) Load(s Snapshot) {
	for _, d := range s.Daemons {
		windows := make(map[Window]Counts, len(d.Windows))
		for w, counts := range d.Windows {
			windows[w] = FromPlaces(s.Workspaces, counts)
		}
		l.Receive(d.Incarnation, windows)
	}
}

// ByPlace returns the counts in the order of the workspaces, without trailing zeros.
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

// FromPlaces is the inverse of ByPlace. Counts beyond the last workspace are dropped.
func FromPlaces(workspaces []ident.Workspace, byPlace []int64) Counts {
	counts := Counts{}
	for place, n := range byPlace[:min(len(byPlace), len(workspaces))] {
		if n > 0 {
			counts[workspaces[place]] = n
		}
	}
	return counts
}
