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
	// savedKey holds the counts of usage of windows that are not reported yet.
	savedKey = "usage/open"
	// saveEvery is the least time between two writes of them.
	saveEvery = time.Second
)

// savedCounts is what this daemon knows of the saved counts. Only runDuties uses it.
type savedCounts struct {
	// read says that they were taken in, as they stood at revision.
	read     bool
	revision kv.Revision
	// wrote is when they were written here last, data what.
	wrote time.Duration
	data  []byte
}

// saveCounts writes down what is counted, if that is due and up to this daemon. Any may write,
// since each takes in what stands there first.
func (e *Edge) saveCounts(ctx context.Context) {
	s := &e.duties.saved
	now := e.deps.Steady()
	if !e.saves(now) {
		s.read = false // another daemon writes
		return
	}
	if !s.read && !e.readSaved(ctx) || now-s.wrote < saveEvery {
		return
	}
	e.mu.Lock()
	open := e.usageBook.Save(e.wallClock.At(now))
	e.mu.Unlock()
	data, err := json.Marshal(open)
	if err != nil {
		e.usageFailed("encode_saved", err)
		return
	}
	if bytes.Equal(data, s.data) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.wrote = now
	revision, err := e.deps.Store.CompareAndSwap(callCtx, savedKey, s.revision, data, 0)
	if err != nil {
		e.notSaved(err)
		return
	}
	s.revision, s.data = revision, data
	e.log.Count("usage.saved")
}

// notSaved takes in what another daemon has written; after any other failure it is read anew.
func (e *Edge) notSaved(err error) {
	s := &e.duties.saved
	s.data = nil
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		e.takeSaved(conflict.Current)
		s.wrote = 0
		return
	}
	s.read = false
	e.usageFailed("save", err)
}

// readSaved takes the saved counts in; false if they could not be read.
func (e *Edge) readSaved(ctx context.Context) bool {
	entry, ok := e.readUsage(ctx, savedKey, "read_saved")
	if ok {
		e.takeSaved(entry)
	}
	return ok
}

// takeSaved takes in the saved counts as they stand. What can't be read is written over.
func (e *Edge) takeSaved(entry kv.Entry) {
	s := &e.duties.saved
	s.read, s.revision, s.data = true, entry.Revision, nil
	if len(entry.Value) == 0 {
		return
	}
	var open accounting.Saved
	if err := json.Unmarshal(entry.Value, &open); err != nil {
		e.usageFailed("decode_saved", err)
		return
	}
	e.mu.Lock()
	e.usageBook.Load(open)
	e.mu.Unlock()
	e.log.Note("usage_loaded", decisions.F("revision", uint64(entry.Revision)), decisions.F("daemons", len(open.Daemons)))
}

// saves tells whether it is up to this daemon to save the counts: to the holder of the duties,
// or while that has ended to the first relay in the order of names.
func (e *Edge) saves(now time.Duration) bool {
	if e.duties.holder.Token() != 0 {
		return true
	}
	if !e.Ready() {
		return false
	}
	holding := e.dir.holder()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.shares(now) || contain(e.alive, holding) {
		return false
	}
	place, _ := placeAmong(e.settings.ID, e.relayPlan.Others)
	return place == 0
}
