package edge_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/segment"
)

const (
	// fatalBody is the body of the request that makes runners fail.
	fatalBody = "fatal"
	// maxFailures is the number of runners that one request may make fail.
	maxFailures = 3
	// reasonFailingRequest is the reason of a refusal because runners fail under the request.
	reasonFailingRequest = refusal.Reason("failing_request")
)

func isFatalBody(r *edge.Request) bool { return string(r.Body.Bytes()) == fatalBody }

// repeatingCaller sends one request again and again, each time with another ID.
type repeatingCaller struct {
	path  string
	body  string
	parts []uint64
	// pause is the time between the end of a try and the next.
	pause time.Duration
	// takesUp says that the caller resumes a stream after the events that it has got.
	takesUp bool

	first, lastEvent string
}

// try sends the request once.
func (c *repeatingCaller) try(d *daemon) (a *recordedReply, took time.Duration) {
	a = &recordedReply{}
	req := &edge.Request{
		ID: fmt.Sprintf("p%d", lastRequestID.Add(1)), Host: host, Path: c.path, Method: http.MethodPost, Target: c.path,
		Header: http.Header{}, Key: key, Body: segment.Of([]byte(c.body)), Received: time.Now(),
	}
	if len(c.parts) > 0 {
		req.Prompt = promptOf(c.parts...)
	}
	if c.takesUp && c.first != "" {
		req.Resumes, req.LastEventID = c.first, c.lastEvent
	}
	start := time.Now()
	d.Serve(context.Background(), req, a)
	for line := range strings.Lines(a.body.String()) {
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id:"); ok {
			c.lastEvent = strings.TrimSpace(id)
			if c.first == "" {
				c.first = req.ID
			}
		}
	}
	return a, time.Since(start)
}

// tries sends the request, which makes runners fail, n times, to the daemons in turn. It returns how often it
// was refused for that without having been sent.
func (c *repeatingCaller) tries(w *testFleet, r *fragileRunners, n int) (refused int) {
	for i := range n {
		_, before := r.counts()
		a, took := c.try(w.daemons[i%len(w.daemons)])
		_, after := r.counts()
		switch {
		case a.refusal != nil && after > before:
			w.Equal(a.refusal.Executed, refusal.ExecutedUnknown)
		case a.reason() == reasonFailingRequest:
			refused++
			w.True(took < 100*time.Millisecond)
			w.True(a.refusal.RetryAfter > time.Second)
			w.Equal(a.refusal.Executed, refusal.ExecutedNo)
		}
		time.Sleep(c.pause)
	}
	return refused
}

// askOthers lets other callers send sound requests until stop is called, which returns how many were sent and
// served in full.
func (w *testFleet) askOthers(perSecond int, sound func(i int) *repeatingCaller) (stop func() (asked, served int)) {
	ctx, cancel := context.WithCancel(context.Background())
	var asking sync.WaitGroup
	var all, finished atomic.Int64
	asking.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			time.Sleep(time.Second / time.Duration(perSecond))
			all.Add(1)
			asking.Go(func() {
				if a, _ := sound(i).try(w.daemons[i%len(w.daemons)]); a.finished {
					finished.Add(1)
				}
			})
		}
	})
	return func() (asked, served int) {
		cancel()
		asking.Wait()
		return int(all.Load()), int(finished.Load())
	}
}

// withFatalRequest runs a test with daemons and eight runners that fail under the request with fatalBody.
func withFatalRequest(t *testing.T, daemons int, relays bool, f func(w *testFleet, r *fragileRunners)) {
	play := withFleet
	if relays {
		play = withRelayFleet
	}
	play(t, daemons, config(1), func(w *testFleet) {
		r := &fragileRunners{w: w, isFatal: isFatalBody}
		for i := range 8 {
			r.start(fmt.Sprintf("r%d", i))
		}
		time.Sleep(2 * time.Second)
		f(w, r)
		time.Sleep(restartsAfter + time.Second)
	})
}

func (f *fragileRunners) counts() (failures, sends int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.failures), len(f.sends)
}

var readCaller = repeatingCaller{path: "/read/1", body: fatalBody, pause: 300 * time.Millisecond}

