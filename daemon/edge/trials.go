package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// An operator's order to move a service to another software version starts a trial (a canary
// rollout). The code in this file limits the requests that this daemon sends to the new version,
// and reports their results to the duty holder. Package canary makes the decisions;
// trialcontroller.go holds the code of the duty holder.

const (
	// trialPrefix is the prefix of the keys of trials' records.
	trialPrefix = "trials/"
	// trialReportInterval is the time between two reports; several reports fit into the
	// lifetime of an allowance.
	trialReportInterval = 250 * time.Millisecond
	// minEstimate is the least expected time to a stream's first event that latencies are
	// compared with.
	minEstimate = 10 * time.Millisecond
	// writtenAgainWithin is the time from the return of a key-value service that has lost an order
	// within which the operator has written it again.
	writtenAgainWithin = 5 * time.Second
	// maxReporters is the number of daemons that report on a trial in a large fleet; they serve
	// enough requests for a decision.
	maxReporters = 64
)

// trials holds the operator's orders to change a service's software version that this daemon knows
// of, and the records of the trials that they have started.
type trials struct {
	// hasOrders lets requests skip the lock while no service has an order.
	hasOrders atomic.Bool

	// If both locks are needed, mu is taken after the pool's lock.
	mu    sync.Mutex
	gates map[string]*canary.Gate
	// ordersShown holds the revisions at which the key-value service showed the gates' orders last.
	// An order that was written again keeps the revision by which it is identified.
	ordersShown map[string]kv.Revision
	records     map[string]storedRecord
	// lastReportedAt is when the last reports were made. controllers are used by the duty holder
	// only.
	lastReportedAt time.Duration
	controllers    map[string]*trialController
}

// storedRecord is a trial's record with its revision in the key-value service.
type storedRecord struct {
	canary.Record
	revision kv.Revision
}

func (t *trials) init() {
	t.gates = map[string]*canary.Gate{}
	t.ordersShown = map[string]kv.Revision{}
	t.records = map[string]storedRecord{}
	t.controllers = map[string]*trialController{}
}

// gate returns a service's gate; nil if the service has no order.
func (t *trials) gate(service string) *canary.Gate {
	if !t.hasOrders.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gates[service]
}

// applyTrialChanges applies new orders and trial records. It must be called before new runners
// are used: the order is written before the new version's runners start, and without it these
// would be used like any others.
func (e *Edge) applyTrialChanges(events []kv.Event) {
	for _, event := range events {
		switch {
		case event.Deleted:
		case strings.HasPrefix(event.Key, e.deps.Codec.OrderPrefix()):
			e.applyTrialOrder(event.Entry)
		case strings.HasPrefix(event.Key, trialPrefix):
			e.applyTrialRecord(event.Entry)
		}
	}
}

func (e *Edge) applyTrialOrder(entry kv.Entry) {
	o, err := e.deps.Codec.Order(entry.Key, entry.Value)
	if err != nil {
		e.log.Note("trial_ignored", decisions.F("key", entry.Key), decisions.F("reason", err.Error()))
		return
	}
	o.Revision = uint64(entry.Revision)
	known := e.dir.inHistoryFor(e.deps.Steady())
	e.trials.mu.Lock()
	defer e.trials.mu.Unlock()
	shown := e.trials.ordersShown[o.Service]
	if entry.Revision <= shown {
		return
	}
	e.trials.ordersShown[o.Service] = entry.Revision
	g := e.trials.gates[o.Service]
	isNewHistory := entry.Revision.History() != shown.History() || known < writtenAgainWithin
	if g != nil && isNewHistory && g.Order().SameContent(o) {
		e.log.Note("trial_order_again", decisions.F("service", o.Service), decisions.F("order", kv.Revision(g.Order().Revision)),
			decisions.F("revision", entry.Revision))
		return
	}
	e.setTrialOrder(o)
}

// setTrialOrder begins to limit the requests to the version that an order names. The caller must hold
// trials.mu.
func (e *Edge) setTrialOrder(o canary.Order) {
	g := canary.NewGate(o)
	g.SetRecord(e.deps.Steady(), e.trials.records[o.Service].Record)
	e.trials.gates[o.Service] = g
	e.trials.hasOrders.Store(true)
	e.log.Note("trial_ordered", decisions.F("service", o.Service), decisions.F("target", o.Target),
		decisions.F("within", o.Duration), decisions.F("order", kv.Revision(o.Revision)))
}

