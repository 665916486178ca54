package callerlimit

import (
	"net"
	"net/http"
	"sync"

	"geraniumstack.org/geraniumstack/coordination/callerbudget"
)

// LimitServer limits the connections of a server: it returns the listener to serve, and follows what the connections
// are at. active is what a connection with a request counts as. ended is called for each connection that is ended for
// others.
func LimitServer(s *http.Server, l net.Listener, limit int, active callerbudget.State, ended func(net.Addr, Ended)) net.Listener {
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		c, ok := conn.(*limitedConn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive:
			c.connection.Set(active)
		case http.StateIdle:
			c.connection.Set(callerbudget.Idle)
		}
	}
	return &limitedListener{l, NewConnections(limit), ended}
}

type limitedListener struct {
	net.Listener
	connections *Connections
	ended       func(net.Addr, Ended)
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{Conn: conn}
	c.connection = l.connections.Add(func(_ callerbudget.State, e Ended) {
		l.ended(conn.RemoteAddr(), e)
		conn.Close()
	})
	return c, nil
}

// limitedConn is a connection that counts until it is closed.
type limitedConn struct {
	net.Conn
	connection *Connection
	once       sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.connection.Remove)
	return c.Conn.Close()
}
