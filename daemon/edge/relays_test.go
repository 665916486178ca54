package edge_test

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/quota"
	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/route"
)

// largeFleet, largeDomains and largeWorkspaces are the numbers of daemons, failure domains and
// workspaces of the large fleet in these tests. allToAllMessages is the number of messages per
// second if every daemon of that fleet sent to every other one five times a second.
const (
	largeFleet       = 119
	largeDomains     = 6
	allToAllMessages = largeFleet * (largeFleet - 1) * 5
	largeWorkspaces  = 40
)

// fleetSetup starts a fleet of n daemons of one kind, either with relays and followers or direct,
// and calls f with it.
type fleetSetup func(t *testing.T, n int, c route.Config, f func(w *testFleet))

// withRelayFleet runs a test with n daemons that have elected relays.
func withRelayFleet(t *testing.T, n int, c route.Config, f func(w *testFleet)) {
	withSettledFleet(t, n, relays.AllWatchFleet, c, f)
}

// withDirectFleet runs a test with n daemons that all send to each other if n is at most
// relays.DirectFleet, the default limit.
func withDirectFleet(t *testing.T, n int, c route.Config, f func(w *testFleet)) {
	withSettledFleet(t, n, relays.DirectFleet, c, f)
}

// withSettledFleet runs a test with n daemons spread over largeDomains failure domains, after
// they have found each other. A fleet of at most maxDirectDaemons daemons is direct: each daemon
// sends to every other one. A larger fleet elects relays.
func withSettledFleet(t *testing.T, n, maxDirectDaemons int, c route.Config, f func(w *testFleet)) {
	withFleet(t, 0, c, func(w *testFleet) {
		w.directFleet = maxDirectDaemons
		w.spreadOverDomains()
		w.tolerance = quota.Tolerance{Overage: 0.1, Slack: 190_000}
		for range n {
			w.addDaemon()
		}
		time.Sleep(4 * time.Second)
		f(w)
	})
}

// spreadOverDomains assigns the daemons started from now on to largeDomains failure domains in
// turn.
func (w *testFleet) spreadOverDomains() {
	for i := range largeDomains {
		w.domains = append(w.domains, ident.FailureDomain(fmt.Sprintf("domain-%d", i)))
	}
}

// countDaemons returns the number of daemons that match a predicate.
func (w *testFleet) countDaemons(matches func(d *daemon) bool) int {
	n := 0
	for _, d := range w.daemons {
		if matches(d) {
			n++
		}
	}
	return n
}

// Guards against message rates that grow with the square of the fleet's size.
func TestMessagesOfALargeFleetAreFew(t *testing.T) {
	withRelayFleet(t, largeFleet, manyWorkspaces(largeWorkspaces), func(w *testFleet) {
		w.addRunner("r1", "app")
		const span = 4 * time.Second
		messages, bytes := w.network.traffic()
		time.Sleep(span)
		after, bytesAfter := w.network.traffic()
		rate := float64(after-messages) / span.Seconds()
		t.Logf("%.0f messages and %.0f KB a second by all", rate, float64(bytesAfter-bytes)/span.Seconds()/1024)
		w.True(rate <= allToAllMessages/10)
	})
}

// Guards against calls to the key-value service that grow with the fleet's size because each
// change completes the watches of all daemons.
func TestStoreCallsOfALargeFleetAreFew(t *testing.T) {
	withRelayFleet(t, largeFleet, config(1), func(w *testFleet) {
		w.store.ResetCalls()
		const changes, every = 40, 250 * time.Millisecond
		for i := range changes {
			w.addRunner(fmt.Sprintf("r%d", i), "app")
			time.Sleep(every)
		}
		calls := w.store.Calls()
		t.Logf("calls: %v", calls)
		// With a watch in every daemon, each made 1.25 calls per second.
		w.True(float64(calls[kvserver.CallWatch]) <= largeFleet*1.25*changes*every.Seconds()/10)
		w.True(calls[kvserver.CallList] == 0)
		for _, d := range w.daemons {
			w.Equal(w.ask(d, "/read/", key).status, 200)
		}
	})
}

