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
	// jitter is the share of a pause that is drawn anew each time, so that
	// daemons started together don't fetch together.
	jitter = 0.2
	// maxTokenAgeRefreshes in times of Refresh. A suspended VM wakes with a token whose
	// owner may be long gone; what is older than this isn't handed out.
	maxTokenAgeRefreshes = 2
	// unresponsiveFor is how long an owner that didn't answer is asked last.
	unresponsiveFor = 10 * time.Second
)

// OwnerDrainingError says that a daemon issues no tokens any more.
type OwnerDrainingError struct{ Owner ident.Incarnation }

func (e *OwnerDrainingError) Error() string {
	return fmt.Sprintf("%s leaves and issues no tokens", e.Owner)
}

// WrongOwnerError says that another owner than the one asked answered: a new
// incarnation at its address.
type WrongOwnerError struct{ Requested, Returned ident.Incarnation }

func (e *WrongOwnerError) Error() string {
	return fmt.Sprintf("asked %s for a token and got one of %s", e.Requested, e.Returned)
}

// fetchedToken is another daemon's token.
type fetchedToken struct {
	text  string
	owner ident.Incarnation
	// requestedAt is when the fetch began, by this daemon's clock.
	requestedAt time.Time
	lifetime    time.Duration
}

func (t *fetchedToken) age(now time.Time) time.Duration { return now.Sub(t.requestedAt) }

// tokenSource holds the token that a daemon hands out when it issues none of
// its own.
type tokenSource struct {
	mu sync.Mutex
	// issuing is whether this daemon hands out its own tokens.
	issuing bool
	fetched *fetchedToken
	// refreshAt is when the next fetch begins.
	refreshAt    time.Time
	unresponsive map[ident.Incarnation]time.Time
}

func (t *tokenSource) current() (fetched *fetchedToken, issuing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fetched, t.issuing
}

// useOwnToken drops the fetched token.
func (t *tokenSource) useOwnToken() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.issuing = true
	t.fetched = nil
	t.refreshAt = time.Time{}
}

func (t *tokenSource) storeFetched(f *fetchedToken, due time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fetched = f
	t.refreshAt = due
	delete(t.unresponsive, f.owner)
}

// drop forgets the token if it is of this daemon's owner; the next look
// fetches another.
func (t *tokenSource) drop(owner ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fetched != nil && t.fetched.owner == daemonIncarnation(owner) {
		t.fetched = nil
	}
}

// refreshNow makes the next look fetch anew; the token at hand stays until then.
func (t *tokenSource) refreshNow(owner ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fetched != nil && t.fetched.owner == daemonIncarnation(owner) {
		t.refreshAt = time.Time{}
	}
}

// needsFetch drops a token whose owner isn't live any more, and tells whether
// another is to be fetched.
func (t *tokenSource) needsFetch(now time.Time, daemons, issuing []view.Daemon) bool {
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

func (t *tokenSource) markUnresponsive(now time.Time, owner ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unresponsive == nil {
		t.unresponsive = map[ident.Incarnation]time.Time{}
	}
	// Ended owners never answer again and would stay.
	maps.DeleteFunc(t.unresponsive, func(_ ident.Incarnation, until time.Time) bool { return !now.Before(until) })
	t.unresponsive[owner] = now.Add(unresponsiveFor)
}

// unresponsiveLast moves the owners that didn't answer lately to the end.
func (t *tokenSource) unresponsiveLast(now time.Time, ordered []view.Daemon) []view.Daemon {
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

// Token returns the token that callers put before their suffixes, and how long
// its keys may be used. It never waits.
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

// maintainToken looks at who issues tokens, and fetches one ahead of the callers
// while this daemon doesn't, until ctx ends.
func (s *Service) maintainToken(ctx context.Context) {
	s.pause(ctx, time.Duration(rand.Int64N(int64(s.cfg.Times.TokenCheckInterval)))) // daemons may start together
	for ctx.Err() == nil {
		s.updateToken(ctx)
		s.pause(ctx, withJitter(s.cfg.Times.TokenCheckInterval))
	}
}

// withJitter draws a time within jitter of d, and d at the mean.
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

// isSelfDraining tells of this daemon itself that it has begun to drain.
func (s *Service) isSelfDraining(d view.Daemon) bool {
	return d.Incarnation == s.cfg.Self && s.draining.started()
}

// fetchFromAny asks one owner after the other. The token at hand goes when its
// owner doesn't answer: keys of an owner that has ended would be refused, and
// a token of this daemon's own bridges the time until another answers.
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

// refreshDelay draws a pause that ends, with the look that notices, within
// Refresh.
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
		return nil, fmt.Errorf("token from %s: %w", d.Incarnation, err)
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

// refreshAfterRefusal learns from an owner's answer that the token at hand is out of
// date: its journal has become unavailable, or it was sealed.
func (s *Service) refreshAfterRefusal(owner ident.Incarnation, r action.Result) {
	if r.Refusal == nil {
		return
	}
	switch r.Refusal.Reason {
	case refusal.JournalUnavailable, refusal.OwnerGone:
		s.tokens.refreshNow(owner)
	}
}
