package edge

import (
	"cmp"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"geraniumstack.org/geraniumstack/coordination/fleet"
	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/coordination/spillover"
	"geraniumstack.org/geraniumstack/coordination/view"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
)

// While the operator states what traffic between failure domains is worth, coordination/spillover
// decides which requests leave the daemon's domain. This file gives it the loads of the domains, the
// round trips between them and the sizes of requests.

const (
	// flowsInterval is the time between two sums of the requests in progress by the callers' domain. A
	// relay of a large fleet needs milliseconds for one.
	flowsInterval = time.Second
	// longListInterval is the time between two sums of the loads of a list of runners that doesn't
	// fit into a routing table.
	longListInterval = time.Second
	// firstAnswerBytes is the assumed size of an answer for each expected token until answers have
	// been measured: that of a short event.
	firstAnswerBytes = 200
	// sampleWeight is the weight of one request in the means of work and size.
	sampleWeight = 0.05
	// minSetupTime is the least time that a new connection to another failure domain takes. In less
	// time a request only gets a connection that is open already.
	minSetupTime = 200 * time.Microsecond
	// keptRoundTrips is the number of latest samples from which a round trip is taken.
	keptRoundTrips = 16
	// offeredRateTime is the time constant of the demand by domain: that with which the demand for
	// runners falls.
	offeredRateTime = 5 * time.Second
	// totalRateInterval is the time over which the tokens that callers bring are counted: several
	// messages of a relay.
	totalRateInterval = time.Second
	// minSpilloverLogInterval is the least time between two log lines about a service's shares, and
	// loggedShareChange the change of a share that is logged.
	minSpilloverLogInterval = time.Second
	loggedShareChange       = spillover.MaxStep
	// addressesInterval is the time between two updates of the failure domains of peer addresses.
	addressesInterval = time.Second
)

// decidesSpillover reports whether this daemon decides what leaves its failure domain.
func (s *Settings) decidesSpillover() bool { return s.Spillover > 0 && s.Policy.Uses(Spillover) }

// directFleet returns the largest number of daemons that exchange messages directly. With relays,
// daemons of other failure domains get sums from a few relays in place of messages from each daemon.
func (s *Settings) directFleet() int {
	if s.decidesSpillover() {
		return relays.AllWatchFleet
	}
	return s.Policy.DirectFleet()
}

// edgeSpillover is what a daemon knows of the failure domains, for all services.
type edgeSpillover struct {
	mu sync.Mutex
	// heardAt is when work was last reported by another daemon of a domain to this relay, primaryAt
	// when the primary relay reported that of all daemons, and seenAt when a daemon of a domain was
	// last alive.
	heardAt, seenAt map[ident.FailureDomain]time.Duration
	primaryAt       time.Duration
	// offeredTokens counts, by service and the domain of the daemons, the uncached prompt tokens that
	// callers brought to other daemons.
	offeredTokens map[string]map[ident.FailureDomain]*fleet.Tally
	roundTrips    map[ident.FailureDomain]*roundTrip
	steppedAt     time.Duration
	// domains holds the failure domains of peer addresses in other domains, as of domainsAt.
	domains   atomic.Pointer[map[string]ident.FailureDomain]
	domainsAt time.Duration
}

// roundTrip holds the latest samples of the round trip to a domain: the times to set up connections
// and, as upper bounds, those to the first byte of an answer.
type roundTrip struct{ setups, firstBytes []time.Duration }

func (s *edgeSpillover) init() {
	s.heardAt, s.seenAt = map[ident.FailureDomain]time.Duration{}, map[ident.FailureDomain]time.Duration{}
	s.offeredTokens = map[string]map[ident.FailureDomain]*fleet.Tally{}
	s.roundTrips = map[ident.FailureDomain]*roundTrip{}
}

func addSample(samples []time.Duration, d time.Duration) []time.Duration {
	if len(samples) == keptRoundTrips {
		samples = samples[1:]
	}
	return append(samples, d)
}

func (r *roundTrip) value() time.Duration {
	value := remotePenalty
	if len(r.setups) > 0 {
		value = slices.Min(r.setups)
	}
	for _, d := range r.firstBytes {
		value = min(value, d)
	}
	return value
}