// Guards against followers that keep sending requests to a runner that has given notice that it
// leaves.
func TestFollowersHearOfLeavingRunners(t *testing.T) {
	withRelayFleet(t, 40, config(1), func(w *testFleet) {
		leavingRunner := w.addRunner("going", "app")
		w.addRunner("staying", "app")
		time.Sleep(2 * time.Second)
		w.leaving("going", "app")
		time.Sleep(2 * time.Second)
		before := leavingRunner.count()
		for _, d := range w.daemons {
			w.Equal(w.ask(d, "/read/", key).status, 200)
		}
		w.Equal(leavingRunner.count(), before)
	})
}

// Guards against notices that reach daemons late when thousands of runners leave at once.
// Messages that list all of them exceed the datagram size, so they are not sent and daemons go
// silent.
func TestThousandsOfRunnersLeave(t *testing.T) {
	const daemons, runners, leaving = 119, 3000, 2500
	withRelayFleet(t, daemons, promptWorkspaces(4, 300_000, 17_000), func(w *testFleet) {
		id := func(i int) string { return fmt.Sprintf("i-0123456789~%013d", i) }
		for i := range runners {
			w.addRunner(id(i), "app")
		}
		time.Sleep(8 * time.Second)
		for i := range leaving {
			w.leaving(id(i), "app")
		}
		l := newPromptLoad(w, 17_000, slices.Repeat([]float64{150_000}, 4))
		l.run(3*time.Second, anyDaemon)
		asked, refused := l.totals()
		t.Logf("%d refused of %d: %v; largest message %d bytes", refused, asked, l.reasons, w.network.largest())
		w.Equal(w.countDaemons(func(d *daemon) bool { return d.Leaving() < leaving }), 0)
		w.Equal(refused, 0)
		w.True(w.network.largest() <= 32<<10)
	})
}

// Guards against revoked keys that still work at a daemon that reaches neither its relays nor
// the key-value service.
func TestRevokedKeyAtCutOffFollower(t *testing.T) {
	withRelayFleet(t, 40, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		time.Sleep(2 * time.Second)
		const last = 39 // the daemon started last is no relay
		d := w.daemons[last]
		d.store.setFaults(true, false)
		w.network.isolate(peerAddress(last), true)
		revoked := config(2)
		revoked.Workspaces[0].Keys = []string{"key-2"}
		w.configure(revoked)
		time.Sleep(5 * time.Second)
		w.Equal(w.ask(d, "/read/", key).reason(), refusal.StaleConfiguration)
		for _, other := range w.daemons[:last] {
			w.Equal(w.ask(other, "/read/", key).reason(), refusal.Unauthenticated)
			w.Equal(w.ask(other, "/read/", "key-2").status, 200)
		}
	})
}

// promptLoad simulates callers of many workspaces who send long prompts to all daemons.
type promptLoad struct {
	w    *testFleet
	cost int
	// perSecond is the number of tokens per second that each workspace sends.
	perSecond []float64

	mu      sync.Mutex
	asked   []int
	refused []int
	reasons map[refusal.Reason]int
	// servedTokens[ws][i] is the number of tokens served to workspace ws for requests that were
	// sent in interval i of the load; each interval lasts loadInterval.
	servedTokens [][]float64
}

// loadInterval is the time between two groups of requests of a simulated load.
const loadInterval = 100 * time.Millisecond

func newPromptLoad(w *testFleet, cost int, perSecond []float64) *promptLoad {
	n := len(perSecond)
	return &promptLoad{
		w: w, cost: cost, perSecond: perSecond, asked: make([]int, n), refused: make([]int, n),
		reasons: map[refusal.Reason]int{}, servedTokens: make([][]float64, n),
	}
}

// run sends requests for the given span to the daemons whose index serves accepts, and waits for
// their answers.
func (l *promptLoad) run(span time.Duration, serves func(i int) bool) {
	var wg sync.WaitGroup
	due := make([]float64, len(l.perSecond))
	for step := range int(span / loadInterval) {
		for ws := range l.perSecond {
			l.mu.Lock()
			l.servedTokens[ws] = append(l.servedTokens[ws], 0)
			l.mu.Unlock()
			due[ws] += l.perSecond[ws] * loadInterval.Seconds() / float64(l.cost)
			for ; due[ws] >= 1; due[ws]-- {
				at := (step*31 + ws*17 + int(due[ws])*7) % len(l.w.daemons)
				for !serves(at) {
					at = (at + 1) % len(l.w.daemons)
				}
				wg.Go(func() { l.ask(ws, l.w.daemons[at], len(l.servedTokens[ws])-1) })
			}
		}
		time.Sleep(loadInterval)
	}
	wg.Wait()
}