// Guards against a request under which runners fail, and that is sent to one runner after the other, by its
// caller's tries at other daemons and by the system's own repeats.
func TestRequestThatMakesRunnersFailIsKeptAway(t *testing.T) {
	draft := repeatingCaller{path: "/draft/1", body: fatalBody, parts: []uint64{1000, 2000, 3000}, pause: 300 * time.Millisecond}
	takenUp := draft
	takenUp.takesUp = true
	atOnce := readCaller
	atOnce.pause = 5 * time.Millisecond
	for _, c := range []struct {
		name            string
		daemons         int
		relays          bool
		caller          repeatingCaller
		failsAfter      time.Duration
		failsUnanswered bool
		goesDark        bool
		unframed        bool
	}{
		{name: "before_the_answer", daemons: 5, caller: readCaller, failsUnanswered: true},
		{name: "repeated_at_once", daemons: 5, caller: atOnce, failsUnanswered: true},
		{name: "after_five_events", daemons: 5, caller: draft, failsAfter: 11 * failsAfter},
		{name: "unframed", daemons: 5, caller: draft, failsAfter: 11 * failsAfter, unframed: true},
		{name: "taken_up", daemons: 5, caller: takenUp, failsAfter: 5 * failsAfter},
		{name: "goes_dark", daemons: 5, caller: draft, failsAfter: 11 * failsAfter, goesDark: true},
		{name: "relays", daemons: 40, relays: true, caller: readCaller, failsUnanswered: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFatalRequest(t, c.daemons, c.relays, func(w *testFleet, r *fragileRunners) {
				r.failsAfter, r.failsUnanswered, r.goesDark, r.unframed = c.failsAfter, c.failsUnanswered, c.goesDark, c.unframed
				stop := w.askOthers(100, func(i int) *repeatingCaller {
					return &repeatingCaller{path: c.caller.path, body: fmt.Sprintf("sound %d", i), parts: c.caller.parts}
				})
				refused := c.caller.tries(w, r, 16)
				failures, sends := r.counts()
				asked, served := stop()
				t.Logf("%d failures, %d sends, %d of 16 tries refused, %d of %d others served", failures, sends, refused, served, asked)
				w.True(failures <= maxFailures)
				w.True(sends <= maxFailures)
				w.True(refused >= 16-maxFailures)
				w.True(10*served >= 8*asked)
			})
		})
	}
}

// Guards against a failing request that a daemon sends to runners again since it did not take part in the
// failures: it has just started, or was out of touch.
func TestDaemonsLearnOfFailingRequests(t *testing.T) {
	withFatalRequest(t, 4, false, func(w *testFleet, r *fragileRunners) {
		r.failsUnanswered = true
		c := readCaller
		w.network.isolate(w.daemons[3].address, true)
		others := *w
		others.daemons = w.daemons[:2]
		c.tries(&others, r, 6)
		w.network.isolate(w.daemons[3].address, false)
		w.daemons[2].kill()
		w.restart(2)
		time.Sleep(time.Second)
		_, before := r.counts()
		for _, d := range w.daemons {
			a, _ := c.try(d)
			w.Equal(a.reason(), reasonFailingRequest)
		}
		_, after := r.counts()
		w.Equal(after, before)
	})
}

// Guards against a failing request that a daemon without paths to the runners lets other daemons send.
func TestDelegatedFailingRequestIsKeptAway(t *testing.T) {
	draft := repeatingCaller{path: "/draft/1", body: fatalBody, pause: 300 * time.Millisecond}
	for _, caller := range []repeatingCaller{readCaller, draft} {
		withFatalRequest(t, 3, false, func(w *testFleet, r *fragileRunners) {
			r.failsUnanswered, r.failsAfter = caller.path == readCaller.path, 11*failsAfter
			w.cutOff(w.daemons[0])
			only := *w
			only.daemons = w.daemons[:1]
			refused := caller.tries(&only, r, 12)
			failures, sends := r.counts()
			t.Logf("%s: %d failures, %d sends, %d of 12 tries refused", caller.path, failures, sends, refused)
			w.True(sends <= maxFailures)
			w.True(refused >= 12-maxFailures)
		})
	}
}

// Guards against a request that is sent over a connection that was still being opened when runners had failed
// under the request.
func TestFailingRequestIsNotSentOverALateConnection(t *testing.T) {
	withFatalRequest(t, 2, false, func(w *testFleet, r *fragileRunners) {
		r.failsUnanswered = true
		c := readCaller
		c.tries(w, r, 1)
		w.runners.setConnectDelay(500 * time.Millisecond)
		late := make(chan *recordedReply, 1)
		go func() {
			waiting := c
			a, _ := waiting.try(w.daemons[0])
			late <- a
		}()
		time.Sleep(100 * time.Millisecond)
		w.runners.setConnectDelay(0)
		c.try(w.daemons[1])
		w.Equal((<-late).reason(), reasonFailingRequest)
		_, sends := r.counts()
		w.Equal(sends, maxFailures)
	})
}

