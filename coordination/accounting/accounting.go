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

// kept is how many windows are held before the current one; reports that are
// due later than that are lost anyway.
const kept = 6

// Book holds the counts of all daemons as far as this one knows.
type Book struct {
	timing Timing
	self   ident.Incarnation
	counts map[ident.Incarnation]map[Window]Counts
	// done are the windows that are known to have been reported.
	done map[Window]bool
	// workspaces are those of counts; nil is not known.
	workspaces []ident.Workspace
}

// NewBook returns an empty book of the daemon self.
func NewBook(self ident.Incarnation, timing Timing) *Book {
	return &Book{
		timing: timing,
		self:   self,
		counts: map[ident.Incarnation]map[Window]Counts{self: {}},
		done:   map[Window]bool{},
	}
}

// WindowAt is the window of a time of day.
func (b *Book) WindowAt(at time.Time) Window {
	return Window(at.UnixMilli() / b.timing.Length.Milliseconds())
}

func (b *Book) end(w Window) time.Time {
	return time.UnixMilli((int64(w) + 1) * b.timing.Length.Milliseconds())
}

// Began counts one own request that began to run at the time of day.
func (b *Book) Began(at time.Time, ws ident.Workspace) {
	own := b.counts[b.self]
	w := b.WindowAt(at)
	c, ok := own[w]
	if !ok {
		c = Counts{}
		own[w] = c
	}
	if c[ws] == 0 {
		b.workspaces = nil
	}
	c[ws]++
}

// Heard takes in another daemon's windows, told by itself or by one that heard it.
// Counts only grow, so the larger one is the later. Windows that are no longer told
// are kept until Tick drops them.
func (b *Book) Heard(id ident.Incarnation, windows map[Window]Counts) {
	if id == b.self {
		return
	}
	known, ok := b.counts[id]
	if !ok {
		known = map[Window]Counts{}
		b.counts[id] = known
	}
	for w, counts := range windows {
		merged, ok := known[w]
		if !ok {
			merged = make(Counts, len(counts))
			known[w] = merged
		}
		for ws, n := range counts {
			if merged[ws] == 0 {
				b.workspaces = nil
			}
			merged[ws] = max(merged[ws], n)
		}
	}
}

// Open returns those windows of a daemon, this one included, whose report would
// still be in time. The counts are shared and must not be changed.
func (b *Book) Open(now time.Time, id ident.Incarnation) map[Window]Counts {
	open := map[Window]Counts{}
	for w, counts := range b.counts[id] {
		if !b.Late(now, w) {
			open[w] = counts
		}
	}
	return open
}

// open tells whether a daemon has a window whose report would still be in time.
func (b *Book) open(now time.Time, id ident.Incarnation) bool {
	for w := range b.counts[id] {
		if !b.Late(now, w) {
			return true
		}
	}
	return false
}

// NextEnded returns the daemon after the one named last, in the order of names and
// around its end, that has open windows and is not alive; false if there is none.
//
// Daemons tell of one that has ended in each message, by turns. Told all at once
// the ended ones of a fleet that is restarted in turn outgrow everything else in a
// message; by turns a daemon that has just started still hears of all of them
// within a second, since each of the others begins at another name.
func (b *Book) NextEnded(now time.Time, last ident.Incarnation, alive map[ident.Incarnation]bool) (ident.Incarnation, bool) {
	var first, next ident.Incarnation
	for id := range b.counts {
		if id == b.self || alive[id] || !b.open(now, id) {
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
func (b *Book) Sum(w Window) Counts {
	sum := Counts{}
	for _, windows := range b.counts {
		for ws, n := range windows[w] {
			sum[ws] += n
		}
	}
	return sum
}

// Workspaces are those that anything is counted of, in order.
func (b *Book) Workspaces() []ident.Workspace {
	if b.workspaces == nil {
		b.workspaces = b.findWorkspaces()
	}
	return b.workspaces
}

func (b *Book) findWorkspaces() []ident.Workspace {
	found := map[ident.Workspace]bool{}
	for _, windows := range b.counts {
		for _, counts := range windows {
			for ws := range counts {
				found[ws] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// Tick drops what is too old to be reported.
func (b *Book) Tick(now time.Time) {
	oldest := b.WindowAt(now) - kept
	for id, windows := range b.counts {
		before := len(windows)
		maps.DeleteFunc(windows, func(w Window, _ Counts) bool { return w < oldest })
		if len(windows) < before {
			b.workspaces = nil
		}
		if len(windows) == 0 && id != b.self {
			delete(b.counts, id)
		}
	}
	maps.DeleteFunc(b.done, func(w Window, _ bool) bool { return w < oldest })
}

// Reported notes that the platform has taken a window's report.
func (b *Book) Reported(w Window) { b.done[w] = true }

// EndedFor is how long ago a window ended.
func (b *Book) EndedFor(now time.Time, w Window) time.Duration { return now.Sub(b.end(w)) }

// Late tells whether a report of the window would come too late.
func (b *Book) Late(now time.Time, w Window) bool { return !b.end(w).Add(b.timing.Due).After(now) }

// Due lists the windows that should be reported now, oldest first: ended and
// settled, not too late, and not known to have been reported. A window without
// any request is reported, too.
func (b *Book) Due(now time.Time) []Window {
	var due []Window
	for w := b.WindowAt(now) - kept; !b.end(w).Add(b.timing.Settle).After(now); w++ {
		if b.done[w] || b.Late(now, w) {
			continue
		}
		due = append(due, w)
	}
	slices.Sort(due)
	return due
}