func (l *promptLoad) ask(ws int, d *daemon, interval int) {
	a := &recordedReply{}
	d.Serve(l.w.t.Context(), &edge.Request{
		ID: fmt.Sprintf("p%d", lastRequestID.Add(1)), Host: host, Path: "/read/", Key: fmt.Sprintf("key-%d", ws), Received: time.Now(),
	}, a)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[ws]++
	if a.refusal != nil {
		l.refused[ws]++
		l.reasons[a.refusal.Reason]++
		return
	}
	l.servedTokens[ws][interval] += float64(l.cost)
}

// maxTokensIn returns the most tokens served to a workspace in any period of the given length.
func (l *promptLoad) maxTokensIn(ws int, span time.Duration) float64 {
	maxTokens := 0.0
	n := int(span / loadInterval)
	for i := range l.servedTokens[ws] {
		sum := 0.0
		for _, t := range l.servedTokens[ws][i:min(i+n, len(l.servedTokens[ws]))] {
			sum += t
		}
		maxTokens = max(maxTokens, sum)
	}
	return maxTokens
}

// totals returns the number of requests of all workspaces and how many of them were refused.
func (l *promptLoad) totals() (asked, refused int) {
	for ws := range l.perSecond {
		asked, refused = asked+l.asked[ws], refused+l.refused[ws]
	}
	return asked, refused
}

// addRunners adds n runners, waits until the daemons know them and returns their IDs.
func (w *testFleet) addRunners(n int) []string {
	var ids []string
	for i := range n {
		id := fmt.Sprintf("r%d", i)
		w.addRunner(id, "app")
		ids = append(ids, id)
	}
	time.Sleep(2 * time.Second)
	return ids
}

// promptWorkspaces returns a configuration with n workspaces whose quotas count tokens.
func promptWorkspaces(n int, perSecond, cost float64) route.Config {
	c := manyWorkspaces(n)
	for i := range c.Workspaces {
		c.Workspaces[i].Quota = route.Quota{PerSecond: perSecond, Burst: perSecond, InTokens: true, PlainTokens: cost}
	}
	return c
}

func anyDaemon(int) bool { return true }

// Guards against refusals of callers who stay within their quota while a single daemon's share
// of it is smaller than one prompt, and against callers who exceed their quota by spreading
// requests over many daemons.
func TestPromptsWithinTheLimitOfALargeFleet(t *testing.T) {
	const (
		perSecond, cost    = 300_000.0, 17_000
		floodingWorkspaces = 3
		tolerated          = (perSecond*8+perSecond)*1.1 + 190_000
	)
	withRelayFleet(t, largeFleet, promptWorkspaces(largeWorkspaces, perSecond, cost), func(w *testFleet) {
		w.addRunners(40)
		rates := make([]float64, largeWorkspaces)
		for i := range rates {
			rates[i] = perSecond * 0.67
			if i < floodingWorkspaces {
				rates[i] = perSecond * 6
			}
		}
		l := newPromptLoad(w, cost, rates)
		l.run(12*time.Second, anyDaemon)
		asked, refused := 0, 0
		for ws := range rates {
			maxServedTokens := l.maxTokensIn(ws, 8*time.Second)
			w.True(maxServedTokens <= tolerated)
			if ws < floodingWorkspaces {
				t.Logf("flood: most tokens in a window: %.0f, tolerated: %.0f", maxServedTokens, tolerated)
				w.True(maxServedTokens >= perSecond*8)
				continue
			}
			asked, refused = asked+l.asked[ws], refused+l.refused[ws]
		}
		t.Logf("within the limit: %d refused of %d; %v", refused, asked, l.reasons)
		w.True(refused*200 < asked)
	})
}

