package edge

import (
	"context"
	"encoding/json"
	"errors"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// trialController is the duty holder's state of one trial.
type trialController struct {
	holder *canary.Holder
	order  canary.Order
	// revision is the revision of the trial's record; zero if there is none.
	revision kv.Revision
	// isLost says that the key-value service has lost the record, which must be written again.
	isLost bool
	// reportedState is the last state that was published to the operator.
	reportedState canary.State
}

// advanceTrials advances all trials. Only the duty holder calls it.
func (e *Edge) advanceTrials(ctx context.Context) {
	if !e.trials.hasOrders.Load() {
		return
	}
	e.trials.mu.Lock()
	orders := make([]canary.Order, 0, len(e.trials.gates))
	for _, g := range e.trials.gates {
		orders = append(orders, g.Order())
	}
	e.trials.mu.Unlock()
	for _, o := range orders {
		d := e.trialController(ctx, o)
		if d == nil || !e.advanceTrial(ctx, d) {
			continue
		}
		e.publishTrialStatus(ctx, d)
	}
}

// forgetControllers makes the next tenure of the duties read all trials' records again.
func (t *trials) forgetControllers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.controllers)
}

// trialController returns the controller of an order's trial. A new controller continues from
// the record in the key-value service.
func (e *Edge) trialController(ctx context.Context, o canary.Order) *trialController {
	e.trials.mu.Lock()
	d := e.trials.controllers[o.Service]
	e.trials.mu.Unlock()
	if d != nil && d.order.Revision == o.Revision {
		return d
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := e.deps.Store.Get(callCtx, trialPrefix+o.Service)
	var found canary.Record
	if err == nil && entry.Revision != 0 {
		err = json.Unmarshal(entry.Value, &found)
	}
	if err != nil {
		e.log.Note("trial_unread", decisions.F("service", o.Service), decisions.F("error", err.Error()))
		return nil
	}
	d = &trialController{order: o, revision: entry.Revision}
	e.trials.mu.Lock()
	if known := e.trials.records[o.Service].Record; found.IsBehind(known) {
		found, d.isLost = known, true
	}
	e.trials.mu.Unlock()
	d.holder = canary.NewHolder(e.settings.Bounds.Trials, o, found, e.settings.PeerAddress, e.unixMillis())
	e.trials.mu.Lock()
	e.trials.controllers[o.Service] = d
	e.trials.mu.Unlock()
	return d
}

func (e *Edge) unixMillis() int64 { return e.timeOfDay(e.deps.Steady()).UnixMilli() }

// advanceTrial writes the next state of a trial if there is one. It returns false if that could
// not be written; the record is then read again from the service.
func (e *Edge) advanceTrial(ctx context.Context, d *trialController) bool {
	oldRunners, newRunners := 0, 0
	if p := e.pool(d.order.Service); p != nil {
		oldRunners, newRunners, _ = p.countVersions(e.trials.gate(d.order.Service))
	}
	fleet := canary.Fleet{Reporting: reporterShare(e.fleetSize()), OldRunners: oldRunners, NewRunners: newRunners}
	unix := e.unixMillis()
	e.trials.mu.Lock()
	next := d.holder.Tick(e.deps.Steady(), unix, e.settings.PeerAddress, fleet)
	due := d.isLost || d.holder.FirstRecordUnwritten() || !next.Equal(d.holder.Record())
	sent := d.holder.Sent()
	answers, failed := d.holder.Answers()
	e.trials.mu.Unlock()
	if !due {
		return true
	}
	revision, err := e.writeTrialRecord(ctx, d, next)
	outcome := "written"
	if err != nil {
		outcome = err.Error()
	}
	e.log.Note("trial_step", decisions.F("service", next.Service), decisions.F("target", next.Target), decisions.F("order", next.Order),
		decisions.F("state", next.State), decisions.F("reason", next.Reason), decisions.F("route", next.Route),
		decisions.F("reserved", next.Reserved), decisions.F("sent", sent), decisions.F("answers", answers), decisions.F("failed", failed),
		decisions.F("old_runners", oldRunners), decisions.F("new_runners", newRunners), decisions.F("outcome", outcome))
	e.trials.mu.Lock()
	defer e.trials.mu.Unlock()
	if err != nil {
		delete(e.trials.controllers, d.order.Service)
		return false
	}
	e.log.Count("trials." + string(next.State) + "." + string(next.Reason))
	d.holder.SetWritten(next)
	d.isLost = false
	d.revision = revision
	return true
}

// writeTrialRecord fails with a *kv.ConflictError if another duty holder has written the record
// meanwhile.
func (e *Edge) writeTrialRecord(ctx context.Context, d *trialController, r canary.Record) (kv.Revision, error) {
	if _, ok := e.permit(); !ok {
		return 0, &notHolderError{}
	}
	value, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := e.deps.Store.CompareAndSwap(callCtx, trialPrefix+r.Service, d.revision, value, 0)
	if err == nil {
		// The watch will return this record only later.
		e.applyTrialRecord(kv.Entry{Key: trialPrefix + r.Service, Value: value, Revision: revision})
	}
	return revision, err
}

// notHolderError says that this daemon's lease ends too soon for another order.
type notHolderError struct{}

func (*notHolderError) Error() string { return "lease of the duties ends too soon" }

// publishTrialStatus writes the trial's status for the operator, and tries again with the next
// call until it is written.
func (e *Edge) publishTrialStatus(ctx context.Context, d *trialController) {
	state := d.holder.Record().State
	if state == canary.Promoting {
		state = canary.Running
	}
	if d.reportedState == state {
		return
	}
	if _, ok := e.permit(); !ok {
		return
	}
	err := e.writeTrialStatus(ctx, d.order, state)
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		return
	}
	if err != nil {
		e.log.Note("trial_status_failed", decisions.F("service", d.order.Service), decisions.F("state", state), decisions.F("error", err.Error()))
		return
	}
	d.reportedState = state
	e.log.Note("trial_status", decisions.F("service", d.order.Service), decisions.F("target", d.order.Target), decisions.F("state", state))
}

