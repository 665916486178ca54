package cloudapi

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/standin/pipe"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/cloudapi"
)

func settings() Settings {
	return Settings{
		FailureDomains: []ident.FailureDomain{"a", "b"},
		Classes:        []Class{{Name: "spot", Reclaimable: true, PricePerHour: 1}, {Name: "fixed", PricePerHour: 3}},
		Seed:           7,
		PriceSpread:    0.5,
		PricePeriod:    time.Minute,
		StartTime:      30 * time.Second,
		ListLag:        10 * time.Second,
	}
}

// runWithClient runs a test in a testing/synctest bubble with a client that
// is connected to the handler.
func runWithClient(t *testing.T, handler func() http.Handler, test func(is *is.I, c *cloudapi.Client)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := pipe.NewNetwork()
		l, err := n.Listen("cloud:80")
		is.NoErr(err)
		server := &http.Server{Handler: handler()}
		go server.Serve(l)
		connections := n.Client()
		test(is, cloudapi.NewClient("http://cloud:80", connections))
		connections.CloseIdleConnections()
		server.Close()
	})
}

// A start takes effect but its response is lost, and the caller repeats the
// start with the same token. The cloud must not start a second VM, for which
// the customer would pay.
func TestLostStartIsRepeatedSafely(t *testing.T) {
	var cloud *Cloud
	runWithClient(t, func() http.Handler { cloud = New(settings()); return cloud.Handler() }, func(is *is.I, c *cloudapi.Client) {
		ctx := context.Background()
		cloud.SetFaults(Faults{LoseAnswers: 1})
		request := cloudapi.StartRequest{Token: "t1", FailureDomain: "a", Class: "spot", Service: "s"}
		_, err := c.Start(ctx, request)
		var unavailable *cloudapi.UnavailableError
		is.True(errors.As(err, &unavailable))
		vm, err := c.Start(ctx, request)
		is.NoErr(err)
		is.Equal(vm.State, cloudapi.VMStarting)
		is.Equal(len(cloud.VMs()), 1)
	})
}

func TestRefusedStarts(t *testing.T) {
	var cloud *Cloud
	runWithClient(t, func() http.Handler { cloud = New(settings()); return cloud.Handler() }, func(is *is.I, c *cloudapi.Client) {
		ctx := context.Background()
		cloud.SetFaults(Faults{RefuseDomains: []ident.FailureDomain{"a"}})
		_, err := c.Start(ctx, cloudapi.StartRequest{Token: "t1", FailureDomain: "a", Class: "spot"})
		var refused *cloudapi.StartRefusedError
		is.True(errors.As(err, &refused))
		_, err = c.Start(ctx, cloudapi.StartRequest{Token: "t2", FailureDomain: "b", Class: "spot"})
		is.NoErr(err)
		_, err = c.Start(ctx, cloudapi.StartRequest{Token: "t3", FailureDomain: "c", Class: "spot"})
		var absent *cloudapi.NotFoundError
		is.True(errors.As(err, &absent))
		is.Equal(cloud.RefusedStarts(), 1)
	})
}

// After a reclaim, the cloud has no reclaimable capacity left in that failure
// domain and refuses starts there for a while, which is just when
// replacements are needed.
func TestRefusedAfterReclaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := settings()
		s.RefuseAfterReclaim = time.Minute
		cloud := New(s)
		ctx := context.Background()
		cloud.Register(cloudapi.VM{ID: "r1", FailureDomain: "a", Reclaimable: true})
		cloud.ReclaimDomain("a", time.Second)
		start := func(token, class string) error {
			_, err := cloud.Start(ctx, cloudapi.StartRequest{Token: token, FailureDomain: "a", Class: class})
			return err
		}
		is.True(start("t1", "spot") != nil)
		is.NoErr(start("t2", "fixed"))
		time.Sleep(time.Minute)
		is.NoErr(start("t1", "spot"))
	})
}

func TestWeightTransfersShareBandwidth(t *testing.T) {
	is := is.New(t)
	w := NewWeights(1, 1, cloudapi.Weight{Name: "m", Version: "1", Bytes: 100})
	now := time.Now()
	is.Equal(w.TransferTime(now, "m", "1"), time.Duration(0))
	w.LimitTransfers(10)
	is.Equal(w.TransferTime(now, "m", "1"), 10*time.Second)
	is.Equal(w.TransferTime(now, "m", "1"), 20*time.Second)
	is.Equal(w.TransferTime(now.Add(time.Minute), "m", "1"), 10*time.Second)
}

