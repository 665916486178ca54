package dispatch

import (
	"context"
	"errors"
	"time"

	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/protocol/admission"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/prefixhash"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// outputStats holds the mean number of output tokens of a class and the mean
// time between two tokens.
type outputStats struct {
	tokens        float64
	tokenInterval time.Duration
}

// outputStatsWeight is the weight of the latest answer in the moving averages
// of outputStats.
const outputStatsWeight = 0.05

// slackDivisor sets the slack of a request: a long request may lose
// 1/slackDivisor of its target for the time to first token in order to run on a
// runner that is less likely to be reclaimed.
const slackDivisor = 4

// longOutputTokens is the expected number of output tokens from which a request
// counts as long.
const longOutputTokens = 400

// grant is the share of the service's capacity that a request holds, or that it
// waits for in the admission queue.
type grant struct {
	id      admission.ID
	class   string
	request routing.Request
	// accepted is true if the caller was promised an answer, so that the
	// request must not be refused later.
	accepted      bool
	deadline      time.Time
	outcome       chan admission.Effect
	attempts      int
	outputTokens  int
	cachedTokens  int
	tokenInterval time.Duration
	released      bool
}

// newGrant derives the inputs of admission and routing from a request.
func newGrant(r call.ModelRequest, class *manifest.Class) *grant {
	hashes, tokens := prefixhash.Prompt(r.Model, r.Adapter, r.Prompt)
	return &grant{
		class:    class.Name,
		accepted: class.Deferrable || r.Async,
		deadline: r.Deadline,
		outcome:  make(chan admission.Effect, 1),
		request: routing.Request{
			Model:        r.Model,
			Adapter:      r.Adapter,
			Prefix:       hashes,
			PromptTokens: tokens,
			OutputTokens: r.MaxTokens,
			Long:         class.Deferrable,
			Slack:        time.Duration(class.TTFTMillis) * time.Millisecond / slackDivisor,
		},
	}
}

// estimateOutput sets the expected number of output tokens from the statistics
// of the class and returns the expected decode time. The caller holds s.mu.
func (s *service) estimateOutput(g *grant, class *manifest.Class) time.Duration {
	stats, ok := s.outputStatsByClass[class.Name]
	if !ok {
		return time.Duration(g.request.OutputTokens) * time.Duration(class.TBTMillis) * time.Millisecond
	}
	g.request.OutputTokens = min(g.request.OutputTokens, int(stats.tokens)+1)
	g.request.Long = g.request.Long || g.request.OutputTokens >= longOutputTokens
	return time.Duration(g.request.OutputTokens) * stats.tokenInterval
}

func (s *service) recordOutput(class string, tokens int, tokenInterval time.Duration) {
	stats, ok := s.outputStatsByClass[class]
	if !ok {
		s.outputStatsByClass[class] = &outputStats{float64(tokens), tokenInterval}
		return
	}
	stats.tokens += outputStatsWeight * (float64(tokens) - stats.tokens)
	stats.tokenInterval += time.Duration(outputStatsWeight * float64(tokenInterval-stats.tokenInterval))
}

// Acquire implements models.Picker. It returns when the request may be sent to
// a runner. If ctx is done first, the request leaves the queue.
func (d *Dispatcher) Acquire(ctx context.Context, r call.ModelRequest) (release func(), err error) {
	s, class, err := d.resolve(r.Model, r.Class)
	if err != nil {
		return nil, err
	}
	g := newGrant(r, class)
	if err := s.offer(time.Now(), r, g, class); err != nil {
		return nil, err
	}
	d.wakeTick(s)
	select {
	case e := <-g.outcome:
		return s.finishAcquire(r, g, e)
	case <-ctx.Done():
	}
	select {
	case e := <-g.outcome:
		return s.finishAcquire(r, g, e)
	default:
	}
	s.cancelWaiting(time.Now(), g)
	return nil, refusal.New(refusal.Cancelled, "the caller went away while it waited")
}

func (s *service) offer(now time.Time, r call.ModelRequest, g *grant, class *manifest.Class) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := s.estimateOutput(g, class)
	choice, err := s.table.Pick(now, &g.request)
	if err != nil && !g.accepted {
		return s.noRunnerRefusal(err)
	}
	s.lastID++
	g.id = s.lastID
	s.waiting[g.id] = g
	s.deliverOutcomes(s.admission.Offer(now, admission.Item{
		ID:               g.id,
		Workspace:        r.Workspace,
		Class:            r.Class,
		Cost:             s.tokenCost(choice.Uncached, g.request.OutputTokens),
		Bytes:            len(r.Prompt),
		TimeToFirstToken: choice.Estimate,
		ServiceTime:      choice.Estimate + service,
		Deadline:         r.Deadline,
	}, s.effects[:0]))
	return nil
}

func (s *service) tokenCost(uncached, output int) float64 {
	return float64(output) + float64(uncached)*s.table.Capacity().PromptCost
}

func (s *service) noRunnerRefusal(err error) error {
	var none *routing.NoRunnerError
	if errors.As(err, &none) {
		s.cfg.incCounter(s.name, "no_runner."+string(none.Cause))
	}
	return refusal.New(refusal.NoRunner, "service %s: %v", s.name, err).After(defaultRetryAfter)
}

// finishAcquire returns the release function of an admitted request, or the
// refusal.
func (s *service) finishAcquire(r call.ModelRequest, g *grant, e admission.Effect) (func(), error) {
	if e.Kind == admission.Refuse {
		return nil, e.Refusal
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants[r.ID] = g
	s.retry.CountRequest(time.Now())
	return func() { s.release(r, g) }, nil
}

// cancelWaiting removes a request whose caller went away. The request may have
// been admitted in the meantime. In both cases its place is given to the next
// request at once.
func (s *service) cancelWaiting(now time.Time, g *grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, g.id)
	s.deliverOutcomes(s.admission.Cancel(now, g.id, s.effects[:0]))
	s.cfg.incCounter(s.name, "given_up."+g.class)
}

func (s *service) release(r call.ModelRequest, g *grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.released {
		return
	}
	g.released = true
	if s.grants[r.ID] == g {
		delete(s.grants, r.ID)
	}
	now := time.Now()
	if g.tokenInterval > 0 {
		s.admission.BetweenTokens(now, g.id, g.tokenInterval)
	}
	tokenCost := s.tokenCost(max(0, g.request.PromptTokens-g.cachedTokens), g.outputTokens)
	s.deliverOutcomes(s.admission.Finish(now, g.id, tokenCost, s.effects[:0]))
}
