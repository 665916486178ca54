package edge_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"geraniumstack.org/geraniumstack/daemon/edge"
	delegationv1 "geraniumstack.org/geraniumstack/gen/geranium/delegation/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/delegation/v1/delegationv1connect"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// scriptedHelper answers delegated requests by a script.
type scriptedHelper struct {
	delegationv1connect.UnimplementedDelegationServiceHandler
	script func(ctx context.Context, r *delegationv1.ServeRequest, stream *connect.ServerStream[delegationv1.ServeResponse]) error
}

// Serve implements delegationv1connect.DelegationServiceHandler.
func (h *scriptedHelper) Serve(ctx context.Context, r *connect.Request[delegationv1.ServeRequest], stream *connect.ServerStream[delegationv1.ServeResponse]) error {
	return h.script(ctx, r.Msg, stream)
}

// scriptableDelegation is the daemon's DelegationHandler, in whose place a scripted helper may answer.
func (d *daemon) scriptableDelegation() (path string, h http.Handler) {
	path, own := d.DelegationHandler()
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if scripted := d.helper.Load(); scripted != nil {
			_, h := delegationv1connect.NewDelegationServiceHandler(scripted)
			h.ServeHTTP(w, r)
			return
		}
		own.ServeHTTP(w, r)
	})
}

// refusalPart is the part of a helper's answer that refuses a request after a number of sends.
func refusalPart(reason refusal.Reason, executed refusal.Executed, attempts uint32) *delegationv1.ServeResponse {
	return &delegationv1.ServeResponse{Part: &delegationv1.ServeResponse_Refusal{Refusal: &delegationv1.Refusal{
		Reason: string(reason), Executed: string(executed), Attempts: attempts,
	}}}
}

// Guards against a request that is refused as not run although its helper's runner had it: its time, or its daemon, ends when
// the helper's refusal has just come.
func TestHelpersRequestMayHaveRunWhenItEndsAfterTheRefusal(t *testing.T) {
	for _, attempts := range []int{1, 2} {
		for _, ending := range []bool{false, true} {
			c := config(1)
			for i := range c.Routes {
				c.Routes[i].MaxAttempts = attempts
			}
			withFleet(t, 2, c, func(w *testFleet) {
				w.addServingRunner("r1")
				time.Sleep(500 * time.Millisecond)
				d, req := w.daemons[0], &edge.Request{ID: "late", Host: host, Path: "/pledge/1", Method: http.MethodPost, Target: "/pledge/1", Key: key, Received: time.Now()}
				for _, executed := range []refusal.Executed{refusal.ExecutedUnknown, refusal.ExecutedNo} {
					a := &recordedReply{}
					d.EndAfterHelpersRefusal(req, a, &refusal.Refusal{Reason: refusal.DeadlineExceeded, Executed: executed}, 1, ending)
					w.Equal(a.refusal.Executed, executed)
				}
			})
		}
	}
}

// Guards against a request that is refused as if it had run although no helper was reached: its time ends before a
// connection fails.
func TestRequestThatReachedNoHelperHasNotRun(t *testing.T) {
	withFleet(t, 2, config(1), func(w *testFleet) {
		w.addServingRunner("r1")
		time.Sleep(500 * time.Millisecond)
		w.cutOff(w.daemons[0])
		w.calls.Break(w.daemons[1].address)
		time.Sleep(10 * time.Millisecond)
		w.goDark(w.daemons[1])
		a := w.askWithin(context.Background(), w.daemons[0], "/pledge/1", key, heldDialTimeout/2)
		w.Equal(a.reason(), refusal.DeadlineExceeded)
		w.Equal(a.refusal.Executed, refusal.ExecutedNo)
	})
}

// orderStep is the spacing of the events of TestNoOrderOfEventsMakesARefusalUntrue. Several may come at one moment.
const orderStep = 100 * time.Millisecond

// orderPlay plays requests whose attempts, helpers, times and callers end in random orders, and knows which have run.
type orderPlay struct {
	random *rand.Rand
	mu     sync.Mutex
	// ran are the requests that have run, unproven the times that each was handed on without a proof since, and proved when
	// the latest of these proofs was given.
	ran      map[string]bool
	unproven map[string]int
	proved   map[string]time.Time
}

// draw returns a random number below n.
func (p *orderPlay) draw(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(n)
}

// run records that a request runs.
func (p *orderPlay) run(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ran[id] = true
}

// hand records that a request is handed on, and prove a proof that it has not run there.
func (p *orderPlay) hand(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unproven[id]++
}

func (p *orderPlay) prove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unproven[id]--
	p.proved[id] = time.Now()
}

// hasRun reports whether a request has run.
func (p *orderPlay) hasRun(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ran[id]
}

// isProvedBefore reports whether each time that a request was handed on had been followed by a proof before a moment.
func (p *orderPlay) isProvedBefore(id string, at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.ran[id] && p.unproven[id] == 0 && p.proved[id].Before(at)
}

func (p *orderPlay) pause(ctx context.Context) { pauseFor(ctx, time.Duration(p.draw(7))*orderStep) }

