package accounting

import (
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Coverage records when the counts of each daemon, even if empty, were last received from
// the daemon itself or from the relay that it follows. It exists because a daemon that has
// just become a relay knows nothing of earlier counts, and because counts passed on by a
// third daemon may be older than the end of the daemon that they belong to. The zero value
// is ready to use and covers no daemon.
type Coverage struct {
	lastReceived map[ident.Incarnation]time.Duration
	// ended holds the time at which each daemon ended, as far as this daemon knows. A
	// daemon is removed when it is heard again.
	ended map[ident.Incarnation]time.Duration
}

// rememberEndedFor is how long after the end of a daemon the end is remembered. It is
// longer than the time between the end of a window and its report.
const rememberEndedFor = time.Minute

// Receive records that this daemon received the counts of another daemon from that daemon
// itself, which shows that it has not ended.
func (c *Coverage) Receive(now time.Duration, id ident.Incarnation) {
	delete(c.ended, id)
	c.ReceiveRelayed(now, id)
}

// ReceiveRelayed records that this daemon received the counts of another daemon from the
// relay that the other daemon follows.
func (c *Coverage) ReceiveRelayed(now time.Duration, id ident.Incarnation) {
	if c.lastReceived == nil {
		c.lastReceived = map[ident.Incarnation]time.Duration{}
	}
	c.lastReceived[id] = now
}

// PeerEnded records that a daemon has ended.
func (c *Coverage) PeerEnded(now time.Duration, id ident.Incarnation) {
	if c.ended == nil {
		c.ended = map[ident.Incarnation]time.Duration{}
	}
	c.ended[id] = now
	for former, at := range c.ended {
		if now-at > rememberEndedFor {
			delete(c.ended, former)
			delete(c.lastReceived, former)
		}
	}
}

// InTransit returns, sorted, the daemons that ended less than within ago and whose counts
// have not been received at or after the time since. Other daemons may know counts of them
// that are still on their way to this daemon.
func (c *Coverage) InTransit(now, within, since time.Duration) []ident.Incarnation {
	var inTransit []ident.Incarnation
	for id, at := range c.ended {
		if now-at < within && !c.receivedSince(id, since) {
			inTransit = append(inTransit, id)
		}
	}
	slices.Sort(inTransit)
	return inTransit
}

func (c *Coverage) receivedSince(id ident.Incarnation, since time.Duration) bool {
	at, ok := c.lastReceived[id]
	return ok && at >= since
}

// Missing returns, sorted, those of the given daemons whose counts have not been received
// at or after the time since, and those that have ended.
func (c *Coverage) Missing(daemons []ident.Incarnation, since time.Duration) []ident.Incarnation {
	var missing []ident.Incarnation
	for _, id := range daemons {
		if _, ended := c.ended[id]; ended || !c.receivedSince(id, since) {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	return missing
}
