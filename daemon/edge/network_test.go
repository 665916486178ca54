package edge_test

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
)

// network carries datagrams between daemons.
type network struct {
	mu    sync.Mutex
	boxes map[string]*socket
	cut   map[string]bool
	// parted are pairs of addresses that don't reach each other.
	parted map[[2]string]bool
	// loss is the share of messages that are lost, drawn by luck.
	loss float64
	luck *rand.Rand
	// most is the size of the largest message so far, sent the number of all, bytes their
	// sizes.
	most, sent, bytes int
	// look is shown each message that is sent; nil is nobody.
	look func(message []byte)
}

// watch shows each message from now on; nil ends that.
func (n *network) watch(look func(message []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.look = look
}

// traffic is the number of messages so far and their bytes.
func (n *network) traffic() (messages, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent, n.bytes
}

func (n *network) largest() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.most
}

func newNetwork() *network {
	return &network{boxes: map[string]*socket{}, cut: map[string]bool{}, parted: map[[2]string]bool{}}
}

func (n *network) isolate(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// lose has a share of all messages be lost from now on.
func (n *network) lose(share float64, luck *rand.Rand) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.luck = share, luck
}

// lost tells whether a message does not arrive; called with mu held.
func (n *network) lost(from, to string) bool {
	return n.cut[from] || n.cut[to] || n.parted[[2]string{from, to}] || n.loss > 0 && n.luck.Float64() < n.loss
}

// part cuts two addresses off from each other.
func (n *network) part(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.parted[[2]string{a, b}], n.parted[[2]string{b, a}] = cut, cut
}

func (n *network) listen(address string) *socket {
	s := &socket{network: n, address: address, in: make(chan []byte, 1000), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.boxes[address] = s
	return s
}

type socket struct {
	net.PacketConn
	network *network
	address string
	in      chan []byte
	closed  chan struct{}
	once    sync.Once
}

func (s *socket) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case data := <-s.in:
		return copy(p, data), nil, nil
	case <-s.closed:
		return 0, nil, net.ErrClosed
	}
}

func (s *socket) WriteTo(p []byte, to net.Addr) (int, error) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	s.network.most = max(s.network.most, len(p))
	if s.network.look != nil {
		s.network.look(p)
	}
	s.network.sent++
	s.network.bytes += len(p)
	box := s.network.boxes[to.String()]
	if box == nil || s.network.lost(s.address, to.String()) {
		return len(p), nil
	}
	select {
	case box.in <- bytes.Clone(p):
	default: // a full socket drops what comes
	}
	return len(p), nil
}

func (s *socket) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}