// observe adds a sample of the round trip to a domain.
func (s *edgeSpillover) observe(domain ident.FailureDomain, took time.Duration, isSetup bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.roundTrips[domain]
	if !ok {
		r = &roundTrip{}
		s.roundTrips[domain] = r
	}
	if isSetup {
		r.setups = addSample(r.setups, took)
		return
	}
	r.firstBytes = addSample(r.firstBytes, took)
}

// roundTrip returns the round trip to a domain, remotePenalty until it has been measured.
func (s *edgeSpillover) roundTrip(domain ident.FailureDomain) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.roundTrips[domain]; ok {
		return r.value()
	}
	return remotePenalty
}

// receiveWork records whose work a message reports.
func (s *edgeSpillover) receiveWork(now time.Duration, id ident.Incarnation, h *peersv1.Hello, from workSource, relayed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from == sourcePrimary {
		s.primaryAt = now
		return
	}
	domain := ident.FailureDomain(h.FailureDomain)
	s.heardAt[domain] = now
	for _, o := range h.Offered {
		byDomain := s.offeredTokens[o.Service]
		if byDomain == nil {
			byDomain = map[ident.FailureDomain]*fleet.Tally{}
			s.offeredTokens[o.Service] = byDomain
		}
		if byDomain[domain] == nil {
			byDomain[domain] = &fleet.Tally{}
		}
		byDomain[domain].SetViaRelays(relayed)
		byDomain[domain].Receive(now, id, o.PromptTokens)
	}
}

// loadAge returns the age of what is known of the load that other daemons of a domain cause. Domains
// without daemons cause none. While a domain's daemons have only just gone silent, a failed link is
// as likely as their end.
func (s *edgeSpillover) loadAge(now time.Duration, domain ident.FailureDomain, follower bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	seenAt, seen := s.seenAt[domain]
	if follower {
		age := now - s.primaryAt
		if seen && now-seenAt <= peers.ForgetAfter {
			// A roster names only some daemons of other domains.
			age = max(age, now-seenAt-peers.RosterTTL)
		}
		return age
	}
	if heardAt, heard := s.heardAt[domain]; heard && now-heardAt <= peers.ForgetAfter {
		return now - heardAt
	}
	if seen && now-seenAt <= peers.ForgetAfter {
		return peers.ForgetAfter
	}
	return 0
}

// updateMembers records which domains have live daemons, and the domains of the peer addresses.
func (s *edgeSpillover) updateMembers(now time.Duration, self ident.FailureDomain, alive []peers.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range alive {
		s.seenAt[alive[i].FailureDomain] = now
	}
	if s.domains.Load() != nil && now-s.domainsAt < addressesInterval {
		return
	}
	s.domainsAt = now
	domains := map[string]ident.FailureDomain{}
	for i := range alive {
		if alive[i].FailureDomain != self {
			domains[alive[i].PeerAddress] = alive[i].FailureDomain
		}
	}
	s.domains.Store(&domains)
}

// offered returns the tokens that callers have brought to other daemons, by the daemons' domain.
func (s *edgeSpillover) offered(service string) map[ident.FailureDomain]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	totals := map[ident.FailureDomain]float64{}
	for domain, tally := range s.offeredTokens[service] {
		totals[domain] = tally.Total()
	}
	return totals
}

// countMessage counts a message to another failure domain.
func (e *Edge) countMessage(address string, bytes int) {
	if domains := e.spill.domains.Load(); domains != nil {
		if _, away := (*domains)[address]; away {
			e.log.Add("bytes.away.messages", bytes)
		}
	}
}

// poolSpillover is the state of one service. pool.mu guards it.
type poolSpillover struct {
	controller *spillover.Controller
	// meanWork is the mean of uncached tokens of a request, answerBytes that of an answer's bytes for
	// each expected token.
	meanWork, answerBytes float64
	// loads and flows are the latest sums.
	loads            map[ident.FailureDomain]spillover.Load
	flows            spillover.Flows
	loadsAt, flowsAt time.Duration
	// offeredRates are the tokens that callers bring to the domains in a second, from the totals in
	// offered at offeredAt.
	offeredRates, offered map[ident.FailureDomain]float64
	offeredAt             time.Duration
	// totalRate are the tokens that callers bring to all domains in a second, from the total at
	// totalAt.
	totalRate, total float64
	totalAt          time.Duration
	// loggedShares are the shares as last logged, at loggedAt.
	loggedShares map[ident.FailureDomain]float64
	loggedAt     time.Duration
}

