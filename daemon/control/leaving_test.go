package control_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/membership"
	"geraniumstack.org/geraniumstack/standin/kvserver"
)

// caller keeps a list of gateways for its lifetime and sends every request to
// one of them.
type caller struct {
	gateways []membership.Gateway
	expires  time.Time
}

// pick returns the address to which the caller sends its next request.
func (c *caller) pick(f *fleet, random *rand.Rand) string {
	if time.Now().After(c.expires) {
		// A caller asks any entry VM for gateways, including the one that is
		// leaving.
		d := f.daemons[random.IntN(len(f.daemons))]
		c.gateways = membership.Gateways(d.Daemons(), domains[random.IntN(len(domains))], random.Uint64())
		c.expires = time.Now().Add(membership.GatewayTTL)
	}
	return c.gateways[random.IntN(len(c.gateways))].Address
}

// lastNewRequest simulates 50 callers and returns how long after the
// announcement of its leaving an entry VM got its last new request.
func lastNewRequest(t *testing.T, injectFaults func(f *fleet), announce func(f *fleet)) (last time.Duration) {
	runWithFleet(t, func(_ *is.I, f *fleet) {
		f.network.update(func(n *network) { n.delay = 20 * time.Millisecond })
		random := rand.New(rand.NewPCG(7, 7))
		callers := make([]caller, 50)
		for i := range callers {
			callers[i].pick(f, random)
			callers[i].expires = time.Now().Add(randomDuration(random, membership.GatewayTTL))
		}
		var announcedAt time.Time
		for step := range 400 {
			if step == 100 {
				injectFaults(f)
				announcedAt = time.Now()
				announce(f)
			}
			for i := range callers {
				address := callers[i].pick(f, random)
				if !announcedAt.IsZero() && address == f.daemons[2].Self().CallerAddress {
					last = time.Since(announcedAt)
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	return last
}

// An entry VM is about to be reclaimed, and one daemon or the cloud announces
// it. The announcement must reach every daemon, even if the key-value service
// is down or a failure domain is partitioned from the first daemon to know, and
// old gateway lists must expire. Otherwise callers would keep sending new
// requests to that VM, and the requests would be cut off.
func TestLastNewRequestOnLeavingVM(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	viaDaemon := func(f *fleet) { f.daemons[1].NoteRunnerLeaving("10.0.0.3", time.Minute) }
	viaCloud := func(f *fleet) { f.cloud.addNotice("vm-2", "10.0.0.3", time.Minute) }
	outage := func(f *fleet) { f.store.SetFaults(kvserver.Faults{Outage: true}) }
	cut := func(f *fleet) {
		outage(f)
		f.network.update(func(n *network) {
			for _, i := range []int{0, 4} {
				n.cut[[2]string{address(1), address(i)}] = true
				n.cut[[2]string{address(i), address(1)}] = true
			}
		})
	}
	for name, run := range map[string][2]func(*fleet){
		"cloud":              {func(*fleet) {}, viaCloud},
		"one daemon":         {func(*fleet) {}, viaDaemon},
		"one daemon, outage": {outage, viaDaemon},
		"one daemon, outage, cut from a failure domain": {cut, viaDaemon},
	} {
		last := lastNewRequest(t, run[0], run[1])
		t.Logf("%s: last new request %s after the first report", name, last)
		is.True(last > 0)
		is.True(last <= membership.GatewayTTL+3*time.Second)
	}
}
