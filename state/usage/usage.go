// Package usage counts the accepted requests, complete answers, generated
// tokens and refusals of each workspace at this daemon since its start.
package usage

import (
	"maps"
	"sync"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// Counts holds the usage of one workspace since the start of the daemon.
// Accepted, Answered and Refused count requests.
type Counts struct {
	Accepted        int64
	Answered        int64
	GeneratedTokens int64
	Refused         map[refusal.Reason]int64
}

// Table holds the counts of all workspaces. It is safe for concurrent use. Its
// keys are workspaces of the manifest only, so that callers can't make it
// grow.
type Table struct {
	mu     sync.Mutex
	counts map[ident.Workspace]*Counts
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{counts: map[ident.Workspace]*Counts{}} }

// countsFor returns the counts of a workspace and creates them if necessary.
// The caller must hold t.mu.
func (t *Table) countsFor(ws ident.Workspace) *Counts {
	c, ok := t.counts[ws]
	if !ok {
		c = &Counts{Refused: map[refusal.Reason]int64{}}
		t.counts[ws] = c
	}
	return c
}

// Accepted counts an accepted request.
func (t *Table) Accepted(ws ident.Workspace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countsFor(ws).Accepted++
}

// Answered counts a complete answer and its generated tokens.
func (t *Table) Answered(ws ident.Workspace, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.countsFor(ws)
	c.Answered++
	c.GeneratedTokens += int64(tokens)
}

// Refused counts a refusal.
func (t *Table) Refused(ws ident.Workspace, reason refusal.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countsFor(ws).Refused[reason]++
}

// Snapshot returns a copy of all counts.
func (t *Table) Snapshot() map[ident.Workspace]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[ident.Workspace]Counts, len(t.counts))
	for ws, c := range t.counts {
		copied := *c
		copied.Refused = maps.Clone(c.Refused)
		out[ws] = copied
	}
	return out
}
