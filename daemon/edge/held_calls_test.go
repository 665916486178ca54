package edge_test

import (
	"context"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/transport/peerhttp"
)

// heldDialTimeout is how long a connection to a daemon that has gone dark takes to fail.
const heldDialTimeout = 300 * time.Millisecond

// heldCalls holds back the bytes of calls to silent daemons, in both directions. Connections stay open.
type heldCalls struct {
	mu sync.Mutex
	// silent holds a channel for each silent daemon that is closed at the end of its silence.
	silent map[string]chan struct{}
	// dark are the silent daemons to which no connection can be opened either.
	dark map[string]bool
}

func newHeldCalls() *heldCalls {
	return &heldCalls{silent: map[string]chan struct{}{}, dark: map[string]bool{}}
}

// sleep makes a daemon silent to the others: its calls and its messages are held back or lost.
func (w *testFleet) sleep(d *daemon) {
	w.network.isolate(d.address, true)
	w.held.mu.Lock()
	defer w.held.mu.Unlock()
	w.held.silent[d.address] = make(chan struct{})
}

// wake ends the silence.
func (w *testFleet) wake(d *daemon) {
	w.network.isolate(d.address, false)
	w.held.mu.Lock()
	defer w.held.mu.Unlock()
	close(w.held.silent[d.address])
	delete(w.held.silent, d.address)
}

// goDark makes a daemon silent for good.
func (w *testFleet) goDark(d *daemon) {
	w.sleep(d)
	w.held.mu.Lock()
	defer w.held.mu.Unlock()
	w.held.dark[d.address] = true
}

func (h *heldCalls) state(address string) (awake <-chan struct{}, silent, dark bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := h.silent[address]
	return c, ok, h.dark[address]
}

// dial returns a dial function whose connections are held back.
func (h *heldCalls) dial(dial peerhttp.DialFunc) peerhttp.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if _, _, dark := h.state(address); dark {
			_ = hang(ctx, heldDialTimeout)
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &heldConn{Conn: conn, calls: h, address: address, closed: make(chan struct{})}, nil
	}
}

// heldConn is a caller's end of a connection.
type heldConn struct {
	net.Conn
	calls   *heldCalls
	address string
	once    sync.Once
	closed  chan struct{}

	mu sync.Mutex
	// unsent are the bytes that wait for the end of the silence.
	unsent []byte
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.untilAwake() {
		return 0, net.ErrClosed
	}
	return n, err
}

// untilAwake waits for the end of the silence, and reports false if the connection is closed before.
func (c *heldConn) untilAwake() bool {
	awake, silent, _ := c.calls.state(c.address)
	if !silent {
		return true
	}
	select {
	case <-awake:
		return true
	case <-c.closed:
		return false
	}
}

func (c *heldConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, silent, _ := c.calls.state(c.address)
	if !silent && len(c.unsent) == 0 {
		return c.Conn.Write(p)
	}
	if len(c.unsent) == 0 {
		go c.sendWhenAwake()
	}
	c.unsent = slices.Concat(c.unsent, p)
	return len(p), nil
}

func (c *heldConn) sendWhenAwake() {
	if !c.untilAwake() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Conn.Write(c.unsent)
	c.unsent = nil
}

func (c *heldConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
