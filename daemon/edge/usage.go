package edge

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"geraniumstack.org/geraniumstack/coordination/accounting"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// intentKey holds the report that was made last, or is about to be made.
const intentKey = "usage/last"

// countsCompleteAfter is how long after it became one a relay has heard the others' counts:
// each tells all of its followers' within a second or two.
const countsCompleteAfter = 3 * time.Second

// reportMargin and a lease's life is how long before it is due a window is reported whatever
// is known: should this holder end, another one must still have the time.
const reportMargin = time.Second

// reportIntent is a report that may have been taken. Its counts must not change.
type reportIntent struct {
	Window accounting.Window `json:"window"`
	Counts accounting.Counts `json:"counts"`
}

// usageReportState is what the holder knows of reports in its tenure.
type usageReportState struct {
	loaded bool
	// revision of the intent's key, zero if there is none.
	revision kv.Revision
	// pending is an intent that is not known to have been taken; nil is none.
	pending *reportIntent
	// lastWindow is the newest window of an intent.
	lastWindow accounting.Window
}

// reportUsage makes the reports that are due. Each is written down first, so that
// a successor repeats it word for word: a second report with other counts would
// contradict one that was taken and not answered.
func (e *Edge) reportUsage(ctx context.Context) {
	u := &e.duties.usage
	if !e.duties.saved.loaded {
		return
	}
	if !u.loaded && !e.readIntent(ctx) {
		return
	}
	if u.pending != nil && !e.sendIntent(ctx) {
		return
	}
	e.mu.Lock()
	due := e.book.WindowsDue(e.wall.At(e.deps.Steady()))
	e.mu.Unlock()
	for _, w := range due {
		if w <= u.lastWindow {
			continue
		}
		if e.shouldDelayReport(w) {
			return
		}
		if !e.writeIntent(ctx, w) || !e.sendIntent(ctx) {
			return
		}
	}
}

// hasAllCounts tells whether this daemon is a relay, and has been for long enough to have
// been told what the followers of others counted before.
func (e *Edge) hasAllCounts() bool {
	now := e.deps.Steady()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.plan.Direct || e.sharesQuotas(now) && now-e.standing.RelaySince() >= countsCompleteAfter
}

// shouldDelayReport tells whether a window's report should wait: until this daemon has heard what
// relays tell each other, and for the counts of a daemon that is cut off for a moment or whose
// relay has just ended, which come with the next one that it follows. A window that is due
// soon is reported as it is known: a report that lacks some counts tells more than none.
func (e *Edge) shouldDelayReport(w accounting.Window) bool {
	if !e.hasAllCounts() {
		return true
	}
	now := e.deps.Steady()
	e.mu.Lock()
	defer e.mu.Unlock()
	ended := e.book.TimeSinceEnd(e.wall.At(now), w)
	since := now - ended + accounting.SettleAfter
	missing := append(e.missingCounts(now, since), e.coverage.InTransit(now, countsRelayedWithin, since)...)
	if len(missing) == 0 {
		return false
	}
	if ended < e.set.Bounds.UsageDue-e.set.Bounds.LeaseTTL-reportMargin {
		return true
	}
	e.log.Note("usage_incomplete", decisions.F("window", int64(w)), decisions.F("ended_for", ended), decisions.F("lacking", missing))
	return false
}

// logUsageFailure notes a step of the reports that failed.
func (e *Edge) logUsageFailure(step string, err error, inputs ...decisions.Field) {
	fields := append([]decisions.Field{decisions.F("step", step)}, inputs...)
	e.log.Note("usage_failed", append(fields, decisions.F("error", err.Error()))...)
}

// readUsageKey reads a key of the reports; false if that failed.
func (e *Edge) readUsageKey(ctx context.Context, key, step string) (kv.Entry, bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := e.deps.Store.Get(callCtx, key)
	if err != nil {
		e.logUsageFailure(step, err)
	}
	return entry, err == nil
}

func (e *Edge) readIntent(ctx context.Context) bool {
	u := &e.duties.usage
	entry, ok := e.readUsageKey(ctx, intentKey, "read")
	if !ok {
		return false
	}
	u.loaded = true
	u.revision = entry.Revision
	if entry.Revision == 0 {
		return true
	}
	var open reportIntent
	if err := json.Unmarshal(entry.Value, &open); err != nil {
		// Nobody else writes the key; what can't be read can't be repeated.
		e.logUsageFailure("decode", err)
		return true
	}
	u.pending, u.lastWindow = &open, open.Window
	return true
}

func (e *Edge) writeIntent(ctx context.Context, w accounting.Window) bool {
	u := &e.duties.usage
	e.mu.Lock()
	next := &reportIntent{Window: w, Counts: e.book.Sum(w)}
	e.mu.Unlock()
	data, err := json.Marshal(next)
	if err != nil {
		e.logUsageFailure("encode", err)
		return false
	}
	if _, ok := e.permit(); !ok {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := e.deps.Store.CompareAndSwap(callCtx, intentKey, u.revision, data, 0)
	if err != nil {
		// Whether it was written, and by whom the key was changed, is read anew.
		u.loaded = false
		var conflict *kv.ConflictError
		e.logUsageFailure("write", err, decisions.F("window", int64(w)), decisions.F("conflict", errors.As(err, &conflict)))
		return false
	}
	u.revision, u.pending, u.lastWindow = revision, next, w
	return true
}

// sendIntent makes the open report and tells whether the next one may follow.
func (e *Edge) sendIntent(ctx context.Context) bool {
	u := &e.duties.usage
	if e.reportTooLate(u.pending.Window) {
		e.log.Note("usage_missed", decisions.F("window", int64(u.pending.Window)))
		u.pending = nil
		return true
	}
	duty, ok := e.permit()
	if !ok {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := e.deps.Cloud.ReportUsage(callCtx, duty, u.pending.Window, u.pending.Counts); err != nil {
		e.logUsageFailure("report", err, decisions.F("window", int64(u.pending.Window)))
		return false
	}
	e.mu.Lock()
	e.book.MarkReported(u.pending.Window)
	e.mu.Unlock()
	e.log.Note("usage_reported", decisions.F("window", int64(u.pending.Window)), decisions.F("workspaces", len(u.pending.Counts)), decisions.F("token", duty.Token))
	u.pending = nil
	return true
}

// reportTooLate tells whether a window's report would come too late to count.
func (e *Edge) reportTooLate(w accounting.Window) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.book.PastDue(e.wall.At(e.deps.Steady()), w)
}