func TestNoticeListLagAndRemoval(t *testing.T) {
	var cloud *Cloud
	removed := 0
	handler := func() http.Handler {
		s := settings()
		s.Hooks.Removed = func(cloudapi.VM) { removed++ }
		cloud = New(s)
		return cloud.Handler()
	}
	runWithClient(t, handler, func(is *is.I, c *cloudapi.Client) {
		ctx := context.Background()
		cloud.Register(cloudapi.VM{ID: "r1", FailureDomain: "a", Reclaimable: true, PricePerHour: 6})
		cloud.Register(cloudapi.VM{ID: "r2", FailureDomain: "a"})
		go func() {
			time.Sleep(20 * time.Second)
			cloud.ReclaimDomain("a", 30*time.Second)
		}()
		start := time.Now()
		notices, err := c.Notices(ctx, 0, time.Minute)
		is.NoErr(err)
		is.Equal(time.Since(start), 20*time.Second)
		is.Equal(notices, []cloudapi.Notice{{Sequence: 1, VM: "r1", LeftMillis: 30000}})
		listed, err := c.List(ctx)
		is.NoErr(err)
		is.Equal(listed[0].State, cloudapi.VMLive) // the list shows the state of 10 s ago
		time.Sleep(10 * time.Second)
		listed, err = c.List(ctx)
		is.NoErr(err)
		is.Equal(listed[0].State, cloudapi.VMLeaving)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		is.Equal(removed, 1)
		is.Equal(len(cloud.VMs()), 1)
		more, err := c.Notices(ctx, 1, time.Second)
		is.NoErr(err)
		is.Equal(len(more), 0)
		cost := cloud.Cost()
		time.Sleep(time.Hour)
		is.Equal(cloud.Cost(), cost) // a removed VM adds no cost
	})
}

func TestQuotesDependOnSeedAndPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		first, err := New(settings()).Quotes(ctx)
		is.NoErr(err)
		cloud := New(settings())
		second, err := cloud.Quotes(ctx)
		is.NoErr(err)
		is.Equal(first, second)
		is.Equal(len(first), 4)
		is.True(first[0].PricePerHour >= 0.5 && first[0].PricePerHour <= 1.5)
		time.Sleep(time.Minute)
		later, err := cloud.Quotes(ctx)
		is.NoErr(err)
		is.True(later[0].PricePerHour != first[0].PricePerHour)
	})
}

func TestFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := settings()
		s.ChecksFencing = true
		cloud := New(s)
		ctx := context.Background()
		vm, err := cloud.Start(ctx, cloudapi.StartRequest{Token: "t", Fencing: 5, FailureDomain: "a", Class: "fixed"})
		is.NoErr(err)
		var stale *cloudapi.StaleFencingError
		is.True(errors.As(cloud.Stop(ctx, vm.ID, 4), &stale))
		is.NoErr(cloud.Stop(ctx, vm.ID, 5))
		is.NoErr(cloud.Stop(ctx, vm.ID, 5)) // a repeated stop succeeds
	})
}

func TestWeightStoreLimitsRate(t *testing.T) {
	store := func() http.Handler {
		return NewWeights(1, 2, cloudapi.Weight{Name: "m", Version: "1", Bytes: 9}).Handler()
	}
	runWithClient(t, store, func(is *is.I, c *cloudapi.Client) {
		ctx := context.Background()
		weight, err := c.Stat(ctx, "m", "1")
		is.NoErr(err)
		is.Equal(weight.Bytes, int64(9))
		_, err = c.Stat(ctx, "m", "2")
		var absent *cloudapi.NotFoundError
		is.True(errors.As(err, &absent))
		_, err = c.Stat(ctx, "m", "1")
		var limited *cloudapi.RateLimitedError
		is.True(errors.As(err, &limited))
		is.Equal(limited.RetryAfter, time.Second)
		time.Sleep(limited.RetryAfter)
		_, err = c.Stat(ctx, "m", "1")
		is.NoErr(err)
	})
}
