package canary

import (
	"math"
	"time"
)

// Bounds limits the exposure of a service's requests to a bad version.
type Bounds struct {
	// A bad version may get at most Share*total + Slack requests, where total is the number of
	// requests to the service since the order began. Share is a fraction from 0 to 1.
	Share float64
	Slack float64
}

// Fleet describes the daemons and runners of the service as the holder sees them.
type Fleet struct {
	// Reporting is the fraction of all daemons that send reports to this holder.
	Reporting float64
	// OldRunners and NewRunners count the runners that accept new requests.
	OldRunners, NewRunners int
}

const (
	// The holder grants at most the fraction grantableShareFraction of Bounds.Share and the
	// fraction grantableSlackFraction of Bounds.Slack. The rest is left for a version that turns
	// bad only after its promotion, when it gets all requests.
	grantableShareFraction = 0.8
	grantableSlackFraction = 0.6
	// reserveStep is by how many requests beyond those already granted the holder raises
	// Record.Reserved at a time. Each raise costs a write to the key-value service.
	reserveStep = 40
	// Trial requests are sent in bursts, so that the new runners are tested at the load they
	// will have. A burst uses burstFraction of the new runners, but at least one. It starts
	// once as many requests may still be granted as burstFraction of the service's requests in
	// burstDuration, and at least minBurst, at most maxBurst. It ends when fewer than
	// burstEndBelow requests may still be granted.
	burstFraction = 0.25
	burstDuration = time.Second
	minBurst      = 8
	maxBurst      = 40
	burstEndBelow = 4
	// promoteAfter and completeBy are fractions of the order's duration, counted from its
	// first record. From promoteAfter on, a version that isn't known to be bad may get all
	// requests. At completeBy a promoted order is completed: the old runners are stopped even if
	// they still serve requests.
	promoteAfter = 0.65
	completeBy   = 0.92
	// propagationTime is how long all daemons need to learn that they should send to the new
	// version.
	propagationTime = 1500 * time.Millisecond
	// The new version is promoted before the deadline only with minAnswersToPromote answers
	// in all and minAnswersPerRoute on each route with at least minRouteAnswerShare of the old
	// version's answers. At the deadline, minAnswersAtDeadline answers in all are enough. The
	// deadline is propagationTime before completeBy, so that all daemons learn of a promotion
	// before the old runners are stopped.
	minAnswersToPromote  = 40
	minAnswersPerRoute   = 20
	minAnswersAtDeadline = 8
	// minRouteAnswerShare decides which routes count: those with (old version's answers on the
	// route) / (old version's answers on all routes) >= minRouteAnswerShare. Only routes that
	// count can become Allowance.FavouredRoute and need minAnswersPerRoute answers before a
	// promotion.
	minRouteAnswerShare = 0.05
	// minRunnerRatio is the minimum number of new runners for a promotion, as a fraction of the
	// number of old runners.
	minRunnerRatio = 0.75
	// reportTimeout is the time after a daemon's last report from which on the holder no longer
	// waits for the daemon. Before completeBy the holder completes a promoted order only when all
	// daemons that it waits for know of the promotion and have no requests in progress at old
	// runners.
	reportTimeout = 2 * time.Second
)

// Holder decides on one order. It continues from the record that an earlier holder left.
type Holder struct {
	bounds     Bounds
	order      Order
	record     Record
	comparison Comparison
	// daemons maps the incarnation of each daemon to its state.
	daemons map[string]*daemonState
	// reservedByEarlierHolders is Record.Reserved when this holder started: the number of
	// requests that earlier holders may have granted. All of them count as granted.
	reservedByEarlierHolders int
	// burstOpen says that a burst of trial requests is in progress.
	burstOpen bool
	// firstRecordUnwritten is set until the first record of the order has been written.
	firstRecordUnwritten bool
	// promotedAt is the time of the first call of Tick at which this holder found the order in
	// state Promoting; negative before.
	promotedAt time.Duration
	fleet      Fleet
	// badReason is the reason for a verdict against the new version, badSeries the series whose
	// answers led to it. Both are zero until then and don't change afterwards.
	badReason Reason
	badSeries Series
}

// daemonState is what the holder knows of one daemon.
type daemonState struct {
	report     Report
	reportedAt time.Duration
	// ceiling is the most requests that the daemon may ever send to the new version for this
	// order. firstReportedCeiling is the part of it that the daemon already held at its first
	// report to this holder. Earlier holders granted that part, so it is counted in
	// reservedByEarlierHolders and not again for the daemon.
	firstReportedCeiling, ceiling int
	// requestsPerSecond is the number of requests to the service that the daemon handled per second
	// between its last two reports, whichever version served them.
	requestsPerSecond float64
}

