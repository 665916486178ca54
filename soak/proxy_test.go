package soak_test

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is what a proxy does to the connections through it.
type link int32

const (
	linkUp link = iota
	// delayed holds each piece up for linkDelay.
	delayed
	// resetting closes open connections with a reset and refuses new ones.
	resetting
	// dropToServer passes nothing on towards the server, mute nothing from it; the
	// connections stay open. silent is both, and new connections hang.
	dropToServer
	dropFromServer
	blackhole
)

func (l link) String() string {
	return [...]string{"whole", "delayed", "resetting", "deaf", "mute", "silent"}[l]
}

const linkDelay = 150 * time.Millisecond

// proxy stands on the loopback interface between a client and one server.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

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

// set changes what happens to all connections, those that are open included.
func (p *proxy) set(l link) {
	p.mode.Store(int32(l))
	if l == resetting {
		p.resetAll()
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
			// Without it a close would let what is buffered through first.
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

// copy passes one direction on. What comes while it is cut is lost, and so is all that
// comes after it on this connection: a gap must not be closed up.
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
			// A half that has ended ends the other one too: nobody here uses half
			// open connections.
			return
		}
	}
}
