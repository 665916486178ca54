// Package services sends repeatable calls of plain services to their runners.
// It retries a failed call at another runner, within the service's retry
// budget. It refuses calls that the manifest does not mark as repeatable;
// package actions handles those.
package services

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"geraniumstack.org/geraniumstack/coordination/health"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// Sender makes one call at a runner. It must not retry by itself, because such
// retries would bypass the retry budget; Go's HTTP transport, for example,
// retries when a reused connection breaks. Its errors are or wrap
// *refusal.Refusal.
type Sender interface {
	Send(ctx context.Context, address string, c call.ServiceCall) (call.Answer, error)
}

// Dialer checks that a runner accepts a new connection. Probes use it.
type Dialer func(ctx context.Context, address string) error

// Config holds the dependencies and settings of Services.
type Config struct {
	Directory view.Directory
	Config    view.Config
	Sender    Sender
	// Probe opens a new connection to an ejected runner.
	Probe   Dialer
	Metrics metrics.Registry
	Retry   retry.Config
	Health  health.Config
	// AttemptTimeout bounds one attempt, so that a stalled connection does not
	// use up the caller's whole deadline.
	AttemptTimeout time.Duration
	// Tick is the interval at which the health trackers are advanced, and thus
	// the precision of ejection times.
	Tick time.Duration
	Seed uint64
}

// Default values for Config.
const (
	DefaultAttemptTimeout = 5 * time.Second
	DefaultTick           = 100 * time.Millisecond
)

// retryAfter is the delay that refusals ask callers to wait before they retry.
const retryAfter = time.Second

// Services implements call.Services. It is safe for concurrent use.
type Services struct {
	cfg Config

	mu       sync.Mutex
	rng      *rand.Rand
	services map[string]*service

	ctx context.Context
	wg  sync.WaitGroup
}

var _ call.Services = (*Services)(nil)

// service holds the state of one plain service.
type service struct {
	retry    *retry.Policy
	health   *health.Tracker
	ejected  map[ident.RunnerID]bool
	inFlight map[ident.RunnerID]int
}

// New returns a Services without state for any service.
func New(cfg Config) *Services {
	return &Services{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 3)),
		services: map[string]*service{},
	}
}

// Run probes ejected runners until ctx ends.
func (s *Services) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.wg.Wait()
	defer cancel()
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	ticker := time.NewTicker(s.cfg.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.tick(time.Now())
		}
	}
}

func (s *Services) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, state := range s.services {
		s.executeEffects(name, state, state.health.Tick(now, nil))
	}
}

// executeEffects executes the effects that a health tracker returns. The caller
// must hold s.mu.
func (s *Services) executeEffects(name string, state *service, effects []health.Effect) {
	for _, e := range effects {
		switch e.Kind {
		case health.Eject:
			state.ejected[e.Runner] = true
			s.count(name, "ejections")
		case health.Readmit:
			delete(state.ejected, e.Runner)
			s.count(name, "readmissions")
		case health.Probe:
			s.probe(name, state, e.Runner)
		}
	}
}

func (s *Services) probe(name string, state *service, id ident.RunnerID) {
	if s.ctx == nil || s.ctx.Err() != nil {
		return
	}
	address := ""
	for _, r := range s.cfg.Directory.Runners(name) {
		if r.ID == id {
			address = r.Address
		}
	}
	ctx := s.ctx
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, s.cfg.Health.ProbeTimeout)
		defer cancel()
		err := s.cfg.Probe(ctx, address)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.executeEffects(name, state, state.health.HandleProbe(time.Now(), id, err == nil, nil))
	})
}

func (s *Services) count(service, what string) {
	if s.cfg.Metrics != nil {
		metrics.GetOrRegisterCounter("services."+service+"."+what, s.cfg.Metrics).Inc(1)
	}
}

// Call implements call.Services.
func (s *Services) Call(ctx context.Context, c call.ServiceCall) (call.Answer, error) {
	answer, err := s.call(ctx, c)
	if err != nil {
		s.count(c.Service, "refused."+string(refusal.From(err).Reason))
	}
	return answer, err
}

