package routing

import (
	"time"

	"geraniumstack.org/geraniumstack/state/prefix"
)

// phase is the progress of a dispatched request.
type phase uint8

const (
	phaseNone phase = iota
	phasePrefill
	phaseDecode
)

// Ticket identifies one dispatched request in the load counts of a table. The zero value
// stands for a request that was not dispatched. Calls in the wrong order have no effect.
type Ticket struct {
	slot       int
	epoch      uint32
	phase      phase
	uncached   int
	kv         int
	heldBlocks int
}

// Dispatch counts the request at the chosen runner and assumes that the runner will
// cache the request's prefix.
func (t *Table) Dispatch(now time.Time, c Choice, r *Request) Ticket {
	s := &t.slots[c.slot]
	if s.epoch != c.epoch {
		return Ticket{}
	}
	k := Ticket{slot: c.slot, epoch: c.epoch, phase: phasePrefill, uncached: c.Uncached, kv: r.PromptTokens + r.OutputTokens, heldBlocks: c.CachedBlocks}
	t.recordChange(k.slot, loadChange{now, float64(k.uncached), float64(k.kv), 1})
	t.index.Assume(c.slot, r.Prefix)
	return k
}

// FirstToken records that the prefill of the request is done.
func (t *Table) FirstToken(now time.Time, k *Ticket) {
	s := t.ticketSlot(k)
	if s == nil || k.phase != phasePrefill {
		return
	}
	k.phase = phaseDecode
	t.recordChange(k.slot, loadChange{at: now, prefill: -float64(k.uncached)})
}

// Finished removes the request from the load counts.
func (t *Table) Finished(now time.Time, k *Ticket) {
	t.FirstToken(now, k)
	s := t.ticketSlot(k)
	if s == nil || k.phase != phaseDecode {
		return
	}
	k.phase = phaseNone
	t.recordChange(k.slot, loadChange{at: now, kv: -float64(k.kv), requests: -1})
}

// RecordOutputLength adds the length of a complete answer to the mean output length.
func (t *Table) RecordOutputLength(tokens int) {
	t.meanOutput = max(1, t.meanOutput+meanOutputWeight*(float64(tokens)-t.meanOutput))
}

// NotStarted removes a request that the runner did not start from the load counts and
// withdraws the assumption that the runner has its prefix cached.
func (t *Table) NotStarted(now time.Time, k *Ticket, chain []prefix.Hash) {
	if t.ticketSlot(k) == nil || k.phase == phaseNone {
		return
	}
	t.index.WithdrawAssumed(k.slot, chain, k.heldBlocks)
	t.Finished(now, k)
}

func (t *Table) ticketSlot(k *Ticket) *slot {
	s := &t.slots[k.slot]
	if !s.used || s.epoch != k.epoch {
		return nil
	}
	return s
}
