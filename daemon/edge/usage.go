package edge

import (
	"context"
	"time"

	"geraniumstack.org/geraniumstack/coordination/accounting"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// countsCompleteAfter is the time after its election in which a relay receives the counts of
// all others: each sends all of its followers' counts within a second or two.
const countsCompleteAfter = 3 * time.Second

// reportMargin, together with the duration of a lease, is the time before its due time at which
// a window is reported even if counts are missing. If this holder ends, another one must still
// have time to report.
const reportMargin = time.Second

// usageReportState is what the holder of the duties knows of the usage reports during its tenure.
type usageReportState struct {
	// loaded says that intentKey has been read since the start of the tenure or the last failed
	// write.
	loaded bool
	// revision is that of intentKey, zero if the key doesn't exist.
	revision kv.Revision
	// history is the number of the key-value service's history in which intentKey was read, historySince
	// when this daemon first knew of that history. isOfHistory says that the intent was written in it.
	history      uint64
	historySince time.Duration
	isOfHistory  bool
	// through is the latest window of which no other report may be made. pending is an intent that the
	// cloud has not confirmed, or nil. announced is the latest window whose report the other daemons have
	// been told of, or are told of with this daemon's next messages.
	through   accounting.Window
	pending   *reportIntent
	announced accounting.Window
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
// one that was accepted although its answer was lost. Before that, in the run before, the other
// daemons are told of it, since the service may lose what was written while this daemon ends.
func (e *Edge) reportUsage(ctx context.Context) {
	u := &e.duties.usage
	if !e.duties.saved.loaded {
		return
	}
	if !u.loaded && !e.readIntent(ctx) {
		return
	}
	told := u.announced
	if u.isOfHistory {
		e.announceReports()
	}
	if u.pending != nil && !e.sendIntent(ctx) {
		return
	}
	if !u.isOfHistory && !e.writeSentReports(ctx) {
		return
	}
	for {
		next, due := e.nextDueWindow()
		if !due || next > told || e.shouldDelayReport(next) {
			return
		}
		if !e.writeIntent(ctx, next) || !e.sendIntent(ctx) {
			return
		}
	}
}

// nextDueWindow returns the first window that is due and that no daemon has reported.
func (e *Edge) nextDueWindow() (accounting.Window, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range e.usageLedger.WindowsDue(e.wallClock.At(e.deps.Steady())) {
		if w > e.duties.usage.through {
			return w, true
		}
	}
	return 0, false
}

// announceReports tells the other daemons, with this daemon's next messages, that the windows that have ended are about to
// be reported; they are due later than that. A new holder does so while it may not act yet, but only once the service
// shows what was sent before: the others' answers would otherwise look as if they knew of reports.
func (e *Edge) announceReports() {
	e.mu.Lock()
	defer e.mu.Unlock()
	ended := e.usageLedger.LastEnded(e.wallClock.At(e.deps.Steady()))
	e.duties.usage.announced = max(e.duties.usage.announced, ended)
	e.usageLedger.Sent().Announce(ended)
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

// reportTooLate reports whether a usage window's report is past its due time, UsageDue after the
// end of the window.
func (e *Edge) reportTooLate(w accounting.Window) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usageLedger.PastDue(e.wallClock.At(e.deps.Steady()), w)
}
