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

// Orders to move a service to another software version: what this daemon lets through to the
// new version, and what it tells the holder of the duties. The decisions are those of
// coordination/canary; trialduty.go does the holder's part.

const (
	// trialPrefix begins the keys of orders' records.
	trialPrefix = "trials/"
	// trialReportInterval is between two reports, several in an allowance's life.
	trialReportInterval = 250 * time.Millisecond
	// minEstimate stands in for a shorter expected time to a stream's first event.
	minEstimate = 10 * time.Millisecond
	// maxReporters is how many daemons report of an order. Those of a large fleet send
	// enough requests for it.
	maxReporters = 64
)

// trials are the orders that this daemon knows of.
type trials struct {
	// hasOrders spares requests the lock while no service has an order.
	hasOrders atomic.Bool

	// mu is taken after a pool's lock where both are.
	mu      sync.Mutex
	gates   map[string]*canary.Gate
	records map[string]storedRecord
	// reportedAt is when the last reports were made, duties the holder's part.
	reportedAt  time.Duration
	controllers map[string]*trialController
}

// storedRecord is a record with its revision.
type storedRecord struct {
	canary.Record
	revision kv.Revision
}

func (t *trials) init() {
	t.gates = map[string]*canary.Gate{}
	t.records = map[string]storedRecord{}
	t.controllers = map[string]*trialController{}
}

// gate is that of a service; nil is no order.
func (t *trials) gate(service string) *canary.Gate {
	if !t.hasOrders.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gates[service]
}

// applyTrialChanges takes in orders and their records. It must be done before new runners are used:
// those of a new version are ordered first, and without the order would be like any others.
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
	now := e.deps.Steady()
	e.trials.mu.Lock()
	defer e.trials.mu.Unlock()
	if g, known := e.trials.gates[o.Service]; known && g.Order().Revision >= o.Revision {
		return
	}
	g := canary.NewGate(o)
	g.SetRecord(now, e.trials.records[o.Service].Record)
	e.trials.gates[o.Service] = g
	e.trials.hasOrders.Store(true)
	e.log.Note("trial_ordered", decisions.F("service", o.Service), decisions.F("target", o.Target),
		decisions.F("within", o.Duration), decisions.F("order", o.Revision))
}

func (e *Edge) applyTrialRecord(entry kv.Entry) {
	var r canary.Record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		e.log.Note("trial_ignored", decisions.F("key", entry.Key), decisions.F("reason", err.Error()))
		return
	}
	e.trials.mu.Lock()
	defer e.trials.mu.Unlock()
	if e.trials.records[r.Service].revision >= entry.Revision {
		return
	}
	before := e.trials.records[r.Service]
	e.trials.records[r.Service] = storedRecord{r, entry.Revision}
	if g := e.trials.gates[r.Service]; g != nil {
		g.SetRecord(e.deps.Steady(), r)
	}
	if before.State != r.State || before.Order != r.Order {
		e.log.Note("trial", decisions.F("service", r.Service), decisions.F("target", r.Target), decisions.F("order", r.Order),
			decisions.F("state", r.State), decisions.F("reason", r.Reason), decisions.F("route", r.Route), decisions.F("revision", uint64(entry.Revision)))
	}
}

// sideOfNewRequest decides where a new request goes.
func (e *Edge) sideOfNewRequest(g *canary.Gate, route string) canary.Side {
	e.trials.mu.Lock()
	defer e.trials.mu.Unlock()
	return g.Enter(e.deps.Steady(), route, rand.Float64())
}

// sideOfRepeat decides where a request goes that is not new.
func (e *Edge) sideOfRepeat(g *canary.Gate) canary.Side {
	e.trials.mu.Lock()
	defer e.trials.mu.Unlock()
	return g.Again(e.deps.Steady())
}

// outOfContact tells whether this daemon has no way to the key-value service, by itself or by
// others, so that it can't know what became of an order.
func (e *Edge) outOfContact(ctx context.Context) bool {
	if e.configAge() <= confirmTimeout {
		return false
	}
	e.confirmConfig(ctx)
	return e.configAge() > confirmTimeout
}

