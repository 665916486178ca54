package soak_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

const (
	// failingPart is a prompt part under which runners fail, and failedFor how long one is down then.
	failingPart = "bad1"
	failedFor   = 2 * time.Second
	// After failuresUntilKnown failures and a contactTime, mostLaterSends requests with the part may still reach runners, sent
	// by daemons that have run for a contactTime.
	failuresUntilKnown = 5
	contactTime        = 3 * time.Second
	mostLaterSends     = 3
	// learningRequests is the number of requests with the part from which the daemons learn of it, before they are disturbed for
	// disturbedTime.
	learningRequests = 10
	disturbedTime    = 30 * time.Second
)

// partPlay describes requests with a part under which runners fail, sent while daemons end and start.
type partPlay struct {
	// every is the time between two requests with the part; sound ones come ten times a second.
	every   time.Duration
	disturb func(ctx context.Context, f *fleet)

	mu       sync.Mutex
	failures []time.Time
	// sentBy holds the daemon to which each request with the part was sent, by its ID.
	sentBy map[string]*daemon
}

// Guards against a failing prompt part that is sent to runners again and again, as the daemons that knew it are lost together.
func TestRestartedDaemonsKeepFailingPartAway(t *testing.T) {
	for name, p := range map[string]*partPlay{
		"all, seldom asked":  {every: 2 * time.Second, disturb: killAllEvery(9 * time.Second)},
		"all, asked at once": {every: 250 * time.Millisecond, disturb: killAllEvery(6 * time.Second)},
		"one after another":  {every: 250 * time.Millisecond, disturb: killInTurnEvery(time.Second)},
	} {
		t.Run(name, p.play)
	}
}

func (p *partPlay) play(t *testing.T) {
	t.Parallel()
	f := startFleet(t, stormDaemons, stormRunners, conditions{})
	p.sentBy = map[string]*daemon{}
	for _, r := range f.allRunners() {
		p.failUnderPart(f, r)
	}
	learningTime := learningRequests * p.every
	ctx, cancel := context.WithTimeout(context.Background(), learningTime+disturbedTime)
	defer cancel()
	f.calling.Go(func() { p.send(ctx, f) })
	f.calling.Go(func() { sendSound(ctx, f) })
	time.Sleep(learningTime)
	p.disturb(ctx, f)
	f.calling.Wait()
	later := p.laterSends(f)
	t.Logf("%d failures, %d sends later than %v after the fifth", len(p.failures), later, contactTime)
	if len(p.failures) < failuresUntilKnown {
		t.Errorf("%d failures, so that nothing was played", len(p.failures))
	}
	if later > mostLaterSends {
		t.Errorf("%d requests with the part reached runners later than %v after the fifth failure, %d allowed", later, contactTime, mostLaterSends)
		f.saveLogs(f.seed)
	}
}

// failUnderPart lets a runner fail under the part, and start anew after failedFor. Daemons reach it without its proxy, which
// would go on accepting connections.
func (p *partPlay) failUnderPart(f *fleet, r *proxiedRunner) {
	f.retryUntilAccepted(func() error {
		return f.store.Register(r.ID, site.Registration{Version: "v1", Zone: r.zone, Starts: r.starts, Address: r.Address, State: site.Ready})
	})
	r.SetFailingPart(failingPart, func() {
		r.end()
		p.mu.Lock()
		p.failures = append(p.failures, time.Now())
		p.mu.Unlock()
		f.calling.Go(func() { p.startAnew(f, r) })
	})
}

func (p *partPlay) startAnew(f *fleet, r *proxiedRunner) {
	time.Sleep(failedFor)
	f.mu.Lock()
	f.runners = slices.DeleteFunc(f.runners, func(other *proxiedRunner) bool { return other == r })
	f.removedRunners = append(f.removedRunners, r)
	f.mu.Unlock()
	if err := f.startRunner(r.number, r.starts+1); err != nil {
		f.t.Errorf("start a runner anew: %v", err)
		return
	}
	for _, other := range f.allRunners() {
		if other.number == r.number && other.starts == r.starts+1 {
			p.failUnderPart(f, other)
		}
	}
}

// send sends requests with the part to the daemons in turn until the context ends.
func (p *partPlay) send(ctx context.Context, f *fleet) {
	for i := 0; ctx.Err() == nil; i++ {
		d, id := f.daemons[i%len(f.daemons)], fmt.Sprintf("bad-%d", i)
		p.mu.Lock()
		p.sentBy[id] = d
		p.mu.Unlock()
		f.calling.Go(func() { sendPrompt(d, id, fmt.Sprintf("aa:10,%s:10,%s:10", failingPart, id)) })
		time.Sleep(p.every)
	}
}

func sendSound(ctx context.Context, f *fleet) {
	for i := 0; ctx.Err() == nil; i++ {
		d, id := f.daemons[i%len(f.daemons)], fmt.Sprintf("sound-%d", i)
		f.calling.Go(func() { sendPrompt(d, id, fmt.Sprintf("aa:10,dd:10,%s:10", id)) })
		time.Sleep(100 * time.Millisecond)
	}
}

// sendPrompt sends a request for a stream. It may fail, as its runner or daemon does.
func sendPrompt(d *daemon, id, prompt string) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	_, _ = site.SendRequest(ctx, client, d.CallerAddress(), &site.CallerRequest{
		ID: id, Method: http.MethodPost, Host: site.Host, Path: "/draft/stream/1", Body: "body of " + id, APIKey: stableKey,
		Timeout: callerTimeout, PromptPrefix: prompt,
	})
}

// laterSends returns the number of requests with the part that reached runners later than allowed, sent by daemons that had run
// for a contactTime.
func (p *partPlay) laterSends(f *fleet) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.failures) < failuresUntilKnown {
		return 0
	}
	slices.SortFunc(p.failures, time.Time.Compare)
	known := p.failures[failuresUntilKnown-1].Add(contactTime)
	later := 0
	for id, arrivals := range f.arrivalsByRequest() {
		d := p.sentBy[id]
		if d == nil {
			continue
		}
		for _, a := range arrivals {
			if a.At.After(known) && !d.killedWithin(a.At.Add(-contactTime), a.At) {
				later++
			}
		}
	}
	return later
}

// killedWithin reports whether the daemon was killed, and started again, in a span of time.
func (d *daemon) killedWithin(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.killedAt, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}
