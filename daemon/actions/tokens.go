package actions

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"geraniumstack.org/geraniumstack/coordination/owners"
	"geraniumstack.org/geraniumstack/coordination/view"
	actionv1 "geraniumstack.org/geraniumstack/gen/geranium/action/v1"
	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

const (
	// jitter is the fraction by which pauses vary at random, so that daemons
	// that start at the same time don't fetch tokens at the same time.
	jitter = 0.2
	// maxTokenAgeRefreshes is the age, as a multiple of Times.TokenRefresh, up
	// to which a fetched token is handed out. A VM that resumes after a
	// suspension has a token whose owner may have ended long ago.
	maxTokenAgeRefreshes = 2
	// unresponsiveFor is how long other owners are preferred to an owner that
	// didn't answer.
	unresponsiveFor = 10 * time.Second
)

// OwnerDrainingError means that a daemon is draining and issues no more tokens.
type OwnerDrainingError struct{ Owner ident.Incarnation }

func (e *OwnerDrainingError) Error() string {
	return fmt.Sprintf("%s is draining and issues no tokens", e.Owner)
}

// WrongOwnerError means that a fetched token names another owner than the
// requested one, because a new incarnation has the same address.
type WrongOwnerError struct{ Requested, Returned ident.Incarnation }

func (e *WrongOwnerError) Error() string {
	return fmt.Sprintf("requested a token of %s, got a token of %s", e.Requested, e.Returned)
}

// fetchedToken is a token that was fetched from another daemon.
type fetchedToken struct {
	text  string
	owner ident.Incarnation
	// requestedAt is when the fetch started, by this daemon's clock.
	requestedAt time.Time
	lifetime    time.Duration
}

func (t *fetchedToken) age(now time.Time) time.Duration { return now.Sub(t.requestedAt) }

// tokenState says whether a daemon hands out its own tokens. If not, it holds the
// fetched token that the daemon hands out instead.
type tokenState struct {
	mu sync.Mutex
	// issuing is true while this daemon hands out its own tokens.
	issuing bool
	fetched *fetchedToken
	// refreshAt is when the fetched token is to be replaced.
	refreshAt time.Time
	// unresponsive holds the owners that didn't answer, and until when other
	// owners are preferred to them.
	unresponsive map[ident.Incarnation]time.Time
}

func (t *tokenState) current() (fetched *fetchedToken, issuing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fetched, t.issuing
}

// useOwnToken drops the fetched token and makes this daemon hand out its own.
func (t *tokenState) useOwnToken() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.issuing = true
	t.fetched = nil
	t.refreshAt = time.Time{}
}

func (t *tokenState) storeFetched(f *fetchedToken, refreshAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fetched = f
	t.refreshAt = refreshAt
	delete(t.unresponsive, f.owner)
}

// drop discards the fetched token if it names the daemon that runs owner. The
// next check fetches another token.
func (t *tokenState) drop(owner ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fetched != nil && t.fetched.owner == daemonIncarnation(owner) {
		t.fetched = nil
	}
}

// refreshNow makes the next check replace the fetched token if it names the
// daemon that runs owner. The token is kept until then.
func (t *tokenState) refreshNow(owner ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fetched != nil && t.fetched.owner == daemonIncarnation(owner) {
		t.refreshAt = time.Time{}
	}
}

// needsFetch drops the fetched token if its owner is no longer live, and reports
// whether a token must be fetched.
func (t *tokenState) needsFetch(now time.Time, daemons, issuing []view.Daemon) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.issuing = false
	if t.fetched != nil && !isLive(daemons, t.fetched.owner) {
		t.fetched = nil
	}
	if t.fetched == nil || !owners.Contains(issuing, t.fetched.owner) {
		return true
	}
	return !now.Before(t.refreshAt)
}

func isLive(daemons []view.Daemon, incarnation ident.Incarnation) bool {
	return slices.ContainsFunc(daemons, func(d view.Daemon) bool {
		return d.Incarnation == incarnation && d.State == view.Live
	})
}

func (t *tokenState) markUnresponsive(now time.Time, owner ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unresponsive == nil {
		t.unresponsive = map[ident.Incarnation]time.Time{}
	}
	// Ended owners never answer again, so their expired entries are removed
	// here.
	maps.DeleteFunc(t.unresponsive, func(_ ident.Incarnation, until time.Time) bool { return !now.Before(until) })
	t.unresponsive[owner] = now.Add(unresponsiveFor)
}

// unresponsiveLast moves owners that recently didn't answer to the end of the
// list.
func (t *tokenState) unresponsiveLast(now time.Time, ordered []view.Daemon) []view.Daemon {
	t.mu.Lock()
	defer t.mu.Unlock()
	var answering, unresponsive []view.Daemon
	for _, d := range ordered {
		if now.Before(t.unresponsive[d.Incarnation]) {
			unresponsive = append(unresponsive, d)
			continue
		}
		answering = append(answering, d)
	}
	return append(answering, unresponsive...)
}

