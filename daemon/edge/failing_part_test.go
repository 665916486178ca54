package edge_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/refusal"
)

const (
	// failingPart is the prompt part that makes each runner fail that begins to answer it.
	failingPart = 666
	// failsAfter is the time from the beginning of the answer to the runner's failure.
	failsAfter = 30 * time.Millisecond
	// restartsAfter is the time after which a runner is back as a new incarnation.
	restartsAfter = 2 * time.Second
	// failuresUntilKnown is the number of failures by a part, and contactTime later, after which
	// maxLaterSends requests with it may still reach runners.
	failuresUntilKnown = 5
	maxLaterSends      = 3
)

// fragileRunners are runners that fail when they begin to answer a prompt with failingPart.
type fragileRunners struct {
	w        *testFleet
	unframed bool
	// isFatal tells which requests make runners fail; nil stands for those with failingPart.
	isFatal func(r *edge.Request) bool
	// failsAfter is the time from the beginning of the answer to the failure; zero stands for the
	// constant of that name. With failsUnanswered the runner fails before the answer begins.
	failsAfter      time.Duration
	failsUnanswered bool
	// goesDark says that a runner that fails answers nothing, and its connections stay open, lapses that its entry lapses at once.
	goesDark, lapses bool

	mu sync.Mutex
	// harmless says that the part makes no runner fail any more.
	harmless bool
	// failures and sends are the times of the runners' failures by the part, and of the requests
	// with it that reached runners.
	failures, sends []time.Time
	started         int
	// running holds for each runner that is up what makes it fail.
	running map[string]func()
}

// start starts a runner in the place of the given name.
func (f *fragileRunners) start(name string) {
	f.mu.Lock()
	f.started++
	id := fmt.Sprintf("%s-%d", name, f.started)
	f.mu.Unlock()
	up, end := context.WithCancel(context.Background())
	fail := func(byPart bool) { f.fail(name, id, up, end, byPart) }
	f.mu.Lock()
	if f.running == nil {
		f.running = map[string]func(){}
	}
	f.running[id] = func() { fail(false) }
	f.mu.Unlock()
	f.w.runners.add(id).setScript(func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
		// A request doesn't reach a runner that has gone dark.
		fatal := up.Err() == nil && f.received(a)
		time.Sleep(20 * time.Millisecond)
		if fatal && f.failsUnanswered {
			fail(true)
		}
		if up.Err() != nil {
			f.waitIfDark(ctx)
			return nil, &edge.SendError{Reason: retry.Broken, Sent: true, Err: io.ErrUnexpectedEOF}
		}
		if fatal {
			time.AfterFunc(cmp.Or(f.failsAfter, failsAfter), func() { fail(true) })
		}
		if strings.HasPrefix(a.Request.Path, "/read/") || strings.HasPrefix(a.Request.Path, "/pledge/") {
			return plainAnswer(http.StatusOK, "from "+id), nil
		}
		from, last := 0, pathsEvents
		fmt.Sscanf(a.LastEventID, "%d", &from)
		if fatal {
			// Its runner fails before it ends, wherever it is resumed.
			last = math.MaxInt
		}
		answer := &edge.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Events: true, Unframed: f.unframed}
		answer.Body = &fragileBody{slowEvents: slowEvents{next: from + 1, last: last, interval: 2 * failsAfter}, up: up, unframed: f.unframed, ended: func() { f.waitIfDark(ctx) }}
		return answer, nil
	})
	f.w.put(runnerPrefix+id, edge.Runner{Runner: view.Runner{
		ID: ident.RunnerID(id), Address: id, Service: "app", FailureDomain: "north", State: view.Live,
	}, Slots: 64})
}

// waitIfDark waits like a connection to a runner without power, until the attempt is given up.
func (f *fragileRunners) waitIfDark(ctx context.Context) {
	if f.goesDark {
		<-ctx.Done()
	}
}

func hasFailingPart(r *edge.Request) bool { return slices.Contains(r.Prompt.Parts, failingPart) }

// received records a request that makes runners fail, and reports whether it is one.
func (f *fragileRunners) received(a *edge.Attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	isFatal := f.isFatal
	if isFatal == nil {
		isFatal = hasFailingPart
	}
	if !isFatal(a.Request) {
		return false
	}
	f.sends = append(f.sends, time.Now())
	return !f.harmless
}

