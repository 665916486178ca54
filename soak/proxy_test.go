package soak_test

import (
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// link is the way in which a proxy treats the connections through it.
type link int32

const (
	linkUp link = iota
	// delayed delays each chunk by linkDelay.
	delayed
	// resetting closes open connections with a reset and refuses new ones.
	resetting
	// dropToServer drops all data towards the server, dropFromServer all data from it;
	// connections stay open. blackhole drops both directions, and new connections get
	// no answer.
	dropToServer
	dropFromServer
	blackhole
	// refusing closes open connections with a reset, and the kernel refuses new ones, as where nothing listens. It is
	// set with proxy.refuse.
	refusing
)

func (l link) String() string {
	return [...]string{"whole", "delayed", "resetting", "deaf", "mute", "silent", "refusing"}[l]
}

// cutsOff reports whether connections lose data or break. A delay loses nothing.
func (l link) cutsOff() bool { return l != linkUp && l != delayed }

// resets reports whether connections are reset.
func (l link) resets() bool { return l == resetting || l == refusing }

const linkDelay = 150 * time.Millisecond

// linkState is the state of the link that some of a proxy's connections go over.
type linkState struct {
	mode atomic.Int32
	// cutOff are the times in which the connections may have lost data.
	cutOff periods

	mu   sync.Mutex
	open map[net.Conn]bool
}

// set changes the treatment of all connections over the link, including open ones.
func (s *linkState) set(l link) {
	if l.cutsOff() {
		s.cutOff.begin()
	}
	s.mode.Store(int32(l))
	if l.resets() {
		s.resetAll()
	}
	if !l.cutsOff() {
		s.cutOff.end()
	}
}

func (s *linkState) link() link { return link(s.mode.Load()) }

func (s *linkState) resetAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		reset(c)
	}
	clear(s.open)
}

// reset closes a connection. Without SO_LINGER 0, Close would first deliver buffered data instead of sending a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (s *linkState) add(connections ...net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[net.Conn]bool{}
	}
	for _, c := range connections {
		s.open[c] = true
	}
}

func (s *linkState) remove(connections ...net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range connections {
		delete(s.open, c)
	}
}

// proxy forwards TCP connections on the loopback interface to one server.
type proxy struct {
	// linkState is that of all connections. Those that isFar names, if it is set, also go over far.
	linkState
	far   linkState
	isFar func(net.Conn) bool

	// refusals allows one refusal or stall at a time.
	refusals sync.Mutex
	// accepting is held while the proxy accepts no connections.
	accepting sync.RWMutex
	// listenerMu guards listener and closed.
	listenerMu sync.Mutex
	listener   net.Listener
	closed     bool
	// target is the server's address.
	target atomic.Value
}

// newProxy starts a proxy before a server. isFar may be nil.
func newProxy(target string, isFar func(net.Conn) bool) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, isFar: isFar}
	p.target.Store(target)
	go p.accept(l)
	return p, nil
}

// refuse makes the proxy refuse connections for a time, unless it does so already.
func (p *proxy) refuse(span time.Duration) error {
	if !p.refusals.TryLock() {
		return nil
	}
	defer p.refusals.Unlock()
	address := p.address()
	p.closeListener(false)
	p.set(refusing)
	time.Sleep(span)
	defer p.set(linkUp)
	p.listenerMu.Lock()
	defer p.listenerMu.Unlock()
	if p.closed {
		return nil
	}
	l, err := listenAgain(address)
	if err != nil {
		return err
	}
	p.listener = l
	go p.accept(l)
	return nil
}

// stall lets no connection to the proxy open for a time, unless it does so already. Connections that are open stay so.
func (p *proxy) stall(span time.Duration) error {
	if !p.refusals.TryLock() {
		return nil
	}
	defer p.refusals.Unlock()
	p.accepting.Lock()
	defer p.accepting.Unlock()
	if err := p.setBacklog(0); err != nil {
		return err
	}
	defer func() { _ = p.setBacklog(unix.SOMAXCONN) }()
	p.cutOff.begin()
	defer p.cutOff.end()
	// Connections that nobody accepts fill the queue; the kernel drops what comes then.
	for {
		c, err := net.DialTimeout("tcp4", p.address(), stallDialTimeout)
		if err != nil {
			break
		}
		defer c.Close()
	}
	time.Sleep(span)
	return nil
}

// waitAccepting waits until no stall is in progress.
func (p *proxy) waitAccepting() {
	p.accepting.RLock()
	defer p.accepting.RUnlock()
}

// stallDialTimeout is the time after which a connection on this machine that doesn't open has found the queue full.
const stallDialTimeout = 50 * time.Millisecond

func (p *proxy) setBacklog(n int) error {
	p.listenerMu.Lock()
	defer p.listenerMu.Unlock()
	tcp, ok := p.listener.(*net.TCPListener)
	if !ok {
		return net.ErrClosed
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), n) })
	return errors.Join(err, listenErr)
}

// listenAgain listens at an address that was free for a while, where a connection may have taken the port.
func listenAgain(address string) (net.Listener, error) {
	const tries = 100
	var err error
	for range tries {
		var l net.Listener
		if l, err = net.Listen("tcp4", address); err == nil {
			return l, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, err
}

func (p *proxy) address() string {
	p.listenerMu.Lock()
	defer p.listenerMu.Unlock()
	return p.listener.Addr().String()
}

func (p *proxy) close() {
	p.closeListener(true)
	p.resetAll()
}

func (p *proxy) closeListener(forGood bool) {
	p.listenerMu.Lock()
	defer p.listenerMu.Unlock()
	p.closed = p.closed || forGood
	p.listener.Close()
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p.waitAccepting()
		go p.connect(c)
	}
}

func (p *proxy) connect(client net.Conn) {
	states := []*linkState{&p.linkState}
	if p.isFar != nil && p.isFar(client) {
		states = append(states, &p.far)
	}
	server, err := net.Dial("tcp4", p.target.Load().(string))
	if err != nil {
		client.Close()
		return
	}
	for _, s := range states {
		s.add(client, server)
		defer s.remove(client, server)
	}
	if slices.ContainsFunc(states, func(s *linkState) bool { return s.link().resets() }) {
		// Checked once the connection is in the list that a reset closes.
		reset(client)
		server.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { forward(server, client, dropToServer, states) })
	both.Go(func() { forward(client, server, dropFromServer, states) })
	both.Wait()
}

// forward forwards one direction under the states of its links. Once it has dropped any data, it drops everything that
// follows on this connection, because the receiver must not see a stream with a gap.
func forward(to, from net.Conn, dropMode link, states []*linkState) {
	// The end of one direction closes both: no peer here uses half-open connections.
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		late := false
		for _, s := range states {
			mode := s.link()
			late = late || mode == delayed
			dropping = dropping || mode == dropMode || mode == blackhole
		}
		if late {
			time.Sleep(linkDelay)
		}
		if !dropping {
			_, failed := to.Write(buffer[:n])
			dropping = failed != nil
		}
		if err != nil {
			return
		}
	}
}