// excludedBySide is the set of a service's runners that a side keeps requests from; called with the
// pool's lock held.
func (p *pool) excludedBySide(g *canary.Gate, side canary.Side) prefix.Set {
	var ids []ident.RunnerID
	p.edge.trials.mu.Lock()
	defer p.edge.trials.mu.Unlock()
	target := g.Order().Target
	switch side {
	case canary.OldOnly:
		for id, r := range p.runners {
			if g.Avoids(r.Version) {
				ids = append(ids, id)
			}
		}
	case canary.NewFirst:
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

// trialRunners are the first of the new runners, which take all trials.
func (p *pool) trialRunners(target canary.Version, most int) []ident.RunnerID {
	var ids []ident.RunnerID
	for id, r := range p.runners {
		if r.Version == target && r.State == view.Live {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(len(ids), most)]
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

// excludeBySide keeps a request from the runners that a side doesn't use, and from those that have
// failed it.
func (p *pool) excludeBySide(r *routing.Request, failed prefix.Set, g *canary.Gate, side canary.Side) {
	r.Exclude = failed
	if g == nil || side == canary.Either {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Exclude = failed.Or(p.excludedBySide(g, side))
}

// pick chooses a runner among those that the request's side of a trial uses. One that finds
// none there, or would wait too long there, may go to the others, but to a version on trial
// only if this daemon has lost touch, since the old runners may have been stopped then, or if
// there is no other version yet before the order is taken up: then it is in use already.
func (s *requestHandler) pick(ctx context.Context, now time.Time) (routing.Choice, error) {
	first := s.exchange.Sent() == 0
	if s.gate == nil {
		return s.pool.pick(now, &s.routingRequest, s.recommended, first)
	}
	side := s.edge.sideOfRepeat(s.gate)
	if first {
		side = s.edge.sideOfNewRequest(s.gate, s.route.Name)
	}
	s.pool.excludeBySide(&s.routingRequest, s.failedRunners, s.gate, side)
	choice, err := s.pool.pick(now, &s.routingRequest, s.recommended, first)
	late := err == nil && choice.Estimate > s.maxFirstTokenWait(now)
	if err == nil && !late || side == canary.Either {
		return choice, err
	}
	switch {
	case side == canary.Trial:
		s.pool.excludeBySide(&s.routingRequest, s.failedRunners, s.gate, canary.OldOnly)
	case side == canary.NewFirst || !late && (s.edge.outOfContact(ctx) || s.pool.targetInUse(s.gate)):
		s.pool.excludeBySide(&s.routingRequest, s.failedRunners, s.gate, canary.Either)
	default:
		return choice, err
	}
	return s.pool.pick(now, &s.routingRequest, s.recommended, first)
}

// targetInUse tells whether the service has only runners of an order's target, and nobody has begun
// to decide on the order.
func (p *pool) targetInUse(g *canary.Gate) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.edge.trials.mu.Lock()
	defer p.edge.trials.mu.Unlock()
	if g.Begun() {
		return false
	}
	for _, r := range p.runners {
		if r.Version != g.Order().Target {
			return false
		}
	}
	return true
}

// countVersions counts the runners that take new requests, of the version that serves and of an
// order's target, and what this daemon has in progress at runners of other countVersions.
func (p *pool) countVersions(g *canary.Gate) (old, fresh, oldInFlight int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.edge.trials.mu.Lock()
	defer p.edge.trials.mu.Unlock()
	target := g.Order().Target
	for id, r := range p.runners {
		switch {
		case r.Version == target && r.State == view.Live:
			fresh++
		case r.Version != target && r.State == view.Live && !g.Avoids(r.Version):
			old++
		}
		if act := p.activities[id]; act != nil && r.Version != target {
			oldInFlight += len(act.attempts)
		}
	}
	return old, fresh, oldInFlight
}

// awaitingDecision is how many runners of a version wait for the decision on an order.
func (e *Edge) awaitingDecision(p *pool) int {
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
	_, fresh, _ := p.countVersions(g)
	return fresh
}

// isTrialReporter tells whether this daemon is one of those that report of an order.
func (e *Edge) isTrialReporter(o canary.Order, fleet int) bool {
	if fleet <= maxReporters {
		return true
	}
	return xxhash.Sum64String(string(e.self)+"/"+o.Service)%uint64(fleet) < maxReporters
}

// reporterShare is the part of the daemons that do.
func reporterShare(fleet int) float64 { return min(1, maxReporters/float64(max(1, fleet))) }

// reportTrials asks the holder for allowances and tells it what was counted.
func (e *Edge) reportTrials(now time.Duration) {
	if !e.trials.hasOrders.Load() || now-e.trials.reportedAt < trialReportInterval {
		return
	}
	e.trials.reportedAt = now
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

// openGates are those of orders that are not decided and have a holder to report to.
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

// receiveAllowance takes in the holder's answer.
func (e *Edge) receiveAllowance(a *peersv1.TrialAllowance) {
	e.trials.mu.Lock()
	defer e.trials.mu.Unlock()
	if g := e.trials.gates[a.Service]; g != nil {
		g.Allow(decodeAllowance(a))
	}
}

// countTrialDispatch counts a request that is being sent for the first time.
func (s *requestHandler) countTrialDispatch() {
	if s.gate == nil || s.exchange.Sent() > 0 {
		return
	}
	s.edge.trials.mu.Lock()
	defer s.edge.trials.mu.Unlock()
	s.gate.Dispatched()
}

// trialSample is an attempt's answer for the comparison of versions.
type trialSample struct {
	gate  *canary.Gate
	isNew bool
}

// sampleFor notes which version an attempt goes to; the zero value is not compared.
func (s *requestHandler) sampleFor(id ident.RunnerID) trialSample {
	g := s.edge.trials.gate(s.pool.name)
	if g == nil {
		return trialSample{}
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return trialSample{g, s.pool.runners[id].Version == g.Order().Target}
}

// took counts a whole answer, or with pace the time between its events.
func (a *attempt) took(d time.Duration, pace bool) {
	a.recordSample(pace, func(c *canary.Counts) { c.Took(d) })
}

// recordStreamLatency counts a whole stream. Prompts differ in length and in what is cached of them, so
// the time to the first event counts against what was expected of the runner: one second
// stands for as long as that. The pace is counted apart.
func (a *attempt) recordStreamLatency() {
	if a.trial.gate == nil {
		return
	}
	against := max(a.choice.Estimate, minEstimate)
	a.took(time.Duration(float64(time.Second)*float64(a.firstEventAfter)/float64(against)), false)
	if n := a.s.events.Events(); n > 1 {
		a.took((time.Since(a.sent)-a.firstEventAfter)/time.Duration(n-1), true)
	}
}

// recordFailure counts an answer that was none.
func (a *attempt) recordFailure() { a.recordSample(false, func(c *canary.Counts) { c.Fail() }) }

func (a *attempt) recordSample(pace bool, count func(*canary.Counts)) {
	if a.trial.gate == nil {
		return
	}
	t := &a.s.edge.trials
	t.mu.Lock()
	defer t.mu.Unlock()
	count(a.trial.gate.Tally().Of(canary.Series{Route: a.s.route.Name, Pace: pace}, a.trial.isNew))
}
