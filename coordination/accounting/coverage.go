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
	lastTold map[ident.Incarnation]time.Duration
	// ended is when daemons ended that were not heard since.
	ended map[ident.Incarnation]time.Duration
}

// rememberEndedFor is how long an end is remembered: longer than any window waits for its report.
const rememberEndedFor = time.Minute

// Receive notes that a daemon told its counts itself: it has not ended.
func (c *Coverage) Receive(now time.Duration, id ident.Incarnation) {
	delete(c.ended, id)
	c.ReceiveRelayed(now, id)
}

// ReceiveRelayed notes that the relay that a daemon follows told its counts.
func (c *Coverage) ReceiveRelayed(now time.Duration, id ident.Incarnation) {
	if c.lastTold == nil {
		c.lastTold = map[ident.Incarnation]time.Duration{}
	}
	c.lastTold[id] = now
}

// PeerEnded notes that a daemon has ended.
func (c *Coverage) PeerEnded(now time.Duration, id ident.Incarnation) {
	if c.ended == nil {
		c.ended = map[ident.Incarnation]time.Duration{}
	}
	c.ended[id] = now
	for former, at := range c.ended {
		if now-at > rememberEndedFor {
			delete(c.ended, former)
			delete(c.lastTold, former)
		}
	}
}

// InTransit are the daemons that ended less than a time ago and whose counts were not told since
// another time, in order: what others know of them is still being passed on.
func (c *Coverage) InTransit(now, within, since time.Duration) []ident.Incarnation {
	var inTransit []ident.Incarnation
	for id, at := range c.ended {
		if now-at < within && !c.toldSince(id, since) {
			inTransit = append(inTransit, id)
		}
	}
	slices.Sort(inTransit)
	return inTransit
}

func (c *Coverage) toldSince(id ident.Incarnation, since time.Duration) bool {
	at, ok := c.lastTold[id]
	return ok && at >= since
}

// Missing are those of some daemons whose counts were not told since a time, in order.
func (c *Coverage) Missing(ids []ident.Incarnation, since time.Duration) []ident.Incarnation {
	var missing []ident.Incarnation
	for _, id := range ids {
		if _, ended := c.ended[id]; ended || !c.toldSince(id, since) {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	return missing
}
