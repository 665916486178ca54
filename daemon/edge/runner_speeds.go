package edge

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/coordination/fleet"
	"geraniumstack.org/geraniumstack/coordination/runnerspeed"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/load"
	"geraniumstack.org/geraniumstack/state/route"
)

// This file connects package runnerspeed to streams, messages and placement. Each daemon measures its own
// streams. In a direct fleet it sends its observations to all others; otherwise a follower sends them to
// its primary relay, and a relay sends its own and its followers' to the other relays, and estimates to
// its followers. What a relay has heard from another relay it doesn't pass on, so observations don't
// circulate.

const (
	// maxPaces and maxSpeeds bound the observations and the estimates in one message. Encoded they take up
	// to 17 and 19 bytes each.
	maxPaces  = 64
	maxSpeeds = 32
	// Up to fullPacesRelays other relays are sent maxPaces each, more are sent less, but at least minPaces.
	fullPacesRelays = 8
	minPaces        = 8
	// minSpeedUpdate is the least time between two updates of a service's estimates, speedUpdatePerRunner
	// the same for each runner: an update of 10,000 runners takes some milliseconds.
	minSpeedUpdate       = 400 * time.Millisecond
	speedUpdatePerRunner = 200 * time.Microsecond
	// speedLogInterval is the least time between two log lines about the speeds of a service.
	speedLogInterval = time.Second
)

// runnerSpeeds holds what is known of the speeds of all services' runners.
type runnerSpeeds struct {
	mu       sync.Mutex
	services map[string]*serviceSpeeds
	// serviceOf finds the service of a runner.
	serviceOf map[runnerspeed.Runner]*serviceSpeeds
	// fresh are the observations that have not been sent yet, oldest first, at most maxPaces.
	fresh []freshPace
}

// freshPace is an observation to send. own says that this daemon has made it, not a follower.
type freshPace struct {
	at       time.Duration
	runner   runnerspeed.Runner
	interval time.Duration
	own      bool
}

// serviceSpeeds holds the speeds of one service's runners.
type serviceSpeeds struct {
	table               *runnerspeed.Table
	ids                 map[runnerspeed.Runner]ident.RunnerID
	updatedAt, loggedAt time.Duration
	// unlogged says that something has changed since the last log line.
	unlogged bool
}

func (l *runnerSpeeds) init() {
	l.services = map[string]*serviceSpeeds{}
	l.serviceOf = map[runnerspeed.Runner]*serviceSpeeds{}
}

// setRunners replaces the list of a service's runners. Speeds are learned only if learn is set.
func (l *runnerSpeeds) setRunners(service string, learn bool, runners []Runner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, known := l.services[service]
	switch {
	case !known && !learn:
		return
	case !known:
		s = &serviceSpeeds{table: runnerspeed.New(), ids: map[runnerspeed.Runner]ident.RunnerID{}}
		l.services[service] = s
	case !learn:
		delete(l.services, service)
		runners = nil
	}
	list := make([]runnerspeed.Listed, len(runners))
	for i := range runners {
		list[i] = runnerspeed.Listed{Runner: runnerspeed.Runner(runnerHash(runners[i].ID)), Live: runners[i].State != view.Leaving}
	}
	added, removed := s.table.SetRunners(list)
	for _, hash := range removed {
		delete(s.ids, hash)
		delete(l.serviceOf, hash)
	}
	for _, i := range added {
		s.ids[list[i].Runner], l.serviceOf[list[i].Runner] = runners[i].ID, s
	}
}

// observe records an observation, and keeps it for this daemon's messages if send is set. It returns false
// if it is of no use.
func (l *runnerSpeeds) observe(now time.Duration, by runnerspeed.Observer, p freshPace, send bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, known := l.serviceOf[p.runner]
	if !known || !s.table.Observe(now, p.runner, by, p.interval) {
		return false
	}
	if send {
		if len(l.fresh) >= maxPaces {
			l.fresh = slices.Delete(l.fresh, 0, 1)
		}
		l.fresh = append(l.fresh, p)
	}
	return true
}

// pacesToRelays returns how many observations a message to the other relays contains at most; a direct
// fleet is small. The caller must hold e.mu.
func (e *Edge) pacesToRelays() int {
	if e.relayPlan.Direct {
		return maxPaces
	}
	return pacesToEach(len(e.relayPlan.OtherRelays))
}

// pacesToEach returns how many observations a message to each of a number of other relays contains at
// most, so that a relay's bytes don't grow with their number.
func pacesToEach(otherRelays int) int {
	return max(minPaces, maxPaces*fullPacesRelays/max(fullPacesRelays, otherRelays))
}

// takePaces returns the observations that have not been sent yet, newest first and at most limit, and counts
// all of them as sent. Those of followers are left out unless followers is set.
func (l *runnerSpeeds) takePaces(now time.Duration, followers bool, limit int) []*peersv1.RunnerPace {
	l.mu.Lock()
	defer l.mu.Unlock()
	var paces []*peersv1.RunnerPace
	for _, p := range slices.Backward(l.fresh) {
		if len(paces) >= limit {
			break
		}
		if now-p.at <= runnerspeed.MaxAge && (followers || p.own) {
			paces = append(paces, &peersv1.RunnerPace{Runner: uint64(p.runner), IntervalUs: uint32(p.interval.Microseconds())})
		}
	}
	l.fresh = l.fresh[:0]
	return paces
}

