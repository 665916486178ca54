// Package pipe is a network in memory for tests in testing/synctest bubbles:
// listeners and dialled connections over net.Pipe, of which established ones
// can be made to go silent for good while new ones work.
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

// expiredDeadline is a deadline that is over on every clock, virtual ones too.
var expiredDeadline = time.Unix(1, 0)

// RefusedError says that nothing listens at an address.
type RefusedError struct{ Address string }

func (e *RefusedError) Error() string { return fmt.Sprintf("connection to %s refused", e.Address) }

// InUseError says that something listens at an address already.
type InUseError struct{ Address string }

func (e *InUseError) Error() string { return fmt.Sprintf("address %s in use", e.Address) }

// Address is a name in the network, by custom "host:port".
type Address string

// Network implements net.Addr.
func (Address) Network() string { return "pipe" }

func (a Address) String() string { return string(a) }

// Network is a set of listeners and the connections to them. It is safe for
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

// link relays one connection between its two ends.
type link struct {
	to     Address
	client net.Conn // the relay's own ends
	server net.Conn

	mu     sync.Mutex
	silent bool
}

// Listen makes address reachable until the listener is closed. Port 0 is
// replaced by one that was never used.
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

// Dial connects to a listener of the network. Its signature is that of
// http.Transport's DialContext.
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

// Client returns an HTTP client that dials in the network. Its idle
// connections have to be closed before a bubble ends.
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

// copy passes bytes on until its source ends. On a silent link it swallows
// them, and the other end does not hear of the source's end.
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

// silence lets blocked writes of the relay go, so that from then on both ends
// can write and nothing arrives, as if something between had lost track of the
// connection.
func (l *link) silence() {
	l.mu.Lock()
	l.silent = true
	l.mu.Unlock()
	l.client.SetWriteDeadline(expiredDeadline)
	l.server.SetWriteDeadline(expiredDeadline)
}

// Silence makes every established connection to address go silent for good:
// both ends stay open and nothing arrives any more. New connections work. It
// returns how many there were.
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

// Break closes every established connection to address at both ends, the
// silent ones too, and returns how many there were.
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
