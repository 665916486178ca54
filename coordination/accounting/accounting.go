// Package accounting counts the requests that began to run, by workspace and
// window of the time of day, over all daemons, and decides when a window is
// reported.
//
// Every daemon counts its own and tells the others its totals for the last
// windows, so the counts of a daemon that dies outlive it at its peers. What only
// daemons know that end together would be lost; the open windows are therefore saved
// in the key-value service every now and then (Saved).
//
// One daemon at a time, the holder of the duty, reports each window once. What it is
// about to report is written down first (an intent): a successor that finds an
// intent repeats it word for word, because the first report may have been taken
// and a second one with other counts would contradict it.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
package accounting

import (
	"maps"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Window numbers a span of the time of day, counted from the Unix epoch.
type Window int64

// Counts holds the requests that began in one window.
type Counts map[ident.Workspace]int64

// Timing says how windows are cut and when they are reported.
type Timing struct {
	// Length of a window.
	Length time.Duration
	// Due is how long after its end a window must have been reported.
	Due time.Duration
	// Settle is how long after its end what daemons tell directly has come in.
	Settle time.Duration
}

// SettleAfter covers the time that counts take to reach the holder: a few
// messages of 100 ms, and what the daemons' estimates of the time differ by.
const SettleAfter = 700 * time.Millisecond

// keptWindows is how many windows are held before the current one; reports that are
// due later than that are lost anyway.
const keptWindows = 6

// Ledger holds the counts of all daemons as far as this one knows.
type Ledger struct {
	timing Timing
	self   ident.Incarnation
	counts map[ident.Incarnation]map[Window]Counts
	// reported are the windows that are known to have been reported.
	reported map[Window]bool
	// workspaces are those of counts; nil is not known.
	workspaces []ident.Workspace
}

// NewLedger returns an empty book of the daemon self.
func NewLedger(self ident.Incarnation, timing Timing) *Ledger {
	return &Ledger{
		timing:   timing,
		self:     self,
		counts:   map[ident.Incarnation]map[Window]Counts{self: {}},
		reported: map[Window]bool{},
	}
}

// WindowAt is the window of a time of day.
func (l *Ledger) WindowAt(at time.Time) Window {
	return Window(at.UnixMilli() / l.timing.Length.Milliseconds())
}

func (l *Ledger) end(w Window) time.Time {
	return time.UnixMilli((int64(w) + 1) * l.timing.Length.Milliseconds())
}

// RecordStart counts one own request that began to run at the time of day.
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

// Receive takes in another daemon's windows, told by itself or by one that heard it.
// Counts only grow, so the larger one is the later. Windows that are no longer told
// are kept until Tick drops them.
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

// OpenWindows returns those windows of a daemon, this one included, whose report would
// still be in time. The counts are shared and must not be changed.
func (l *Ledger) OpenWindows(now time.Time, id ident.Incarnation) map[Window]Counts {
	open := map[Window]Counts{}
	for w, counts := range l.counts[id] {
		if !l.PastDue(now, w) {
			open[w] = counts
		}
	}
	return open
}

// hasOpenWindows tells whether a daemon has a window whose report would still be in time.
func (l *Ledger) hasOpenWindows(now time.Time, id ident.Incarnation) bool {
	for w := range l.counts[id] {
		if !l.PastDue(now, w) {
			return true
		}
	}
	return false
}

// NextEndedDaemon returns the daemon after the one named last, in the order of names and
// around its end, that has open windows and is not alive; false if there is none.
//
// Daemons tell of one that has ended in each message, by turns. Told all at once
// the ended ones of a fleet that is restarted in turn outgrow everything else in a
// message; by turns a daemon that has just started still hears of all of them
// within a second, since each of the others begins at another name.
func (l *Ledger) NextEndedDaemon(now time.Time, last ident.Incarnation, alive map[ident.Incarnation]bool) (ident.Incarnation, bool) {
	var first, next ident.Incarnation
	for id := range l.counts {
		if id == l.self || alive[id] || !l.hasOpenWindows(now, id) {
			continue
		}
		if first == "" || id < first {
			first = id
		}
		if id > last && (next == "" || id < next) {
			next = id
		}
	}
	if next == "" {
		next = first
	}
	return next, next != ""
}

// Sum adds up all daemons' counts of a window.
func (l *Ledger) Sum(w Window) Counts {
	sum := Counts{}
	for _, windows := range l.counts {
		for ws, n := range windows[w] {
			sum[ws] += n
		}
	}
	return sum
}

// Workspaces are those that anything is counted of, in order.
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

// Tick drops what is too old to be reported.
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

// MarkReported notes that the platform has taken a window's report.
func (l *Ledger) MarkReported(w Window) { l.reported[w] = true }

// TimeSinceEnd is how long ago a window ended.
func (l *Ledger) TimeSinceEnd(now time.Time, w Window) time.Duration { return now.Sub(l.end(w)) }

// PastDue tells whether a report of the window would come too late.
func (l *Ledger) PastDue(now time.Time, w Window) bool { return !l.end(w).Add(l.timing.Due).After(now) }

// WindowsDue lists the windows that should be reported now, oldest first: ended and
// settled, not too late, and not known to have been reported. A window without
// any request is reported, too.
func (l *Ledger) WindowsDue(now time.Time) []Window {
	var due []Window
	for w := l.WindowAt(now) - keptWindows; !l.end(w).Add(l.timing.Settle).After(now); w++ {
		if l.reported[w] || l.PastDue(now, w) {
			continue
		}
		due = append(due, w)
	}
	slices.Sort(due)
	return due
}