func (f *fragileRunners) removeEntry(id string) {
	entry, err := f.w.store.Get(context.Background(), runnerPrefix+id)
	if err == nil && entry.Revision != 0 {
		_ = f.w.store.Delete(context.Background(), runnerPrefix+id, entry.Revision)
	}
}

// fail ends a runner, which is back later as another one.
func (f *fragileRunners) fail(name, id string, up context.Context, end context.CancelFunc, byPart bool) {
	f.mu.Lock()
	failed := up.Err() != nil
	if !failed && byPart {
		f.failures = append(f.failures, time.Now())
	}
	// A runner that ends accepts no new connections before its open ones break.
	switch {
	case failed:
	case f.goesDark:
		f.w.runners.unresponsive(id, true)
	default:
		f.w.runners.fall(id, true)
	}
	end()
	delete(f.running, id)
	f.mu.Unlock()
	if failed {
		return
	}
	if f.lapses {
		f.removeEntry(id)
	}
	time.AfterFunc(restartsAfter, func() {
		f.removeEntry(id)
		f.start(name)
	})
}

// laterSends returns the number of requests with the failing part that reached runners later than
// contactTime after the fifth failure, and the time of that failure.
func (f *fragileRunners) laterSends() (n int, fifth time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.failures) == 0 {
		return 0, time.Time{}
	}
	fifth = f.failures[min(failuresUntilKnown, len(f.failures))-1]
	return f.sendsAfterLocked(fifth.Add(contactTime)), fifth
}

// sendsAfterLocked returns the number of requests that make runners fail and reached runners later than a
// time. The caller must hold mu.
func (f *fragileRunners) sendsAfterLocked(t time.Time) int {
	n := 0
	for _, at := range f.sends {
		if at.After(t) {
			n++
		}
	}
	return n
}

// fragileBody is a stream that ends when its runner fails: with its connection if it is unframed,
// otherwise with an error.
type fragileBody struct {
	slowEvents
	up       context.Context
	unframed bool
	// ended is called when the runner has failed, before the stream ends.
	ended func()
}

func (b *fragileBody) Read(p []byte) (int, error) {
	if b.next <= b.last {
		select {
		case <-time.After(b.interval):
		case <-b.up.Done():
		}
	}
	if b.up.Err() == nil {
		b.interval = 0
		n, err := b.slowEvents.Read(p)
		b.interval = 2 * failsAfter
		return n, err
	}
	b.ended()
	if b.unframed {
		return 0, io.EOF
	}
	return 0, io.ErrUnexpectedEOF
}

// promptOf returns a prompt of the given parts.
func promptOf(parts ...uint64) edge.Prompt {
	p := edge.Prompt{PromptTokens: 100 * len(parts), OutputTokens: 10, ExpectedOutput: 10, Parts: parts}
	var hash uint64
	for i, part := range parts {
		hash = hash*31 + part
		p.Prefix = append(p.Prefix, prefix.Hash(hash))
		p.PrefixTokens = append(p.PrefixTokens, 100*(i+1))
	}
	return p
}

// promptCall is a call with a prompt, and whether its first request began to be answered.
type promptCall struct {
	at      time.Time
	sound   bool
	begun   bool
	refusal *refusal.Refusal
}

// partLoad describes the callers of a service: perSecond requests a second, failingPerSecond of them
// with the failing part at the position among its parts.
type partLoad struct {
	perSecond, failingPerSecond, position, parts int
	path                                         string
}

// playPrompts lets callers send requests for a while, at random daemons.
func (w *testFleet) playPrompts(random *rand.Rand, l partLoad, span time.Duration) []promptCall {
	var mu sync.Mutex
	var asking sync.WaitGroup
	var calls []promptCall
	for i := range int(span.Seconds() * float64(l.perSecond)) {
		time.Sleep(time.Second / time.Duration(l.perSecond))
		var parts []uint64
		for place := range l.parts - 1 {
			parts = append(parts, uint64(1000*(place+1))+random.Uint64N(3))
		}
		parts = append(parts, uint64(1_000_000+i))
		sound := i%l.perSecond >= l.failingPerSecond
		if !sound {
			parts[l.position] = failingPart
		}
		d := w.daemons[random.IntN(len(w.daemons))]
		asking.Go(func() {
			c := promptCall{at: time.Now(), sound: sound}
			a := &recordedReply{}
			d.Serve(context.Background(), &edge.Request{
				ID: fmt.Sprintf("p%d", lastRequestID.Add(1)), Host: host, Path: l.path, Method: http.MethodPost, Target: l.path,
				Header: http.Header{}, Key: key, Received: time.Now(), Prompt: promptOf(parts...),
			}, a)
			c.begun, c.refusal = a.body.Len() > 0, a.refusal
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, c)
		})
	}
	asking.Wait()
	return calls
}

