package edge_test

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/edge"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/route"
)

var controlSizes = flag.String("control-sizes", "", "numbers of daemons, separated by commas, for TestControlBySize")

// vmLink is the rate of a small entry VM's link in bytes per second: 24 Mbit/s.
const vmLink = 3e6

// fleetConfig returns the configuration of a fleet of n daemons, with a third as many
// workspaces.
func fleetConfig(version uint64, n int) route.Config {
	c := manyWorkspaces(n / 3)
	c.Version = ident.Generation(version)
	for i := range c.Workspaces {
		c.Workspaces[i].Keys = append(c.Workspaces[i].Keys, fmt.Sprintf("77emvd5wjiuwbg3jb%d", i))
	}
	for i := range 250 {
		r := c.Routes[0]
		r.Name, r.PathPrefix = fmt.Sprintf("idle-%d", i), fmt.Sprintf("/idle-%d/", i)
		c.Routes = append(c.Routes, r)
	}
	return c
}

// controlTraffic counts the bytes of messages between daemons by their fields.
type controlTraffic struct {
	mu      sync.Mutex
	byField map[protoreflect.Name]int
	samples int
}

// observe counts every tenth message.
func (c *controlTraffic) observe(message []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.samples++; c.samples%10 != 0 {
		return
	}
	var d peersv1.Datagram
	if proto.Unmarshal(message, &d) != nil || d.Hello == nil {
		c.byField["other"] += 10 * len(message)
		return
	}
	d.Hello.ProtoReflect().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		one := &peersv1.Hello{}
		one.ProtoReflect().Set(f, v)
		c.byField[f.Name()] += 10 * proto.Size(one)
		return true
	})
}

// largest lists the fields with the most bytes.
func (c *controlTraffic) largest(span time.Duration) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := slices.SortedFunc(maps.Keys(c.byField), func(a, b protoreflect.Name) int { return c.byField[b] - c.byField[a] })
	var list []string
	for _, n := range names[:min(8, len(names))] {
		list = append(list, fmt.Sprintf("%s %.0f", n, float64(c.byField[n])/1024/span.Seconds()))
	}
	return strings.Join(list, ", ")
}

// putRunners writes the entries of n runners.
func (w *testFleet) putRunners(from, n int, state view.State) {
	for i := range n {
		id := fmt.Sprintf("i-0123456789~%013d", from+i)
		w.put(runnerPrefix+id, edge.Runner{Runner: view.Runner{
			ID: ident.RunnerID(id), Address: id, Service: "app", FailureDomain: w.domains[i%len(w.domains)], State: state,
		}, Slots: 8})
	}
}

