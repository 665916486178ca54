package edge_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	silenceEvents        = 12
	silenceEventInterval = 100 * time.Millisecond
	silenceDeadline      = 4800 * time.Millisecond
)

// silentRunner is a runner that may stop to send for a while: its connections stay open, new ones are accepted,
// and everything goes on when it wakes.
type silentRunner struct {
	*runner
	id    string
	fleet *testFleet

	// working is the number of requests that the runner works on, begins the time until its answers begin.
	working atomic.Int64
	begins  time.Duration

	mu sync.Mutex
	// awake is closed while the runner sends.
	awake chan struct{}
}

func (w *testFleet) addSilentRunner(id string) *silentRunner {
	s := &silentRunner{runner: w.addRunner(id, "app"), id: id, fleet: w, awake: make(chan struct{}), begins: 15 * time.Millisecond}
	close(s.awake)
	s.setScript(s.answer)
	return s
}

// sleep lets the runner be silent from now on.
func (s *silentRunner) sleep() {
	s.fleet.runners.unresponsive(s.id, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awake = make(chan struct{})
}

// wake ends the silence.
func (s *silentRunner) wake() {
	s.fleet.runners.unresponsive(s.id, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.awake)
}

// untilAwake waits while the runner is silent.
func (s *silentRunner) untilAwake(ctx context.Context) error {
	s.mu.Lock()
	awake := s.awake
	s.mu.Unlock()
	select {
	case <-awake:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *silentRunner) answer(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
	if !a.Connected() {
		return nil, &edge.SendError{Reason: retry.Withdrawn, Err: net.ErrClosed}
	}
	s.working.Add(1)
	if !pauseFor(ctx, s.begins) || s.untilAwake(ctx) != nil {
		s.working.Add(-1)
		return nil, &edge.SendError{Reason: retry.Broken, Sent: true, Err: ctx.Err()}
	}
	from := 0
	fmt.Sscanf(a.LastEventID, "%d", &from)
	body := &silentEvents{ctx: ctx, runner: s, next: from + 1}
	return &edge.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Events: true, Body: body}, nil
}

// pauseFor waits for a time, and reports false if the context ends before.
func pauseFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// silentEvents is the body of a stream of a runner that may be silent.
type silentEvents struct {
	ctx    context.Context
	runner *silentRunner
	next   int
	closed sync.Once
}

func (b *silentEvents) Read(p []byte) (int, error) {
	if b.next > silenceEvents {
		return 0, io.EOF
	}
	if !pauseFor(b.ctx, silenceEventInterval) {
		return 0, b.ctx.Err()
	}
	if err := b.runner.untilAwake(b.ctx); err != nil {
		return 0, err
	}
	n := copy(p, eventText(b.next, b.next))
	b.next++
	return n, nil
}

func (b *silentEvents) Close() error {
	b.closed.Do(func() { b.runner.working.Add(-1) })
	return nil
}

// silenceResult counts the answers that callers got. late ones were cut at their deadline.
type silenceResult struct{ whole, cut, late, mixed, refused int }

func (r *silenceResult) add(a *recordedReply) {
	switch {
	case a.refusal != nil:
		r.refused++
	case !strings.HasPrefix(eventText(1, silenceEvents), a.body.String()):
		r.mixed++
	case a.aborted || a.body.String() != eventText(1, silenceEvents):
		r.cut++
	default:
		r.whole++
	}
}

// playThroughSilence begins streams at all daemons in turn, evenly over a time, and waits for their ends.
func (w *testFleet) playThroughSilence(path string, streams int, span time.Duration) silenceResult {
	var mu sync.Mutex
	var result silenceResult
	var callers sync.WaitGroup
	for i := range streams {
		d := w.daemons[i%len(w.daemons)]
		callers.Go(func() {
			start := time.Now()
			a := w.askWithin(context.Background(), d, path, key, silenceDeadline)
			mu.Lock()
			defer mu.Unlock()
			isPart := strings.HasPrefix(eventText(1, silenceEvents), a.body.String())
			if a.aborted && isPart && time.Since(start) >= silenceDeadline {
				result.late++
				return
			}
			result.add(a)
		})
		time.Sleep(span / time.Duration(streams))
	}
	callers.Wait()
	return result
}

// withSilentRunners runs a test with five daemons in four failure domains and ten runners.
func withSilentRunners(t *testing.T, f func(w *testFleet, runners []*silentRunner)) {
	withFleet(t, 0, config(1), func(w *testFleet) {
		w.domains = []ident.FailureDomain{"a", "b", "c", "d"}
		for range 5 {
			w.addDaemon()
		}
		var runners []*silentRunner
		for i := range 10 {
			runners = append(runners, w.addSilentRunner(fmt.Sprintf("r%d", i)))
		}
		time.Sleep(3 * time.Second)
		f(w, runners)
	})
}

// Guards against answers that a daemon cuts because their runners are silent for a second or two and then go on.
func TestAnswersOutliveASilenceOfTheirRunners(t *testing.T) {
	const streams = 400
	for _, c := range []struct {
		name   string
		silent int
		span   time.Duration
		path   string
	}{
		{"all_for_1.2_s", 10, 1200 * time.Millisecond, "/draft/1"},
		{"three_for_2.2_s", 3, 2200 * time.Millisecond, "/draft/1"},
		{"six_for_1.1_s", 6, 1100 * time.Millisecond, "/draft/1"},
		{"all_for_1.2_s_not_resumable", 10, 1200 * time.Millisecond, "/match/1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			withSilentRunners(t, func(w *testFleet, runners []*silentRunner) {
				go func() {
					for range 2 {
						time.Sleep(2 * time.Second)
						for _, r := range runners[:c.silent] {
							r.sleep()
						}
						time.Sleep(c.span)
						for _, r := range runners[:c.silent] {
							r.wake()
						}
					}
				}()
				result := w.playThroughSilence(c.path, streams, 8*time.Second)
				t.Logf("%+v", result)
				w.Equal(result.cut, 0)
				w.Equal(result.late, 0)
				// Requests that come in a silence may be refused, the others not.
				silent := 2 * c.span.Seconds() / 8 * streams
				w.True(float64(result.refused) <= silent)
			})
		})
	}
}

