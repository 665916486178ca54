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

// slowClosingSocket is a socket whose read returns as soon as the daemon's context ends, as if
// a message had arrived at that moment, and whose Close takes a while.
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

// Guards against ending before the socket is closed. On a busy VM a daemon is stopped and
// another one is started at its address. A message arrives at the moment of the stop, so the
// reader returned before another goroutine had closed the socket. The second daemon found the
// address in use and ended, and no daemon answered callers.
func TestSocketIsClosedWhenTheDaemonHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		socket := &slowClosingSocket{ended: ctx}
		start := time.Now()
		e := edge.New(edge.Settings{ID: "d1", PeerAddress: "10.0.0.1:7600", FleetNeverServed: true, Bounds: edge.Bounds{
			RevokeWithin: 5 * time.Second, QuotaWindow: 8 * time.Second, LeaseTTL: 3 * time.Second, UsageWindow: 5 * time.Second, UsageDue: 10 * time.Second,
		}}, edge.Deps{
			Store: &faultyStore{Store: kvserver.New()}, Codec: jsonCodec{}, Runners: newRunners(),
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
