package routing

import (
	"time"

	"geraniumstack.org/geraniumstack/state/prefix"
)

// phase is the progress of a dispatched request; phaseNone means not dispatched or ended.
type phase uint8

const (
	phaseNone phase = iota
	phasePrefill
	phaseDecode
)

// Ticket stands for one dispatched request in the load counts of a table. The zero value stands for
// a request that was not dispatched. FirstToken, Finished and NotStarted have no effect if they are
// called a second time or after the end of the request.
type Ticket struct {
	slot               int
	epoch              uint32
	phase              phase
	uncachedTokens     int
	kvTokens           int
	cachedBlocksBefore int
}

// Dispatch counts the request at the chosen runner and assumes that the runner will
// cache the request's prefix.
func (t *Table) Dispatch(now time.Time, c Choice, r *Request) Ticket {
	s := &t.slots[c.slot]
	if s.epoch != c.epoch {
		return Ticket{}
	}
	k := Ticket{slot: c.slot, epoch: c.epoch, phase: phasePrefill, uncachedTokens: c.Uncached, kvTokens: r.PromptTokens + r.OutputTokens, cachedBlocksBefore: c.CachedBlocks}
	t.recordChange(k.slot, loadChange{now, float64(k.uncachedTokens), float64(k.kvTokens), 1})
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
	t.recordChange(k.slot, loadChange{at: now, prefillTokens: -float64(k.uncachedTokens)})
}

// Finished removes the request from the load counts.
func (t *Table) Finished(now time.Time, k *Ticket) {
	t.FirstToken(now, k)
	s := t.ticketSlot(k)
	if s == nil || k.phase != phaseDecode {
		return
	}
	k.phase = phaseNone
	t.recordChange(k.slot, loadChange{at: now, kvTokens: -float64(k.kvTokens), requests: -1})
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
	t.index.WithdrawAssumed(k.slot, chain, k.cachedBlocksBefore)
	t.Finished(now, k)
}

func (t *Table) ticketSlot(k *Ticket) *slot {
	s := &t.slots[k.slot]
	if !s.used || s.epoch != k.epoch {
		return nil
	}
	return s
}