// forFollowers returns the estimates for the followers whose primary relay this daemon is; none if there
// are no such followers.
func (l *runnerSpeeds) forFollowers(now time.Duration, followers map[ident.Incarnation]follower) []*peersv1.RunnerSpeed {
	primary := false
	for _, f := range followers {
		primary = primary || f.primary
	}
	if !primary {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var speeds []*peersv1.RunnerSpeed
	for _, s := range l.services {
		for _, e := range s.table.ForFollowers(now, maxSpeeds-len(speeds)) {
			speeds = append(speeds, &peersv1.RunnerSpeed{Runner: uint64(e.Runner), IntervalUs: uint32(e.Interval.Microseconds()), Observations: uint32(e.Observations)})
		}
	}
	return speeds
}

// receiveSpeeds records the observations and estimates of another daemon. Observations of followers are
// passed on; estimates count only from the primary relay, which has more observations than this daemon.
func (e *Edge) receiveSpeeds(id ident.Incarnation, h *peersv1.Hello, from workSource) {
	if len(h.Paces) == 0 && len(h.Speeds) == 0 || !e.settings.Policy.Uses(RunnerSpeeds) {
		return
	}
	now := e.deps.Steady()
	count := func(accepted bool) {
		if accepted {
			e.log.Count("speeds.received")
		} else {
			e.log.Count("speeds.ignored")
		}
	}
	send := from == sourceFollower && e.relayMode.Load() && !e.directMode.Load()
	for i, m := range h.Paces {
		p := freshPace{at: now, runner: runnerspeed.Runner(m.GetRunner()), interval: time.Duration(m.GetIntervalUs()) * time.Microsecond}
		count(i < maxPaces && (from == sourceFollower || from == sourceRelay) && e.runnerSpeeds.observe(now, observerOf(id), p, send))
	}
	for i, m := range h.Speeds {
		count(i < maxSpeeds && from == sourcePrimary && e.runnerSpeeds.receive(now, m))
	}
}

// receive records the estimate of a relay.
func (l *runnerSpeeds) receive(now time.Duration, m *peersv1.RunnerSpeed) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, known := l.serviceOf[runnerspeed.Runner(m.GetRunner())]
	return known && s.table.Receive(now, runnerspeed.Estimate{
		Runner: runnerspeed.Runner(m.GetRunner()), Interval: time.Duration(m.GetIntervalUs()) * time.Microsecond, Observations: int(m.GetObservations()),
	})
}

func observerOf(id ident.Incarnation) runnerspeed.Observer {
	return runnerspeed.Observer(xxhash.Sum64String(string(id)))
}

// updateSpeeds recomputes a service's estimates if that is due. It returns the runners' factors, nil while
// the runners don't differ, and whether any may have changed.
func (e *Edge) updateSpeeds(now time.Duration, service string) (factors map[ident.RunnerID]float64, changed bool) {
	l := &e.runnerSpeeds
	l.mu.Lock()
	defer l.mu.Unlock()
	s, known := l.services[service]
	if !known {
		return nil, true
	}
	if now-s.updatedAt < max(minSpeedUpdate, time.Duration(len(s.ids))*speedUpdatePerRunner) {
		return nil, false
	}
	s.updatedAt = now
	before := s.table.Uneven()
	changed = s.table.Update(now)
	if uneven := s.table.Uneven(); uneven != before {
		changed = true
		if uneven {
			e.log.Count("speeds.uneven")
		}
	}
	s.unlogged = s.unlogged || changed
	if s.unlogged && now-s.loggedAt >= speedLogInterval {
		s.unlogged, s.loggedAt = false, now
		known := s.table.Summary()
		e.log.Note("runner_speeds", decisions.F("service", service), decisions.F("runners", known.Runners), decisions.F("known", known.Known),
			decisions.F("slowest", known.Slowest), decisions.F("fastest", known.Fastest), decisions.F("uneven", known.Uneven), decisions.F("oldest", known.Oldest))
	}
	if !changed || !s.table.Uneven() {
		return nil, changed
	}
	factors = make(map[ident.RunnerID]float64, len(s.ids))
	for hash, id := range s.ids {
		factors[id] = s.table.Factor(hash)
	}
	return factors, true
}

// poolSpeeds holds what a pool uses of its runners' learned speeds. It is guarded by pool.mu.
type poolSpeeds struct {
	// factors says how many times as fast as the service's reference each runner is; nil while the runners
	// don't differ. scaled says that a factor has ever been used.
	factors map[ident.RunnerID]float64
	scaled  bool
	pauses  runnerspeed.PauseRisk
}

// factor returns the factor of a runner.
func (s *poolSpeeds) factor(id ident.RunnerID) float64 { return cmp.Or(s.factors[id], 1) }

