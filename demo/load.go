package demo

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/caller"
	"geraniumstack.org/geraniumstack/standin/engine"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/gateway"
)

// The load that callers send.
const (
	chatEvery      = 60 * time.Millisecond
	longEvery      = 300 * time.Millisecond
	actionEvery    = 50 * time.Millisecond
	readEvery      = 100 * time.Millisecond
	chatTokens     = 40
	longTokens     = 500
	caseWords      = 600
	cases          = 12
	duplicateOneIn = 3 // one in this many actions is sent twice at once
	requestTimeout = 40 * time.Second
)

// loadGenerator sends requests until sending ends and then waits for those in
// progress.
type loadGenerator struct {
	fleet   *Fleet
	tally   *tally
	clients []*caller.Client
	rng     *rand.Rand
	wg      sync.WaitGroup
	count   int
}

func newLoad(f *Fleet, t *tally, c caller.Config, seed uint64) *loadGenerator {
	l := &loadGenerator{fleet: f, tally: t, rng: rand.New(rand.NewPCG(seed, 7))}
	for i, ws := range f.Manifest.Workspaces {
		c.Key = f.key(ws.Name)
		c.FailureDomain = f.gatewayDomain(i)
		l.clients = append(l.clients, caller.New(c))
	}
	return l
}

func (l *loadGenerator) generate(sending, working context.Context) {
	chat := time.NewTicker(chatEvery)
	long := time.NewTicker(longEvery)
	action := time.NewTicker(actionEvery)
	read := time.NewTicker(readEvery)
	for _, t := range []*time.Ticker{chat, long, action, read} {
		defer t.Stop()
	}
	for {
		c := l.clients[l.rng.IntN(len(l.clients))]
		l.count++
		count := l.count
		select {
		case <-sending.Done():
			l.wg.Wait()
			return
		case <-chat.C:
			l.wg.Go(func() {
				l.model(working, c, l.fleet.interactive, fmt.Sprintf("where is my case %d", count), chatTokens)
			})
		case <-long.C:
			prompt := casePrompt(l.rng.IntN(cases)) + fmt.Sprintf(" draft %d", count)
			l.wg.Go(func() { l.model(working, c, l.fleet.long, prompt, longTokens) })
		case <-action.C:
			l.sendAction(working, c, count)
		case <-read.C:
			l.wg.Go(func() { l.sendRead(working, c) })
		}
	}
}

// casePrompt returns a long prompt that several requests share as their prefix.
func casePrompt(n int) string {
	text := fmt.Sprintf("case file %d:", n)
	for i := range caseWords {
		text += fmt.Sprintf(" c%dw%d", n, i)
	}
	return text
}

func (l *loadGenerator) model(ctx context.Context, c *caller.Client, class, prompt string, tokens int) {
	l.tally.update(func(s *Summary) { s.Sent++ })
	result, err := c.Stream(ctx, gateway.CompletionRequest{
		Model: l.fleet.model, Messages: []gateway.Message{{Role: "user", Content: prompt}},
		MaxTokens: tokens, ServiceTier: class,
	})
	accepted := result.RequestID != ""
	l.tally.update(func(s *Summary) {
		s.Resumed += result.Resumed
		if accepted {
			s.Accepted++
		}
	})
	if err != nil {
		l.countFailure(accepted, &unfinishedError{tokens: len(result.Tokens), of: tokens, resumed: result.Resumed, err: err})
		return
	}
	if !slices.Equal(result.Tokens, engine.Tokens(l.fleet.model, "user: "+prompt, tokens)) {
		l.tally.update(func(s *Summary) { s.AnswersMixed++ })
		return
	}
	l.tally.update(func(s *Summary) { s.AnsweredWhole++ })
	l.tally.recordLatency(result.FirstToken, result.LongestGap)
}

// unfinishedError reports how many tokens a completion had received when it failed.
type unfinishedError struct {
	tokens, of, resumed int
	err                 error
}

func (e *unfinishedError) Error() string {
	return fmt.Sprintf("after %d of %d tokens over %d connections: %v", e.tokens, e.of, 1+e.resumed, e.err)
}

// Unwrap returns the error that ended the request.
func (e *unfinishedError) Unwrap() error { return e.err }

// countFailure counts a typed refusal by its code, and any other error as an error. An
// error other than a refusal after acceptance also counts as a lost request.
func (l *loadGenerator) countFailure(accepted bool, err error) {
	var refused *caller.RefusedError
	l.tally.update(func(s *Summary) {
		switch {
		case errors.As(err, &refused):
			s.Refused[refused.Code]++
		case accepted:
			s.LostAccepted++
			s.Errors[err.Error()]++
		default:
			s.Errors[err.Error()]++
		}
	})
}

func (l *loadGenerator) sendAction(ctx context.Context, c *caller.Client, n int) {
	copies := 1
	if l.rng.IntN(duplicateOneIn) == 0 {
		copies = 2
	}
	l.wg.Go(func() {
		l.tally.update(func(s *Summary) { s.Sent++; s.Actions++; s.Accepted++ })
		until := time.Now().Add(requestTimeout)
		for l.tryAction(ctx, c, n, copies) && time.Now().Before(until) {
			l.tally.update(func(s *Summary) { s.Retaken++ })
		}
	})
}

// tryAction sends one action, with the same key in every copy, and reports whether the
// action should be retried under a new key.
func (l *loadGenerator) tryAction(ctx context.Context, c *caller.Client, n, copies int) bool {
	key, err := c.NewKey(ctx)
	if err != nil {
		l.countFailure(true, err)
		return false
	}
	var wg sync.WaitGroup
	answers := make([]caller.Answer, copies)
	errs := make([]error, copies)
	for i := range copies {
		wg.Go(func() {
			answers[i], errs[i] = c.Do(ctx, caller.Call{
				Service: l.fleet.plainService, Method: http.MethodPost, Path: l.fleet.actionPath,
				Body: fmt.Appendf(nil, `{"amount":%d}`, n), Key: key,
			})
		})
	}
	wg.Wait()
	return l.recordAction(key, answers, errs)
}

func (l *loadGenerator) recordAction(key string, answers []caller.Answer, errs []error) (retry bool) {
	if len(answers) == 2 && errs[0] == nil && errs[1] == nil && string(answers[0].Body) != string(answers[1].Body) {
		l.tally.update(func(s *Summary) { s.AnswersMixed++ })
	}
	if errs[0] == nil {
		l.tally.update(func(s *Summary) { s.AnsweredWhole++ })
		return false
	}
	var refused *caller.RefusedError
	if errors.As(errs[0], &refused) && refused.Executed == refusal.ExecutedNo {
		l.tally.addNotExecuted(key)
	}
	if caller.MayRetryWithNewKey(errs[0]) {
		sleepMillis(refused.RetryAfterMillis)
		return true
	}
	l.countFailure(true, errs[0])
	if refused != nil && refused.Executed != refusal.ExecutedNo {
		l.tally.update(func(s *Summary) { s.UnknownOutcomes++ })
	}
	return false
}

func sleepMillis(millis int64) { time.Sleep(time.Duration(millis) * time.Millisecond) }

func (l *loadGenerator) sendRead(ctx context.Context, c *caller.Client) {
	l.tally.update(func(s *Summary) { s.Sent++; s.Accepted++ })
	_, err := c.Do(ctx, caller.Call{Service: l.fleet.plainService, Method: http.MethodGet, Path: l.fleet.readPath})
	if err != nil {
		l.countFailure(true, err)
		return
	}
	l.tally.update(func(s *Summary) { s.AnsweredWhole++ })
}