func (e *Edge) writeTrialStatus(ctx context.Context, o canary.Order, state canary.State) error {
	key, value, err := e.deps.Codec.Status(o.Service, o.Target, state)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := e.deps.Store.Get(callCtx, key)
	if err != nil {
		return err
	}
	if string(entry.Value) == string(value) && uint64(entry.Revision) > o.Revision {
		return nil
	}
	_, err = e.deps.Store.CompareAndSwap(callCtx, key, entry.Revision, value, 0)
	return err
}

// receiveTrialReport processes a daemon's report and answers with its allowance, as long as
// this daemon is sure to hold the duties.
func (e *Edge) receiveTrialReport(r *peersv1.TrialReport) {
	if _, ok := e.permit(); !ok {
		return
	}
	e.trials.mu.Lock()
	d := e.trials.controllers[r.Service]
	var allowance canary.Allowance
	known := false
	if d != nil && d.holder.Record().Holder == e.settings.PeerAddress {
		allowance, known = d.holder.HandleReport(e.deps.Steady(), r.Incarnation, decodeTrialReport(r))
	}
	e.trials.mu.Unlock()
	if known {
		e.sendTo(r.PeerAddress, &peersv1.Datagram{TrialAllowance: encodeAllowance(r.Service, allowance)})
	}
}

// The following functions convert between messages and the types of package canary.

func (e *Edge) encodeTrialReport(service string, r canary.Report) *peersv1.TrialReport {
	message := &peersv1.TrialReport{
		Service: service, Order: r.Order, Incarnation: string(e.self), PeerAddress: e.settings.PeerAddress, Ask: r.Ask,
		Total: uint64(r.Total), Sent: uint64(r.Sent), Ceiling: uint64(r.Ceiling), Knows: string(r.KnownState), OldInFlight: uint32(r.OldInFlight),
	}
	for s, b := range r.Tally {
		message.Series = append(message.Series, &peersv1.TrialSeries{Route: s.Route, Pace: s.Pace, Old: encodeTrialCounts(&b.Old), New: encodeTrialCounts(&b.New)})
	}
	return message
}

func encodeTrialCounts(c *canary.Counts) *peersv1.TrialCounts {
	message := &peersv1.TrialCounts{Answers: uint32(c.Answers), Failed: uint32(c.Failed)}
	first, last := len(c.Times), 0
	for i, n := range c.Times {
		if n > 0 {
			first, last = min(first, i), i+1
		}
	}
	if first < last {
		message.First = uint32(first)
		for _, n := range c.Times[first:last] {
			message.Times = append(message.Times, uint32(n))
		}
	}
	return message
}

func decodeTrialReport(r *peersv1.TrialReport) canary.Report {
	report := canary.Report{
		Order: r.Order, Ask: r.Ask, Total: int(r.Total), Sent: int(r.Sent), Ceiling: int(r.Ceiling),
		KnownState: canary.State(r.Knows), OldInFlight: int(r.OldInFlight), Tally: canary.Tally{},
	}
	for _, s := range r.Series {
		series := canary.Series{Route: s.Route, Pace: s.Pace}
		decodeTrialCounts(report.Tally.Of(series, false), s.Old)
		decodeTrialCounts(report.Tally.Of(series, true), s.New)
	}
	return report
}

func decodeTrialCounts(c *canary.Counts, message *peersv1.TrialCounts) {
	if message == nil {
		return
	}
	c.Answers, c.Failed = int(message.Answers), int(message.Failed)
	for i, n := range message.Times {
		if at := int(message.First) + i; at < len(c.Times) {
			c.Times[at] = int(n)
		}
	}
}

func encodeAllowance(service string, a canary.Allowance) *peersv1.TrialAllowance {
	return &peersv1.TrialAllowance{
		Service: service, Order: a.Order, Ask: a.Ask, Ceiling: uint64(a.Ceiling), Share: a.Share,
		Runners: uint32(a.Runners), Favour: a.FavouredRoute, Halt: a.Halt,
	}
}

func decodeAllowance(a *peersv1.TrialAllowance) canary.Allowance {
	return canary.Allowance{
		Order: a.Order, Ask: a.Ask, Ceiling: int(a.Ceiling), Share: a.Share,
		Runners: int(a.Runners), FavouredRoute: a.Favour, Halt: a.Halt,
	}
}
