package edge_test

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
	"time"
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
	// linkRate is the rate of each daemon's link, in bytes per second and direction; zero stands
	// for links that delay nothing.
	linkRate float64
	// droppedCount is the number of messages that found a link's or a socket's queue full.
	droppedCount int
}

// maxLinkDelay is the longest time for which messages wait for a link before further ones are
// dropped.
const maxLinkDelay = time.Second

// link is one direction of a daemon's link.
type link struct {
	// freeAt is when everything that waits for the link will have passed.
	freeAt time.Time
	// second is the number of the current second, secondBytes the bytes that passed in it, and
	// peakBytes the most bytes in any second.
	second                 int64
	secondBytes, peakBytes int
}

// pass returns how long a message takes to pass the link, or false if it is dropped.
func (l *link) pass(rate float64, bytes int) (time.Duration, bool) {
	now := time.Now()
	if s := now.Unix(); s != l.second {
		l.second, l.secondBytes = s, 0
	}
	l.secondBytes += bytes
	l.peakBytes = max(l.peakBytes, l.secondBytes)
	if rate == 0 {
		return 0, true
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	if l.freeAt.Sub(now) > maxLinkDelay {
		return 0, false
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	return l.freeAt.Sub(now), true
}

// peakSecond returns the most bytes that a daemon has sent in any second.
func (n *network) peakSecond() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	peak := 0
	for _, s := range n.sockets {
		peak = max(peak, s.out.peakBytes)
	}
	return peak
}

// dropped returns the number of messages that found a queue full.
func (n *network) dropped() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.droppedCount
}

// resetCounts forgets the peaks and the dropped messages.
func (n *network) resetCounts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.droppedCount, n.largestMessage = 0, 0
	for _, s := range n.sockets {
		s.out.peakBytes, s.in.peakBytes = 0, 0
	}
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
	out, in  link
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
	s.network.carry(s, box, bytes.Clone(p))
	return len(p), nil
}

// carry passes a message through the links of both daemons. The caller must hold n.mu.
func (n *network) carry(from, to *fakeSocket, message []byte) {
	sent, ok := from.out.pass(n.linkRate, len(message))
	if !ok {
		n.droppedCount++
		return
	}
	if n.linkRate == 0 {
		n.deliver(to, message)
		return
	}
	time.AfterFunc(sent, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		received, ok := to.in.pass(n.linkRate, len(message))
		if !ok {
			n.droppedCount++
			return
		}
		time.AfterFunc(received, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.deliver(to, message)
		})
	})
}

// deliver puts a message into a socket's queue; a full socket drops it. The caller must hold
// n.mu.
func (n *network) deliver(to *fakeSocket, message []byte) {
	select {
	case to.incoming <- message:
	default:
		n.droppedCount++
	}
}

func (s *fakeSocket) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}
