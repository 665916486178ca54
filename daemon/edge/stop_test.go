package edge_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/standin/kvserver"
)

// slowClosingSocket is a socket whose reader is woken by the daemon's end before it is closed,
// as by a message of a peer, and whose close takes its time.
type slowClosingSocket struct {
	net.PacketConn
	ended context.Context

	mu     sync.Mutex
	closed bool
}

func (s *slowClosingSocket) ReadFrom([]byte) (int, net.Addr, error) {
	<-s.ended.Done()
	return 0, nil, net.ErrClosed
}

func (s *slowClosingSocket) WriteTo(p []byte, _ net.Addr) (int, error) { return len(p), nil }

func (s *slowClosingSocket) Close() error {
	time.Sleep(100 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return nil
}

// A daemon is stopped and another one started at its address on a busy VM. A message comes
// at the moment of the stop, so the reader ends before the socket has been closed by
// another goroutine; the second daemon finds the address in use and ends, and nobody
// answers callers.
func TestSocketIsClosedWhenTheDaemonHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		socket := &slowClosingSocket{ended: ctx}
		start := time.Now()
		e := edge.New(edge.Settings{ID: "d1", PeerAddress: "10.0.0.1:7600", FirstStart: true, Bounds: edge.Bounds{
			RevokeWithin: 5 * time.Second, QuotaWindow: 8 * time.Second, LeaseTTL: 3 * time.Second, UsageWindow: 5 * time.Second, UsageDue: 10 * time.Second,
		}}, edge.Deps{
			Store: &faultyStore{Store: kvserver.New()}, Codec: codec{}, Runners: newRunners(),
			Datagrams: socket, Steady: func() time.Duration { return time.Since(start) }, Log: decisions.New(metrics.NewRegistry()),
		})
		done := make(chan error)
		go func() { done <- e.Run(ctx) }()
		time.Sleep(time.Second)
		cancel()
		is.NoErr(<-done)
		socket.mu.Lock()
		defer socket.mu.Unlock()
		is.True(socket.closed)
	})
}
