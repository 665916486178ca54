package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"geraniumstack.org/geraniumstack/coordination/accounting"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const (
	// savedCountsKey holds the counts of usage of windows that are not reported yet.
	savedCountsKey = "usage/open"
	// saveInterval is the least time between two writes of them.
	saveInterval = time.Second
)

// savedCounts is what this daemon knows of the saved counts. Only runDuties uses it.
type savedCounts struct {
	// loaded says that they were taken in, as they stood at revision.
	loaded   bool
	revision kv.Revision
	// lastWrite is when they were written here last, data what.
	lastWrite time.Duration
	data      []byte
}

// saveCounts writes down what is counted, if that is due and up to this daemon. Any may write,
// since each takes in what stands there first.
func (e *Edge) saveCounts(ctx context.Context) {
	s := &e.duties.saved
	now := e.deps.Steady()
	if !e.shouldSaveCounts(now) {
		s.loaded = false // another daemon writes
		return
	}
	if !s.loaded && !e.readSavedCounts(ctx) || now-s.lastWrite < saveInterval {
		return
	}
	e.mu.Lock()
	open := e.book.TakeSnapshot(e.wall.At(now))
	e.mu.Unlock()
	data, err := json.Marshal(open)
	if err != nil {
		e.logUsageFailure("encode_saved", err)
		return
	}
	if bytes.Equal(data, s.data) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.lastWrite = now
	revision, err := e.deps.Store.CompareAndSwap(callCtx, savedCountsKey, s.revision, data, 0)
	if err != nil {
		e.handleSaveError(err)
		return
	}
	s.revision, s.data = revision, data
	e.log.Count("usage.saved")
}

// handleSaveError takes in what another daemon has written; after any other failure it is read anew.
func (e *Edge) handleSaveError(err error) {
	s := &e.duties.saved
	s.data = nil
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		e.applySavedCounts(conflict.Current)
		s.lastWrite = 0
		return
	}
	s.loaded = false
	e.logUsageFailure("save", err)
}

// readSavedCounts takes the saved counts in; false if they could not be read.
func (e *Edge) readSavedCounts(ctx context.Context) bool {
	entry, ok := e.readUsageKey(ctx, savedCountsKey, "read_saved")
	if ok {
		e.applySavedCounts(entry)
	}
	return ok
}

// applySavedCounts takes in the saved counts as they stand. What can't be read is written over.
func (e *Edge) applySavedCounts(entry kv.Entry) {
	s := &e.duties.saved
	s.loaded, s.revision, s.data = true, entry.Revision, nil
	if len(entry.Value) == 0 {
		return
	}
	var open accounting.Snapshot
	if err := json.Unmarshal(entry.Value, &open); err != nil {
		e.logUsageFailure("decode_saved", err)
		return
	}
	e.mu.Lock()
	e.book.Load(open)
	e.mu.Unlock()
	e.log.Note("usage_loaded", decisions.F("revision", uint64(entry.Revision)), decisions.F("daemons", len(open.Daemons)))
}

// shouldSaveCounts tells whether it is up to this daemon to save the counts: to the holder of the duties,
// or while that has ended to the first relay in the order of names.
func (e *Edge) shouldSaveCounts(now time.Duration) bool {
	if e.duties.holder.Token() != 0 {
		return true
	}
	if !e.Ready() {
		return false
	}
	dutyHolder := e.dir.holder()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.sharesQuotas(now) || containsMember(e.alive, dutyHolder) {
		return false
	}
	place, _ := placeAmong(e.set.ID, e.plan.OtherRelays)
	return place == 0
}
