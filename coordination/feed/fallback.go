package feed

import (
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// fallbackTurn is how long one other source is asked before the next one is tried if the copy is still old.
	// A question and its answer take two messages between relays.
	fallbackTurn = 600 * time.Millisecond
	// fallbackPeriod is how long a source is asked after the usual one has last failed.
	fallbackPeriod = 5 * time.Second
)

// Fallback chooses the other source that a receiver asks for changes while its usual one brings none: the
// service may turn away the daemon from which a whole failure domain gets its changes, and serve others.
// Times are those of one steady clock. The zero value asks nobody.
type Fallback struct {
	source ident.Incarnation
	// chosenAt is when source was chosen, and askUntil the end of the time in which it is asked.
	chosenAt, askUntil time.Duration
}

// Update takes up whether the usual source has failed or the copy is old, and which other sources there are,
// sorted. A source that leaves the copy old is replaced by the next one.
func (f *Fallback) Update(now time.Duration, failed, isOld bool, sources []ident.Incarnation) {
	if !slices.Contains(sources, f.source) {
		f.source, f.askUntil = "", 0
	}
	switch {
	case len(sources) == 0 || !failed && !isOld:
		return
	case f.source == "", isOld && now < f.askUntil && now-f.chosenAt >= fallbackTurn:
		f.source, f.chosenAt = next(sources, f.source), now
	case now >= f.askUntil:
		f.chosenAt = now
	}
	f.askUntil = now + fallbackPeriod
}

// Source returns the source to ask now, empty if none.
func (f *Fallback) Source(now time.Duration) ident.Incarnation {
	if now >= f.askUntil {
		return ""
	}
	return f.source
}

// next returns the element of a sorted list that follows another one, the first after the last.
func next(sorted []ident.Incarnation, after ident.Incarnation) ident.Incarnation {
	i, found := slices.BinarySearch(sorted, after)
	if found {
		i++
	}
	return sorted[i%len(sorted)]
}
