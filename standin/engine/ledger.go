package engine

import "sync"

// Ledger adds up the work that several engines did for the same requests. It
// is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	requests map[string]*progress
	total    Totals
}

// Totals are a ledger's sums, in tokens.
type Totals struct {
	// Computed counts all tokens that were computed, put in or decoded.
	Computed int `json:"computed_tokens"`
	// Recomputed counts those of them that lie before the furthest token that
	// was reached for the same request before.
	Recomputed int `json:"recomputed_tokens"`
	// Attempts counts attempts on which work was done.
	Attempts int `json:"attempts"`
}

type progress struct {
	reached  int
	attempts map[string]struct{}
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{requests: map[string]*progress{}} }

// Add enters the work of one step of one engine.
func (l *Ledger) Add(work []Work) {
	if len(work) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range work {
		l.add(w)
	}
}

func (l *Ledger) add(w Work) {
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
	l.total.Recomputed += max(0, min(w.To, p.reached)-w.From)
	p.reached = max(p.reached, w.To)
}

// Totals returns the sums so far.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}