// begunSince returns the share of sound calls since a time that began to be answered.
func begunSince(calls []promptCall, from time.Time) (begun, all int) {
	for _, c := range calls {
		if !c.sound || c.at.Before(from) {
			continue
		}
		all++
		if c.begun {
			begun++
		}
	}
	return begun, all
}

// Guards against requests with a prompt part that makes runners fail, and that are sent to one runner
// after the other.
func TestPartThatMakesRunnersFailIsKeptAway(t *testing.T) {
	for _, c := range []struct {
		name      string
		daemons   int
		relays    bool
		load      partLoad
		unframed  bool
		otherFail time.Duration
	}{
		{name: "second_of_four", daemons: 5, load: partLoad{25, 2, 1, 4, "/draft/1"}},
		{name: "not_resumable", daemons: 5, load: partLoad{25, 2, 1, 4, "/match/1"}},
		{name: "first_of_three_unframed", daemons: 5, load: partLoad{25, 2, 0, 3, "/draft/1"}, unframed: true},
		{name: "other_failures", daemons: 5, load: partLoad{25, 2, 1, 4, "/draft/1"}, otherFail: 4 * time.Second},
		{name: "relays", daemons: 40, relays: true, load: partLoad{25, 2, 1, 4, "/draft/1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			play := withFleet
			if c.relays {
				play = withRelayFleet
			}
			play(t, c.daemons, config(1), func(w *testFleet) {
				f := &fragileRunners{w: w, unframed: c.unframed}
				for i := range 8 {
					f.start(fmt.Sprintf("r%d", i))
				}
				time.Sleep(2 * time.Second)
				random := rand.New(rand.NewPCG(1, 0))
				before := c.load
				before.failingPerSecond = 0
				began, asked := begunSince(w.playPrompts(random, before, 5*time.Second), time.Time{})
				stop := f.failNowAndThen(rand.New(rand.NewPCG(2, 0)), c.otherFail)
				calls := w.playPrompts(random, c.load, 20*time.Second)
				stop()
				later, fifth := f.laterSends()
				begun, all := begunSince(calls, fifth.Add(2*contactTime))
				t.Logf("%d failures, %d later sends, %d of %d sound ones begun, %d of %d before", len(f.failures), later, begun, all, began, asked)
				w.Equal(began, asked)
				w.True(later <= maxLaterSends)
				w.True(2*begun*asked >= began*all)
				time.Sleep(restartsAfter + time.Second)
			})
		})
	}
}

// failNowAndThen lets a random runner fail in each interval, for no reason of a request's, until stop is
// called.
func (f *fragileRunners) failNowAndThen(random *rand.Rand, interval time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	if interval == 0 {
		return cancel
	}
	go func() {
		for ctx.Err() == nil {
			select {
			case <-time.After(interval):
				f.failOne(random)
			case <-ctx.Done():
			}
		}
	}()
	return cancel
}

// failOne lets a random runner fail.
func (f *fragileRunners) failOne(random *rand.Rand) {
	f.mu.Lock()
	ids := slices.Sorted(maps.Keys(f.running))
	if len(ids) == 0 {
		f.mu.Unlock()
		return
	}
	fail := f.running[ids[random.IntN(len(ids))]]
	f.mu.Unlock()
	fail()
}

// withFragileRunners runs a test with daemons and eight fragile runners.
func withFragileRunners(t *testing.T, daemons int, f func(w *testFleet, r *fragileRunners)) {
	withFleet(t, daemons, config(1), func(w *testFleet) {
		r := &fragileRunners{w: w}
		for i := range 8 {
			r.start(fmt.Sprintf("r%d", i))
		}
		time.Sleep(2 * time.Second)
		f(w, r)
		time.Sleep(restartsAfter + time.Second)
	})
}

