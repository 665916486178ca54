package edge_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/coordination/spillover"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/route"
)

// domainLoad is a load in four failure domains whose runners read prompts one after the other. The
// callers of north are northFactor times those of each other domain.
type domainLoad struct {
	price       spillover.Price
	without     string
	daemons     int
	northFactor float64
	quota       bool
	// perSecond replaces domainCallers, and runners northRunners, unless they are zero.
	perSecond float64
	runners   int
	// during is called beside the load.
	during func(*domainLoad)

	w      *testFleet
	mu     sync.Mutex
	cut    bool
	counts map[ident.FailureDomain]*domainCounts
}

type domainCounts struct {
	// late counts refusals, too. away counts the requests that left the domain, tried those that
	// tried to while the link was cut, and awayBytes the bytes.
	requests, late, refused, away, tried, awayBytes int
	waits                                           time.Duration
}

const (
	domainRunners   = 8
	northRunners    = 7
	domainRate      = 40_000.0
	domainPrompt    = 2000
	domainBody      = 20_000
	domainRoundTrip = 3 * time.Millisecond
	domainTarget    = 300 * time.Millisecond
	domainWarmup    = 5 * time.Second
	domainMeasured  = 20 * time.Second
	// domainCallers is the number of requests a second of each domain but north; its runners are in
	// use for five eighths of the time.
	domainCallers = 100.0
	defaultPrice  = spillover.Price(200 * time.Millisecond)
	// highestPrice keeps all callers at home.
	highestPrice    = spillover.Price(time.Minute)
	requestedDomain = "Domain"
	fakeCutConnect  = 50 * time.Millisecond
)

func (l *domainLoad) count(domain string, change func(*domainCounts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l.counts[ident.FailureDomain(domain)])
}

// addEngine adds a runner. Requests of other domains take a round trip longer.
func (l *domainLoad) addEngine(id string, domain ident.FailureDomain) {
	engine := &serialEngine{}
	l.w.addRunnerOf(domain, id, false)
	l.w.runners.byID[id].setScript(func(_ context.Context, a *edge.Attempt) (*edge.Answer, error) {
		from := a.Request.Header.Get(requestedDomain)
		if from != string(domain) {
			l.mu.Lock()
			cut := l.cut
			l.mu.Unlock()
			if cut {
				l.count(from, func(c *domainCounts) { c.tried++ })
				time.Sleep(fakeCutConnect)
				return nil, &edge.SendError{Reason: retry.ConnectFailed, Err: net.ErrClosed}
			}
			l.count(from, func(c *domainCounts) { c.away++; c.awayBytes += len(a.Request.Body) })
			time.Sleep(domainRoundTrip)
		}
		engine.readPrompt(time.Duration(float64(a.Request.Prompt.PromptTokens) / domainRate * float64(time.Second)))
		return eventAnswer("id: 1\ndata: x\n\n", io.EOF), nil
	})
}

// run runs the load and returns what was counted after the warm-up.
func (l *domainLoad) run(t *testing.T) map[ident.FailureDomain]*domainCounts {
	c := config(1)
	c.Services = []route.Service{{Name: "app", Engine: &route.Engine{Slots: 64, KVTokens: 500_000}}}
	if l.quota {
		c.Workspaces[0].Quota = route.Quota{PerSecond: 10_000_000, Burst: 10_000_000, InTokens: true}
	}
	for i := range c.Routes {
		c.Routes[i].TargetLatency = domainTarget
	}
	withFleet(t, 0, c, func(w *testFleet) {
		l.w = w
		w.spillover, w.without, w.domains = l.price, l.without, domains
		l.reset()
		for range max(l.daemons, 2*len(domains)) {
			w.addDaemon()
		}
		for _, domain := range domains {
			runners := domainRunners
			if domain == domains[0] {
				runners = cmp.Or(l.runners, northRunners)
			}
			for i := range runners {
				l.addEngine(fmt.Sprintf("%s%d", domain, i), domain)
			}
		}
		time.Sleep(settleTime)
		if l.during != nil {
			go l.during(l)
		}
		var wg sync.WaitGroup
		for i := range domains {
			wg.Go(func() { l.callers(i) })
		}
		time.Sleep(domainWarmup)
		l.reset()
		wg.Wait()
	})
	return l.counts
}