func (s *Services) call(ctx context.Context, c call.ServiceCall) (call.Answer, error) {
	if err := s.checkRepeatable(c); err != nil {
		return call.Answer{}, err
	}
	if !c.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, c.Deadline)
		defer cancel()
	}
	state := s.startCall(c.Service)
	var tried []ident.RunnerID
	ran := false
	for {
		answer, failure := s.attempt(ctx, state, c, &tried)
		if failure == nil {
			return answer, nil
		}
		ran = ran || failure.mayHaveRun
		if ctx.Err() != nil {
			return call.Answer{}, withExecutionUnknown(refusal.New(refusal.DeadlineExceeded, "no answer in time"), ran)
		}
		wait, stop := s.decideRetry(state, c, failure, len(tried))
		if stop != nil {
			return failure.finalAnswer(answer, stop, ran)
		}
		if !pause.For(ctx, wait) {
			return call.Answer{}, withExecutionUnknown(refusal.New(refusal.DeadlineExceeded, "no answer in time"), ran)
		}
	}
}

// checkRepeatable refuses a call unless it is a repeatable call of a plain
// service.
func (s *Services) checkRepeatable(c call.ServiceCall) error {
	m, _ := s.cfg.Config.Current()
	if m == nil {
		return refusal.New(refusal.NotReady, "no configuration in force yet").After(retryAfter)
	}
	known := m.ServiceNamed(c.Service)
	if known == nil || known.Kind != manifest.KindPlain {
		return refusal.New(refusal.UnknownService, "no plain service %q", c.Service)
	}
	path, _, _ := strings.Cut(c.Path, "?")
	route := known.RouteFor(c.Method, path)
	if route == nil {
		return refusal.New(refusal.UnknownRoute, "no route for %s %s", c.Method, path)
	}
	if !route.Repeatable {
		return refusal.New(refusal.KeyRequired, "%s %s may not be repeated", c.Method, path)
	}
	return nil
}

func (s *Services) startCall(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.services[name]
	if state == nil {
		state = &service{health: health.New(s.cfg.Health), ejected: map[ident.RunnerID]bool{}, inFlight: map[ident.RunnerID]int{}}
		cfg := s.cfg.Retry
		cfg.Seed = s.cfg.Seed
		cfg.Count = func(reason retry.Reason, verdict retry.Verdict) {
			s.count(name, "retry."+string(reason)+"."+string(verdict))
		}
		state.retry = retry.New(cfg)
		s.services[name] = state
	}
	state.retry.CountRequest(time.Now())
	return state
}

// failure describes a failed attempt. A 503 answer from the runner counts as a
// failed attempt, too.
type failure struct {
	reason     retry.Reason
	mayHaveRun bool
	retryDelay time.Duration
	refusal    *refusal.Refusal
}

// finalAnswer returns what the caller gets when no further attempt is made: the
// runner's own answer if there is one, otherwise the refusal.
func (f *failure) finalAnswer(answer call.Answer, stop *refusal.Refusal, ran bool) (call.Answer, error) {
	if f.refusal == nil {
		return answer, nil
	}
	return call.Answer{}, withExecutionUnknown(stop, ran)
}

// withExecutionUnknown marks the refusal's execution status as unknown if an
// earlier attempt may have run the call.
func withExecutionUnknown(r *refusal.Refusal, ran bool) *refusal.Refusal {
	if ran {
		return r.Unknown()
	}
	return r
}

// attempt makes one attempt, preferably at a runner that has not been tried,
// and records the runner in tried.
func (s *Services) attempt(ctx context.Context, state *service, c call.ServiceCall, tried *[]ident.RunnerID) (call.Answer, *failure) {
	r, ok := s.pick(state, c.Service, *tried)
	if !ok {
		return call.Answer{}, &failure{
			reason:  retry.ConnectFailed,
			refusal: refusal.New(refusal.NoRunner, "service %q has no live runner", c.Service),
		}
	}
	*tried = append(*tried, r.ID)
	attemptCtx, cancel := context.WithTimeout(ctx, s.cfg.AttemptTimeout)
	defer cancel()
	answer, err := s.cfg.Sender.Send(attemptCtx, r.Address, c)
	f := failureOf(attemptCtx, answer, err)
	// An attempt that ended because the caller left says nothing about the
	// runner's health.
	s.finishAttempt(state, c.Service, r.ID, f, ctx.Err() == nil)
	return answer, f
}

