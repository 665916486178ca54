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

// withStore runs a test in virtual time with a client of a service.
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

// A daemon's calls to the service time out one after another although the
// service is well. All its idle connections went silent at once and each call
// picked another of them. After the first timeout the client drops them all,
// and the next call goes through on a new one.
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

// A writer gives its compare-and-swap up after the timeout and takes it for
// failed. The service was slow and carried it out later; a write whose outcome
// is open may take effect even after the caller reads back.
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
