package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"geraniumstack.org/geraniumstack/transport/httpanswer"
)

// Network opens listeners and connections. Tests use an in-memory
// implementation.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the Network that uses the operating system's TCP.
type TCP struct{}

const (
	dialTimeout = time.Second
	keepAlive   = 5 * time.Second
	// idleConnTimeout is how long an unused connection is kept open.
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 64
)

// Listen opens a TCP listener at an IP address and port.
func (TCP) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// Dial opens a TCP connection.
func (TCP) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return conn, nil
}

// tlsNetwork dials other daemons with TLS. The certificate must be valid for
// the IP address, because daemons know each other only by address.
type tlsNetwork struct {
	Network
	config *tls.Config
}

// Dial opens a connection and performs the TLS handshake.
func (s tlsNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := s.Network.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("address: %w", err)
	}
	config := s.config.Clone()
	config.ServerName = host
	tlsConn := tls.Client(conn, config)
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	return tlsConn, nil
}

// newHTTPClient returns a client for the daemon's own calls. It sets no
// timeout, because streams may last any time; callers bound their calls with
// contexts. It calls refused for each answer that is none.
func newHTTPClient(n Network, refused func(*httpanswer.Error)) *http.Client {
	transport := httpanswer.NewTransport(&http.Transport{
		DialContext:         n.Dial,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
	})
	transport.Refused = refused
	return &http.Client{Transport: transport}
}
