package canary

import (
	"math"
	"time"
)

// Bounds are the users' figures for orders.
type Bounds struct {
	// Of all requests to the service a bad version may get Share, and Slack more.
	Share float64
	Slack float64
}

// Fleet is what the holder sees of daemons and runners.
type Fleet struct {
	// Reporting is the part of the daemons that report.
	Reporting float64
	// OldRunners and NewRunners take new requests.
	OldRunners, NewRunners int
}

const (
	// usableShare and slackUsed are the parts of the bounds that are given out. The rest is
	// for a version that turns bad when it gets all requests.
	usableShare = 0.8
	usableSlack = 0.6
	// reserveStep is how many more requests are written down as given out at a time.
	reserveStep = 40
	// Trials go on in bursts at the load that the new runners will have. burstShare is the
	// part of the requests that goes to the new version meanwhile. One begins when as many
	// requests are free to be given out as it takes in burstFor, at least leastBurst and at
	// most mostBurst, and ends when under closeAt are.
	burstShare    = 0.25
	burstDuration = time.Second
	minBurst      = 8
	maxBurst      = 40
	burstEndBelow = 4
	// promoteAfter and completeBy are parts of the order's time: when a version of which nothing
	// bad is known gets all requests, and when the old runners are stopped whatever they do.
	promoteAfter = 0.65
	completeBy   = 0.92
	// propagationTime is how long all daemons need to hear that they should send to the new version.
	propagationTime = 1500 * time.Millisecond
	// minAnswersToPromote of the new version, and enoughOfRoute on each route that is judged, are
	// needed to call it good before the time is over, fewAnswers at all.
	minAnswersToPromote  = 40
	minAnswersPerRoute   = 20
	minAnswersAtDeadline = 8
	// minRouteShare of the requests are enough for a route to be tried more than others.
	minRouteShare = 0.05
	// minRunnerRatio of the old runners' number must be there of the new ones.
	minRunnerRatio = 0.75
	// reportTimeout is how long a daemon may not report until it isn't waited for.
	reportTimeout = 2 * time.Second
)

// Holder decides on one order. It goes on from the record that a former holder left.
type Holder struct {
	bounds     Bounds
	order      Order
	record     Record
	comparison Comparison
	// daemons by their incarnations.
	daemons map[string]*daemonState
	// grantedBefore is what had been given out when this holder grantedBefore.
	grantedBefore int
	burstOpen     bool
	// unwritten says that nothing has been written of the order yet.
	unwritten  bool
	promotedAt time.Duration
	fleet      Fleet
	// badReason is what spoke badReason the new version, in the series that showed it.
	badReason Reason
	badSeries Series
}

// daemonState is what is known of one daemon.
type daemonState struct {
	report     Report
	reportedAt time.Duration
	// initialCeiling is the ceiling that the daemon had of former holders; ceiling is the present one.
	initialCeiling, ceiling int
	// perSecond is how many requests it takes.
	perSecond float64
}

// NewHolder goes on with an order. A record of another order says what to avoid.
func NewHolder(b Bounds, o Order, found Record, self string, unixMillis int64) *Holder {
	h := &Holder{bounds: b, order: o, comparison: NewCUSUM(), daemons: map[string]*daemonState{}, promotedAt: -1}
	if found.Order == o.Revision {
		h.record = found
		h.grantedBefore = found.Reserved
		return h
	}
	h.unwritten = true
	h.record = Record{
		Service: o.Service, Target: o.Target, Order: o.Revision, State: Running, Holder: self,
		DeadlineMillis: unixMillis + o.Duration.Milliseconds(), Avoid: found.versionsToAvoid(o.Target), Reason: Ordered,
	}
	return h
}

// Record is what has been written, or is to be written first.
func (h *Holder) Record() Record { return h.record }

// Unwritten tells whether nothing has been written of the order yet.
func (h *Holder) Unwritten() bool { return h.unwritten }

// SetWritten takes in that a record has been written.
func (h *Holder) SetWritten(r Record) { h.record, h.unwritten = r, false }

// Sent is how many requests went to the new version while Running, as far as it is known.
func (h *Holder) Sent() int {
	sent := h.grantedBefore
	for _, a := range h.daemons {
		sent += a.report.Sent - min(a.initialCeiling, a.report.Sent)
	}
	return sent
}