func (l *domainLoad) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts = map[ident.FailureDomain]*domainCounts{}
	for _, domain := range domains {
		l.counts[domain] = &domainCounts{}
	}
}

// callers sends the requests of one domain's callers, at random times that are the same in each run.
func (l *domainLoad) callers(domain int) {
	perSecond := cmp.Or(l.perSecond, domainCallers)
	if domain == 0 {
		perSecond *= l.northFactor
	}
	if perSecond == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(7, uint64(domain)))
	var wg sync.WaitGroup
	for i, begin := 0, time.Now(); time.Since(begin) < domainWarmup+domainMeasured; i++ {
		d := l.w.daemons[domain+len(domains)*rng.IntN(len(l.w.daemons)/len(domains))]
		wg.Go(func() { l.ask(d, string(domains[domain]), prefix.Hash(1+domain*1_000_000+i)) })
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
	}
	wg.Wait()
}

func (l *domainLoad) ask(d *daemon, domain string, part prefix.Hash) {
	a, asked := &recordedReply{}, time.Now()
	d.Serve(context.Background(), &edge.Request{
		ID: fmt.Sprint("domain-", part), Host: host, Path: "/match/", Method: http.MethodPost, Target: "/match/",
		Header: http.Header{requestedDomain: {domain}}, Body: make([]byte, domainBody), Key: key, Received: asked,
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

func logCounts(t *testing.T, name string, counts map[ident.FailureDomain]*domainCounts) {
	for _, domain := range domains {
		c := counts[domain]
		t.Logf("%s %s: %d requests, %d late, %d refused, mean %v, %d away, %d bytes", name, domain, c.requests, c.late, c.refused, c.mean(), c.away, c.awayBytes)
	}
}

// sumOf sums the counts of all domains, or of all but north.
func sumOf(counts map[ident.FailureDomain]*domainCounts, withNorth bool) domainCounts {
	var sum domainCounts
	for domain, c := range counts {
		if domain == domains[0] && !withNorth {
			continue
		}
		sum.requests, sum.late, sum.refused, sum.awayBytes = sum.requests+c.requests, sum.late+c.late, sum.refused+c.refused, sum.awayBytes+c.awayBytes
		sum.away, sum.tried, sum.waits = sum.away+c.away, sum.tried+c.tried, sum.waits+c.waits
	}
	return sum
}

// Guards against a domain with too few runners whose callers wait while others have free ones, and
// against callers of the other domains who pay for that: north has 1.4 times their callers. Without
// the part all callers wait for each other, and half of all bytes cross.
func TestCrowdedDomainSendsWhatOthersHaveFree(t *testing.T) {
	is := is.New(t)
	today := (&domainLoad{northFactor: 1.4, price: defaultPrice, without: "spillover"}).run(t)
	with := (&domainLoad{northFactor: 1.4, price: defaultPrice}).run(t)
	quiet := (&domainLoad{price: highestPrice}).run(t)
	logCounts(t, "today", today)
	logCounts(t, "with", with)
	logCounts(t, "quiet", quiet)
	before, after := sumOf(today, true), sumOf(with, true)
	is.True(after.late <= before.late)
	is.True(with["north"].late <= today["north"].late)
	is.True(after.awayBytes < before.awayBytes)
	is.True(with["north"].away > 0)
	others, alone := sumOf(with, false), sumOf(quiet, false)
	is.True(float64(others.mean()) <= (1+spillover.MaxLoss)*float64(alone.mean()))
}

// As above in a fleet with relays, whose followers know only sums of loads.
func TestCrowdedDomainOfFollowersSendsWithinBound(t *testing.T) {
	is := is.New(t)
	with := (&domainLoad{northFactor: 1.4, price: defaultPrice, daemons: 24, quota: true}).run(t)
	quiet := (&domainLoad{price: highestPrice, daemons: 24, quota: true}).run(t)
	logCounts(t, "with", with)
	logCounts(t, "quiet", quiet)
	is.True(with["north"].away > 0)
	others, alone := sumOf(with, false), sumOf(quiet, false)
	is.True(float64(others.mean()) <= (1+spillover.MaxLoss)*float64(alone.mean()))
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

// awayNow returns how many of north's requests have left, and how many have tried to over a cut link.
func (l *domainLoad) awayNow() (away, tried int) {
	l.count("north", func(c *domainCounts) { away, tried = c.away, c.tried })
	return away, tried
}

// Guards against requests that go on to be sent over a cut link, against callers who are refused for
// it, and against a share that doesn't come back.
func TestNothingLeavesOverCutLink(t *testing.T) {
	is := is.New(t)
	const cutAfter, cutFor = domainWarmup + 3*time.Second, 5 * time.Second
	before, during := 0, 0
	counts := (&domainLoad{northFactor: 1.4, price: defaultPrice, during: func(l *domainLoad) {
		time.Sleep(cutAfter)
		l.mu.Lock()
		l.cut = true
		l.mu.Unlock()
		l.separate(true)
		before, _ = l.awayNow()
		time.Sleep(cutFor)
		l.mu.Lock()
		l.cut = false
		l.mu.Unlock()
		l.separate(false)
		during, _ = l.awayNow()
	}}).run(t)
	logCounts(t, "cut", counts)
	north := counts["north"]
	t.Log(before, during, north.tried)
	is.True(before > 0)
	is.Equal(during, before)
	is.True(north.away > during)
	is.Equal(sumOf(counts, true).refused, 0)
	// Each of two daemons learns of it from two runners of each of three domains, while a few more
	// requests are on their way.
	is.True(north.tried <= 2*len(domains)*4)
}

// Guards against requests that are sent to other domains by loads that are too old: the runners there
// look idle to daemons that hear nothing of their callers.
func TestNothingLeavesByOldLoads(t *testing.T) {
	is := is.New(t)
	const apartAfter, fallen = domainWarmup + 3*time.Second, spillover.MaxAge + 12*spillover.StepInterval
	before, after, end := 0, 0, 0
	counts := (&domainLoad{northFactor: 1.4, price: defaultPrice, during: func(l *domainLoad) {
		time.Sleep(apartAfter)
		l.separate(true)
		before, _ = l.awayNow()
		time.Sleep(fallen)
		after, _ = l.awayNow()
		time.Sleep(3 * time.Second)
		end, _ = l.awayNow()
		l.separate(false)
	}}).run(t)
	logCounts(t, "apart", counts)
	t.Log(before, after, end)
	is.True(before > 0)
	is.Equal(end, after)
	is.True(counts["north"].away > end)
}

// Guards against a share that depends on the key-value service.
func TestSpilloverNeedsNoStore(t *testing.T) {
	is := is.New(t)
	before, during := 0, 0
	counts := (&domainLoad{northFactor: 1.4, price: defaultPrice, during: func(l *domainLoad) {
		time.Sleep(domainWarmup + 3*time.Second)
		before, _ = l.awayNow()
		for _, d := range l.w.daemons {
			d.store.setFaults(true, false)
		}
		time.Sleep(2 * time.Second) // daemons soon refuse requests, as their configuration isn't proved
		during, _ = l.awayNow()
		for _, d := range l.w.daemons {
			d.store.setFaults(false, false)
		}
	}}).run(t)
	logCounts(t, "no store", counts)
	is.True(during > before)
	is.Equal(sumOf(counts, true).refused, 0)
}

// Guards against an effect on a service whose runners and load are even.
func TestNothingLeavesEvenDomains(t *testing.T) {
	is := is.New(t)
	even := (&domainLoad{northFactor: 1, runners: domainRunners, perSecond: 60, price: defaultPrice}).run(t)
	logCounts(t, "even", even)
	is.Equal(sumOf(even, true).away, 0)
	is.Equal(sumOf(even, true).late, 0)
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