func failureOf(ctx context.Context, answer call.Answer, err error) *failure {
	if err == nil {
		if answer.Status != http.StatusServiceUnavailable {
			return nil
		}
		return &failure{reason: retry.Busy, mayHaveRun: true, retryDelay: retryAfterHeader(answer)}
	}
	r := refusal.From(err)
	f := &failure{reason: retry.Broken, mayHaveRun: r.Executed != refusal.ExecutedNo, retryDelay: r.RetryAfter, refusal: r}
	switch {
	case r.Reason == refusal.RunnerRefused:
		f.reason = retry.Busy
	case !f.mayHaveRun:
		f.reason = retry.ConnectFailed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.reason = retry.Silent
	}
	return f
}

func retryAfterHeader(a call.Answer) time.Duration {
	for _, h := range a.Headers {
		if !strings.EqualFold(h.Name, "Retry-After") {
			continue
		}
		if seconds, err := strconv.Atoi(h.Value); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// pick returns the less loaded of two random runners. It prefers live runners
// that have not been tried, then suspect or ejected ones, then those already
// tried.
func (s *Services) pick(state *service, name string, tried []ident.RunnerID) (view.Runner, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []ident.RunnerID
	var preferred, fallback, alreadyTried []view.Runner
	for _, r := range s.cfg.Directory.Runners(name) {
		if r.State != view.Live && r.State != view.Suspect {
			continue
		}
		ids = append(ids, r.ID)
		switch {
		case slices.Contains(tried, r.ID):
			alreadyTried = append(alreadyTried, r)
		case r.State == view.Suspect || state.ejected[r.ID]:
			fallback = append(fallback, r)
		default:
			preferred = append(preferred, r)
		}
	}
	state.health.SetRunners(ids)
	maps.DeleteFunc(state.ejected, func(id ident.RunnerID, _ bool) bool { return !slices.Contains(ids, id) })
	for _, from := range [][]view.Runner{preferred, fallback, alreadyTried} {
		if len(from) > 0 {
			r := s.lessLoaded(state, from)
			state.inFlight[r.ID]++
			return r, true
		}
	}
	return view.Runner{}, false
}

func (s *Services) lessLoaded(state *service, from []view.Runner) view.Runner {
	a, b := from[s.rng.IntN(len(from))], from[s.rng.IntN(len(from))]
	own := s.cfg.Directory.Self().FailureDomain
	switch {
	case state.inFlight[a.ID] < state.inFlight[b.ID]:
		return a
	case state.inFlight[b.ID] < state.inFlight[a.ID]:
		return b
	case b.FailureDomain == own:
		return b
	}
	return a
}

// finishAttempt records the end of an attempt. If affectsHealth is set, it
// passes the outcome to the runner's health tracker.
func (s *Services) finishAttempt(state *service, name string, id ident.RunnerID, f *failure, affectsHealth bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.inFlight[id]--
	if state.inFlight[id] <= 0 {
		delete(state.inFlight, id)
	}
	if !affectsHealth {
		return
	}
	s.executeEffects(name, state, state.health.HandleOutcome(time.Now(), id, outcomeOf(f), nil))
}

func outcomeOf(f *failure) health.Outcome {
	switch {
	case f == nil || f.reason == retry.Busy:
		return health.Success
	case f.reason == retry.Silent:
		return health.SilentConnection
	}
	return health.Failure
}

// decideRetry returns the delay before the next attempt, or the refusal that
// ends the call.
func (s *Services) decideRetry(state *service, c call.ServiceCall, f *failure, attempts int) (time.Duration, *refusal.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := state.retry.Decide(time.Now(), retry.Failure{
		Reason:     f.reason,
		MayHaveRun: f.mayHaveRun,
		Repeatable: true,
		Attempts:   max(1, attempts),
		RetryAfter: f.retryDelay,
		Deadline:   c.Deadline,
	})
	switch d.Verdict {
	case retry.Again:
		return d.Delay, nil
	case retry.StopBudget:
		return 0, refusal.New(refusal.RetryBudgetExhausted, "%s", f.detail()).After(retryAfter)
	case retry.StopDeadline:
		return 0, refusal.New(refusal.DeadlineExceeded, "%s", f.detail())
	}
	if f.refusal != nil {
		return 0, f.refusal.After(retryAfter)
	}
	return 0, refusal.New(refusal.RunnerFailed, "%s", f.detail()).After(retryAfter)
}

func (f *failure) detail() string {
	if f.refusal == nil {
		return fmt.Sprintf("last attempt: %s", f.reason)
	}
	return fmt.Sprintf("last attempt: %s: %s", f.reason, f.refusal.Detail)
}
