package kv_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/standin/pipe"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const address = "10.0.0.1:2379"

// withStore runs a test in virtual time with a client of a fake key-value service.
func withStore(t *testing.T, test func(is *is.I, n *pipe.Network, s *kvserver.Store, c kv.Store)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := pipe.NewNetwork()
		l, err := n.Listen(address)
		is.NoErr(err)
		s := kvserver.New()
		server := &http.Server{Handler: s.Handler()}
		go server.Serve(l)
		connections := n.Client()
		test(is, n, s, kv.NewHTTPClient("http://"+address, connections))
		connections.CloseIdleConnections()
		server.Close()
		s.Close()
	})
}

// All idle connections of a daemon die at once while the service is healthy. If the client kept
// them, each of the next calls would pick another dead connection and time out. After the first
// timeout the client must drop all idle connections, so that the next call succeeds on a new one.
func TestSilentIdleConnectionsAreDropped(t *testing.T) {
	withStore(t, func(is *is.I, n *pipe.Network, s *kvserver.Store, c kv.Store) {
		ctx := context.Background()
		s.SetFaults(kvserver.Faults{DelayMillis: 10})
		var calls sync.WaitGroup
		for range 2 {
			calls.Go(func() { c.Get(ctx, "a") })
		}
		calls.Wait()
		synctest.Wait()
		is.Equal(n.Silence(address), 2)
		start := time.Now()
		_, err := c.Get(ctx, "a")
		var unavailable *kv.UnavailableError
		is.True(errors.As(err, &unavailable))
		is.Equal(time.Since(start), kv.DefaultCallTimeout)
		_, err = c.Get(ctx, "a")
		is.NoErr(err)
	})
}

// The caller of a compare-and-swap takes a timeout for a failure, but the slow service executes the
// write later. The client must report an unknown outcome, because the write may take effect even
// after the caller has read the key again.
func TestWriteTakesEffectAfterTimeout(t *testing.T) {
	withStore(t, func(is *is.I, n *pipe.Network, s *kvserver.Store, c kv.Store) {
		ctx := context.Background()
		s.SetFaults(kvserver.Faults{DelayMillis: 5000, LateEffects: true})
		_, err := c.CompareAndSwap(ctx, "head", 0, []byte("x"), 0)
		var unavailable *kv.UnavailableError
		is.True(errors.As(err, &unavailable))
		s.SetFaults(kvserver.Faults{})
		e, err := c.Get(ctx, "head")
		is.NoErr(err)
		is.Equal(e.Revision, kv.Revision(0))
		time.Sleep(5 * time.Second)
		e, err = c.Get(ctx, "head")
		is.NoErr(err)
		is.Equal(e.Revision, kv.Revision(1))
		is.Equal(s.Calls()[kvserver.CallCompareAndSwap], 1)
	})
}
