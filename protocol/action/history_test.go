package action_test

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// The longer run: go test ./protocol/action -run TestHistories -histories=100000
var (
	histories = flag.Int("histories", 400, "how many histories TestHistories checks")
	firstSeed = flag.Uint64("first-seed", 1, "the first history's seed")
	workers   = flag.Int("workers", min(3, runtime.NumCPU()), "how many histories run at once")
)

// play runs one history: callers with duplicates through several gateways,
// under any mix of the faults.
func play(o options) *world {
	w := newWorld(o)
	w.plan()
	for caller := range 4 + w.rng.IntN(8) {
		w.after(w.upTo(20*second), nil, func() { w.call(fmt.Sprintf("c%d", caller)) })
	}
	w.run()
	return w
}

// plan draws the history's faults; any two and more come together.
func (w *world) plan() {
	at := func() time.Duration { return w.upTo(25 * second) }
	if w.chance(0.3) {
		w.lossy = 0.2 * w.rng.Float64()
	}
	if w.chance(0.4) {
		w.doubt = 0.4 * w.rng.Float64()
	}
	if w.chance(0.4) {
		from := w.now.Add(at())
		w.outages = append(w.outages, span{from: from, to: from.Add(w.upTo(20 * second))})
	}
	for w.chance(0.5) {
		w.after(at(), nil, func() { w.crash(w.rng.IntN(len(w.places))) })
	}
	for w.chance(0.5) {
		w.after(at(), nil, func() { w.places[w.rng.IntN(len(w.places))].pausedTil = w.now.Add(w.upTo(15 * second)) })
	}
	for w.chance(0.4) {
		w.after(at(), nil, func() { w.places[w.rng.IntN(len(w.places))].cutOff = w.span(10 * second) })
	}
	for w.chance(0.4) {
		w.after(at(), nil, func() { w.silent[[2]int{0, 1 + w.rng.IntN(len(w.places)-1)}] = w.span(15 * second) })
	}
	for w.chance(0.4) {
		w.after(at(), nil, w.mistake)
	}
	if w.chance(0.4) {
		w.planDrain(at())
	}
}

func (w *world) span(d time.Duration) span { return span{from: w.now, to: w.now.Add(w.upTo(d))} }

// mistake makes a gateway take a live or paused daemon for gone.
func (w *world) mistake() {
	n := w.places[w.rng.IntN(len(w.places))]
	n.mistaken[w.places[w.rng.IntN(len(w.places))].name] = w.span(10 * second)
}

// planDrain lets two operators drain at once, two daemons perhaps, and crashes
// one in the middle now and then.
func (w *world) planDrain(at time.Duration) {
	for range 1 + w.rng.IntN(2) {
		place := w.rng.IntN(len(w.places))
		w.after(at+w.upTo(second), nil, func() {
			n := w.places[place]
			if n.dead {
				return
			}
			n.drain()
			w.after(w.upTo(8*second), n, func() { w.crash(place) })
		})
	}
}

// call is a caller that takes a token somewhere, then sends copies of one call
// through several gateways, some of them late, and asks for the outcome.
func (w *world) call(name string) {
	issuer := w.places[w.rng.IntN(len(w.places))]
	if issuer.dead || w.now.Before(issuer.pausedTil) {
		return
	}
	key := issuer.current.Token(issuer.clock()).String() + name
	policy := manifest.OutageRun
	if w.chance(0.3) {
		policy = manifest.OutageRefuse
	}
	copies := 1 + w.rng.IntN(4)
	for range copies {
		delay := w.upTo(3 * second)
		if w.chance(0.2) {
			delay = w.upTo(lifetime + 4*second)
		}
		body := name
		if w.chance(0.05) {
			body = name + "-other"
		}
		readOnly := w.chance(0.2)
		w.after(delay, nil, func() { w.send(key, body, policy, readOnly) })
	}
}

func (w *world) send(key, body string, policy manifest.OutagePolicy, readOnly bool) {
	n := w.places[w.rng.IntN(len(w.places))]
	if n.dead {
		return
	}
	from := w.now
	id := idOf(key)
	owner, _ := actionkey.Parse(key)
	a := &asking{n: n, owner: owner.Owner, readOnly: readOnly}
	a.request = action.Request{ID: id, BodyHash: body, Policy: policy, Call: call.ServiceCall{Body: []byte(body)}}
	if readOnly {
		a.request.BodyHash = ""
		body = ""
	}
	a.done = func(r action.Result) { w.history.Told(from, w.now, id, body, r) }
	w.after(0, n, func() { n.serve(a) })
}

// Story: a booking runs twice, or its caller is told "not run" and it was. Any
// of the failures of the brief comes at any moment, together or twice.
func TestHistories(t *testing.T) {
	var yes, no, unknown, runs atomic.Int64
	var mu sync.Mutex
	var came reached
	var wg sync.WaitGroup
	var next atomic.Int64
	for range *workers {
		wg.Go(func() {
			for {
				i := next.Add(1) - 1
				if i >= int64(*histories) {
					return
				}
				seed := *firstSeed + uint64(i)
				w := play(options{seed: seed})
				if !w.history.Legal() {
					t.Errorf("seed %d: history is not legal", seed)
				}
				yes.Add(int64(w.history.Yes))
				no.Add(int64(w.history.No))
				unknown.Add(int64(w.history.Unknown))
				runs.Add(int64(w.history.Runs))
				mu.Lock()
				came.add(w.reached)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("%d histories: %d runs; callers were told yes %d, no %d, unknown %d times",
		*histories, runs.Load(), yes.Load(), no.Load(), unknown.Load())
	t.Logf("they came to %+v", came)
	if yes.Load() == 0 || no.Load() == 0 || unknown.Load() == 0 || !came.all() {
		t.Error("histories don't reach every kind of answer and event")
	}
}

// A checker that has never failed proves little: each guard broken on purpose
// must show in some history.
func TestCheckerSeesEachBrokenGuard(t *testing.T) {
	const tries = 3000
	broken := []options{
		{fault: action.FaultDispatchFirst},
		{fault: action.FaultExpiredNo},
		{fault: action.FaultForgetRefused},
		{fault: action.FaultBreakPromise},
		{guard: guardSeal},
		{guard: guardTransportRetry},
		{guard: guardPartialTable},
	}
	for _, o := range broken {
		t.Run(string(o.fault)+string(o.guard), func(t *testing.T) {
			is := is.New(t)
			seen := 0
			for seed := uint64(1); seed <= tries && seen == 0; seed++ {
				o.seed = seed
				if !play(o).history.Legal() {
					seen = int(seed)
				}
			}
			is.True(seen > 0) // no history showed the broken guard
			t.Logf("first seen with seed %d", seen)
		})
	}
}

// The same seed gives the same history, so that a failure can be looked into.
func TestHistoriesRepeat(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 5; seed++ {
		a, b := play(options{seed: seed}), play(options{seed: seed})
		is.Equal(a.history.Len(), b.history.Len())
		is.Equal(a.history.Runs, b.history.Runs)
	}
}
