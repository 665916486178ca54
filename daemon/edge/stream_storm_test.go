package edge_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/refusal"
)

var (
	stormSeeds     = flag.Int("storm-seeds", 2, "number of seeds of the storm of kills and roll-outs")
	stormDown      = flag.Int("storm-down", 2, "number of daemons that may be down or cut off at the same time")
	firstStormSeed = flag.Uint64("first-storm-seed", 1, "first of these seeds")
)

// streamStorm is a fleet in which daemons are killed and cut off, runners fail, and the operator moves
// the service from one version to the next, while callers read streams.
type streamStorm struct {
	w    *testFleet
	mu   sync.Mutex
	rng  *rand.Rand
	life []daemonLife
	// disturbed is the number of daemons that are down or cut off, at most stormDown.
	disturbed int
	// runners holds the running runners by ID.
	runners map[string]*stormRunner
	started int
	// saysIncarnation makes the runners say which incarnation they are, callersLeave half of the callers leave after some
	// events and take their stream up elsewhere.
	saysIncarnation, callersLeave bool
	outcome                       stormOutcome
}

// daemonLife is one run of a daemon: ctx ends with it, and it is in touch contactTime after calmSince.
type daemonLife struct {
	ctx       context.Context
	end       context.CancelFunc
	calmSince time.Time
}

type stormRunner struct {
	version canary.Version
	// starts counts how often it has started under its ID.
	starts  int
	ctx     context.Context
	fail    context.CancelFunc
	leaving bool
}

// stormOutcome counts the streams that began of all that were asked for, and those that went on of those
// that were taken up at a daemon in touch while two runners of their version served.
type stormOutcome struct {
	asked, begun, mixed, takenUp, wentOn int
	// refused counts the refusals of the streams that were taken up, by reason.
	refused map[refusal.Reason]int
}

func (s *streamStorm) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *streamStorm) startRunner(v canary.Version) {
	s.mu.Lock()
	s.started++
	id := fmt.Sprintf("storm-%d", s.started)
	s.mu.Unlock()
	s.register(id, s.begin(id, 1, v), view.Live)
}

// register writes a runner's entry.
func (s *streamStorm) register(id string, r *stormRunner, state view.State) {
	if s.saysIncarnation {
		s.w.registerIncarnation(id, r.starts, r.version, state)
		return
	}
	s.w.registerVersion(id, r.version, state)
}

// begin lets a runner run, without an entry.
func (s *streamStorm) begin(id string, starts int, v canary.Version) *stormRunner {
	r := &stormRunner{version: v, starts: starts}
	r.ctx, r.fail = context.WithCancel(context.Background())
	if s.saysIncarnation {
		s.w.runners.setIncarnation(id, incarnationOf(id, starts))
	}
	s.mu.Lock()
	s.runners[id] = r
	s.mu.Unlock()
	s.w.runners.add(id).setScript(func(ctx context.Context, a *edge.Attempt) (*edge.Answer, error) {
		time.Sleep(50 * time.Millisecond)
		if r.ctx.Err() != nil {
			return nil, &edge.SendError{Reason: retry.Broken, Sent: true, Err: io.ErrUnexpectedEOF}
		}
		from := 0
		fmt.Sscanf(a.LastEventID, "%d", &from)
		both, cancel := context.WithCancel(ctx)
		context.AfterFunc(r.ctx, cancel)
		return &edge.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Events: true, Body: &versionedEventsBody{ctx: both, version: v, next: from + 1}}, nil
	})
	return r
}

// endRunner ends a runner: it fails, or it leaves and serves on for a while.
func (s *streamStorm) endRunner(id string, leaves bool) {
	s.mu.Lock()
	r := s.runners[id]
	if r == nil || r.leaving {
		s.mu.Unlock()
		return
	}
	r.leaving = true
	s.mu.Unlock()
	if leaves {
		s.register(id, r, view.Leaving)
		time.Sleep(3 * time.Second)
	}
	r.fail()
	s.w.runners.fall(id, true)
	time.Sleep(2 * time.Second)
	s.mu.Lock()
	delete(s.runners, id)
	s.mu.Unlock()
	if entry, err := s.w.store.Get(context.Background(), runnerPrefix+id); err == nil && entry.Revision != 0 {
		_ = s.w.store.Delete(context.Background(), runnerPrefix+id, entry.Revision)
	}
}