// Guards against sound requests that many callers send, and that are refused because runners fail for other
// reasons, one or a whole domain at a time.
func TestPopularRequestIsServedWhileRunnersFail(t *testing.T) {
	withFatalRequest(t, 5, false, func(w *testFleet, r *fragileRunners) {
		stopFailures := r.failNowAndThen(newRandom(), 300*time.Millisecond)
		refused := make(chan bool, 1<<12)
		stop := w.askOthers(50, func(int) *repeatingCaller { return &repeatingCaller{path: "/read/1", body: "popular"} })
		for i := range 100 {
			c := &repeatingCaller{path: "/read/1", body: "popular"}
			a, _ := c.try(w.daemons[i%5])
			refused <- a.reason() == reasonFailingRequest
			if i%20 == 0 {
				for range 4 {
					r.failOne(newRandom())
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		stopFailures()
		asked, served := stop()
		t.Logf("%d of %d served", served, asked)
		for range 100 {
			w.True(!<-refused)
		}
	})
}

// Guards against a request that stays refused although runners no longer fail under it.
func TestHarmlessRequestIsServedAgain(t *testing.T) {
	withFatalRequest(t, 3, false, func(w *testFleet, r *fragileRunners) {
		r.failsUnanswered = true
		c := readCaller
		c.tries(w, r, 5)
		r.mu.Lock()
		r.isFatal = func(*edge.Request) bool { return false }
		r.mu.Unlock()
		time.Sleep(time.Minute)
		c.try(w.daemons[0])
		time.Sleep(time.Second)
		for _, d := range w.daemons {
			a, _ := c.try(d)
			w.True(a.finished)
		}
	})
}

// Guards against a caller who is told that a request which may not be repeated has not run although its runner
// has failed under it.
func TestFailingRequestThatMayNotBeRepeatedMayHaveRun(t *testing.T) {
	withFatalRequest(t, 2, false, func(w *testFleet, r *fragileRunners) {
		r.failsUnanswered = true
		c := repeatingCaller{path: "/pledge/1", body: fatalBody}
		for i := range 5 {
			_, before := r.counts()
			a, _ := c.try(w.daemons[i%2])
			_, after := r.counts()
			if after > before {
				w.Equal(a.refusal.Executed, refusal.ExecutedUnknown)
				w.Equal(after, before+1)
				continue
			}
			w.Equal(a.reason(), reasonFailingRequest)
			w.Equal(a.refusal.Executed, refusal.ExecutedNo)
		}
		failures, _ := r.counts()
		w.Equal(failures, maxFailures)
	})
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(3, 0)) }

// Guards against a silent runner that is never probed since it goes on getting requests or its entry has lapsed, so that what
// waits for it waits until its deadline and its failure counts for nothing.
func TestRunnerThatIsLostIsFoundSilent(t *testing.T) {
	for _, c := range []struct {
		perSecond int
		lapses    bool
	}{{10, false}, {100, false}, {10, true}} {
		t.Run(fmt.Sprintf("%d/%v", c.perSecond, c.lapses), func(t *testing.T) {
			withFatalRequest(t, 1, false, func(w *testFleet, r *fragileRunners) {
				r.failsAfter, r.goesDark, r.lapses = 11*failsAfter, true, c.lapses
				stop := w.askOthers(c.perSecond, func(i int) *repeatingCaller {
					return &repeatingCaller{path: "/draft/1", body: fmt.Sprintf("sound %d", i), parts: []uint64{1000, 2000}}
				})
				time.Sleep(time.Second)
				var trying sync.WaitGroup
				trying.Go(func() {
					c := repeatingCaller{path: "/draft/1", body: fatalBody, parts: []uint64{1000, 2000, 3000}}
					c.try(w.daemons[0])
				})
				// The first runner fails under the request, and the second one that it is sent to instead.
				time.Sleep(failsAfter*11 + 2*time.Second)
				failures, _ := r.counts()
				stop()
				trying.Wait()
				w.Equal(failures, 2)
			})
		})
	}
}
