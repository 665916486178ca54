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
	// maxTokenAge in times of Refresh. A suspended VM wakes with a token whose
	// owner may be long gone; what is older than this isn't handed out.
	maxTokenAge = 2
	// silentFor is how long an owner that didn't answer is asked last.
	silentFor = 10 * time.Second
)

// OwnerLeavingError says that a daemon issues no tokens any more.
type OwnerLeavingError struct{ Owner ident.Incarnation }

func (e *OwnerLeavingError) Error() string {
	return fmt.Sprintf("%s leaves and issues no tokens", e.Owner)
}

// ForeignTokenError says that another owner than the one asked answered: a new
// incarnation at its address.
type ForeignTokenError struct{ Asked, Named ident.Incarnation }

func (e *ForeignTokenError) Error() string {
	return fmt.Sprintf("asked %s for a token and got one of %s", e.Asked, e.Named)
}

// fetchedToken is another daemon's token.
type fetchedToken struct {
	text  string
	owner ident.Incarnation
	// asked is when the fetch began, by this daemon's clock.
	asked    time.Time
	lifetime time.Duration
}

func (t *fetchedToken) age(now time.Time) time.Duration { return now.Sub(t.asked) }

// tokenSource holds the token that a daemon hands out when it issues none of
// its own.
type tokenSource struct {
	mu sync.Mutex
	// issuing is whether this daemon hands out its own tokens.
	issuing bool
	held    *fetchedToken
	// due is when the next fetch begins.
	due    time.Time
	silent map[ident.Incarnation]time.Time
}

func (t *tokenSource) current() (held *fetchedToken, issuing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held, t.issuing
}

// issueOwn drops the fetched token.
func (t *tokenSource) issueOwn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.issuing = true
	t.held = nil
	t.due = time.Time{}
}

func (t *tokenSource) hold(f *fetchedToken, due time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = f
	t.due = due
	delete(t.silent, f.owner)
}

// drop forgets the token if it is of this daemon's owner; the next look
// fetches another.
func (t *tokenSource) drop(owner ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held != nil && t.held.owner == daemonIncarnation(owner) {
		t.held = nil
	}
}

// hurry makes the next look fetch anew; the token at hand stays until then.
func (t *tokenSource) hurry(owner ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held != nil && t.held.owner == daemonIncarnation(owner) {
		t.due = time.Time{}
	}
}

// fetchDue drops a token whose owner isn't live any more, and tells whether
// another is to be fetched.
func (t *tokenSource) fetchDue(now time.Time, daemons, issuing []view.Daemon) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.issuing = false
	if t.held != nil && !liveIn(daemons, t.held.owner) {
		t.held = nil
	}
	if t.held == nil || !owners.Contains(issuing, t.held.owner) {
		return true
	}
	return !now.Before(t.due)
}

func liveIn(daemons []view.Daemon, incarnation ident.Incarnation) bool {
	return slices.ContainsFunc(daemons, func(d view.Daemon) bool {
		return d.Incarnation == incarnation && d.State == view.Live
	})
}

func (t *tokenSource) noteSilent(now time.Time, owner ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.silent == nil {
		t.silent = map[ident.Incarnation]time.Time{}
	}
	// Ended owners never answer again and would stay.
	maps.DeleteFunc(t.silent, func(_ ident.Incarnation, until time.Time) bool { return !now.Before(until) })
	t.silent[owner] = now.Add(silentFor)
}

// lastSilent moves the owners that didn't answer lately to the end.
func (t *tokenSource) lastSilent(now time.Time, ordered []view.Daemon) []view.Daemon {
	t.mu.Lock()
	defer t.mu.Unlock()
	var answering, silent []view.Daemon
	for _, d := range ordered {
		if now.Before(t.silent[d.Incarnation]) {
			silent = append(silent, d)
			continue
		}
		answering = append(answering, d)
	}
	return append(answering, silent...)
}

