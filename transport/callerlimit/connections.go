package callerlimit

import (
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/callerbudget"
)

// Connections limits the number of connections. It is safe for concurrent use.
type Connections struct {
	start time.Time

	mu     sync.Mutex
	budget *callerbudget.Connections
	lastID callerbudget.ID
	open   map[callerbudget.ID]*Connection
}

// NewConnections returns a limiter of a number of connections.
func NewConnections(limit int) *Connections {
	return &Connections{start: time.Now(), budget: callerbudget.NewConnections(limit), open: map[callerbudget.ID]*Connection{}}
}

// Usage returns the number of open connections, and the size of the budget.
func (l *Connections) Usage() (open, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Open(), l.budget.Limit()
}

// Connection is one open connection. It must be removed when it has been closed.
type Connection struct {
	limiter *Connections
	id      callerbudget.ID
	end     func(callerbudget.State, Ended)
}

// Add adds a connection. If there are too many, one is ended, maybe this one: its end is called once, without locks,
// with what the connection was at.
func (l *Connections) Add(end func(callerbudget.State, Ended)) *Connection {
	l.mu.Lock()
	l.lastID++
	c := &Connection{l, l.lastID, end}
	l.open[c.id] = c
	id, full := l.budget.Add(l.now(), c.id)
	victim := l.open[id]
	state, since := l.budget.State(id)
	ended := Ended{Age: l.now() - since, Used: int64(l.budget.Open()), Limit: int64(l.budget.Limit())}
	if full {
		l.remove(id)
	}
	l.mu.Unlock()
	if full {
		victim.end(state, ended)
	}
	return c
}

func (l *Connections) now() time.Duration { return time.Since(l.start) }

func (l *Connections) remove(id callerbudget.ID) {
	delete(l.open, id)
	l.budget.Remove(id)
}

// Set records what the connection is at.
func (c *Connection) Set(s callerbudget.State) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.budget.Set(c.limiter.now(), c.id, s)
}

// Remove records that the connection has been closed. It may be called more than once.
func (c *Connection) Remove() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.remove(c.id)
}
