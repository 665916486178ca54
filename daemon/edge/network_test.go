package edge_test

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
)

// network is a fake that carries datagrams between daemons.
type network struct {
	mu       sync.Mutex
	sockets  map[string]*fakeSocket
	isolated map[string]bool
	// partitioned holds the pairs of addresses between which messages are lost.
	partitioned map[[2]string]bool
	// lossRate is the fraction of messages that are lost, drawn with rng.
	lossRate float64
	rng      *rand.Rand
	// largestMessage is the size of the largest message so far, messageCount the number of
	// messages, and bytes the sum of their sizes.
	largestMessage, messageCount, bytes int
	// onMessage is called with each message sent, unless it is nil.
	onMessage func(message []byte)
}

// observe sets the function that is called with each message; nil removes it.
func (n *network) observe(onMessage func(message []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onMessage = onMessage
}

// traffic returns the number of messages so far and the sum of their sizes.
func (n *network) traffic() (messages, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messageCount, n.bytes
}

func (n *network) largest() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.largestMessage
}

func newNetwork() *network {
	return &network{sockets: map[string]*fakeSocket{}, isolated: map[string]bool{}, partitioned: map[[2]string]bool{}}
}

func (n *network) isolate(address string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[address] = isolated
}

// setLossRate sets the fraction of messages that are lost from now on.
func (n *network) setLossRate(share float64, rng *rand.Rand) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRate, n.rng = share, rng
}

// isDropped reports whether a message is lost. The caller must hold n.mu.
func (n *network) isDropped(from, to string) bool {
	return n.isolated[from] || n.isolated[to] || n.partitioned[[2]string{from, to}] || n.lossRate > 0 && n.rng.Float64() < n.lossRate
}

// partition blocks the messages between two addresses, or lets them pass again.
func (n *network) partition(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{a, b}], n.partitioned[[2]string{b, a}] = cut, cut
}

func (n *network) listen(address string) *fakeSocket {
	s := &fakeSocket{network: n, address: address, incoming: make(chan []byte, 1000), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sockets[address] = s
	return s
}

type fakeSocket struct {
	net.PacketConn
	network  *network
	address  string
	incoming chan []byte
	closed   chan struct{}
	once     sync.Once
}

func (s *fakeSocket) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case data := <-s.incoming:
		return copy(p, data), nil, nil
	case <-s.closed:
		return 0, nil, net.ErrClosed
	}
}

func (s *fakeSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	s.network.largestMessage = max(s.network.largestMessage, len(p))
	if s.network.onMessage != nil {
		s.network.onMessage(p)
	}
	s.network.messageCount++
	s.network.bytes += len(p)
	box := s.network.sockets[to.String()]
	if box == nil || s.network.isDropped(s.address, to.String()) {
		return len(p), nil
	}
	select {
	case box.incoming <- bytes.Clone(p):
	default: // a full socket drops messages
	}
	return len(p), nil
}

func (s *fakeSocket) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}