// Guards against streams that stay at a runner that has gone dark, until their callers give up.
func TestDarkRunnerLosesItsStreams(t *testing.T) {
	withSilentRunners(t, func(w *testFleet, runners []*silentRunner) {
		go func() {
			time.Sleep(2 * time.Second)
			runners[0].sleep()
		}()
		result := w.playThroughSilence("/draft/1", 400, 8*time.Second)
		t.Logf("%+v", result)
		w.Equal(result.whole, 400)
	})
}

// Guards against events that a caller gets twice or never, and runners that go on working for nobody, where runners
// fall silent and wake at any moment while second ones are tried.
func TestRandomSilencesLeaveAnswersWhole(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withSilentRunners(t, func(w *testFleet, runners []*silentRunner) {
				random := rand.New(rand.NewPCG(seed, 56))
				var sleeping sync.WaitGroup
				for _, r := range runners {
					var naps []time.Duration
					for range 6 {
						naps = append(naps, aboutHedgeTime(random))
					}
					sleeping.Go(func() {
						for _, nap := range naps {
							time.Sleep(nap)
							r.sleep()
							time.Sleep(nap)
							r.wake()
						}
					})
				}
				result := w.playThroughSilence("/draft/1", 300, 8*time.Second)
				sleeping.Wait()
				t.Logf("%+v", result)
				w.Equal(result.mixed, 0)
				w.Equal(result.cut, 0)
				for _, r := range runners {
					w.Equal(r.working.Load(), int64(0))
				}
			})
		})
	}
}

// aboutHedgeTime returns a time between 0.9 and 1.6 seconds: after about 1.2 a second runner is tried.
func aboutHedgeTime(random *rand.Rand) time.Duration {
	return 900*time.Millisecond + time.Duration(random.Int64N(int64(700*time.Millisecond)))
}

// withHedge runs a test of one daemon whose only runner falls silent after some events of a stream, just before a
// second runner comes whose answers begin after 600 ms. The test begins when both work on the stream.
func withHedge(t *testing.T, f func(w *testFleet, silent, second *silentRunner, leave func(), answered <-chan *recordedReply)) {
	withFleet(t, 1, config(1), func(w *testFleet) {
		silent := w.addSilentRunner("r1")
		time.Sleep(500 * time.Millisecond)
		ctx, leave := context.WithCancel(context.Background())
		defer leave()
		answered := make(chan *recordedReply, 1)
		go func() { answered <- w.askWithin(ctx, w.daemons[0], "/draft/1", key, 0) }()
		time.Sleep(350 * time.Millisecond)
		second := w.addSilentRunner("r2")
		second.begins = 600 * time.Millisecond
		silent.sleep()
		for second.working.Load() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		f(w, silent, second, leave, answered)
	})
}

// Guards against runners that go on working for a caller who has left while two of them were at its request.
func TestBothRunnersStopWhenTheCallerLeaves(t *testing.T) {
	withHedge(t, func(w *testFleet, silent, second *silentRunner, leave func(), answered <-chan *recordedReply) {
		w.Equal(silent.working.Load(), int64(1))
		leave()
		time.Sleep(10 * time.Millisecond)
		w.Equal(silent.working.Load(), int64(0))
		w.Equal(second.working.Load(), int64(0))
		w.True((<-answered).aborted)
	})
}

// Guards against a second runner that goes on working after the first one has sent something.
func TestSecondRunnerStopsWhenTheFirstGoesOn(t *testing.T) {
	withHedge(t, func(w *testFleet, silent, second *silentRunner, _ func(), answered <-chan *recordedReply) {
		silent.wake()
		time.Sleep(10 * time.Millisecond)
		w.Equal(second.working.Load(), int64(0))
		a := <-answered
		w.True(a.finished)
		w.Equal(a.body.String(), eventText(1, silenceEvents))
		w.Equal(second.count(), 1)
	})
}

// Guards against a first runner that goes on working after a second one has taken its stream over.
func TestFirstRunnerStopsWhenTheSecondHasTakenOver(t *testing.T) {
	withHedge(t, func(w *testFleet, silent, second *silentRunner, _ func(), answered <-chan *recordedReply) {
		w.Equal(silent.working.Load(), int64(1))
		a := <-answered
		w.True(a.finished)
		w.Equal(a.body.String(), eventText(1, silenceEvents))
		w.Equal(silent.working.Load(), int64(0))
		silent.wake()
	})
}
