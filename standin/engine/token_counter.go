package engine

import "sync"

// TokenCounter adds up the tokens that several engines computed for the same
// requests. It is safe for concurrent use.
type TokenCounter struct {
	mu       sync.Mutex
	requests map[string]*progress
	total    TokenTotals
}

// TokenTotals are the sums of a TokenCounter.
type TokenTotals struct {
	// Computed counts all computed tokens, prefilled or decoded.
	Computed int `json:"computed_tokens"`
	// Recomputed counts the computed tokens that an earlier computation for
	// the same request had already covered.
	Recomputed int `json:"recomputed_tokens"`
	// Attempts counts the attempts for which at least one token was computed.
	Attempts int `json:"attempts"`
}

type progress struct {
	furthestToken int
	attempts      map[string]struct{}
}

// NewTokenCounter returns a counter with all sums at zero.
func NewTokenCounter() *TokenCounter { return &TokenCounter{requests: map[string]*progress{}} }

// Add adds the work of one step of one engine.
func (l *TokenCounter) Add(work []Work) {
	if len(work) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range work {
		l.add(w)
	}
}

func (l *TokenCounter) add(w Work) {
	p := l.requests[w.RequestID]
	if p == nil {
		p = &progress{attempts: map[string]struct{}{}}
		l.requests[w.RequestID] = p
	}
	if _, known := p.attempts[w.AttemptID]; !known {
		p.attempts[w.AttemptID] = struct{}{}
		l.total.Attempts++
	}
	l.total.Computed += w.To - w.From
	l.total.Recomputed += max(0, min(w.To, p.furthestToken)-w.From)
	p.furthestToken = max(p.furthestToken, w.To)
}

// TokenTotals returns the sums so far.
func (l *TokenCounter) TokenTotals() TokenTotals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}
