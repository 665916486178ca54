package edge_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/runnerlimit"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	brittleSlots       = 6
	brittleServiceTime = 60 * time.Millisecond
	brittleDownTime    = 3 * time.Second
	// brittleTime is how long the runners let fewer requests wait.
	brittleTime = 6 * time.Second
)

// brittleRunner is a fake runner that fails if it has to reject too many requests in a second.
type brittleRunner struct {
	mu      sync.Mutex
	brittle bool
	// room is how many requests it takes at a time, the waiting ones included.
	room, taken   int
	maxRejections int
	rejections    []time.Time
	downUntil     time.Time
	falls, served int
	slots         chan struct{}
}

func (w *testFleet) addBrittleRunner(id string, maxRejections int) *brittleRunner {
	r := &brittleRunner{room: 30, maxRejections: maxRejections, slots: make(chan struct{}, brittleSlots)}
	w.runners.add(id).setScript(func(context.Context, *edge.Attempt) (*edge.Answer, error) { return r.serve() })
	w.put(runnerPrefix+id, edge.Runner{Runner: view.Runner{
		ID: ident.RunnerID(id), Address: id, Service: "app", FailureDomain: "north", State: view.Live,
	}, Slots: brittleSlots})
	return r
}

func (r *brittleRunner) setBrittle(room int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brittle, r.room = true, room
}

func (r *brittleRunner) answer(status int) *edge.Answer {
	a := plainAnswer(status, "")
	if r.brittle {
		a.Limits = runnerlimit.Limits{Brittle: true, MaxRejections: float64(r.maxRejections)}
	}
	return a
}

// admit takes a place at the runner, or returns its rejection or its failure.
func (r *brittleRunner) admit() (*edge.Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Before(r.downUntil) {
		return nil, &edge.SendError{Reason: retry.ConnectFailed, Err: context.Canceled}
	}
	if r.taken < r.room {
		r.taken++
		return nil, nil
	}
	r.rejections = slices.DeleteFunc(append(r.rejections, now), func(at time.Time) bool { return now.Sub(at) > time.Second })
	if r.brittle && len(r.rejections) > r.maxRejections {
		r.falls++
		r.downUntil, r.rejections = now.Add(brittleDownTime), nil
	}
	a := r.answer(http.StatusServiceUnavailable)
	a.NotRun = true
	return a, nil
}

func (r *brittleRunner) serve() (*edge.Answer, error) {
	if a, err := r.admit(); a != nil || err != nil {
		return a, err
	}
	r.slots <- struct{}{}
	time.Sleep(brittleServiceTime)
	<-r.slots
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taken--
	r.served++
	return r.answer(http.StatusOK), nil
}

// Guards against runners that fail one after the other, because all daemons together make each of
// them reject more than it bears.
func TestBrittleRunnersAreNotOverrun(t *testing.T) {
	for _, c := range []struct{ daemons, runners, room, maxRejections, perSecond int }{
		{daemons: 5, runners: 4, room: 8, maxRejections: 3, perSecond: 600},
		{daemons: 5, runners: 4, room: 8, maxRejections: 3, perSecond: 360},
		{daemons: 5, runners: 4, room: 3, maxRejections: 2, perSecond: 360},
		{daemons: 33, runners: 5, room: 8, maxRejections: 3, perSecond: 450},
	} {
		t.Run(fmt.Sprintf("%d_daemons_%d_runners_room_%d_%d_a_second", c.daemons, c.runners, c.room, c.perSecond), func(t *testing.T) {
			withFleet(t, c.daemons, config(1), func(w *testFleet) {
				var runners []*brittleRunner
				for i := range c.runners {
					runners = append(runners, w.addBrittleRunner(fmt.Sprintf("r%d", i), c.maxRejections))
				}
				time.Sleep(2 * time.Second)
				random := rand.New(rand.NewPCG(1, 0))
				w.play(random, c.perSecond/2, time.Second)
				for _, r := range runners {
					r.setBrittle(30)
				}
				w.play(random, c.perSecond, contactTime)
				for _, r := range runners {
					r.setBrittle(c.room)
				}
				served, refused, longest := w.play(random, c.perSecond, brittleTime)
				falls := 0
				for _, r := range runners {
					falls += r.falls
				}
				t.Logf("%d falls, allowed %d; served %d of %d, refused %v, held at most %v", falls, 2+c.runners/10, served, c.perSecond*int(brittleTime/time.Second), refused, longest)
				w.True(falls <= 2+c.runners/10)
			})
		})
	}
}
