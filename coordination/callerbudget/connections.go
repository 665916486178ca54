package callerbudget

import "time"

// State is what a connection is at.
type State int

// States of connections, in the order in which connections that have waited are ended for others.
const (
	// Unused connections have not brought a whole header of a request yet.
	Unused State = iota
	// Idle connections are between two requests.
	Idle
	// Receiving connections bring the body of a request.
	Receiving
	// Answering connections wait for the answer to a request that has been read whole, and are never ended for others.
	Answering
)

// Connections is the budget of the callers' connections.
type Connections struct {
	limit int
	open  map[ID]*connection
}

type connection struct {
	state State
	since time.Duration
}

// NewConnections returns a budget of a number of connections.
func NewConnections(limit int) *Connections {
	return &Connections{limit: limit, open: map[ID]*connection{}}
}

// Limit returns the size of the budget.
func (c *Connections) Limit() int { return c.limit }

// Open returns the number of connections that are open.
func (c *Connections) Open() int { return len(c.open) }

// State returns what a connection is at, and since when.
func (c *Connections) State(id ID) (State, time.Duration) {
	if conn := c.open[id]; conn != nil {
		return conn.state, conn.since
	}
	return Unused, 0
}

// Add adds an unused connection. If there are too many, full is set, and end is the one to end: it may be the new one,
// if all others wait for answers.
func (c *Connections) Add(now time.Duration, id ID) (end ID, full bool) {
	c.open[id] = &connection{since: now}
	if len(c.open) <= c.limit {
		return 0, false
	}
	return c.toEnd(now, id), true
}

// Set records what a connection is at from now on.
func (c *Connections) Set(now time.Duration, id ID, s State) {
	if conn := c.open[id]; conn != nil && conn.state != s {
		conn.state, conn.since = s, now
	}
}

// Remove records that a connection has been closed.
func (c *Connections) Remove(id ID) { delete(c.open, id) }

// toEnd returns the connection to end for a new one; the new one if all others wait for answers.
func (c *Connections) toEnd(now time.Duration, added ID) ID {
	found := added
	var best *connection
	for id, conn := range c.open {
		if id == added || conn.state == Answering {
			continue
		}
		if best == nil || conn.before(best, now) || !best.before(conn, now) && id < found {
			found, best = id, conn
		}
	}
	return found
}

// before reports whether the connection is ended before another one.
func (c *connection) before(other *connection, now time.Duration) bool {
	if a, b := c.rank(now), other.rank(now); a != b {
		return a < b
	}
	return c.since < other.since
}

// rank is lower for connections that are ended first. Those that have only just come to where they are go last: a new
// caller's request may be on its way.
func (c *connection) rank(now time.Duration) State {
	if now-c.since < patience {
		return Answering
	}
	return c.state
}
