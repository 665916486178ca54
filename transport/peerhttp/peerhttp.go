// Package peerhttp configures HTTP/2 without TLS for the calls between the daemons of a fleet.
package peerhttp

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// dialTimeout bounds the time to open a connection to another daemon. A caller waits
	// meanwhile, and there are others to ask.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
	// A connection over which nothing arrives is checked by a ping after pingAfter and closed if
	// there is no response within pingTimeout: the other daemon has lost its power or network. All
	// calls to it end with the connection, and it may be silent for a second or two and go on.
	pingAfter   = time.Second
	pingTimeout = 1500 * time.Millisecond
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = time.Second
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial opens a TCP connection.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
}

// NewTransport returns a transport for calls to other daemons. All calls to one daemon share a
// connection.
func NewTransport(dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext:     dial,
		Protocols:       protocols(),
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
}

// NewServer returns a server for the calls of other daemons.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		Protocols:         protocols(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       2 * idleTimeout,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
}

func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}