// Answers counts the new version's answers.
func (h *Holder) Answers() (answers, failed int) {
	for _, a := range h.daemons {
		for s, b := range a.report.Tally {
			if !s.Pace {
				answers, failed = answers+b.New.Answers, failed+b.New.Failed
			}
		}
	}
	return answers, failed
}

// HandleReport takes in a daemon's report and answers with its allowance.
func (h *Holder) HandleReport(now time.Duration, daemon string, r Report) (Allowance, bool) {
	if r.Order != h.order.Revision {
		return Allowance{}, false
	}
	a, known := h.daemons[daemon]
	if known && r.Ask <= a.report.Ask {
		return Allowance{}, false
	}
	heldCeiling := max(r.Sent, r.Ceiling)
	if !known {
		a = &daemonState{initialCeiling: heldCeiling, reportedAt: now}
		h.daemons[daemon] = a
	}
	h.compare(a, &r)
	if span := (now - a.reportedAt).Seconds(); known && span > 0 {
		a.perSecond = float64(r.Total-a.report.Total) / span
	}
	a.report, a.reportedAt, a.ceiling = r, now, heldCeiling
	return h.grant(a), true
}

// compare hands the judge what is new in a report.
func (h *Holder) compare(a *daemonState, r *Report) {
	for s, b := range r.Tally {
		before := a.report.Tally[s]
		if before == nil {
			before = &VersionCounts{}
		}
		old, fresh := b.Old.minus(&before.Old), b.New.minus(&before.New)
		h.comparison.Add(s, &old, &fresh)
	}
}

// granted is how much has been granted out at the most.
func (h *Holder) granted() int {
	sum := h.grantedBefore
	for _, a := range h.daemons {
		sum += a.ceiling - a.initialCeiling
	}
	return sum
}

// grantLimit is how much may be given out by the requests that are known of.
func (h *Holder) grantLimit() int {
	total := 0
	for _, a := range h.daemons {
		total += a.report.Total
	}
	return int(usableShare*h.bounds.Share*float64(total) + usableSlack*h.bounds.Slack)
}

// burstSize is how many requests must be free for a burstSize of trials to begin.
func (h *Holder) burstSize() int {
	perSecond := 0.0
	for _, a := range h.daemons {
		perSecond += a.perSecond
	}
	return min(max(int(burstShare*perSecond*burstDuration.Seconds()), minBurst), maxBurst)
}

// grant raises a daemon's ceiling by what it will need until it asks again.
func (h *Holder) grant(a *daemonState) Allowance {
	answer := Allowance{Order: h.order.Revision, Ask: a.report.Ask, Ceiling: a.ceiling}
	free := min(h.grantLimit(), h.record.Reserved) - h.granted()
	switch {
	case free >= h.burstSize():
		h.burstOpen = true
	case free < burstEndBelow:
		h.burstOpen = false
	}
	if h.bad() {
		answer.Halt = true
		return answer
	}
	if h.record.State != Running || !h.burstOpen || h.fleet.NewRunners == 0 || h.fleet.Reporting == 0 {
		return answer
	}
	answer.FavouredRoute, _ = h.leastTestedRoute()
	answer.Runners = max(1, int(burstShare*h.fleet.Reporting*float64(h.fleet.NewRunners)))
	answer.Share = min(1, float64(answer.Runners)/(h.fleet.Reporting*float64(h.fleet.NewRunners)))
	if h.fleet.OldRunners > 0 {
		answer.Share = min(answer.Share, 0.5)
	}
	more := int(math.Ceil(answer.Share * a.perSecond * allowanceTTL.Seconds()))
	left := a.ceiling - a.report.Sent
	a.ceiling += max(0, min(free, more-left))
	answer.Ceiling = a.ceiling
	return answer
}

// bad tells whether the new version was ever seen to be bad. Daemons were told to stop then,
// so later answers don't change it.
func (h *Holder) bad() bool {
	if h.badReason != "" {
		return true
	}
	badSeries, reason, bad := h.comparison.Bad()
	if bad {
		h.badSeries, h.badReason = badSeries, reason
	}
	return bad
}

