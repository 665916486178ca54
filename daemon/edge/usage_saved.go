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
	// savedCountsKey is the key of the usage counts of windows that are not reported yet.
	savedCountsKey = "usage/open"
	// saveInterval is the least time between two writes of savedCountsKey.
	saveInterval = time.Second
)

// savedCounts is what this daemon knows of the saved counts. Only runDuties uses it.
type savedCounts struct {
	// loaded says that the saved counts were merged into the usage ledger, as of revision.
	loaded   bool
	revision kv.Revision
	// lastWrite is the time of this daemon's last write, data the value written.
	lastWrite time.Duration
	data      []byte
}

// saveCounts writes the counts of all open windows to the key-value service, if that is due and
// this daemon's task. More than one daemon may write, since each merges the saved counts before
// it replaces them.
func (e *Edge) saveCounts(ctx context.Context) {
	s := &e.duties.saved
	now := e.deps.Steady()
	if !e.shouldSaveCounts(now) {
		s.loaded = false // another daemon writes the key from now on
		return
	}
	if !s.loaded && !e.readSavedCounts(ctx) || now-s.lastWrite < saveInterval {
		return
	}
	e.mu.Lock()
	open := e.usageLedger.TakeSnapshot(e.wallClock.At(now))
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

// handleSaveError merges the counts that another daemon has written. After any other failure
// they are read again.
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

// readSavedCounts reads the saved counts and merges them; false if they could not be read.
func (e *Edge) readSavedCounts(ctx context.Context) bool {
	entry, ok := e.readUsageKey(ctx, savedCountsKey, "read_saved")
	if ok {
		e.applySavedCounts(entry)
	}
	return ok
}

// applySavedCounts merges the saved counts into the usage ledger. A value that can't be decoded
// is ignored and overwritten by the next write.
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
	e.usageLedger.Load(open)
	e.mu.Unlock()
	e.log.Note("usage_loaded", decisions.F("revision", uint64(entry.Revision)), decisions.F("daemons", len(open.Daemons)))
}

// shouldSaveCounts reports whether this daemon saves the counts. The holder of the duties does;
// while there is none alive, the first relay in the order of daemon IDs does.
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
	if !e.isConfirmedRelay(now) || containsMember(e.alive, dutyHolder) {
		return false
	}
	place, _ := placeAmong(e.settings.ID, e.relayPlan.OtherRelays)
	return place == 0
}