// Token returns the token that callers put before their suffixes, and how long
// its keys may be used. It never waits.
func (s *Service) Token() (string, time.Duration) {
	held, issuing := s.tokens.current()
	if held != nil {
		age := held.age(s.now())
		if age < maxTokenAge*s.cfg.Times.Refresh && age < held.lifetime {
			return held.text, held.lifetime - age
		}
	}
	if !issuing {
		s.counters.inc(tokensOwnInstead)
	}
	t := s.ownToken()
	return t.String(), t.Lifetime
}

func (s *Service) ownToken() actionkey.Token {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.Token(s.now())
}

// keepToken looks at who issues tokens, and fetches one ahead of the callers
// while this daemon doesn't, until ctx ends.
func (s *Service) keepToken(ctx context.Context) {
	s.pause(ctx, time.Duration(rand.Int64N(int64(s.cfg.Times.Look)))) // daemons may start together
	for ctx.Err() == nil {
		s.lookForToken(ctx)
		s.pause(ctx, withJitter(s.cfg.Times.Look))
	}
}

// withJitter draws a time within jitter of d, and d at the mean.
func withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitter + 2*jitter*rand.Float64()))
}

func (s *Service) lookForToken(ctx context.Context) {
	daemons := s.cfg.Directory.Daemons()
	issuing := owners.Select(daemons, s.cfg.MaxTokenOwners)
	issuing = slices.DeleteFunc(issuing, s.drains)
	if len(issuing) == 0 || owners.Contains(issuing, s.cfg.Self) {
		s.tokens.issueOwn()
		return
	}
	now := s.now()
	if !s.tokens.fetchDue(now, daemons, issuing) {
		return
	}
	ordered := owners.Nearest(s.cfg.Directory.Self(), issuing)
	s.fetchFromAny(ctx, s.tokens.lastSilent(now, ordered))
}

// drains tells of this daemon itself that it has begun to drain.
func (s *Service) drains(d view.Daemon) bool {
	return d.Incarnation == s.cfg.Self && s.draining.begun()
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
			s.tokens.noteSilent(s.now(), d.Incarnation)
			continue
		}
		s.counters.inc(tokensFetched)
		s.tokens.hold(fetched, fetched.asked.Add(s.nextRefresh()))
		return
	}
}

// nextRefresh draws a pause that ends, with the look that notices, within
// Refresh.
func (s *Service) nextRefresh() time.Duration {
	longest := s.cfg.Times.Refresh - time.Duration(float64(s.cfg.Times.Look)*(1+jitter))
	return time.Duration(float64(longest) * (1 - jitter*rand.Float64()))
}

func (s *Service) fetchToken(ctx context.Context, d view.Daemon) (*fetchedToken, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Times.Fetch)
	defer cancel()
	asked := s.now()
	resp, err := s.peer(d).Token(ctx, connect.NewRequest(&actionv1.TokenRequest{}))
	if err != nil {
		return nil, fmt.Errorf("fetch token from %s: %w", d.Incarnation, err)
	}
	m := resp.Msg
	if m.GetLeaving() {
		return nil, &OwnerLeavingError{Owner: d.Incarnation}
	}
	token, err := actionkey.ParseToken(m.GetToken())
	if err != nil {
		return nil, fmt.Errorf("token from %s: %w", d.Incarnation, err)
	}
	if named := daemonIncarnation(token.Owner); named != d.Incarnation {
		return nil, &ForeignTokenError{Asked: d.Incarnation, Named: named}
	}
	return &fetchedToken{
		text:     m.GetToken(),
		owner:    d.Incarnation,
		asked:    asked,
		lifetime: time.Duration(m.GetLifetimeMs()) * time.Millisecond,
	}, nil
}

// noteRefusal learns from an owner's answer that the token at hand is out of
// date: its journal has become unavailable, or it was sealed.
func (s *Service) noteRefusal(owner ident.Incarnation, r action.Result) {
	if r.Refusal == nil {
		return
	}
	switch r.Refusal.Reason {
	case refusal.JournalUnavailable, refusal.OwnerGone:
		s.tokens.hurry(owner)
	}
}