// scale multiplies the rates of a runner's load report by its factor.
func (s *poolSpeeds) scale(id ident.RunnerID, rep *load.Report) {
	if !s.scaled {
		return
	}
	rep.PrefillRate *= s.factor(id)
	rep.DecodeRate = engineDecodeRate * s.factor(id)
}

// normalise converts a time to first token at a runner to what it would be at a runner of the service's
// reference speed.
func (s *poolSpeeds) normalise(id ident.RunnerID, took time.Duration) time.Duration {
	if s.factors == nil {
		return took
	}
	return time.Duration(float64(took) * s.factor(id))
}

// updateSpeeds passes the runners' speeds and pause risks to the routing table.
func (p *pool) updateSpeeds(now time.Duration) {
	factors, changed := p.edge.updateSpeeds(now, p.name)
	p.mu.Lock()
	defer p.mu.Unlock()
	changed = changed && (factors != nil || p.speeds.factors != nil)
	if changed {
		p.speeds.factors = factors
		p.speeds.scaled = p.speeds.scaled || factors != nil
		p.updateLoadsLocked(time.Now())
	}
	switch {
	case p.speeds.factors != nil:
		p.table.SetPauseRisks(func(id ident.RunnerID) float64 { return p.speeds.pauses.Risk(now, p.speeds.factor(id)) })
	case changed:
		p.table.SetPauseRisks(func(ident.RunnerID) float64 { return 0 })
	}
}

// recordPause records whether a stream at a runner has paused for too long, while the runners differ.
func (p *pool) recordPause(id ident.RunnerID, tooLong bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.speeds.factors != nil {
		p.speeds.pauses.Observe(p.edge.deps.Steady(), p.speeds.factor(id), tooLong)
	}
}

// pauseWeight returns what a stream that pauses for too long is worth: as much as one whose first event is
// late by the route's target latency.
func pauseWeight(r *route.Route) float64 {
	if r.MaxPause <= 0 {
		return 0
	}
	return r.TargetLatency.Seconds()
}

// pricesBySpeed returns the offers with the price of what a runner of the reference speed does: the price
// of a pool's runners divided by the mean of their factors.
func (f *fleetScaler) pricesBySpeed(offers []fleet.Offer) []fleet.Offer {
	p := f.edge.pool(f.service.Name)
	if p == nil {
		return offers
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.speeds.factors == nil {
		return offers
	}
	sums, runners := map[fleet.Pool]float64{}, map[fleet.Pool]float64{}
	for id, r := range p.runners {
		if r.State != view.Leaving {
			sums[poolOf(&r)] += p.speeds.factor(id)
			runners[poolOf(&r)]++
		}
	}
	offers = slices.Clone(offers)
	for i, o := range offers {
		if n := runners[o.Pool]; n > 0 {
			offers[i].PricePerHour /= sums[o.Pool] / n
		}
	}
	return offers
}

// streamSpeed measures one attempt's stream. Its methods do nothing if it is nil.
type streamSpeed struct {
	a      *attempt
	stream runnerspeed.Stream
	// events is the number of events of the request so far. paused says that the stream has paused for
	// too long.
	events int
	paused bool
}

// measureSpeed returns the measurement of an attempt's stream, nil if it shows no runner's speed.
func (a *attempt) measureSpeed() *streamSpeed {
	if a.helper != "" || !a.s.edge.settings.Policy.Uses(RunnerSpeeds) || !a.s.pool.hasEngine() {
		return nil
	}
	return &streamSpeed{a: a, events: a.s.eventsSent()}
}

// arrived records that data has arrived, after which the caller has a number of events.
func (m *streamSpeed) arrived(events int) {
	if m == nil || events == m.events {
		return
	}
	e := m.a.s.edge
	n := events - m.events
	m.events = events
	if interval, ok := m.stream.Arrived(m.now(), n); ok {
		now := e.deps.Steady()
		p := freshPace{at: now, runner: runnerspeed.Runner(runnerHash(m.a.choice.Runner)), interval: interval, own: true}
		if e.runnerSpeeds.observe(now, observerOf(e.self), p, true) {
			e.log.Count("speeds.observed")
		}
	}
	if longest := m.a.s.route.MaxPause; !m.paused && longest > 0 && m.stream.LongestPause() > longest {
		m.paused = true
		m.a.s.pool.recordPause(m.a.choice.Runner, true)
	}
}

// now returns the time since the attempt was sent. Unlike Deps.Steady it doesn't count the time in which this
// VM was suspended, which is no pause of the runner's.
func (m *streamSpeed) now() time.Duration { return time.Since(m.a.sent) }

// waiting records that the caller has taken what had arrived.
func (m *streamSpeed) waiting() {
	if m != nil {
		m.stream.Waiting(m.now())
	}
}

// ended records the end of a whole stream. One that broke off shows nothing of pauses: its runner has
// failed, or its caller has left.
func (m *streamSpeed) ended() {
	if m != nil && !m.paused && m.a.s.route.MaxPause > 0 {
		m.a.s.pool.recordPause(m.a.choice.Runner, false)
	}
}