var failingLoad = partLoad{perSecond: 25, failingPerSecond: 2, position: 1, parts: 4, path: "/draft/1"}

// askWithPart sends a request with the failing part.
func (w *testFleet) askWithPart(d *daemon) (a *recordedReply, took time.Duration) {
	a = &recordedReply{}
	start := time.Now()
	d.Serve(context.Background(), &edge.Request{
		ID: fmt.Sprintf("p%d", lastRequestID.Add(1)), Host: host, Path: "/draft/1", Method: http.MethodPost, Target: "/draft/1",
		Header: http.Header{}, Key: key, Received: time.Now(), Prompt: promptOf(1000, failingPart, uint64(lastRequestID.Add(1))),
	}, a)
	return a, time.Since(start)
}

// Guards against a request that is held, or not told the truth, although its part is known to make
// runners fail, also at a daemon that has just started.
func TestKnownFailingPartIsRefusedAtOnce(t *testing.T) {
	withFragileRunners(t, 3, func(w *testFleet, _ *fragileRunners) {
		w.playPrompts(rand.New(rand.NewPCG(1, 0)), failingLoad, 12*time.Second)
		w.daemons[2].kill()
		w.restart(2)
		time.Sleep(time.Second)
		for _, d := range w.daemons {
			a, took := w.askWithPart(d)
			w.Equal(a.reason(), refusal.FailingPart)
			w.Equal(a.refusal.Executed, refusal.ExecutedNo)
			w.True(a.refusal.RetryAfter >= 10*time.Second)
			w.True(took < 100*time.Millisecond)
		}
	})
}

// Guards against a part that stays in quarantine although it makes no runner fail any more.
func TestHarmlessPartIsServedAgain(t *testing.T) {
	withFragileRunners(t, 3, func(w *testFleet, f *fragileRunners) {
		w.clearFailingPart(f)
		w.checkPartIsServed()
	})
}

// clearFailingPart plays a part that makes runners fail, and then none any more, until that is known.
func (w *testFleet) clearFailingPart(f *fragileRunners) {
	random := rand.New(rand.NewPCG(1, 0))
	w.playPrompts(random, failingLoad, 6*time.Second)
	f.mu.Lock()
	f.harmless = true
	f.mu.Unlock()
	w.playPrompts(random, failingLoad, 30*time.Second)
}

// checkPartIsServed checks that each daemon sends a request with the part to a runner.
func (w *testFleet) checkPartIsServed() {
	for _, d := range w.daemons {
		a, _ := w.askWithPart(d)
		w.True(a.finished)
	}
}

// Guards against sound requests that are refused because runners fail for other reasons, one or a whole
// domain at a time.
func TestSoundPartsAreServedWhileRunnersFail(t *testing.T) {
	withFragileRunners(t, 5, func(w *testFleet, f *fragileRunners) {
		random := rand.New(rand.NewPCG(1, 0))
		stop := f.failNowAndThen(rand.New(rand.NewPCG(2, 0)), 700*time.Millisecond)
		load := failingLoad
		load.failingPerSecond = 0
		calls := w.playPrompts(random, load, 10*time.Second)
		for range 3 {
			for range 4 {
				f.failOne(random)
			}
			calls = append(calls, w.playPrompts(random, load, 3*time.Second)...)
		}
		stop()
		for _, c := range calls {
			w.True(c.refusal == nil || c.refusal.Reason != refusal.FailingPart)
		}
	})
}

// Guards against a daemon that was out of touch and, once it is back, sends what the others know to make
// runners fail.
func TestReturningDaemonLearnsOfFailingParts(t *testing.T) {
	withFragileRunners(t, 3, func(w *testFleet, f *fragileRunners) {
		w.network.isolate(w.daemons[2].address, true)
		others := *w
		others.daemons = w.daemons[:2]
		others.playPrompts(rand.New(rand.NewPCG(1, 0)), failingLoad, 12*time.Second)
		w.network.isolate(w.daemons[2].address, false)
		time.Sleep(time.Second)
		f.mu.Lock()
		before := len(f.sends)
		f.mu.Unlock()
		a, _ := w.askWithPart(w.daemons[2])
		w.Equal(a.reason(), refusal.FailingPart)
		w.Equal(len(f.sends), before)
	})
}
