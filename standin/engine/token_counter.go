package engine

import "sync"

// TokenCounter adds up the work that several engines did for the same requests. It
// is safe for concurrent use.
type TokenCounter struct {
	mu       sync.Mutex
	requests map[string]*progress
	total    TokenTotals
}

// TokenTotals are a ledger's sums, in tokens.
type TokenTotals struct {
	// Computed counts all tokens that were computed, put in or decoded.
	Computed int `json:"computed_tokens"`
	// Recomputed counts those of them that lie before the furthest token that
	// was reached for the same request before.
	Recomputed int `json:"recomputed_tokens"`
	// Attempts counts attempts on which work was done.
	Attempts int `json:"attempts"`
}

type progress struct {
	furthestToken int
	attempts      map[string]struct{}
}

// NewTokenCounter returns an empty ledger.
func NewTokenCounter() *TokenCounter { return &TokenCounter{requests: map[string]*progress{}} }

// Add enters the work of one step of one engine.
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