// serving lists the runners of a version that take requests; of all versions if it is empty.
func (s *streamStorm) serving(v canary.Version) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for n := range s.started {
		id := fmt.Sprintf("storm-%d", n+1)
		if r := s.runners[id]; r != nil && !r.leaving && (v == "" || r.version == v) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *streamStorm) killDaemon(i int) {
	s.mu.Lock()
	if s.life[i].ctx.Err() != nil || s.disturbed >= *stormDown {
		s.mu.Unlock()
		return
	}
	s.disturbed++
	s.life[i].end()
	s.mu.Unlock()
	s.w.daemons[i].kill()
	time.Sleep(2 * time.Second)
	s.startDaemon(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbed--
}

// startDaemon starts a daemon that was killed.
func (s *streamStorm) startDaemon(i int) {
	d := s.w.startDaemon(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.w.daemons[i] = d
	s.life[i].ctx, s.life[i].end = context.WithCancel(context.Background())
	s.life[i].calmSince = time.Now()
}

func (s *streamStorm) isolateDaemon(i int) {
	s.mu.Lock()
	if s.life[i].ctx.Err() != nil || s.disturbed >= *stormDown {
		s.mu.Unlock()
		return
	}
	s.disturbed++
	s.life[i].calmSince = time.Now().Add(time.Minute)
	s.mu.Unlock()
	address := peerAddress(i)
	s.w.network.isolate(address, true)
	time.Sleep(2 * time.Second)
	s.w.network.isolate(address, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbed--
	s.life[i].calmSince = time.Now()
}

// disturb draws one disturbance and brings it about.
func (s *streamStorm) disturb(next *int) {
	switch n := len(s.life); s.draw(6) {
	case 0:
		for range *stormDown {
			go s.killDaemon(s.draw(n))
		}
	case 1:
		go s.killDaemon(s.draw(n))
	case 2:
		go s.isolateDaemon(s.draw(n))
	case 3:
		if ids := s.serving(""); len(ids) > 4 {
			for range 2 {
				go s.endRunner(ids[s.draw(len(ids))], false)
			}
			v := canary.Version(fmt.Sprintf("v%d", *next-1))
			time.AfterFunc(4*time.Second, func() { s.startRunner(v); s.startRunner(v) })
		}
	default:
		v := canary.Version(fmt.Sprintf("v%d", *next))
		*next++
		for range 5 {
			s.startRunner(v)
			if ids := s.serving(""); len(ids) > 8 {
				go s.endRunner(ids[0], true)
			}
			time.Sleep(400 * time.Millisecond)
		}
	}
}

// read reads a stream to its end, taking it up again at other daemons up to three times.
func (s *streamStorm) read() {
	c := &streamCaller{}
	for range 4 {
		i := s.draw(len(s.life))
		s.mu.Lock()
		d, life := s.w.daemons[i], s.life[i]
		s.mu.Unlock()
		if life.ctx.Err() != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		before := len(c.versions)
		counts := before > 0 && time.Since(life.calmSince) > contactTime && len(s.serving(c.versions[0])) >= 2
		s.readFrom(d, life.ctx, c)
		s.mu.Lock()
		if before == 0 {
			s.outcome.asked++
		}
		if before == 0 && len(c.versions) > 0 {
			s.outcome.begun++
		}
		if counts && life.ctx.Err() == nil {
			s.outcome.takenUp++
			if c.refusal != nil {
				s.outcome.refused[c.refusal.Reason]++
			}
			if len(c.versions) > before || c.finished {
				s.outcome.wentOn++
			}
		}
		s.mu.Unlock()
		if c.finished {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if c.isMixed() {
		s.mu.Lock()
		s.outcome.mixed++
		s.mu.Unlock()
	}
}

// readFrom sends one request for the rest of a stream, which ends with the daemon.
func (s *streamStorm) readFrom(d *daemon, life context.Context, c *streamCaller) {
	a := &mortalReply{life: life, leaveAfter: neverLeave}
	if s.callersLeave && s.draw(2) == 0 {
		a.leaveAfter = 1 + s.draw(5)
	}
	id := fmt.Sprintf("storm-%d", lastRequestID.Add(1))
	req := &edge.Request{ID: id, Host: host, Path: "/draft/1", Method: http.MethodPost, Target: "/draft/1", Header: http.Header{}, Key: key, Received: time.Now()}
	if len(c.versions) > 0 {
		req.LastEventID, req.Resumes = fmt.Sprint(len(c.versions)), c.firstRequest
	}
	d.Serve(life, req, a)
	c.receive(id, &a.recordedReply)
	c.finished = c.finished && life.Err() == nil
}

// mortalReply is a reply that ends with its daemon.
type mortalReply struct {
	recordedReply
	life               context.Context
	events, leaveAfter int
}

func (a *mortalReply) Write(p []byte) error {
	if a.life.Err() != nil {
		return a.life.Err()
	}
	if a.events++; a.events > a.leaveAfter {
		return io.ErrClosedPipe
	}
	return a.recordedReply.Write(p)
}

// Guards against streams of two versions, and against streams that don't go on, in any course of kills,
// cuts, failures and roll-outs.
func TestStreamsThroughKillsAndRollouts(t *testing.T) {
	for seed := range uint64(*stormSeeds) {
		seed += *firstStormSeed
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withFleet(t, 5, config(1), func(w *testFleet) {
				s := newStreamStorm(w, seed)
				o := s.play(s.disturb)
				w.True(o.mixed <= maxMixedStreams)
				w.True(o.takenUp < 12 || 2*o.wentOn*o.asked >= o.takenUp*o.begun)
			})
		})
	}
}

func newStreamStorm(w *testFleet, seed uint64) *streamStorm {
	s := &streamStorm{w: w, rng: rand.New(rand.NewPCG(seed, 46)), runners: map[string]*stormRunner{}, outcome: stormOutcome{refused: map[refusal.Reason]int{}}}
	for range w.daemons {
		ctx, end := context.WithCancel(context.Background())
		s.life = append(s.life, daemonLife{ctx: ctx, end: end, calmSince: time.Now().Add(-contactTime)})
	}
	w.servedBefore = true
	return s
}

// play reads streams all the time while it brings about twenty disturbances. The number of the next version is theirs.
func (s *streamStorm) play(disturb func(next *int)) stormOutcome {
	for range 8 {
		s.startRunner("v0")
	}
	time.Sleep(time.Second)
	var reading sync.WaitGroup
	done := make(chan struct{})
	go func() {
		defer close(done)
		next := 1
		for range 20 {
			disturb(&next)
			time.Sleep(time.Duration(500+s.draw(3000)) * time.Millisecond)
		}
	}()
	for ended := false; !ended; {
		reading.Go(s.read)
		select {
		case <-done:
			ended = true
		case <-time.After(15 * time.Millisecond):
		}
	}
	reading.Wait()
	time.Sleep(10 * time.Second)
	// The lock orders what the disturbances wrote before the test ends its daemons.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.w.t.Logf("%+v", s.outcome)
	return s.outcome
}