// identifyOrder takes the identity of a service's order from the trial's record, if this daemon has got to
// know the order only from a later history of the service than the one in which the trial began. The caller
// must hold trials.mu.
func (e *Edge) identifyOrder(r canary.Record) {
	g := e.trials.gates[r.Service]
	if g == nil || g.Order().Revision == r.Order || g.Order().Target != r.Target {
		return
	}
	o := g.Order()
	began, shown := kv.Revision(r.Order), e.trials.ordersShown[r.Service]
	if began.History() < kv.Revision(o.Revision).History() || began == shown {
		o.Revision = r.Order
		e.setTrialOrder(o)
	}
}

func (e *Edge) applyTrialRecord(entry kv.Entry) {
	var r canary.Record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		e.log.Note("trial_ignored", decisions.F("key", entry.Key), decisions.F("reason", err.Error()))
		return
	}
	e.trials.mu.Lock()
	defer e.trials.mu.Unlock()
	before := e.trials.records[r.Service]
	if before.revision >= entry.Revision || r.IsBehind(before.Record) {
		return
	}
	e.trials.records[r.Service] = storedRecord{r, entry.Revision}
	e.identifyOrder(r)
	if g := e.trials.gates[r.Service]; g != nil {
		g.SetRecord(e.deps.Steady(), r)
	}
	if before.State != r.State || before.Order != r.Order {
		e.log.Note("trial", decisions.F("service", r.Service), decisions.F("target", r.Target), decisions.F("order", kv.Revision(r.Order)),
			decisions.F("state", r.State), decisions.F("reason", r.Reason), decisions.F("route", r.Route), decisions.F("revision", entry.Revision))
	}
}

// placeNewRequest decides which versions' runners a new request may use. One that must go on at the
// version on trial counts as a request of the trial as long as the allowance lasts, and one that must
// go on at another version never does.
func (e *Edge) placeNewRequest(g *canary.Gate, route string, bound boundVersion) canary.Placement {
	e.trials.mu.Lock()
	defer e.trials.mu.Unlock()
	now := e.deps.Steady()
	switch {
	case !bound.known:
		return g.PlaceRequest(now, route, rand.Float64())
	case bound.version == g.Order().Target:
		return g.PlaceRequest(now, route, 0)
	}
	return g.PlaceRetry(now)
}

// placeRepeat decides which versions' runners a request may use that isn't new to the trial,
// such as a repeated attempt.
func (e *Edge) placeRepeat(g *canary.Gate) canary.Placement {
	e.trials.mu.Lock()
	defer e.trials.mu.Unlock()
	return g.PlaceRetry(e.deps.Steady())
}

// outOfContact reports whether this daemon can't reach the key-value service, neither itself
// nor through other daemons, so that it can't know the state of a trial.
func (e *Edge) outOfContact(ctx context.Context) bool {
	if e.configAge() <= confirmTimeout {
		return false
	}
	e.confirmConfig(ctx)
	return e.configAge() > confirmTimeout
}

// excludedByPlacement returns the set of the service's runners that a request with the given
// placement must not use. The caller must hold the pool's lock.
func (p *pool) excludedByPlacement(g *canary.Gate, trialPlacement canary.Placement) prefix.Set {
	var ids []ident.RunnerID
	p.edge.trials.mu.Lock()
	defer p.edge.trials.mu.Unlock()
	target := g.Order().Target
	switch trialPlacement {
	case canary.OldOnly:
		for id, r := range p.runners {
			if g.Avoids(r.Version) {
				ids = append(ids, id)
			}
		}
	case canary.NewPreferred:
		for id, r := range p.runners {
			if r.Version != target {
				ids = append(ids, id)
			}
		}
	case canary.Trial:
		return p.allBut(p.trialRunners(target, g.TrialRunners()))
	}
	return p.table.Exclude(ids...)
}

