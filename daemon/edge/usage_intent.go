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

// reportIntent is a report that the cloud may have accepted. Its counts must not change.
type reportIntent struct {
	// History is the number of the key-value service's history in which the intent was written. One
	// of an earlier history may have been followed by others that the service has lost.
	History uint64            `json:"history,omitempty"`
	Window  accounting.Window `json:"window"`
	// Counts is nil if there is nothing to repeat: reports were sent through Window, this one too,
	// or they must not be.
	Counts accounting.Counts `json:"counts"`
}

// readIntent reads the last intent of the key-value service; false if that failed.
func (e *Edge) readIntent(ctx context.Context) bool {
	u := &e.duties.usage
	entry, ok := e.readUsageKey(ctx, intentKey, "read")
	if !ok {
		return false
	}
	u.history, u.historySince = e.dir.presentHistory()
	if entry.Revision != 0 && entry.Revision.History() != u.history {
		return false // this daemon's copy is of an earlier history, or it has learned of a later one since
	}
	u.loaded, u.revision, u.pending, u.isOfHistory, u.through = true, entry.Revision, nil, false, 0
	if entry.Revision == 0 {
		return true
	}
	var last reportIntent
	if err := json.Unmarshal(entry.Value, &last); err != nil {
		// No other program writes the key. An intent that can't be decoded can't be repeated,
		// so the reports go on without it.
		e.logUsageFailure("decode", err)
		return true
	}
	u.isOfHistory, u.through = last.History == u.history, last.Window
	if last.Counts != nil {
		u.pending = &last
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	sent := e.usageLedger.Sent()
	e.log.Note("usage_intent_read", decisions.F("window", int64(last.Window)), decisions.F("written_in_history", last.History),
		decisions.F("history", u.history), decisions.F("sent_through", int64(sent.Through())), decisions.F("complete", sent.Complete()))
	sent.Learn(last.Window, u.isOfHistory)
	return true
}

// writeSentReports writes which reports were sent, for a key-value service whose last intent is of an earlier
// history or lost. If no daemon knows it, all windows that ended before this daemon's first copy of
// the present history count as sent: what was written before the history began may be lost, and
// the intents since are in it. A missing report is better than a second one with other counts.
func (e *Edge) writeSentReports(ctx context.Context) bool {
	u := &e.duties.usage
	e.mu.Lock()
	sent := e.usageLedger.Sent()
	through, complete := sent.Through(), sent.Complete()
	if !complete {
		through = max(through, e.usageLedger.LastEnded(e.wallClock.At(u.historySince)))
	}
	e.mu.Unlock()
	if !e.putIntent(ctx, &reportIntent{History: u.history, Window: through}) {
		return false
	}
	u.through = through
	e.mu.Lock()
	defer e.mu.Unlock()
	sent.Learn(through, true)
	e.log.Note("usage_sent_noted", decisions.F("through", int64(through)), decisions.F("known", complete), decisions.F("history", u.history))
	if !complete {
		e.log.Count("usage.sent_unknown")
	}
	return true
}

// writeIntent writes the report of a window, which becomes the pending one; false if that failed.
func (e *Edge) writeIntent(ctx context.Context, w accounting.Window) bool {
	u := &e.duties.usage
	e.mu.Lock()
	next := &reportIntent{History: u.history, Window: w, Counts: e.usageLedger.Sum(w)}
	e.mu.Unlock()
	if !e.putIntent(ctx, next) {
		return false
	}
	u.pending, u.through = next, w
	e.mu.Lock()
	e.usageLedger.Sent().Mark(w)
	e.mu.Unlock()
	return true
}

// putIntent writes an intent over the last one, and reports whether it is known to be there.
func (e *Edge) putIntent(ctx context.Context, next *reportIntent) bool {
	u := &e.duties.usage
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
	if err != nil || revision.History() != next.History {
		// It is unknown whether the write took effect, or who changed the key, or the service has
		// come back from a copy, so the key is read again.
		u.loaded = false
		e.logIntentFailure(next, revision, err)
		return false
	}
	u.revision, u.isOfHistory = revision, true
	return true
}

// logIntentFailure logs that it isn't known what the key-value service holds as the last intent.
func (e *Edge) logIntentFailure(next *reportIntent, revision kv.Revision, err error) {
	if err == nil {
		e.log.Note("usage_history_ended", decisions.F("window", int64(next.Window)), decisions.F("history", next.History), decisions.F("revision", revision))
		return
	}
	var conflict *kv.ConflictError
	e.logUsageFailure("write", err, decisions.F("window", int64(next.Window)), decisions.F("conflict", errors.As(err, &conflict)))
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

// maxTickGap is the longest time between two runs of tickLoop in which nothing that other daemons did or told can
// have been missed.
const maxTickGap = 2 * time.Second

// checkSentReports notes that this daemon may not have been told of all usage reports: it hears no other daemon,
// one of which may hold the duties, or it was suspended. The holder itself knows. The caller must hold e.mu.
func (e *Edge) checkSentReports(now time.Duration) {
	suspended := now-e.tickedAt > maxTickGap
	e.tickedAt = now
	if suspended || !e.hearsAny(now, e.alive) && e.duties.holder.Token() == 0 {
		e.usageLedger.Sent().Lose()
	}
}