// newPoolSpillover returns nil if nothing is decided about the traffic between failure domains.
func newPoolSpillover(e *Edge) *poolSpillover {
	if !e.settings.decidesSpillover() {
		return nil
	}
	return &poolSpillover{
		controller:   spillover.New(e.settings.FailureDomain, e.settings.Spillover),
		answerBytes:  firstAnswerBytes,
		offeredRates: map[ident.FailureDomain]float64{}, loggedShares: map[ident.FailureDomain]float64{},
	}
}

// expectedBytes returns the size of a request with its expected answer.
func (s *poolSpillover) expectedBytes(r *routing.Request) float64 {
	return float64(r.Bytes) + s.answerBytes*float64(r.OutputTokens)
}

// pickInDomain chooses a runner. While spillover is decided, runners elsewhere are candidates only
// for requests that leave, or that no runner at home can take. The caller must hold mu.
func (p *pool) pickInDomain(now time.Time, r *routing.Request) (routing.Choice, error) {
	if p.spill == nil {
		return p.table.Pick(now, r)
	}
	home, ok := p.table.PickIn(now, p.edge.settings.FailureDomain, r)
	if !ok {
		return p.table.Pick(now, r)
	}
	type option struct {
		choice     routing.Choice
		wait, cost time.Duration
		share      float64
	}
	var options []option
	for _, s := range p.spill.controller.Statuses() {
		if s.Share <= 0 {
			continue
		}
		if c, ok := p.table.PickIn(now, s.To, r); ok {
			cost := p.edge.settings.Spillover.Cost(p.edge.spill.roundTrip(s.To), p.spill.expectedBytes(r))
			options = append(options, option{c, c.Estimate + c.FailureCost - remotePenalty, cost, s.Share})
		}
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Compare(a.wait+a.cost, b.wait+b.cost) })
	kept, draw := false, rand.Float64()
	for i := range options {
		o := &options[i]
		switch spillover.Decide(home.Estimate+home.FailureCost, o.wait, o.cost, o.share, draw) {
		case spillover.Leave:
			return o.choice, nil
		case spillover.Kept:
			kept = true
		case spillover.Stay:
		}
		draw -= o.share
	}
	if kept {
		p.edge.log.Count("spillover.kept")
	}
	return home, nil
}

// candidatesInDomain returns the best runners for a request from which a relay may choose: those of
// the failure domain that pickInDomain would choose. The caller must hold mu.
func (p *pool) candidatesInDomain(r *routing.Request, n int) ([]routing.Candidate, error) {
	if p.spill == nil {
		return p.table.Candidates(r, n)
	}
	c, err := p.pickInDomain(time.Now(), r)
	if err != nil {
		return nil, err
	}
	if list, err := p.table.CandidatesIn(p.runners[c.Runner].FailureDomain, r, n); err == nil {
		return list, nil
	}
	return p.table.Candidates(r, n)
}

// recordCrossing records a request that is about to be sent to a runner. The caller must hold mu.
func (p *pool) recordCrossing(c routing.Choice, r *routing.Request) {
	s := p.spill
	if s == nil {
		return
	}
	to, work := p.runners[c.Runner].FailureDomain, float64(c.Uncached)
	s.controller.Record(to, work, s.expectedBytes(r))
	if s.meanWork == 0 {
		s.meanWork = work
	}
	s.meanWork += sampleWeight * (work - s.meanWork)
	if to != p.edge.settings.FailureDomain {
		p.edge.log.Count("spillover.sent")
	}
}

// recordLinkFailure records that a runner could not be reached or fell silent.
func (p *pool) recordLinkFailure(id ident.RunnerID) {
	if p.spill == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.runners[id]
	if !ok || r.FailureDomain == p.edge.settings.FailureDomain {
		return
	}
	runners := 0
	for _, other := range p.runners {
		if other.FailureDomain == r.FailureDomain && other.State == view.Live {
			runners++
		}
	}
	if p.spill.controller.LinkFailed(p.edge.deps.Steady(), r.FailureDomain, id, max(1, runners)) {
		p.edge.log.Count("spillover.link_cut")
	}
}

