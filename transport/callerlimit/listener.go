package callerlimit

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/callerbudget"
)

// NewListener returns a listener with a limit on its open connections. ended is called for each one that is ended for
// others. The server of the connections must be passed to Follow.
func NewListener(l net.Listener, limit int, ended func(net.Addr, Ended)) net.Listener {
	return &limitedListener{l, NewConnections(limit), ended}
}

// Follow lets a server record what the connections of a NewListener are at, also below TLS. active is what a connection
// with a request counts as; see Answering.
func Follow(s *http.Server, active callerbudget.State) {
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		c, ok := limitedConnOf(conn)
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
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
}

type connKey struct{}

// Answering records that the request with the context has been read whole, so that its connection isn't ended for others
// until it has been answered.
func Answering(ctx context.Context) {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	if c, ok := limitedConnOf(conn); ok {
		c.connection.Set(callerbudget.Answering)
	}
}

// EndReading makes the reading of the request with the context fail. Its connection must not be used for another one.
func EndReading(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(net.Conn); ok {
		// If this fails, the connection has been closed.
		_ = conn.SetReadDeadline(time.Unix(0, 1))
	}
}

func limitedConnOf(conn net.Conn) (*limitedConn, bool) {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	c, ok := conn.(*limitedConn)
	return c, ok
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