// Guards against callers who are refused for long after relays end. All relays of one failure
// domain are killed while their followers keep running.
func TestRelaysAreKilled(t *testing.T) {
	const perSecond, cost = 300_000.0, 17_000
	withRelayFleet(t, 60, promptWorkspaces(10, perSecond, cost), func(w *testFleet) {
		w.addRunners(40)
		rates := slices.Repeat([]float64{perSecond * 0.5}, 10)
		var dead [60]atomic.Bool
		// The daemons of the first failure domain that have run for longest are its relays.
		for _, i := range []int{0, 6} {
			dead[i].Store(true)
			w.daemons[i].kill()
		}
		l := newPromptLoad(w, cost, rates)
		l.run(4*time.Second, func(i int) bool { return !dead[i].Load() })
		asked, refused := l.totals()
		t.Logf("%d refused of %d: %v", refused, asked, l.reasons)
		// A sixth of the daemons has no relay for less than 1.5 of the 4 seconds.
		w.True(refused*6*4 <= asked*3/2)
		l = newPromptLoad(w, cost, rates)
		l.run(4*time.Second, func(i int) bool { return !dead[i].Load() })
		for ws := range rates {
			w.Equal(l.refused[ws], 0)
		}
	})
}

// Guards against new daemons that accept callers before they can serve them, and against
// refusals by the running daemons while the fleet grows by three quarters.
func TestManyDaemonsJoin(t *testing.T) {
	const perSecond, cost = 300_000.0, 17_000
	withRelayFleet(t, 40, promptWorkspaces(10, perSecond, cost), func(w *testFleet) {
		w.addRunners(40)
		rates := slices.Repeat([]float64{perSecond * 0.67}, 10)
		w.servedBefore = true
		for range 30 {
			w.addDaemon()
		}
		l := newPromptLoad(w, cost, rates)
		l.run(4*time.Second, func(i int) bool { return w.daemons[i].Ready() })
		asked, refused := l.totals()
		t.Logf("%d refused of %d: %v", refused, asked, l.reasons)
		w.True(refused*100 <= asked)
		for _, d := range w.daemons {
			w.True(d.Ready())
			w.True(len(d.Directory("domain-1")) > 0)
		}
	})
}

// Guards against refusals of callers within their quota during a rolling restart. The daemons
// are drained, stopped and restarted one per second, relays first.
func TestRollingRestartOfLargeFleet(t *testing.T) {
	const daemons, perSecond, cost = 60, 300_000.0, 17_000
	withRelayFleet(t, daemons, promptWorkspaces(10, perSecond, cost), func(w *testFleet) {
		w.addRunners(40)
		w.servedBefore = true
		var restarting [daemons]atomic.Bool
		var rolling sync.WaitGroup
		rolling.Go(func() {
			for i := range 30 {
				restarting[i].Store(true)
				w.daemons[i].Drain()
				time.Sleep(800 * time.Millisecond)
				w.daemons[i].kill()
				d := w.restart(i)
				for !d.Ready() {
					time.Sleep(10 * time.Millisecond)
				}
				restarting[i].Store(false)
				time.Sleep(200 * time.Millisecond)
			}
		})
		rates := slices.Repeat([]float64{perSecond * 0.5}, 10)
		l := newPromptLoad(w, cost, rates)
		l.run(34*time.Second, func(i int) bool { return !restarting[i].Load() })
		rolling.Wait()
		asked, refused := l.totals()
		t.Logf("%d refused of %d: %v", refused, asked, l.reasons)
		w.True(refused*100 <= asked)
		time.Sleep(8 * time.Second)
		w.checkReports()
	})
}

// Guards against callers who are refused for long after all daemons of a fleet with relays were
// killed at once and restarted.
func TestFleetIsKilledAtOnce(t *testing.T) {
	const daemons, perSecond, cost = 60, 300_000.0, 17_000
	withRelayFleet(t, daemons, promptWorkspaces(10, perSecond, cost), func(w *testFleet) {
		w.addRunners(40)
		rates := slices.Repeat([]float64{perSecond * 0.5}, 10)
		newPromptLoad(w, cost, rates).run(2*time.Second, anyDaemon)
		w.servedBefore = true
		for _, d := range w.daemons {
			d.cancel()
		}
		time.Sleep(500 * time.Millisecond)
		for i, d := range w.daemons {
			<-d.done
			w.restart(i)
		}
		for _, d := range w.daemons {
			for !d.Ready() {
				time.Sleep(10 * time.Millisecond)
			}
		}
		for second := range 6 {
			l := newPromptLoad(w, cost, rates)
			l.run(time.Second, anyDaemon)
			asked, refused := l.totals()
			t.Logf("second %d: %d refused of %d: %v", second, refused, asked, l.reasons)
			if second >= 3 {
				w.True(refused*20 <= asked)
			}
		}
	})
}

