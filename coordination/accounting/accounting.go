// Package accounting counts the requests that started to run, by workspace and time window,
// across all daemons, and decides when a window is reported.
//
// Every daemon counts its own requests and sends its totals for the most recent windows to
// the others, so that its counts survive at its peers when it dies. Counts that are known
// only to daemons that end together would be lost; the open windows are therefore saved
// periodically in the key-value service (see Snapshot).
//
// One daemon at a time, the holder of the reporting duty, reports each window once. Before
// it reports, it stores what it is about to report (an intent). A successor that finds an
// intent repeats it unchanged, because the first report may have been accepted and a second
// report with different counts would contradict it. The key-value service may lose an intent,
// so the daemons also tell each other which reports were sent (SentReports).
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package accounting

import (
	"maps"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Window is the index of a time window of fixed length, counted from the Unix epoch.
type Window int64

// Counts holds the number of requests that started in one window, by workspace.
type Counts map[ident.Workspace]int64

// Timing holds the length of a window and the times after its end at which it is reported.
type Timing struct {
	// Length is the length of a window.
	Length time.Duration
	// ReportWithin is the time after the end of a window within which the window must be
	// reported.
	ReportWithin time.Duration
	// SettleTime is how long after the end of a window the holder of the reporting duty
	// waits for counts that daemons send to it directly. It says nothing of counts that
	// reach the holder through a relay or another third daemon; Coverage tells whether
	// those have arrived.
	SettleTime time.Duration
}

// SettleAfter covers the time that counts take to reach the holder of the reporting duty: a
// few messages, sent every 100 ms, and the difference between the daemons' estimates of the
// time of day.
const SettleAfter = 700 * time.Millisecond

// keptWindows is how many windows before the current one are kept. Older windows are past
// due, so a report of them would not be accepted.
const keptWindows = 6

// Ledger holds the counts of all daemons as far as this daemon knows them.
type Ledger struct {
	timing Timing
	self   ident.Incarnation
	counts map[ident.Incarnation]map[Window]Counts
	// reported holds the windows that are known to have been reported, sent what is known of all
	// reports that were sent.
	reported map[Window]bool
	sent     SentReports
	// workspaces caches the workspaces that occur in counts; nil means that the cache is
	// invalid.
	workspaces []ident.Workspace
}

// NewLedger returns a ledger without counts for the daemon self.
func NewLedger(self ident.Incarnation, timing Timing) *Ledger {
	return &Ledger{
		timing:   timing,
		self:     self,
		counts:   map[ident.Incarnation]map[Window]Counts{self: {}},
		reported: map[Window]bool{},
	}
}

// WindowAt returns the window that contains a time of day.
func (l *Ledger) WindowAt(at time.Time) Window {
	return Window(at.UnixMilli() / l.timing.Length.Milliseconds())
}

func (l *Ledger) end(w Window) time.Time {
	return time.UnixMilli((int64(w) + 1) * l.timing.Length.Milliseconds())
}

// RecordStart counts one of this daemon's requests, which started to run at the given time
// of day.
func (l *Ledger) RecordStart(at time.Time, ws ident.Workspace) {
	own := l.counts[l.self]
	w := l.WindowAt(at)
	c, ok := own[w]
	if !ok {
		c = Counts{}
		own[w] = c
	}
	if c[ws] == 0 {
		l.workspaces = nil
	}
	c[ws]++
}

// Receive merges the windows of another daemon, sent by that daemon or by a third one that
// received them. Counts only grow, so the larger of two counts is the later one. Windows
// that are missing from the message are kept until Tick drops them.
func (l *Ledger) Receive(id ident.Incarnation, windows map[Window]Counts) {
	if id == l.self {
		return
	}
	known, ok := l.counts[id]
	if !ok {
		known = map[Window]Counts{}
		l.counts[id] = known
	}
	for w, counts := range windows {
		merged, ok := known[w]
		if !ok {
			merged = make(Counts, len(counts))
			known[w] = merged
		}
		for ws, n := range counts {
			if merged[ws] == 0 {
				l.workspaces = nil
			}
			merged[ws] = max(merged[ws], n)
		}
	}
}

// OpenWindows returns the windows of a daemon, which may be this one, that can still be
// reported in time. The caller must not modify the counts, which are shared.
func (l *Ledger) OpenWindows(now time.Time, id ident.Incarnation) map[Window]Counts {
	open := map[Window]Counts{}
	for w, counts := range l.counts[id] {
		if !l.PastDue(now, w) {
			open[w] = counts
		}
	}
	return open
}

// hasOpenWindows reports whether a daemon has a window that can still be reported in time.
func (l *Ledger) hasOpenWindows(now time.Time, id ident.Incarnation) bool {
	for w := range l.counts[id] {
		if !l.PastDue(now, w) {
			return true
		}
	}
	return false
}

// NextEndedDaemon returns the first daemon after last, in the cyclic order of names, that
// has open windows and is not alive. It returns false if there is none.
//
// Each message carries the counts of a single ended daemon, in turn. After a rolling
// restart of the fleet, the counts of all ended daemons would take more room in a message
// than everything else. With one per message a daemon that has just started still receives
// all of them within a second, because each of the other daemons begins at a different
// name.
func (l *Ledger) NextEndedDaemon(now time.Time, last ident.Incarnation, alive map[ident.Incarnation]bool) (ident.Incarnation, bool) {
	var smallest, smallestAfter ident.Incarnation
	for id := range l.counts {
		if id == l.self || alive[id] || !l.hasOpenWindows(now, id) {
			continue
		}
		if smallest == "" || id < smallest {
			smallest = id
		}
		if id > last && (smallestAfter == "" || id < smallestAfter) {
			smallestAfter = id
		}
	}
	if smallestAfter == "" {
		smallestAfter = smallest
	}
	return smallestAfter, smallestAfter != ""
}

// Sum returns the total counts of a window over all daemons.
func (l *Ledger) Sum(w Window) Counts {
	sum := Counts{}
	for _, windows := range l.counts {
		for ws, n := range windows[w] {
			sum[ws] += n
		}
	}
	return sum
}

// Workspaces returns the workspaces that have counts, sorted.
func (l *Ledger) Workspaces() []ident.Workspace {
	if l.workspaces == nil {
		l.workspaces = l.collectWorkspaces()
	}
	return l.workspaces
}

func (l *Ledger) collectWorkspaces() []ident.Workspace {
	found := map[ident.Workspace]bool{}
	for _, windows := range l.counts {
		for _, counts := range windows {
			for ws := range counts {
				found[ws] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// Tick drops windows that are too old to be reported.
func (l *Ledger) Tick(now time.Time) {
	oldest := l.WindowAt(now) - keptWindows
	for id, windows := range l.counts {
		before := len(windows)
		maps.DeleteFunc(windows, func(w Window, _ Counts) bool { return w < oldest })
		if len(windows) < before {
			l.workspaces = nil
		}
		if len(windows) == 0 && id != l.self {
			delete(l.counts, id)
		}
	}
	maps.DeleteFunc(l.reported, func(w Window, _ bool) bool { return w < oldest })
}

// MarkReported records that the platform has accepted the report of a window.
func (l *Ledger) MarkReported(w Window) { l.reported[w] = true }

// Sent returns what this daemon knows of the reports that any daemon has sent. The caller may change it.
func (l *Ledger) Sent() *SentReports { return &l.sent }

// LastEnded returns the last window that had ended by a time of day.
func (l *Ledger) LastEnded(at time.Time) Window { return l.WindowAt(at) - 1 }

// TimeSinceEnd returns how long ago a window ended.
func (l *Ledger) TimeSinceEnd(now time.Time, w Window) time.Duration { return now.Sub(l.end(w)) }

// PastDue reports whether it is too late to report the window.
func (l *Ledger) PastDue(now time.Time, w Window) bool {
	return !l.end(w).Add(l.timing.ReportWithin).After(now)
}

// WindowsDue returns the windows to report now, oldest first: those that have ended and
// settled, are not past due and are not known to have been reported. A window without any
// request is reported as well.
func (l *Ledger) WindowsDue(now time.Time) []Window {
	var due []Window
	for w := l.WindowAt(now) - keptWindows; !l.end(w).Add(l.timing.SettleTime).After(now); w++ {
		if l.reported[w] || l.PastDue(now, w) {
			continue
		}
		due = append(due, w)
	}
	slices.Sort(due)
	return due
}