// Token returns the token that callers use as the prefix of their keys, and how
// long such keys are valid. It never blocks on the network.
func (s *Service) Token() (string, time.Duration) {
	fetched, issuing := s.tokens.current()
	if fetched != nil {
		age := fetched.age(s.now())
		if age < maxTokenAgeRefreshes*s.cfg.Times.TokenRefresh && age < fetched.lifetime {
			return fetched.text, fetched.lifetime - age
		}
	}
	if !issuing {
		s.counters.inc(ownTokenFallbacks)
	}
	t := s.ownToken()
	return t.String(), t.Lifetime
}

func (s *Service) ownToken() actionkey.Token {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.Token(s.now())
}

// maintainToken checks regularly, until ctx ends, which daemons issue tokens.
// While this daemon issues none, it fetches a token before callers need it.
func (s *Service) maintainToken(ctx context.Context) {
	s.pause(ctx, time.Duration(rand.Int64N(int64(s.cfg.Times.TokenCheckInterval)))) // daemons may start together
	for ctx.Err() == nil {
		s.updateToken(ctx)
		s.pause(ctx, withJitter(s.cfg.Times.TokenCheckInterval))
	}
}

// withJitter returns a random duration with mean d that differs from d by at most
// the fraction jitter.
func withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitter + 2*jitter*rand.Float64()))
}

func (s *Service) updateToken(ctx context.Context) {
	daemons := s.cfg.Directory.Daemons()
	issuing := owners.Select(daemons, s.cfg.MaxTokenOwners)
	issuing = slices.DeleteFunc(issuing, s.isSelfDraining)
	if len(issuing) == 0 || owners.Contains(issuing, s.cfg.Self) {
		s.tokens.useOwnToken()
		return
	}
	now := s.now()
	if !s.tokens.needsFetch(now, daemons, issuing) {
		return
	}
	ordered := owners.Nearest(s.cfg.Directory.Self(), issuing)
	s.fetchFromAny(ctx, s.tokens.unresponsiveLast(now, ordered))
}

// isSelfDraining reports whether d is this daemon and its drain has started.
func (s *Service) isSelfDraining(d view.Daemon) bool {
	return d.Incarnation == s.cfg.Self && s.draining.started()
}

// fetchFromAny requests a token from one owner after the other until one
// succeeds. It drops the current token if its owner doesn't answer: keys of an
// ended owner would be refused, and this daemon hands out its own token until
// another owner answers.
func (s *Service) fetchFromAny(ctx context.Context, ordered []view.Daemon) {
	for _, d := range ordered {
		fetched, err := s.fetchToken(ctx, d)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.counters.inc(tokenFetchFailed)
			s.tokens.drop(d.Incarnation)
			s.tokens.markUnresponsive(s.now(), d.Incarnation)
			continue
		}
		s.counters.inc(tokensFetched)
		s.tokens.storeFetched(fetched, fetched.requestedAt.Add(s.refreshDelay()))
		return
	}
}

// refreshDelay returns a random delay until the fetched token is to be replaced.
// It is short enough that the check after the delay still takes place within
// Times.TokenRefresh.
func (s *Service) refreshDelay() time.Duration {
	longest := s.cfg.Times.TokenRefresh - time.Duration(float64(s.cfg.Times.TokenCheckInterval)*(1+jitter))
	return time.Duration(float64(longest) * (1 - jitter*rand.Float64()))
}

func (s *Service) fetchToken(ctx context.Context, d view.Daemon) (*fetchedToken, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Times.TokenFetch)
	defer cancel()
	requestedAt := s.now()
	resp, err := s.peer(d).Token(ctx, connect.NewRequest(&actionv1.TokenRequest{}))
	if err != nil {
		return nil, fmt.Errorf("fetch token from %s: %w", d.Incarnation, err)
	}
	m := resp.Msg
	if m.GetLeaving() {
		return nil, &OwnerDrainingError{Owner: d.Incarnation}
	}
	token, err := actionkey.ParseToken(m.GetToken())
	if err != nil {
		return nil, fmt.Errorf("parse token from %s: %w", d.Incarnation, err)
	}
	if returned := daemonIncarnation(token.Owner); returned != d.Incarnation {
		return nil, &WrongOwnerError{Requested: d.Incarnation, Returned: returned}
	}
	return &fetchedToken{
		text:        m.GetToken(),
		owner:       d.Incarnation,
		requestedAt: requestedAt,
		lifetime:    time.Duration(m.GetLifetimeMs()) * time.Millisecond,
	}, nil
}

// refreshAfterRefusal requests a new token if an owner's answer shows that the
// fetched token is out of date: the owner's journal has become unavailable, or
// another daemon has sealed its log.
func (s *Service) refreshAfterRefusal(owner ident.Incarnation, r action.Result) {
	if r.Refusal == nil {
		return
	}
	switch r.Refusal.Reason {
	case refusal.JournalUnavailable, refusal.OwnerGone:
		s.tokens.refreshNow(owner)
	}
}