// NewHolder returns a holder that continues an order. If the record found belongs to another
// order, the new record takes from it the versions to avoid.
func NewHolder(b Bounds, o Order, found Record, self string, unixMillis int64) *Holder {
	h := &Holder{bounds: b, order: o, comparison: NewCUSUM(), daemons: map[string]*daemonState{}, promotedAt: -1}
	if found.Order == o.Revision {
		h.record = found
		h.reservedByEarlierHolders = found.Reserved
		return h
	}
	h.firstRecordUnwritten = true
	h.record = Record{
		Service: o.Service, Target: o.Target, Order: o.Revision, State: Running, Holder: self,
		DeadlineMillis: unixMillis + o.Duration.Milliseconds(), Avoid: found.versionsToAvoid(o.Target), Reason: Ordered,
	}
	return h
}

// Record returns the record last written, or the first one to write.
func (h *Holder) Record() Record { return h.record }

// FirstRecordUnwritten reports whether no record of the order has been written yet.
func (h *Holder) FirstRecordUnwritten() bool { return h.firstRecordUnwritten }

// SetWritten records that r has been written.
func (h *Holder) SetWritten(r Record) { h.record, h.firstRecordUnwritten = r, false }

// Sent returns an upper bound on the number of requests that have gone to the new
// version while Running: all that earlier holders had reserved, plus those that daemons report
// to have sent beyond their firstReportedCeiling.
func (h *Holder) Sent() int {
	sent := h.reservedByEarlierHolders
	for _, a := range h.daemons {
		sent += a.report.Sent - min(a.firstReportedCeiling, a.report.Sent)
	}
	return sent
}

// Answers returns the number of the new version's answers that daemons have reported to this
// holder, and how many of them failed. Series with Pace are left out, because they measure
// answers that are already counted in the route's other series.
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

// HandleReport processes a report and returns the reporting daemon's new allowance. daemon is the
// daemon's incarnation. HandleReport returns false for an outdated report and for a report on another order.
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
		a = &daemonState{firstReportedCeiling: heldCeiling, reportedAt: now}
		h.daemons[daemon] = a
	}
	h.compare(a, &r)
	if elapsed := (now - a.reportedAt).Seconds(); known && elapsed > 0 {
		a.requestsPerSecond = float64(r.Total-a.report.Total) / elapsed
	}
	a.report, a.reportedAt, a.ceiling = r, now, heldCeiling
	return h.grant(a), true
}

// compare passes the answers that are new in a report to the comparison.
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

// granted returns how many requests may go to the new version by all allowances so far: those
// that earlier holders reserved and those that this holder has added to the ceilings.
func (h *Holder) granted() int {
	sum := h.reservedByEarlierHolders
	for _, a := range h.daemons {
		sum += a.ceiling - a.firstReportedCeiling
	}
	return sum
}

// grantLimit returns how many requests may be granted in all since the order began. It grows
// with the total number of requests to the service that daemons have reported.
func (h *Holder) grantLimit() int {
	total := 0
	for _, a := range h.daemons {
		total += a.report.Total
	}
	return int(grantableShareFraction*h.bounds.Share*float64(total) + grantableSlackFraction*h.bounds.Slack)
}

// burstStartAt returns how many requests must still be grantable for a burst to start.
func (h *Holder) burstStartAt() int {
	requestsPerSecond := 0.0
	for _, a := range h.daemons {
		requestsPerSecond += a.requestsPerSecond
	}
	return min(max(int(burstFraction*requestsPerSecond*burstDuration.Seconds()), minBurst), maxBurst)
}

// grant raises a daemon's ceiling so that the daemon can send trial requests until its next
// allowance expires. It leaves the ceiling unchanged outside bursts.
func (h *Holder) grant(a *daemonState) Allowance {
	allowance := Allowance{Order: h.order.Revision, Ask: a.report.Ask, Ceiling: a.ceiling}
	available := min(h.grantLimit(), h.record.Reserved) - h.granted()
	switch {
	case available >= h.burstStartAt():
		h.burstOpen = true
	case available < burstEndBelow:
		h.burstOpen = false
	}
	if h.bad() {
		allowance.Halt = true
		return allowance
	}
	if h.record.State != Running || !h.burstOpen || h.fleet.NewRunners == 0 || h.fleet.Reporting == 0 {
		return allowance
	}
	allowance.FavouredRoute, _ = h.leastTestedRoute()
	allowance.Runners = max(1, int(burstFraction*h.fleet.Reporting*float64(h.fleet.NewRunners)))
	allowance.Share = min(1, float64(allowance.Runners)/(h.fleet.Reporting*float64(h.fleet.NewRunners)))
	if h.fleet.OldRunners > 0 {
		allowance.Share = min(allowance.Share, 0.5)
	}
	needed := int(math.Ceil(allowance.Share * a.requestsPerSecond * allowanceTTL.Seconds()))
	remaining := a.ceiling - a.report.Sent
	a.ceiling += max(0, min(available, needed-remaining))
	allowance.Ceiling = a.ceiling
	return allowance
}

