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

// intentKey is the key of the report that was sent last or is about to be sent.
const intentKey = "usage/last"

// countsCompleteAfter is the time after its election in which a relay receives the counts of
// all others: each sends all of its followers' counts within a second or two.
const countsCompleteAfter = 3 * time.Second

// reportMargin, together with the duration of a lease, is the time before its due time at which
// a window is reported even if counts are missing. If this holder ends, another one must still
// have time to report.
const reportMargin = time.Second

// reportIntent is a report that the cloud may have accepted. Its counts must not change.
type reportIntent struct {
	Window accounting.Window `json:"window"`
	Counts accounting.Counts `json:"counts"`
}

// usageReportState is what the holder of the duties knows of the usage reports during its tenure.
type usageReportState struct {
	// loaded says that intentKey has been read since the start of the tenure or the last failed
	// write.
	loaded bool
	// revision is that of intentKey, zero if the key doesn't exist.
	revision kv.Revision
	// pending is an intent that the cloud has not confirmed, or nil.
	pending *reportIntent
	// lastWindow is the newest window of any intent.
	lastWindow accounting.Window
	// delayed is the delay that was logged last.
	delayed reportDelay
}

// reportDelay says what the report of a window waits for.
type reportDelay struct {
	window accounting.Window
	// unconfirmed says that no other relay considers this daemon one, newRelay that it became one
	// less than countsCompleteAfter ago.
	unconfirmed, newRelay bool
	// uncounted is the number of daemons whose counts may not have arrived.
	uncounted int
}

// reportUsage sends the reports that are due. Each is written to the key-value service first,
// so that a successor repeats it unchanged: a second report with other counts would contradict
// one that was accepted although its answer was lost.
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
	due := e.usageLedger.WindowsDue(e.wallClock.At(e.deps.Steady()))
	sentThrough := e.usageLedger.SentThrough()
	e.mu.Unlock()
	for _, w := range due {
		if w <= max(u.lastWindow, sentThrough) {
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

// isNewRelay reports whether this daemon became a relay so recently that it may not have received
// the counts of the other relays' followers. In a direct fleet every daemon receives all counts.
// The caller must hold e.mu.
func (e *Edge) isNewRelay(now time.Duration) bool {
	return !e.relayPlan.Direct && now-e.relayConfirmation.RelaySince() < countsCompleteAfter
}

// shouldDelayReport reports whether a window's report should wait. It waits until this daemon
// has received the counts that relays send each other, and for the counts of a daemon that is
// cut off for a moment or whose relay has just ended; those counts arrive through the next
// relay that the daemon follows. A window that is due soon is reported with the counts that are
// known, since an incomplete report is better than none. That includes a new relay: if one
// holder after the other ends before it has been a relay for countsCompleteAfter, the window
// would not be reported at all. A relay that no other one confirms may know little more than
// its own counts and reports nothing.
func (e *Edge) shouldDelayReport(w accounting.Window) bool {
	now := e.deps.Steady()
	e.mu.Lock()
	defer e.mu.Unlock()
	endedFor := e.usageLedger.TimeSinceEnd(e.wallClock.At(now), w)
	since := now - endedFor + accounting.SettleAfter
	uncounted := append(e.uncounted(now, since), e.coverage.InTransit(now, countsRelayedWithin, since)...)
	reason := reportDelay{window: w, unconfirmed: !e.isConfirmedRelay(now), newRelay: e.isNewRelay(now), uncounted: len(uncounted)}
	complete := !reason.newRelay && len(uncounted) == 0
	dueSoon := endedFor >= e.settings.Bounds.UsageDue-e.settings.Bounds.LeaseTTL-reportMargin
	if reason.unconfirmed || !complete && !dueSoon {
		e.logReportDelay(now, endedFor, reason)
		return true
	}
	if !complete {
		e.log.Note("usage_incomplete", decisions.F("window", int64(w)), decisions.F("ended_for", endedFor),
			decisions.F("new_relay", reason.newRelay), decisions.F("lacking", uncounted))
	}
	return false
}

// logReportDelay logs why the report of a window waits, unless that was logged already. The
// caller must hold e.mu.
func (e *Edge) logReportDelay(now, endedFor time.Duration, reason reportDelay) {
	if e.duties.usage.delayed == reason {
		return
	}
	e.duties.usage.delayed = reason
	e.log.Note("usage_delayed", decisions.F("window", int64(reason.window)), decisions.F("ended_for", endedFor),
		decisions.F("relay_for", now-e.relayConfirmation.RelaySince()), decisions.F("new_relay", reason.newRelay),
		decisions.F("unconfirmed", reason.unconfirmed), decisions.F("uncounted", reason.uncounted),
		decisions.F("token", e.duties.token))
}

// logUsageFailure logs a failed step of reporting usage.
func (e *Edge) logUsageFailure(step string, err error, inputs ...decisions.Field) {
	fields := append([]decisions.Field{decisions.F("step", step)}, inputs...)
	e.log.Note("usage_failed", append(fields, decisions.F("error", err.Error()))...)
}

// readUsageKey reads a usage key of the key-value service; false if that failed.
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
	var pending reportIntent
	if err := json.Unmarshal(entry.Value, &pending); err != nil {
		// No other program writes the key. An intent that can't be decoded can't be repeated,
		// so the reports go on without it.
		e.logUsageFailure("decode", err)
		return true
	}
	u.pending, u.lastWindow = &pending, pending.Window
	return true
}

func (e *Edge) writeIntent(ctx context.Context, w accounting.Window) bool {
	u := &e.duties.usage
	e.mu.Lock()
	next := &reportIntent{Window: w, Counts: e.usageLedger.Sum(w)}
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
		// It is unknown whether the write took effect, or who changed the key, so the key is
		// read again.
		u.loaded = false
		var conflict *kv.ConflictError
		e.logUsageFailure("write", err, decisions.F("window", int64(w)), decisions.F("conflict", errors.As(err, &conflict)))
		return false
	}
	u.revision, u.pending, u.lastWindow = revision, next, w
	return true
}

// sendIntent sends the pending report and returns whether the next one may follow.
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
	e.mu.Lock()
	e.usageLedger.MarkSent(u.pending.Window)
	e.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := e.deps.Cloud.ReportUsage(callCtx, duty, u.pending.Window, u.pending.Counts); err != nil {
		e.logUsageFailure("report", err, decisions.F("window", int64(u.pending.Window)))
		return false
	}
	e.mu.Lock()
	e.usageLedger.MarkReported(u.pending.Window)
	e.mu.Unlock()
	e.log.Note("usage_reported", decisions.F("window", int64(u.pending.Window)), decisions.F("workspaces", len(u.pending.Counts)), decisions.F("token", duty.Token))
	u.pending = nil
	return true
}

// reportTooLate reports whether a usage window's report is past its due time, UsageDue after the
// end of the window.
func (e *Edge) reportTooLate(w accounting.Window) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usageLedger.PastDue(e.wallClock.At(e.deps.Steady()), w)
}
