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
				windows[w] = IndexedCounts(s.Workspaces, counts)
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
			windows[w] = CountsFromIndexed(s.Workspaces, counts)
		}
		l.Receive(d.Incarnation, windows)
	}
}

// IndexedCounts returns the counts as a list in the order of workspaces, without trailing
// zeros.
func IndexedCounts(workspaces []ident.Workspace, counts Counts) []int64 {
	var indexed []int64
	for index, ws := range workspaces {
		if n := counts[ws]; n > 0 {
			indexed = append(indexed, make([]int64, index-len(indexed))...)
			indexed = append(indexed, n)
		}
	}
	return indexed
}

// CountsFromIndexed is the inverse of IndexedCounts. Counts beyond the last workspace are
// dropped.
func CountsFromIndexed(workspaces []ident.Workspace, indexed []int64) Counts {
	counts := Counts{}
	for index, n := range indexed[:min(len(indexed), len(workspaces))] {
		if n > 0 {
			counts[workspaces[index]] = n
		}
	}
	return counts
}
