package soak_test

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
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
)

func (l link) String() string {
	return [...]string{"whole", "delayed", "resetting", "deaf", "mute", "silent"}[l]
}

// cutsOff reports whether connections lose data or break. A delay loses nothing.
func (l link) cutsOff() bool { return l != linkUp && l != delayed }

const linkDelay = 150 * time.Millisecond

// proxy forwards TCP connections on the loopback interface to one server.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	// cutOff are the times in which connections through the proxy may have lost data.
	cutOff periods

	mu   sync.Mutex
	open map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, open: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the treatment of all connections, including open ones.
func (p *proxy) set(l link) {
	if l.cutsOff() {
		p.cutOff.begin()
	}
	p.mode.Store(int32(l))
	if l == resetting {
		p.resetAll()
	}
	if !l.cutsOff() {
		p.cutOff.end()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.resetAll()
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			// Without SO_LINGER 0, Close would first deliver buffered data instead of
			// sending a reset.
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
	clear(p.open)
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if link(p.mode.Load()) == resetting {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		go p.connect(c)
	}
}

func (p *proxy) connect(client net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		client.Close()
		return
	}
	p.mu.Lock()
	p.open[client], p.open[server] = true, true
	p.mu.Unlock()
	go p.copy(server, client, dropToServer)
	p.copy(client, server, dropFromServer)
}

// copy forwards one direction. Once it has dropped any data, it drops everything that
// follows on this connection, because the receiver must not see a stream with a gap.
func (p *proxy) copy(to, from net.Conn, dropMode link) {
	defer func() {
		to.Close()
		from.Close()
		p.mu.Lock()
		delete(p.open, to)
		delete(p.open, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		switch mode := link(p.mode.Load()); {
		case mode == delayed:
			time.Sleep(linkDelay)
		case mode == dropMode || mode == blackhole:
			dropping = true
		}
		if !dropping {
			_, failed := to.Write(buffer[:n])
			dropping = failed != nil
		}
		if err != nil {
			// The end of one direction closes both: no peer here uses half-open
			// connections.
			return
		}
	}
}