// leastTestedRoute is the route that has the fewest answers of the new version, of those that are
// asked for often enough to be judged, with their number.
func (h *Holder) leastTestedRoute() (route string, answers int) {
	type known struct{ old, fresh int }
	routes, total := map[string]known{}, 0
	for _, a := range h.daemons {
		for s, b := range a.report.Tally {
			if s.Pace {
				continue
			}
			k := routes[s.Route]
			routes[s.Route] = known{k.old + b.Old.Answers, k.fresh + b.New.Answers}
			total += b.Old.Answers
		}
	}
	least, fewest := "", math.MaxInt
	for name, k := range routes {
		if float64(k.old) >= minRouteShare*float64(total) && (k.fresh < fewest || k.fresh == fewest && name < least) {
			least, fewest = name, k.fresh
		}
	}
	return least, fewest
}

// Tick returns the record as it should be now; the same as Record if there is nothing to do.
func (h *Holder) Tick(now time.Duration, unixMillis int64, self string, f Fleet) Record {
	h.fleet = f
	defer h.comparison.Decay(now)
	r := h.record
	if r.State.Final() {
		return r
	}
	if h.bad() {
		r.State, r.Reason, r.Route = RolledBack, h.badReason, h.badSeries.Route
		return r
	}
	if r.State == Promoting {
		return h.promoting(now, unixMillis, r)
	}
	return h.running(unixMillis, self, f, r)
}

func (h *Holder) running(unixMillis int64, self string, f Fleet, r Record) Record {
	if r.Holder != self {
		r.Holder, r.Reason = self, TookOver
	}
	if h.unwritten && f.OldRunners == 0 && f.NewRunners > 0 {
		r.State, r.Reason = Completed, AlreadyInUse
		return r
	}
	elapsedShare := h.elapsedShare(unixMillis)
	answers, _ := h.Answers()
	_, least := h.leastTestedRoute()
	enoughRunners := float64(f.NewRunners) >= minRunnerRatio*float64(f.OldRunners) && f.NewRunners > 0
	switch {
	case elapsedShare >= promoteAfter && answers >= minAnswersToPromote && least >= minAnswersPerRoute && enoughRunners:
		r.State, r.Reason = Promoting, NoDifference
	case elapsedShare < completeBy-h.propagationShare():
	case answers >= minAnswersAtDeadline && enoughRunners:
		r.State, r.Reason = Promoting, TimeOver
	case enoughRunners:
		r.State, r.Reason = RolledBack, TooFewAnswers
	default:
		r.State, r.Reason = RolledBack, TooFewRunners
	}
	if want := min(h.grantLimit(), h.granted()+reserveStep); r.State == Running && f.NewRunners > 0 && want > r.Reserved && h.granted()+maxBurst > r.Reserved {
		r.Reserved = want
		if r.Reason != TookOver {
			r.Reason = MoreRequests
		}
	}
	return r
}

func (h *Holder) promoting(now time.Duration, unixMillis int64, r Record) Record {
	if h.promotedAt < 0 {
		h.promotedAt = now
	}
	switch {
	case h.elapsedShare(unixMillis) >= completeBy:
		r.State, r.Reason = Completed, TimeOver
	case now-h.promotedAt >= propagationTime && h.oldRunnersIdle(now):
		r.State, r.Reason = Completed, OldIdle
	}
	return r
}

// elapsedShare is the part of the order's time that is over.
func (h *Holder) elapsedShare(unixMillis int64) float64 {
	if h.order.Duration <= 0 {
		return 1
	}
	left := time.Duration(h.record.DeadlineMillis-unixMillis) * time.Millisecond
	return 1 - float64(left)/float64(h.order.Duration)
}

// propagationShare is the time that all daemons need to hear of a step, as a part of the order's.
func (h *Holder) propagationShare() float64 {
	if h.order.Duration <= 0 {
		return 0
	}
	return min(completeBy-promoteAfter, float64(propagationTime)/float64(h.order.Duration))
}

// oldRunnersIdle tells whether all daemons that report go by the present state and have nothing in
// progress at old runners.
func (h *Holder) oldRunnersIdle(now time.Duration) bool {
	for _, a := range h.daemons {
		if now-a.reportedAt < reportTimeout && (a.report.Knows != Promoting || a.report.OldInFlight > 0) {
			return false
		}
	}
	return true
}