// answerAsRunner answers an attempt as a runner does that is full, runs the request and fails, or never gets it.
func (p *orderPlay) answerAsRunner(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
	outcome := p.draw(4)
	if outcome == 0 {
		p.pause(ctx)
		return nil, &edge.SendError{Reason: retry.ConnectFailed, Err: net.ErrClosed}
	}
	if !a.Connected() {
		return nil, &edge.SendError{Reason: retry.Withdrawn, Err: net.ErrClosed}
	}
	p.hand(a.Request.ID)
	p.pause(ctx)
	if ctx.Err() != nil {
		return nil, brokenSend()
	}
	if outcome == 1 {
		p.prove(a.Request.ID)
		return &edge.Answer{NotRun: true, Body: http.NoBody}, nil
	}
	p.run(a.Request.ID)
	p.pause(ctx)
	if outcome == 2 {
		return plainAnswer(http.StatusOK, "whole"), nil
	}
	return nil, brokenSend()
}

// answerAsHelper answers a delegated request as a daemon does that refuses it before or after a send, ends, or is silent.
func (p *orderPlay) answerAsHelper(ctx context.Context, r *delegationv1.ServeRequest, stream *connect.ServerStream[delegationv1.ServeResponse]) error {
	id := r.RequestId
	p.hand(id)
	p.pause(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	reason := []refusal.Reason{refusal.NoRunner, refusal.DeadlineExceeded, refusal.Overloaded}[p.draw(3)]
	switch p.draw(5) {
	case 0:
		p.prove(id)
		return stream.Send(refusalPart(reason, refusal.ExecutedNo, r.Attempts))
	case 1:
		return connect.NewError(connect.CodeAborted, net.ErrClosed)
	}
	if err := stream.Send(&delegationv1.ServeResponse{Attempts: r.Attempts + 1}); err != nil {
		return err
	}
	p.pause(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	switch p.draw(4) {
	case 0:
		p.prove(id)
		return stream.Send(refusalPart(reason, refusal.ExecutedNo, r.Attempts+1))
	case 1:
		p.run(id)
		return connect.NewError(connect.CodeAborted, net.ErrClosed)
	}
	p.run(id)
	p.pause(context.Background())
	return stream.Send(refusalPart(reason, refusal.ExecutedUnknown, r.Attempts+1))
}

// Guards against refusals that say "not run" of a request that a runner or a helper had, and against those that don't of
// one that none had, whichever comes first: the answer, the end of its time, of its caller's patience or of its daemon.
func TestNoOrderOfEventsMakesARefusalUntrue(t *testing.T) {
	const seeds, requests = 60, 40
	refusedNotRun, refusedUnknown := 0, 0
	for seed := range uint64(seeds) {
		c := config(1)
		for i := range c.Routes {
			c.Routes[i].MaxAttempts, c.Routes[i].Timeout = 1+int(seed%2), 5*orderStep
		}
		withFleet(t, 4, c, func(w *testFleet) {
			p := &orderPlay{random: rand.New(rand.NewPCG(seed, 0)), ran: map[string]bool{}, unproven: map[string]int{}, proved: map[string]time.Time{}}
			runners := []*runner{w.addServingRunner("r1"), w.addServingRunner("r2")}
			time.Sleep(500 * time.Millisecond)
			d := w.daemons[0]
			if seed%4 < 2 {
				w.cutOff(d)
			}
			for _, r := range runners {
				r.setScript(p.answerAsRunner)
			}
			for _, helper := range w.daemons[1:] {
				helper.helper.Store(&scriptedHelper{script: p.answerAsHelper})
			}
			if seed%3 == 0 {
				time.AfterFunc(10*orderStep, d.EndRequests)
			}
			replies := make([]*recordedReply, requests)
			ended := make([]time.Time, requests)
			ids := make([]string, requests)
			var all sync.WaitGroup
			for i := range requests {
				replies[i], ids[i] = &recordedReply{}, fmt.Sprintf("order-%d-%d", seed, i)
				ctx, cancel := context.WithCancel(context.Background())
				if p.draw(4) == 0 {
					time.AfterFunc(time.Duration(p.draw(7))*orderStep, cancel)
				}
				path := []string{"/pledge/1", "/read/1", "/match/1"}[p.draw(3)]
				all.Go(func() {
					defer cancel()
					time.Sleep(time.Duration(i/4) * orderStep)
					d.Serve(ctx, &edge.Request{
						ID: ids[i], Host: host, Path: path, Method: http.MethodPost, Target: path, Header: http.Header{}, Key: key,
						Received: time.Now(), CallerTimeout: 5 * orderStep,
					}, replies[i])
					ended[i] = time.Now()
				})
			}
			all.Wait()
			time.Sleep(30 * orderStep)
			for i, id := range ids {
				r := replies[i].refusal
				switch {
				case r == nil:
				case r.Executed == refusal.ExecutedNo:
					refusedNotRun++
					if p.hasRun(id) {
						t.Errorf("seed %d: %s has run and was refused as not run: %v", seed, id, r)
					}
				default:
					refusedUnknown++
					if p.isProvedBefore(id, ended[i]) {
						t.Errorf("seed %d: %s has not run, which its daemon could know: %v", seed, id, r)
					}
				}
			}
		})
	}
	t.Logf("%d refused as not run, %d as maybe run", refusedNotRun, refusedUnknown)
}
