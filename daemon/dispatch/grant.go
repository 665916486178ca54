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

// length is the mean number of output tokens of a class and the mean time
// between them.
type length struct {
	tokens  float64
	between time.Duration
}

// lengthGain is the weight of the latest answer.
const lengthGain = 0.05

// slackShare is the part of its class's target that long work may lose at the
// first token to run where a reclaim is less likely.
const slackShare = 4

// longOutput is the expected output from which work counts as long.
const longOutput = 400

// grant is a request's share of the capacity.
type grant struct {
	id      admission.ID
	class   string
	request routing.Request
	// accepted work has been promised an answer whatever it takes.
	accepted bool
	deadline time.Time
	outcome  chan admission.Effect
	attempts int
	tokens   int
	cached   int
	between  time.Duration
	released bool
}

// newGrant works out what the decisions need of a request.
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
			Slack:        time.Duration(class.TTFTMillis) * time.Millisecond / slackShare,
		},
	}
}

// expect sets what is known of the class's answers. It runs with s.mu held.
func (s *service) expect(g *grant, class *manifest.Class) time.Duration {
	l, ok := s.lengths[class.Name]
	if !ok {
		return time.Duration(g.request.OutputTokens) * time.Duration(class.TBTMillis) * time.Millisecond
	}
	g.request.OutputTokens = min(g.request.OutputTokens, int(l.tokens)+1)
	g.request.Long = g.request.Long || g.request.OutputTokens >= longOutput
	return time.Duration(g.request.OutputTokens) * l.between
}

func (s *service) learn(class string, tokens int, between time.Duration) {
	l, ok := s.lengths[class]
	if !ok {
		s.lengths[class] = &length{float64(tokens), between}
		return
	}
	l.tokens += lengthGain * (float64(tokens) - l.tokens)
	l.between += time.Duration(lengthGain * float64(between-l.between))
}

// Acquire implements models.Picker: it returns when the request may go to a
// runner. A caller that goes away gives its place in the queue up.
func (d *Dispatcher) Acquire(ctx context.Context, r call.ModelRequest) (release func(), err error) {
	s, class, err := d.resolve(r.Model, r.Class)
	if err != nil {
		return nil, err
	}
	g := newGrant(r, class)
	if err := s.offer(time.Now(), r, g, class); err != nil {
		return nil, err
	}
	d.noteQueued(s)
	select {
	case e := <-g.outcome:
		return s.granted(r, g, e)
	case <-ctx.Done():
	}
	select {
	case e := <-g.outcome:
		return s.granted(r, g, e)
	default:
	}
	s.giveUp(time.Now(), g)
	return nil, refusal.New(refusal.Cancelled, "the caller went away while it waited")
}

func (s *service) offer(now time.Time, r call.ModelRequest, g *grant, class *manifest.Class) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := s.expect(g, class)
	choice, err := s.table.Pick(now, &g.request)
	if err != nil && !g.accepted {
		return s.noRunner(err)
	}
	s.lastID++
	g.id = s.lastID
	s.waiting[g.id] = g
	s.deliver(s.admission.Offer(now, admission.Item{
		ID:         g.id,
		Workspace:  r.Workspace,
		Class:      r.Class,
		Cost:       s.cost(choice.Uncached, g.request.OutputTokens),
		Bytes:      len(r.Prompt),
		FirstToken: choice.Estimate,
		Service:    choice.Estimate + service,
		Deadline:   r.Deadline,
	}, s.effects[:0]))
	return nil
}

func (s *service) cost(uncached, output int) float64 {
	return float64(output) + float64(uncached)*s.table.Capacity().PromptCost
}

func (s *service) noRunner(err error) error {
	var none *routing.NoRunnerError
	if errors.As(err, &none) {
		s.cfg.count(s.name, "no_runner."+string(none.Cause))
	}
	return refusal.New(refusal.NoRunner, "service %s: %v", s.name, err).After(retryAfterNotReady)
}

// granted returns the release of an admitted request.
func (s *service) granted(r call.ModelRequest, g *grant, e admission.Effect) (func(), error) {
	if e.Kind == admission.Refuse {
		return nil, e.Refusal
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants[r.ID] = g
	s.retry.FirstAttempt(time.Now())
	return func() { s.release(r, g) }, nil
}

// giveUp takes a request out whose caller went away. It may have been admitted
// in the meantime; its place goes to the next one at once either way.
func (s *service) giveUp(now time.Time, g *grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, g.id)
	s.deliver(s.admission.Cancel(now, g.id, s.effects[:0]))
	s.cfg.count(s.name, "given_up."+g.class)
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
	if g.between > 0 {
		s.admission.BetweenTokens(now, g.id, g.between)
	}
	cost := s.cost(max(0, g.request.PromptTokens-g.cached), g.tokens)
	s.deliver(s.admission.Finish(now, g.id, cost, s.effects[:0]))
}
