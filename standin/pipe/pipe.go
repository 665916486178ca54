// Package pipe is an in-memory network for tests that run in testing/synctest
// bubbles. Listeners and connections use net.Pipe. Established connections
// can be made silent for good while new connections work.
package pipe

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	bufferBytes = 32 << 10
	portZero    = "0"
	firstPort   = 40000
)

// expiredDeadline has passed on every clock, including the virtual clock of a
// testing/synctest bubble.
var expiredDeadline = time.Unix(1, 0)

// RefusedError reports that nothing listens on an address.
type RefusedError struct{ Address string }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("connection to %s refused", e.Address)
}

// InUseError reports that another listener uses the address already.
type InUseError struct{ Address string }

func (e *InUseError) Error() string { return fmt.Sprintf("address %s is already in use", e.Address) }

// Address is the address of a listener, usually "host:port".
type Address string

// Network implements net.Addr.
func (Address) Network() string { return "pipe" }

func (a Address) String() string { return string(a) }

// Network is a set of listeners and of connections to them. It is safe for
// concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[Address]*listener
	links     map[*link]struct{}
	lastPort  int
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: map[Address]*listener{}, links: map[*link]struct{}{}, lastPort: firstPort - 1}
}

type listener struct {
	network *Network
	address Address
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// link relays the bytes of one connection between the client's and the
// server's net.Pipe.
type link struct {
	to     Address
	client net.Conn // the relay's end of each pipe
	server net.Conn

	mu     sync.Mutex
	silent bool
}

// Listen makes address reachable until the listener is closed. Port 0 is
// replaced by a port that was not used before in this network.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if host, port, err := net.SplitHostPort(address); err == nil && port == portZero {
		n.lastPort++
		address = net.JoinHostPort(host, strconv.Itoa(n.lastPort))
	}
	a := Address(address)
	if n.listeners[a] != nil {
		return nil, &net.OpError{Op: "listen", Net: a.Network(), Addr: a, Err: &InUseError{Address: address}}
	}
	l := &listener{network: n, address: a, backlog: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[a] = l
	return l, nil
}

// Dial connects to a listener of the network. It can be used as
// http.Transport.DialContext.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	a := Address(address)
	n.mu.Lock()
	l := n.listeners[a]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: a.Network(), Addr: a, Err: &RefusedError{Address: address}}
	if l == nil {
		return nil, refused
	}
	client, relayClient := net.Pipe()
	server, relayServer := net.Pipe()
	select {
	case l.backlog <- server:
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: a.Network(), Addr: a, Err: ctx.Err()}
	}
	n.relay(&link{to: a, client: relayClient, server: relayServer})
	return client, nil
}

// Client returns an HTTP client that connects through the network. Its idle
// connections must be closed before the testing/synctest bubble ends, because
// a bubble waits for its goroutines.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dial}}
}

func (n *Network) relay(l *link) {
	n.mu.Lock()
	n.links[l] = struct{}{}
	n.mu.Unlock()
	var ends sync.WaitGroup
	ends.Go(func() { l.copy(l.server, l.client) })
	ends.Go(func() { l.copy(l.client, l.server) })
	go func() {
		ends.Wait()
		n.mu.Lock()
		delete(n.links, l)
		n.mu.Unlock()
	}()
}

// copy forwards bytes until src is closed. On a silent link it discards the
// bytes, and does not close dst when src is closed.
func (l *link) copy(dst, src net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !l.isSilent() {
			if _, writeErr := dst.Write(buffer[:n]); writeErr != nil && !l.isSilent() {
				src.Close()
				return
			}
		}
		if err == nil {
			continue
		}
		if !l.isSilent() {
			dst.Close()
		}
		return
	}
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// silence marks the link as silent and unblocks the writes of the relay. From
// then on both ends can write but nothing arrives, as if a NAT gateway or
// firewall had lost the state of the connection.
func (l *link) silence() {
	l.mu.Lock()
	l.silent = true
	l.mu.Unlock()
	l.client.SetWriteDeadline(expiredDeadline)
	l.server.SetWriteDeadline(expiredDeadline)
}

// Silence makes every established connection to address silent for good: both
// ends stay open and nothing arrives any more. New connections work. It
// returns the number of connections.
func (n *Network) Silence(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for l := range n.links {
		if l.to == Address(address) {
			l.silence()
			count++
		}
	}
	return count
}

// Break closes both ends of every established connection to address,
// including silent ones, and returns the number of connections.
func (n *Network) Break(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for l := range n.links {
		if l.to == Address(address) {
			l.client.Close()
			l.server.Close()
			count++
		}
	}
	return count
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: l.address.Network(), Addr: l.address, Err: net.ErrClosed}
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }
