package edge_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/coordination/spillover"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/route"
	"geraniumstack.org/geraniumstack/state/segment"
)

// domainLoad is a load in four failure domains whose runners read prompts one after the other.
type domainLoad struct {
	price   spillover.Price
	without string
	daemons int
	// north is the number of north's callers as a multiple of those of each other domain.
	north float64
	// perSecond is the number of requests a second of each other domain, runners the number of
	// north's runners.
	perSecond float64
	runners   int
	// during is called beside the load after the warm-up.
	during func()

	w      *testFleet
	mu     sync.Mutex
	cut    bool
	counts [4]domainCounts
}

type domainCounts struct {
	// late counts refusals, too. away counts the requests that left the domain, awayBytes their
	// bytes, and tried those that found the link cut.
	requests, late, refused, away, awayBytes, tried int
	waits                                           time.Duration
}

const (
	domainRate      = 40_000.0
	domainPrompt    = 2000
	domainBody      = 20_000
	domainRoundTrip = 3 * time.Millisecond
	domainTarget    = 300 * time.Millisecond
	domainWarmup    = 5 * time.Second
	domainMeasured  = 20 * time.Second
	fakeCutConnect  = 50 * time.Millisecond
	domainRunners   = 8
	// Callers elsewhere keep the runners there in use for five eighths of the time.
	defaultPerSecond, fewRunners = 100.0, 7
	defaultPrice                 = spillover.Price(200 * time.Millisecond)
	// highestPrice keeps all callers at home.
	highestPrice = spillover.Price(time.Minute)
)

func (l *domainLoad) count(domain int, change func(*domainCounts)) domainCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.counts[domain])
	return l.counts[domain]
}

// addEngine adds a runner. Requests of other domains take a round trip longer.
func (l *domainLoad) addEngine(id string, domain int) {
	engine := &serialEngine{}
	l.w.addRunnerOf(domains[domain], id, false)
	l.w.runners.byID[id].setScript(func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
		// A daemon of another domain may serve the request for its own one.
		from := slices.IndexFunc(l.w.daemons, func(d *daemon) bool { return d.runners == ctx.Value(senderKey{}) }) % len(domains)
		if from != domain {
			cut := false
			l.count(from, func(c *domainCounts) {
				if cut = l.cut; cut {
					c.tried++
					return
				}
				c.away, c.awayBytes = c.away+1, c.awayBytes+a.Request.Body.Len()
			})
			if cut {
				time.Sleep(fakeCutConnect)
				return nil, &edge.SendError{Reason: retry.ConnectFailed, Err: net.ErrClosed}
			}
			time.Sleep(domainRoundTrip)
		}
		engine.readPrompt(time.Duration(float64(a.Request.Prompt.PromptTokens) / domainRate * float64(time.Second)))
		return eventAnswer("id: 1\ndata: x\n\n", io.EOF), nil
	})
}

// run runs the load and counts it after the warm-up. It returns the sums of north and of the others.
func (l *domainLoad) run(t *testing.T) (north, others domainCounts) {
	c := config(1)
	c.Services = []route.Service{{Name: "app", Engine: &route.Engine{Slots: 64, KVTokens: 500_000}}}
	// With a quota in tokens, relays recommend runners to followers.
	c.Workspaces[0].Quota = route.Quota{PerSecond: 10_000_000, Burst: 10_000_000, InTokens: true}
	for i := range c.Routes {
		c.Routes[i].TargetLatency = domainTarget
	}
	withFleet(t, 0, c, func(w *testFleet) {
		l.w, w.spillover, w.without, w.domains, w.directFleet = w, l.price, l.without, domains, relays.DirectFleet
		for range max(l.daemons, 2*len(domains)) {
			w.addDaemon()
		}
		for domain := range domains {
			runners := domainRunners
			if domain == 0 {
				runners = cmp.Or(l.runners, fewRunners)
			}
			for i := range runners {
				l.addEngine(fmt.Sprintf("%s%d", domains[domain], i), domain)
			}
		}
		time.Sleep(settleTime)
		var wg sync.WaitGroup
		for domain := range domains {
			wg.Go(func() { l.callers(domain) })
		}
		time.Sleep(domainWarmup)
		l.mu.Lock()
		l.counts = [4]domainCounts{}
		l.mu.Unlock()
		if l.during != nil {
			l.during()
		}
		wg.Wait()
	})
	for _, c := range l.counts[1:] {
		others.requests, others.late, others.refused = others.requests+c.requests, others.late+c.late, others.refused+c.refused
		others.away, others.awayBytes, others.waits = others.away+c.away, others.awayBytes+c.awayBytes, others.waits+c.waits
	}
	t.Logf("price %v: north %+v mean %v, others %+v mean %v", time.Duration(l.price), l.counts[0], l.counts[0].mean(), others, others.mean())
	return l.counts[0], others
}

// callers sends the requests of one domain's callers, at random times that are the same in each run.
func (l *domainLoad) callers(domain int) {
	perSecond := cmp.Or(l.perSecond, defaultPerSecond)
	if domain == 0 {
		perSecond *= l.north
	}
	rng := rand.New(rand.NewPCG(7, uint64(domain)))
	var wg sync.WaitGroup
	for i, begin := 0, time.Now(); perSecond > 0 && time.Since(begin) < domainWarmup+domainMeasured; i++ {
		d := l.w.daemons[domain+len(domains)*rng.IntN(len(l.w.daemons)/len(domains))]
		wg.Go(func() { l.ask(d, domain, prefix.Hash(1+domain*1_000_000+i)) })
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
	}
	wg.Wait()
}

func (l *domainLoad) ask(d *daemon, domain int, part prefix.Hash) {
	a, asked := &recordedReply{}, time.Now()
	d.Serve(context.Background(), &edge.Request{
		ID: fmt.Sprint("domain-", part), Host: host, Path: "/match/", Method: http.MethodPost, Target: "/match/",
		Header: http.Header{}, Body: segment.Of(make([]byte, domainBody)), Key: key, Received: asked,
		Prompt: edge.Prompt{PromptTokens: domainPrompt, OutputTokens: 10, ExpectedOutput: 10, Prefix: []prefix.Hash{part}, PrefixTokens: []int{domainPrompt}},
	}, a)
	took := time.Since(asked)
	l.count(domain, func(c *domainCounts) {
		c.requests++
		c.waits += took
		if a.refusal != nil {
			c.refused++
		}
		if a.refusal != nil || took > domainTarget {
			c.late++
		}
	})
}

func (c *domainCounts) mean() time.Duration { return c.waits / time.Duration(max(1, c.requests)) }

// Guards against a domain with too few runners whose callers wait while others have free ones, and
// against callers of the other domains who pay for that. Without the part, all callers wait for each
// other and half of all bytes cross. The followers of a fleet with relays know only sums of loads;
// there the bound keeps so many of north's requests at home that more of these are late than without.
func TestCrowdedDomainSendsWhatOthersHaveFree(t *testing.T) {
	for name, daemons := range map[string]int{"direct": 8, "relays": 24} {
		t.Run(name, func(t *testing.T) {
			north, others := (&domainLoad{north: 1.4, price: defaultPrice, daemons: daemons}).run(t)
			northWithout, othersWithout := (&domainLoad{north: 1.4, price: defaultPrice, daemons: daemons, without: string(edge.Spillover)}).run(t)
			_, alone := (&domainLoad{price: highestPrice, daemons: daemons}).run(t)
			if float64(others.mean()) > (1+spillover.MaxLoss)*float64(alone.mean()) {
				t.Error("the others' callers wait", others.mean(), "in place of", alone.mean())
			}
			if north.away == 0 || north.awayBytes+others.awayBytes >= northWithout.awayBytes+othersWithout.awayBytes {
				t.Error("not fewer bytes cross")
			}
			if others.late > othersWithout.late || name == "direct" && north.late > northWithout.late {
				t.Error("more requests are late")
			}
		})
	}
}