// crosses reports whether the attempt's runner is in another failure domain and that is decided on.
func (a *attempt) crosses() bool {
	e := a.s.edge
	return a.s.pool.spill != nil && a.helper == "" && a.entry.FailureDomain != "" && a.entry.FailureDomain != e.settings.FailureDomain
}

// observeConnection records how long the attempt has taken to get a connection.
func (a *attempt) observeConnection(took time.Duration) {
	if took >= minSetupTime && a.crosses() {
		a.s.edge.spill.observe(a.entry.FailureDomain, took, true)
	}
}

// meterCrossing counts the bytes of a request and its answer if they cross between failure domains,
// and learns the size of answers.
func (a *attempt) meterCrossing(answer *Answer, err error) {
	p := a.s.pool
	if p.spill == nil {
		return
	}
	crosses := a.crosses()
	if crosses && (err == nil || a.connected.Load()) {
		a.s.edge.log.Add("bytes.away.request", a.s.req.Body.Len())
	}
	if err != nil {
		return
	}
	if crosses {
		a.s.edge.spill.observe(a.entry.FailureDomain, time.Since(a.sent), false)
		p.mu.Lock()
		p.spill.controller.LinkWorks(a.entry.FailureDomain, a.s.edge.deps.Steady()-time.Since(a.sent))
		p.mu.Unlock()
	}
	answer.Body = &meteredBody{ReadCloser: answer.Body, attempt: a, crosses: crosses}
}

// meteredBody is the body of an answer whose bytes are counted.
type meteredBody struct {
	io.ReadCloser
	attempt *attempt
	crosses bool
	bytes   int
	once    sync.Once
}

// Read implements io.Reader.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += n
	if b.crosses && n > 0 {
		b.attempt.s.edge.log.Add("bytes.away.answer", n)
	}
	return n, err
}

// Close implements io.Closer.
func (b *meteredBody) Close() error {
	b.once.Do(func() {
		p := b.attempt.s.pool
		p.mu.Lock()
		defer p.mu.Unlock()
		perToken := float64(b.bytes) / float64(max(1, b.attempt.s.routingRequest.OutputTokens))
		p.spill.answerBytes += sampleWeight * (perToken - p.spill.answerBytes)
	})
	return b.ReadCloser.Close()
}

// stepSpillover updates the shares of all services if that is due.
func (e *Edge) stepSpillover() {
	if !e.settings.decidesSpillover() {
		return
	}
	now := e.deps.Steady()
	e.mu.Lock()
	follower := len(e.relayPlan.Followed) > 0
	e.spill.updateMembers(now, e.settings.FailureDomain, e.alive)
	e.mu.Unlock()
	e.spill.mu.Lock()
	steps := int((now - e.spill.steppedAt) / spillover.StepInterval)
	if steps > 0 {
		e.spill.steppedAt = now
	}
	e.spill.mu.Unlock()
	if steps <= 0 {
		return
	}
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	for _, p := range e.pools {
		p.stepSpillover(now, min(steps, maxSteps), follower)
	}
}

// maxSteps bounds the steps made at once. A daemon that was suspended for longer knows old loads.
const maxSteps = 2

func (p *pool) stepSpillover(now time.Duration, steps int, follower bool) {
	offered := p.edge.spill.offered(p.name)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.spill
	if s == nil {
		return
	}
	if len(p.runners) <= routing.MaxRunners || now-s.loadsAt >= longListInterval {
		s.loadsAt = now
		s.loads = p.domainLoads()
	}
	if follower {
		s.flows = nil
	} else if s.flows == nil || now-s.flowsAt >= flowsInterval {
		s.flowsAt = now
		s.flows = p.domainFlows()
	}
	for domain, l := range s.loads {
		if domain != p.edge.settings.FailureDomain {
			l.Age = p.edge.spill.loadAge(now, domain, follower)
			s.loads[domain] = l
		}
	}
	offered[p.edge.settings.FailureDomain] += p.offeredTokens
	s.updateOffered(now, offered, p.work.PromptTokens)
	for i := range steps {
		at := now - time.Duration(steps-1-i)*spillover.StepInterval
		s.controller.Step(at, s.loads, s.flows, s.totalRate, p.edge.spill.roundTrip)
	}
	p.logSpillover(now)
}