// Guards against refused callers in the first seconds after all daemons of a direct fleet were
// killed and restarted, while the daemons that grant quota have yet to find each other.
func TestDirectFleetIsKilledAtOnce(t *testing.T) {
	const daemons, workspaces, perSecond, cost = 33, 16, 100_000.0, 17_000
	withDirectFleet(t, daemons, promptWorkspaces(workspaces, perSecond, cost), func(w *testFleet) {
		w.addRunners(40)
		time.Sleep(2 * time.Second)
		w.servedBefore = true
		for _, d := range w.daemons {
			d.kill()
		}
		for i := range w.daemons {
			w.restart(i)
		}
		l := newPromptLoad(w, cost, slices.Repeat([]float64{perSecond * 0.5}, workspaces))
		l.run(2*time.Second, anyDaemon)
		asked, refused := l.totals()
		t.Logf("%d refused of %d: %v", refused, asked, l.reasons)
		w.True(refused*20 <= asked)
	})
}

// Guards against calls to the key-value service that grow with the size of a direct fleet. Only
// one daemon of each failure domain may watch it.
func TestStoreCallsOfADirectFleetAreFew(t *testing.T) {
	const span = 10 * time.Second
	withDirectFleet(t, 33, config(1), func(w *testFleet) {
		w.store.ResetCalls()
		time.Sleep(span)
		// Each failure domain makes one call every half second, and no other calls are made.
		w.True(int(w.store.Calls()[kvserver.CallWatch]) <= largeDomains*int(2*span.Seconds())+largeDomains)
	})
}

// daemonsKnowingWork returns the number of daemons that know the work of most of the fleet.
func (w *testFleet) daemonsKnowingWork() int {
	return w.countDaemons(func(d *daemon) bool { return d.KnowsFleetWork() })
}

// Guards against a holder of the duties that gives most runners back right after all daemons
// were restarted, when it knows only its own callers' work.
func TestFleetWorkIsUnknownAfterFullRestart(t *testing.T) {
	withRelayFleet(t, 24, config(1), func(w *testFleet) {
		time.Sleep(8 * time.Second)
		w.True(w.daemonsKnowingWork() > 0)
		w.servedBefore = true
		for _, d := range w.daemons {
			d.kill()
		}
		for i := range w.daemons {
			w.restart(i)
		}
		// Until its first round a daemon believes that it is alone in the fleet, so it knows
		// all work there is. No daemon holds the duties then.
		time.Sleep(500 * time.Millisecond)
		for range 35 {
			w.Equal(w.daemonsKnowingWork(), 0)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(8 * time.Second)
		w.True(w.daemonsKnowingWork() > 0)
	})
}

// Guards against callers who are refused although they stay within their quota, because the relays
// of a fleet with many of them hear each other less often than their shares are renewed.
func TestPromptsWithinTheLimitWithManyRelays(t *testing.T) {
	const (
		daemons, domains   = 60, 10
		workspaces         = 40
		perSecond, cost    = 100_000.0, 17_000
		floodingWorkspaces = 2
		tolerated          = (perSecond*8+perSecond)*1.1 + 190_000
	)
	withFleet(t, 0, promptWorkspaces(workspaces, perSecond, cost), func(w *testFleet) {
		for i := range domains {
			w.domains = append(w.domains, ident.FailureDomain(fmt.Sprintf("domain-%d", i)))
		}
		w.tolerance = quota.Tolerance{Overage: 0.1, Slack: 190_000}
		for range daemons {
			w.addDaemon()
		}
		w.addRunners(40)
		rates := slices.Repeat([]float64{perSecond * 0.6}, workspaces)
		for ws := range floodingWorkspaces {
			rates[ws] = perSecond * 6
		}
		l := newPromptLoad(w, cost, rates)
		l.run(10*time.Second, anyDaemon)
		asked, refused := 0, 0
		for ws := range rates {
			if ws < floodingWorkspaces {
				w.True(l.maxTokensIn(ws, 8*time.Second) <= tolerated)
				continue
			}
			asked, refused = asked+l.asked[ws], refused+l.refused[ws]
		}
		t.Logf("%d relays; within the limit: %d refused of %d; %v", w.relayCount(), refused, asked, l.reasons)
		w.True(refused*100 < asked)
	})
}
