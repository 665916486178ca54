package accounting

import (
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Coverage is when daemons' counts, be they none, were last told by themselves or by the relay
// that they follow. A relay that has just become one knows nothing of what was told before,
// and what others pass on may be older than the end of the daemon that they had it from. The
// zero value has heard of nobody.
type Coverage struct {
	heard map[ident.Incarnation]time.Duration
	// ended is when daemons ended that were not heard since.
	ended map[ident.Incarnation]time.Duration
}

// endedFor is how long an end is remembered: longer than any window waits for its report.
const endedFor = time.Minute

// Heard notes that a daemon told its counts itself: it has not ended.
func (c *Coverage) Heard(now time.Duration, id ident.Incarnation) {
	delete(c.ended, id)
	c.Told(now, id)
}

// Told notes that the relay that a daemon follows told its counts.
func (c *Coverage) Told(now time.Duration, id ident.Incarnation) {
	if c.heard == nil {
		c.heard = map[ident.Incarnation]time.Duration{}
	}
	c.heard[id] = now
}

// Gone notes that a daemon has ended.
func (c *Coverage) Gone(now time.Duration, id ident.Incarnation) {
	if c.ended == nil {
		c.ended = map[ident.Incarnation]time.Duration{}
	}
	c.ended[id] = now
	for former, at := range c.ended {
		if now-at > endedFor {
			delete(c.ended, former)
			delete(c.heard, former)
		}
	}
}

// Passing are the daemons that ended less than a time ago and whose counts were not told since
// another time, in order: what others know of them is still being passed on.
func (c *Coverage) Passing(now, within, since time.Duration) []ident.Incarnation {
	var passing []ident.Incarnation
	for id, at := range c.ended {
		if now-at < within && !c.toldSince(id, since) {
			passing = append(passing, id)
		}
	}
	slices.Sort(passing)
	return passing
}

func (c *Coverage) toldSince(id ident.Incarnation, since time.Duration) bool {
	at, ok := c.heard[id]
	return ok && at >= since
}

// Lacking are those of some daemons whose counts were not told since a time, in order.
func (c *Coverage) Lacking(of []ident.Incarnation, since time.Duration) []ident.Incarnation {
	var lacking []ident.Incarnation
	for _, id := range of {
		if _, ended := c.ended[id]; ended || !c.toldSince(id, since) {
			lacking = append(lacking, id)
		}
	}
	slices.Sort(lacking)
	return lacking
}
