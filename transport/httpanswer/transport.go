package httpanswer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// maxHeadBytes is the largest head of an answer that a Transport takes, with the interim ones before it.
const maxHeadBytes = 64 << 10

// Transport is a net/http transport that returns an answer only if it is one. What it refuses counts as a connection that
// has broken: the request may have been executed. It is for HTTP/1.1; heads within TLS that net/http itself sets up are
// checked after net/http has parsed them.
type Transport struct {
	base *http.Transport
	// Refused, if it isn't nil, is called for each answer that is refused. It must be set before the first request.
	Refused func(*Error)
}

// NewTransport returns a Transport over base, which must not be used otherwise from then on.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t := &Transport{base: base}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newWatchedConn(conn, t), nil
	}
	return t
}

// NewClient returns a client with a Transport of its own, set up as http.DefaultTransport is.
func NewClient() *http.Client {
	return &http.Client{Transport: NewTransport(http.DefaultTransport.(*http.Transport).Clone())}
}

// CloseIdleConnections closes the connections that aren't in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper. Its errors, and those of reading the body, wrap an *Error if the server's bytes are
// no answer.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn *watchedConn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, _ = info.Conn.(*watchedConn); conn != nil {
			conn.heads.Expect(nil)
		}
	}}
	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckFinal(response.StatusCode, response.Header); err != nil {
		if conn != nil {
			conn.Close()
		}
		response.Body.Close()
		return nil, t.observe(err)
	}
	response.Body = &checkedBody{ReadCloser: response.Body, transport: t, conn: conn, response: response}
	return response, nil
}

// observe tells Refused of an *Error, and returns the error.
func (t *Transport) observe(err error) error {
	var refused *Error
	if t.Refused != nil && errors.As(err, &refused) {
		t.Refused(refused)
	}
	return err
}

// checkedBody is the body of an answer.
type checkedBody struct {
	io.ReadCloser
	transport *Transport
	// conn is nil if net/http hides it.
	conn     *watchedConn
	response *http.Response
}

// Read returns io.EOF only if the server has said that the body ends.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) || b.conn == nil {
		return n, err
	}
	if endErr := CheckBodyEnd(b.response, b.conn); endErr != nil {
		return n, b.transport.observe(endErr)
	}
	return n, err
}

// watchedConn is a connection of a Transport. It knows what became of writes.
type watchedConn struct {
	net.Conn
	transport *Transport
	heads     *HeadReader
	refused   sync.Once

	mu       sync.Mutex
	finished *sync.Cond
	writing  int
	writeErr error
	end      End
}

var _ Connection = (*watchedConn)(nil)

func newWatchedConn(conn net.Conn, t *Transport) *watchedConn {
	c := &watchedConn{Conn: conn, transport: t, heads: NewHeadReader(conn, maxHeadBytes)}
	c.finished = sync.NewCond(&c.mu)
	return c
}

// Read implements net.Conn. It tells of a head that is none here, since net/http may send the request once more then.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.heads.Read(p)
	var refused *Error
	if errors.As(err, &refused) {
		c.refused.Do(func() { _ = c.transport.observe(err) })
	}
	if errors.Is(err, io.EOF) {
		// net/http may close the connection before its end is asked for.
		end := EndOf(c.Conn)
		c.mu.Lock()
		c.end = end
		c.mu.Unlock()
	}
	return n, err
}

func (c *watchedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.finished.Broadcast()
	return n, err
}

// End implements Connection.
func (c *watchedConn) End() End {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end
}

// Written implements Connection.
func (c *watchedConn) Written() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing > 0 {
		c.finished.Wait()
	}
	return c.writeErr
}
