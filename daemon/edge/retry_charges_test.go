package edge_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/protocol/retry"
)

// arrivals counts the arrivals of requests at runners beyond the first of each.
type arrivals struct {
	mu      sync.Mutex
	rng     *rand.Rand
	seen    map[string]bool
	repeats int64
}

func (a *arrivals) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seen[id] {
		a.repeats++
	}
	a.seen[id] = true
}

// draw returns a random number below n.
func (a *arrivals) draw(n int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rng.IntN(n)
}

// fail makes an attempt refused, broken, turned away, failed or answered late, or serves it.
func (a *arrivals) fail(ctx context.Context, w *testFleet, runner string, attempt *edge.Attempt) (*edge.Answer, error) {
	kind := a.draw(7)
	if kind == 0 {
		return nil, &edge.SendError{Reason: retry.ConnectFailed, Err: errRefused}
	}
	if !attempt.Connected() {
		return nil, &edge.SendError{Reason: retry.Withdrawn, Err: errRefused}
	}
	a.add(attempt.Request.ID)
	switch kind {
	case 1:
		return nil, brokenSend()
	case 2:
		return &edge.Answer{NotRun: true, Body: http.NoBody}, nil
	case 3:
		return plainAnswer(http.StatusInternalServerError, "failed"), nil
	case 4, 5:
		w.runners.unresponsive(runner, true)
		defer w.runners.unresponsive(runner, false)
		if !pauseFor(ctx, time.Duration(500+a.draw(2000))*time.Millisecond) || kind == 4 {
			return nil, brokenSend()
		}
	}
	if strings.HasPrefix(attempt.Request.Path, "/draft/") {
		return a.events(attempt)
	}
	return plainAnswer(http.StatusOK, "whole"), nil
}

// events answers with the events that the caller lacks, all of them or some.
func (a *arrivals) events(attempt *edge.Attempt) (*edge.Answer, error) {
	const number = 8
	last, _ := strconv.Atoi(attempt.LastEventID)
	if a.draw(2) == 0 && last < number-1 {
		return eventAnswer(eventText(last+1, last+1+a.draw(number-last-1)), io.ErrUnexpectedEOF), nil
	}
	return eventAnswer(eventText(last+1, number), io.EOF), nil
}

// Guards against retries that reach a runner and that no budget is charged for, and against charges for those that don't.
func TestEachRepeatedArrivalIsChargedOnce(t *testing.T) {
	for seed := range uint64(4) {
		for _, daemons := range []int{1, 3} {
			t.Run(fmt.Sprintf("%d daemons/%d", daemons, seed), func(t *testing.T) { playCharges(t, daemons, seed) })
		}
	}
}

// cutByTurns cuts the daemons off from the runners, one after the other.
func (w *testFleet) cutByTurns(a *arrivals, calling *sync.WaitGroup) {
	calling.Go(func() {
		for i := range 12 {
			d := w.daemons[i%len(w.daemons)]
			d.runners.cut([]cutMode{refusing, silent}[a.draw(2)])
			time.Sleep(time.Duration(a.draw(3000)) * time.Millisecond)
			d.runners.cut(connected)
			time.Sleep(time.Second)
		}
	})
}

func playCharges(t *testing.T, daemons int, seed uint64) {
	const callers, requests = 5, 60
	withFleet(t, daemons, tenSecondConfig(4), func(w *testFleet) {
		a := &arrivals{rng: rand.New(rand.NewPCG(seed, 1)), seen: map[string]bool{}}
		for i := range 8 {
			id := fmt.Sprintf("r%d", i+1)
			w.addRunner(id, "app").setScript(func(ctx context.Context, attempt *edge.Attempt) (*edge.Answer, error) {
				return a.fail(ctx, w, id, attempt)
			})
		}
		time.Sleep(10 * time.Second)
		var calling sync.WaitGroup
		for caller := range callers {
			calling.Go(func() {
				for range requests {
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.draw(20_000))*time.Millisecond)
					w.askWithin(ctx, w.daemons[caller%daemons], []string{"/read/1", "/draft/1"}[caller%2], key, 0)
					cancel()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		if daemons > 1 {
			w.cutByTurns(a, &calling)
		}
		calling.Wait()
		time.Sleep(3 * time.Second)
		var charged int64
		for _, d := range w.daemons {
			charged += d.counted("retry.charged") - d.counted("retry.refunded")
		}
		t.Logf("%d charged, %d arrivals beyond the first of their request", charged, a.repeats)
		w.True(a.repeats > 0)
		w.True(charged >= a.repeats)
		if daemons == 1 {
			// Of a call to a helper that breaks it isn't known whether its charge was used.
			w.Equal(charged, a.repeats)
		}
	})
}