// separate cuts the messages between north's daemons and the others, or lets them pass again.
func (l *domainLoad) separate(cut bool) {
	for i := 0; i < len(l.w.daemons); i += len(domains) {
		for other := range l.w.daemons {
			if other%len(domains) != 0 {
				l.w.network.partition(peerAddress(i), peerAddress(other), cut)
			}
		}
	}
}

func (l *domainLoad) cutLink(cut bool) {
	l.count(0, func(*domainCounts) { l.cut = cut })
	l.separate(cut)
}

func (l *domainLoad) stopStore(stopped bool) {
	for _, d := range l.w.daemons {
		d.store.setFaults(stopped, false)
	}
}

// Guards against requests that go on to leave over a cut link, or by loads so old that other domains
// look idle, against a share that doesn't come back, and against one that needs the key-value service.
func TestSpilloverFailures(t *testing.T) {
	const oldLoads = spillover.MaxAge + 12*spillover.StepInterval
	for name, c := range map[string]struct {
		fail func(l *domainLoad, failed bool)
		// From falls after the failure on, for lasts, nothing leaves unless stays is set.
		falls, lasts time.Duration
		stays        bool
	}{
		"link cut":  {(*domainLoad).cutLink, 0, 5 * time.Second, false},
		"old loads": {(*domainLoad).separate, oldLoads, 3 * time.Second, false},
		// Daemons soon refuse requests, as their configuration isn't proved.
		"no store": {(*domainLoad).stopStore, 0, 2 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			var before, failed, ended domainCounts
			now := func(l *domainLoad) domainCounts { return l.count(0, func(*domainCounts) {}) }
			l := &domainLoad{north: 1.4, price: defaultPrice}
			l.during = func() {
				time.Sleep(3 * time.Second)
				before = now(l)
				c.fail(l, true)
				time.Sleep(c.falls)
				failed = now(l)
				time.Sleep(c.lasts)
				c.fail(l, false)
				ended = now(l)
			}
			north, others := l.run(t)
			if before.away == 0 || north.away == ended.away || (ended.away > failed.away) != c.stays {
				t.Error("away", before.away, failed.away, ended.away, north.away)
			}
			// Each of two daemons learns of the cut from two runners of each of three domains, while a few
			// more requests are on their way.
			if north.refused+others.refused > 0 || north.tried > 2*3*4 {
				t.Error("refused", north.refused, others.refused, "tried", north.tried)
			}
		})
	}
}

// Guards against an effect on a service whose runners and load are even.
func TestNothingLeavesEvenDomains(t *testing.T) {
	north, others := (&domainLoad{north: 1, runners: domainRunners, perSecond: 60, price: defaultPrice}).run(t)
	if north.away+others.away+north.late+others.late > 0 {
		t.Error("requests have left or are late")
	}
}

// Guards against an effect where the operator states no price, or switches the mechanism off: all
// daemons send to each other as before, and nothing is decided about the traffic between domains.
func TestSpilloverIsOffByDefault(t *testing.T) {
	const daemons = relays.AllWatchFleet + 2
	for name, c := range map[string]struct {
		price   spillover.Price
		without string
		decides bool
	}{
		"off": {0, "", false}, "left out": {defaultPrice, string(edge.Spillover), false}, "on": {defaultPrice, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 0, config(1), func(w *testFleet) {
				w.spillover, w.without, w.directFleet, w.domains = c.price, c.without, relays.DirectFleet, domains[:2]
				for range daemons {
					w.addDaemon()
				}
				time.Sleep(settleTime)
				w.Equal(w.relayCount() < daemons, c.decides)
				for _, d := range w.daemons {
					w.Equal(d.DecidesSpillover("app"), c.decides)
				}
			})
		})
	}
}