// trialRunners returns the first few of the new version's runners by name, which serve all
// requests of the trial.
func (p *pool) trialRunners(target canary.Version, limit int) []ident.RunnerID {
	var ids []ident.RunnerID
	for id, r := range p.runners {
		if r.Version == target && r.State == view.Live {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(len(ids), limit)]
}

func (p *pool) allBut(some []ident.RunnerID) prefix.Set {
	var ids []ident.RunnerID
	for id := range p.runners {
		if !slices.Contains(some, id) {
			ids = append(ids, id)
		}
	}
	return p.table.Exclude(ids...)
}

// excludeByPlacement excludes the runners that have failed the request, and those that a
// request with the given placement must not use.
func (p *pool) excludeByPlacement(r *routing.Request, failed prefix.Set, g *canary.Gate, trialPlacement canary.Placement) {
	r.Exclude = failed
	if g == nil || trialPlacement == canary.AnyVersion {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Exclude = failed.Or(p.excludedByPlacement(g, trialPlacement))
}

// pick chooses a runner among those that the request's placement in the trial allows. If there
// is none, or the wait would be too long, a request of the trial goes to the version in use,
// and a request that only prefers the new version may go to any runner. A request that must use
// the version in use goes to the version on trial only if no other runner is available and one
// of two conditions holds: this daemon is out of contact, so that the old runners may have been
// stopped without its knowledge; or the trial hasn't begun and the service has no other
// version, which means that the target is already in use.
func (s *requestHandler) pick(ctx context.Context, now time.Time) (routing.Choice, error) {
	if s.gate == nil {
		return s.pickOffered(now)
	}
	trialPlacement := s.placeInTrial()
	s.pool.excludeByPlacement(&s.routingRequest, s.excludedRunners(), s.gate, trialPlacement)
	choice, err := s.pickOffered(now)
	late := err == nil && choice.Estimate > s.maxFirstTokenWait(now)
	if err == nil && !late || trialPlacement == canary.AnyVersion {
		return choice, err
	}
	switch {
	case trialPlacement == canary.Trial:
		s.pool.excludeByPlacement(&s.routingRequest, s.excludedRunners(), s.gate, canary.OldOnly)
	case trialPlacement == canary.NewPreferred || !late && (s.edge.outOfContact(ctx) || s.pool.targetInUse(s.gate)):
		s.pool.excludeByPlacement(&s.routingRequest, s.excludedRunners(), s.gate, canary.AnyVersion)
	default:
		return choice, err
	}
	return s.pickOffered(now)
}

// placeInTrial decides which versions' runners the request may use now. It counts as a new request of the trial once.
func (s *requestHandler) placeInTrial() canary.Placement {
	if s.counts.placed && !s.bound.known {
		return s.edge.placeRepeat(s.gate)
	}
	s.counts.placed = true
	return s.edge.placeNewRequest(s.gate, s.route.Name, s.bound)
}

// targetInUse reports whether all of the service's runners already run the order's target and
// no duty holder has begun the trial.
func (p *pool) targetInUse(g *canary.Gate) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.edge.trials.mu.Lock()
	defer p.edge.trials.mu.Unlock()
	if g.HasRecord() {
		return false
	}
	for _, r := range p.runners {
		if r.Version != g.Order().Target {
			return false
		}
	}
	return true
}

// countVersions counts the service's runners that accept new requests: oldRunners run the version
// in use, newRunners the target of the operator's order. oldInFlight is the number of this
// daemon's attempts in progress at runners of versions other than the target.
func (p *pool) countVersions(g *canary.Gate) (oldRunners, newRunners, oldInFlight int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.edge.trials.mu.Lock()
	defer p.edge.trials.mu.Unlock()
	target := g.Order().Target
	for id, r := range p.runners {
		switch {
		case r.Version == target && r.State == view.Live:
			newRunners++
		case r.Version != target && r.State == view.Live && !g.Avoids(r.Version):
			oldRunners++
		}
		if act := p.activities[id]; act != nil && r.Version != target {
			oldInFlight += len(act.attempts)
		}
	}
	return oldRunners, newRunners, oldInFlight
}

// countRunnersOnTrial returns the number of a service's runners whose version is on trial.
func (e *Edge) countRunnersOnTrial(p *pool) int {
	g := e.trials.gate(p.name)
	if g == nil {
		return 0
	}
	e.trials.mu.Lock()
	final := g.State().Final()
	e.trials.mu.Unlock()
	if final {
		return 0
	}
	_, newRunners, _ := p.countVersions(g)
	return newRunners
}

// isTrialReporter reports whether this daemon is one of those that report on a trial.
func (e *Edge) isTrialReporter(o canary.Order, fleet int) bool {
	if fleet <= maxReporters {
		return true
	}
	return xxhash.Sum64String(string(e.self)+"/"+o.Service)%uint64(fleet) < maxReporters
}

// reporterShare returns the fraction of the fleet's daemons that report on a trial.
func reporterShare(fleet int) float64 { return min(1, maxReporters/float64(max(1, fleet))) }

// reportTrials requests allowances from the duty holder and reports the requests and answers
// counted so far.
func (e *Edge) reportTrials(now time.Duration) {
	if !e.trials.hasOrders.Load() || now-e.trials.lastReportedAt < trialReportInterval {
		return
	}
	e.trials.lastReportedAt = now
	fleet := e.fleetSize()
	for _, g := range e.openGates(fleet) {
		p := e.pool(g.Order().Service)
		if p == nil {
			continue
		}
		_, _, oldInFlight := p.countVersions(g)
		e.trials.mu.Lock()
		holder := g.Record().Holder
		r := g.Report(now, oldInFlight)
		e.trials.mu.Unlock()
		e.sendTo(holder, &peersv1.Datagram{TrialReport: e.encodeTrialReport(g.Order().Service, r)})
	}
}

// openGates returns the gates of the undecided trials on which this daemon has to report and for
// which a duty holder takes reports.
func (e *Edge) openGates(fleet int) []*canary.Gate {
	e.trials.mu.Lock()
	defer e.trials.mu.Unlock()
	var open []*canary.Gate
	for _, g := range e.trials.gates {
		r := g.Record()
		if r.Order == g.Order().Revision && r.Holder != "" && !r.State.Final() && e.isTrialReporter(g.Order(), fleet) {
			open = append(open, g)
		}
	}
	return open
}

// receiveAllowance applies the allowance that the duty holder has sent.
func (e *Edge) receiveAllowance(a *peersv1.TrialAllowance) {
	e.trials.mu.Lock()
	defer e.trials.mu.Unlock()
	if g := e.trials.gates[a.Service]; g != nil {
		g.SetAllowance(decodeAllowance(a))
	}
}

// countTrialDispatch counts a request for its trial.
func (s *requestHandler) countTrialDispatch() {
	if s.gate == nil {
		return
	}
	s.edge.trials.mu.Lock()
	defer s.edge.trials.mu.Unlock()
	s.gate.Dispatched()
}

// trialAttribution says for which trial, and there for which of the two software versions, the
// answer of an attempt is counted. The zero value stands for an attempt that isn't counted.
type trialAttribution struct {
	gate         *canary.Gate
	isNewVersion bool
}

// trialAttributionOf returns for which trial and software version an attempt at a runner of a version
// counts.
func (s *requestHandler) trialAttributionOf(v canary.Version) trialAttribution {
	g := s.edge.trials.gate(s.pool.name)
	if g == nil {
		return trialAttribution{}
	}
	return trialAttribution{g, v == g.Order().Target}
}

// took counts a latency for the attempt's trial: that of a whole answer or, with betweenEvents, the
// mean time between a stream's events.
func (a *attempt) took(d time.Duration, betweenEvents bool) {
	a.recordSample(betweenEvents, func(c *canary.Counts) { c.CountAnswer(d) })
}

// recordStreamLatency counts the latencies of a whole stream. Prompts differ in length and in
// how much of them is cached, so the time to the first event is counted in relation to the
// runner's expected time: one second stands for a ratio of one. The time between events is
// counted separately.
func (a *attempt) recordStreamLatency() {
	if a.trial.gate == nil {
		return
	}
	expectedFirstEvent := max(a.choice.Estimate, minEstimate)
	a.took(time.Duration(float64(time.Second)*float64(a.firstEventAfter)/float64(expectedFirstEvent)), false)
	if n := a.s.events.Events(); n > 1 {
		a.took((time.Since(a.sent)-a.firstEventAfter)/time.Duration(n-1), true)
	}
}

// recordFailure counts a failed answer.
func (a *attempt) recordFailure() { a.recordSample(false, func(c *canary.Counts) { c.CountFailure() }) }

func (a *attempt) recordSample(betweenEvents bool, count func(*canary.Counts)) {
	if a.trial.gate == nil {
		return
	}
	t := &a.s.edge.trials
	t.mu.Lock()
	defer t.mu.Unlock()
	count(a.trial.gate.Tally().Of(canary.Series{Route: a.s.route.Name, Pace: betweenEvents}, a.trial.isNewVersion))
}