// bad reports whether the new version has ever been found bad. The result is kept, because
// daemons stop sending to the new version then and later answers must not change the verdict.
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

// leastTestedRoute returns the route with the fewest answers of the new version, and their
// number. Routes with less than minRouteAnswerShare of the old version's answers are left out.
func (h *Holder) leastTestedRoute() (route string, answers int) {
	type routeAnswers struct{ old, fresh int }
	routes, total := map[string]routeAnswers{}, 0
	for _, a := range h.daemons {
		for s, b := range a.report.Tally {
			if s.Pace {
				continue
			}
			k := routes[s.Route]
			routes[s.Route] = routeAnswers{k.old + b.Old.Answers, k.fresh + b.New.Answers}
			total += b.Old.Answers
		}
	}
	least, fewest := "", math.MaxInt
	for name, k := range routes {
		if float64(k.old) >= minRouteAnswerShare*float64(total) && (k.fresh < fewest || k.fresh == fewest && name < least) {
			least, fewest = name, k.fresh
		}
	}
	return least, fewest
}

// Tick returns the record that the holder should write now. It equals Record if there is nothing to
// write. now is a monotonic time, unixMillis the wall-clock time, and self the holder's peer address.
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

// running returns the next record of an order in state Running. The record is promoted, rolled back,
// or gets a higher Reserved. It is completed at once if there were only new runners before the first
// record was written.
func (h *Holder) running(unixMillis int64, self string, f Fleet, r Record) Record {
	if r.Holder != self {
		r.Holder, r.Reason = self, TookOver
	}
	if h.firstRecordUnwritten && f.OldRunners == 0 && f.NewRunners > 0 {
		r.State, r.Reason = Completed, AlreadyInUse
		return r
	}
	elapsedFractionOfDuration := h.elapsedFractionOfDuration(unixMillis)
	answers, _ := h.Answers()
	_, least := h.leastTestedRoute()
	enoughRunners := float64(f.NewRunners) >= minRunnerRatio*float64(f.OldRunners) && f.NewRunners > 0
	switch {
	case elapsedFractionOfDuration >= promoteAfter && answers >= minAnswersToPromote && least >= minAnswersPerRoute && enoughRunners:
		r.State, r.Reason = Promoting, NoDifference
	case elapsedFractionOfDuration < completeBy-h.propagationFractionOfDuration():
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

// promoting returns the next record of an order in state Promoting: completed once the old runners
// are idle or the order's time is over.
func (h *Holder) promoting(now time.Duration, unixMillis int64, r Record) Record {
	if h.promotedAt < 0 {
		h.promotedAt = now
	}
	switch {
	case h.elapsedFractionOfDuration(unixMillis) >= completeBy:
		r.State, r.Reason = Completed, TimeOver
	case now-h.promotedAt >= propagationTime && h.oldRunnersIdle(now):
		r.State, r.Reason = Completed, OldIdle
	}
	return r
}

// elapsedFractionOfDuration returns the fraction of the order's duration that has passed.
func (h *Holder) elapsedFractionOfDuration(unixMillis int64) float64 {
	if h.order.Duration <= 0 {
		return 1
	}
	left := time.Duration(h.record.DeadlineMillis-unixMillis) * time.Millisecond
	return 1 - float64(left)/float64(h.order.Duration)
}

// propagationFractionOfDuration returns propagationTime as a fraction of the order's duration, at
// most the fraction between promoteAfter and completeBy.
func (h *Holder) propagationFractionOfDuration() float64 {
	if h.order.Duration <= 0 {
		return 0
	}
	return min(completeBy-promoteAfter, float64(propagationTime)/float64(h.order.Duration))
}

// oldRunnersIdle reports whether all daemons that still report know the current state and have
// no requests in progress at old runners.
func (h *Holder) oldRunnersIdle(now time.Duration) bool {
	for _, a := range h.daemons {
		if now-a.reportedAt < reportTimeout && (a.report.KnownState != Promoting || a.report.OldInFlight > 0) {
			return false
		}
	}
	return true
}