// until polls how many daemons satisfy a condition and returns the times after which 50, 95 and
// 100 in 100 do; negative if that takes longer than the limit.
func (w *testFleet) until(limit time.Duration, satisfied func(d *daemon) bool) [3]time.Duration {
	start := time.Now()
	times := [3]time.Duration{-1, -1, -1}
	for time.Since(start) < limit && times[2] < 0 {
		n := w.countDaemons(satisfied)
		for i, percent := range []int{50, 95, 100} {
			if times[i] < 0 && 100*n >= percent*len(w.daemons) {
				times[i] = time.Since(start)
			}
		}
		if times[2] < 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	return times
}

// TestControlBySize prints what the control of fleets of several sizes costs each daemon.
func TestControlBySize(t *testing.T) {
	if *controlSizes == "" {
		return
	}
	for _, field := range strings.Split(*controlSizes, ",") {
		n, err := strconv.Atoi(field)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(field, func(t *testing.T) { measureControl(t, n) })
	}
}

func measureControl(t *testing.T, n int) {
	withFleet(t, 0, fleetConfig(1, n), func(w *testFleet) {
		w.directFleet = 36
		w.spreadOverDomains()
		w.network.linkRate = vmLink
		w.putRunners(0, 3*n, view.Live)
		w.store.ResetCalls()
		for i := range n {
			w.addDaemon()
			if i%3 == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		traffic := &controlTraffic{byField: map[protoreflect.Name]int{}}
		w.network.observe(traffic.observe)
		started := time.Now()
		ready := w.until(40*time.Second, func(d *daemon) bool { return d.Ready() })
		t.Logf("%d daemons: ready after %v; calls %v", n, ready, w.store.Calls())
		time.Sleep(max(0, 24*time.Second-time.Since(started)))
		t.Logf("start: KB/s by field: %s; busiest second of a daemon %.0f KB; dropped %d; calls %v, relays %d", traffic.largest(24*time.Second), float64(w.network.peakSecond())/1024, w.network.dropped(), w.store.Calls(), w.relayCount())
		w.settledTraffic(t, 10*time.Second, "settled")
		w.measureChange(t, n)
		w.measureNotices(t, n)
	})
}

// settledTraffic prints the traffic of all daemons in a period.
func (w *testFleet) settledTraffic(t *testing.T, span time.Duration, title string) {
	traffic := &controlTraffic{byField: map[protoreflect.Name]int{}}
	w.network.observe(traffic.observe)
	w.store.ResetCalls()
	w.network.resetCounts()
	messages, bytes := w.network.traffic()
	time.Sleep(span)
	messagesAfter, bytesAfter := w.network.traffic()
	n := float64(len(w.daemons)) * span.Seconds()
	t.Logf("%s: a daemon sends %.1f messages, %.1f KB/s; busiest second %.0f KB; KB/s of all by field: %s; largest %d; dropped %d; calls %v",
		title, float64(messagesAfter-messages)/n, float64(bytesAfter-bytes)/n/1024, float64(w.network.peakSecond())/1024, traffic.largest(span), w.network.largest(), w.network.dropped(), w.store.Calls())
}

// measureChange prints how long a new configuration takes to reach all daemons.
func (w *testFleet) measureChange(t *testing.T, n int) {
	w.store.ResetCalls()
	c := fleetConfig(2, n)
	c.Limits.MaxBodyBytes = 12345
	w.configure(c)
	inForce := w.until(20*time.Second, func(d *daemon) bool { return d.Limits().MaxBodyBytes == 12345 })
	t.Logf("configuration in force after %v; calls %v", inForce, w.store.Calls())
}

// measureNotices prints how long the notices of a fifteenth of the runners, and then those of
// most of them, take to reach all daemons.
func (w *testFleet) measureNotices(t *testing.T, n int) {
	for _, leaving := range []int{n / 5, 5 * n / 2} {
		w.store.ResetCalls()
		w.network.resetCounts()
		w.putRunners(0, leaving, view.Leaving)
		known := w.until(30*time.Second, func(d *daemon) bool { return d.Leaving() >= leaving })
		t.Logf("notices of %d runners known after %v; calls %v; busiest second %.0f KB; dropped %d", leaving, known, w.store.Calls(), float64(w.network.peakSecond())/1024, w.network.dropped())
		if leaving > n {
			w.settledTraffic(t, 10*time.Second, "after notices")
		}
	}
}

// restartAll ends all daemons and starts them again, all at the same moment.
func (w *testFleet) restartAll() {
	for _, d := range w.daemons {
		d.kill()
	}
	w.servedBefore = true
	for i := range w.daemons {
		w.restart(i)
	}
}

// Guards against a start of all daemons that fills the link of the key-value service: each of
// them listed the whole service, registered, and watched every other one's registration.
func TestStartOfLargeFleetIsCheapForStore(t *testing.T) {
	const readyWithin = 3 * time.Second
	withFleet(t, 0, fleetConfig(1, largeFleet), func(w *testFleet) {
		w.spreadOverDomains()
		w.putRunners(0, 3*largeFleet, view.Live)
		w.store.ResetCalls()
		for range largeFleet {
			w.addDaemon()
		}
		ready := w.until(readyWithin, func(d *daemon) bool { return d.Ready() })
		calls := w.store.Calls()
		t.Logf("first start: ready after %v; calls %v", ready, calls)
		w.True(ready[2] >= 0)
		w.True(calls[kvserver.CallList] <= largeFleet/2)
		w.True(calls[kvserver.CallGrant] <= largeFleet/2)
		w.True(calls[kvserver.CallWatch] <= largeFleet)

		time.Sleep(5 * time.Second)
		w.store.ResetCalls()
		w.restartAll()
		ready = w.until(2*readyWithin, func(d *daemon) bool { return d.Ready() })
		calls = w.store.Calls()
		t.Logf("restart of all: ready after %v; calls %v", ready, calls)
		w.True(ready[2] >= 0)
		// One short list of the relays' registrations each.
		w.True(calls[kvserver.CallList] <= largeFleet+largeFleet/2)
		w.True(calls[kvserver.CallGrant] <= largeFleet/2)
	})
}

// Guards against a change of a large configuration that every daemon reads from the key-value
// service at the same time, which fills its link for longer than the change may take.
func TestLargeConfigurationIsPassedOn(t *testing.T) {
	const within = 2 * time.Second
	withRelayFleet(t, 60, fleetConfig(1, 600), func(w *testFleet) {
		w.store.ResetCalls()
		c := fleetConfig(2, 600)
		c.Limits.MaxBodyBytes = 12345
		w.configure(c)
		inForce := w.until(within, func(d *daemon) bool { return d.Limits().MaxBodyBytes == 12345 })
		calls := w.store.Calls()
		t.Logf("in force after %v; calls %v", inForce, calls)
		w.True(inForce[2] >= 0)
		w.True(calls[kvserver.CallGet] <= 2*largeDomains)
	})
}

// Guards against control messages that grow with the fleet: between one of 60 and one of 240
// daemons with as many workspaces, what the busiest daemon sends must grow more like the square
// root of the size, which doubles, than like the size.
func TestBusiestDaemonGrowsSlowerThanFleet(t *testing.T) {
	const small, growth, span = 60, 4, 4 * time.Second
	peak := func(n int) float64 {
		bytes := 0
		withRelayFleet(t, n, manyWorkspaces(largeWorkspaces), func(w *testFleet) {
			time.Sleep(2 * time.Second)
			w.network.resetCounts()
			time.Sleep(span)
			bytes = w.network.peakSecond()
		})
		return float64(bytes)
	}
	is := is.New(t)
	before, after := peak(small), peak(growth*small)
	t.Logf("busiest second: %.0f KB with %d daemons, %.0f KB with %d", before/1024, small, after/1024, growth*small)
	is.True(after/before <= math.Sqrt(math.Sqrt(growth)*growth))
}
