// Package quota enforces each workspace's quota across all daemons without a remote call on
// the request path.
//
// A quota is a rate with a burst: in any window a workspace may use what the rate yields in
// that window plus one burst. Every daemon keeps a replica of the workspace's token bucket.
// A daemon takes its own requests out of its replica at once, and takes out what the other
// daemons used as soon as their messages arrive, a moment later. The level of a replica is
// the number of tokens that it holds; a request takes as many tokens as it costs. The
// following rules bound what the replicas can grant together:
//
//   - In each BudgetInterval a daemon has a budget, i.e. its share of what the bucket held
//     at the start of the interval, and takes no more than that. Otherwise a workspace that
//     floods all daemons would take the same tokens at each of them before any daemon hears
//     of the others.
//   - A daemon that has not been heard for SilentAfter is silent. It may still be granting
//     requests. The other daemons reserve its share of the bucket and of the refill until
//     it is heard again or forgotten, and assume that since it was last heard it has taken
//     as much as they have themselves.
//   - A daemon that hears none of the daemons that it knows of is isolated. It grants only
//     its own share, because it can't tell whether the others are down or go on without it.
//   - A daemon that starts takes over the bucket levels of the others. If no other daemon
//     answers and the fleet has served before, its bucket starts empty. Whatever was
//     granted a moment ago, no window then holds more than it would have without the
//     restart; counting the use of the last window instead would mean refusing requests
//     for a whole window. Daemons that start together each grant what the refill yields
//     until they hear of each other. All that they took is then subtracted, so any excess
//     is paid back.
//
// The package does no I/O and reads no clock: times are offsets of a monotonic clock that
// keeps running while the VM is suspended. A Limiter is not safe for concurrent use.
package quota

import (
	"math"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Limit is the quota of one workspace: PerSecond is the rate and Burst the burst, in
// tokens. A PerSecond of zero means that there is no limit.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// Tolerance is the amount by which the use in a window may exceed the quota. It exists
// because daemons learn of each other's use with a delay.
type Tolerance struct {
	// Overage is the fraction of the quota by which it may be exceeded; Slack is an
	// absolute number of tokens in addition.
	Overage float64
	Slack   float64
}

// Use is what a daemon sends to the others about its replica of one workspace's bucket.
type Use struct {
	// Taken is the sum of all costs that the daemon took since it started, less what was
	// released.
	Taken float64
	// Level is the number of tokens in the daemon's replica of the bucket.
	Level float64
}

const (
	// BudgetInterval is the time for which a daemon's budget is valid, and the longest
	// time since the last message of a peer for which this daemon's knowledge of the peer
	// counts as recent. Daemons send every 100 ms, so 200 ms pass between two messages if
	// one is lost; 50 ms more allow for delays.
	BudgetInterval = 250 * time.Millisecond
	// SilentAfter is how long a daemon may go unheard before it counts as silent and the
	// other daemons reserve its share. Messages are sent every 100 ms, so by then five are
	// missing.
	SilentAfter = 600 * time.Millisecond
	// ForgetAfter is how long after its last message the share of a silent daemon stays
	// reserved.
	ForgetAfter = 10 * time.Second
	// minRateShare sets the smallest budget of a daemon: this fraction of what the refill
	// adds to a bucket in one BudgetInterval. Without this minimum, a workspace below its
	// quota whose callers all use one daemon would be refused. The full fraction applies
	// in fleets of up to fullMinShareDaemons daemons. The minimum budgets of that many
	// daemons add up to 6 × 0.7 = 4.2 times the refill. In a larger fleet the fraction is
	// smaller in inverse proportion to the number of daemons, so that the sum stays the
	// same. With the full fraction, 33 daemons could take 33 × 0.7 × 250 ms = 5.8 seconds'
	// worth of the rate before any of them hears of the others. In a large fleet, the
	// budget of a daemon that serves most of a workspace's requests therefore comes from
	// budgetShare, which follows the recent use.
	minRateShare        = 0.7
	fullMinShareDaemons = 6
	// uninformedShare is the fraction of an equal share of the bucket that a daemon may
	// take once while it is uninformed, i.e. while some peer has not been heard for
	// BudgetInterval but is not yet considered silent.
	uninformedShare = 1.0
	// uninformedMaxShares limits the cost of a single prompt for which an uninformed
	// daemon raises its budget beyond the amount that uninformedShare allows. The limit is
	// a multiple of that amount.
	uninformedMaxShares = 2.0
	// usageDecay is the time constant with which recent use decays when shares are
	// computed. It is several intervals long, so that a single request changes little.
	usageDecay = time.Second
	// burstTolerance is the fraction of the tolerance that is added to the burst. A single
	// prompt may cost a third of a second's worth of the rate, and the level is partly an
	// estimate; the addition keeps such a prompt from being refused. For example, with a
	// rate of 300,000 per second, a burst of 300,000 and a window of 8 s, the quota of a
	// window is rate × window + burst = 2,700,000. With an Overage of 0.1 and a Slack of
	// 190,000, the tolerance is 0.1 × 2,700,000 + 190,000 = 460,000 and the addition
	// 0.38 × 460,000 = 174,800, while such a prompt costs 100,000. The rest of the
	// tolerance covers what daemons take before they hear of each other.
	burstTolerance = 0.38
	// minRetryWait is the shortest wait that a refusal reports, so that callers don't retry
	// at once.
	minRetryWait = 5 * time.Millisecond
	// steadyFraction is the fraction of windowBurst that is granted evenly over the
	// window, as additional refill; the rest of windowBurst is the bucket's capacity. A
	// workspace that constantly sends a little over its rate is within its quota in every
	// window, but a bucket with the whole windowBurst as capacity that is refilled at the
	// bare rate would refuse it. The remaining capacity still holds several of the longest
	// prompts.
	steadyFraction = 0.5
	// syncPeriod is the time after its start during which a daemon takes over the bucket
	// levels of daemons that have been running for at least this time.
	syncPeriod = 3 * time.Second
)

// bucket is this daemon's replica of one workspace's token bucket.
type bucket struct {
	limit       Limit
	initialized bool
	level       float64
	// refilledAt is when level was last refilled.
	refilledAt time.Duration
	// taken is the sum of this daemon's own costs since its start, less what was released.
	taken float64
	// budget is what may still be taken in the interval that ends at budgetEnds.
	budget     float64
	budgetEnds time.Duration
	// uninformedBudgetUsed is set when the budget was raised by uninformedShare, and reset
	// once all peers that are not silent have been heard again.
	uninformedBudgetUsed bool
	// recentUsage is the recent use by this daemon's own requests, netUsage the same less what was
	// released.
	recentUsage, netUsage decayingSum
}

// decayingSum is an amount that decays exponentially with time constant usageDecay.
type decayingSum struct {
	valueAtUpdate float64
	updatedAt     time.Duration
}

func (r *decayingSum) add(now time.Duration, amount float64) {
	*r = decayingSum{r.value(now) + amount, now}
}

func (r *decayingSum) value(now time.Duration) float64 {
	return r.valueAtUpdate * math.Exp(-(now-r.updatedAt).Seconds()/usageDecay.Seconds())
}

// peerState is what this daemon knows of another daemon.
type peerState struct {
	lastHeard time.Duration
	// taken is Use.Taken of each workspace in the peer's last message.
	taken map[ident.Workspace]float64
	// recentUsage is the recent use by the peer's requests.
	recentUsage map[ident.Workspace]*decayingSum
	// ownTakenWhenHeard is what bucket.taken was when the peer was last heard.
	ownTakenWhenHeard map[ident.Workspace]float64
	// silent is set when the peer has been unheard for SilentAfter. reserved is what has
	// been taken out of each of this daemon's buckets for the peer since then.
	silent   bool
	reserved map[ident.Workspace]float64
}

// Limiter holds a daemon's replicas of all token buckets.
type Limiter struct {
	window          time.Duration
	tolerance       Tolerance
	startedAt       time.Duration
	firstFleetStart bool
	buckets         map[ident.Workspace]*bucket
	peers           map[ident.Incarnation]*peerState
	// expectedDaemons is how many daemons may exist, including this one, whether or not
	// they have been heard.
	expectedDaemons int
	// isolationShares is the number of equal shares into which the buckets are divided
	// while this daemon is isolated, i.e. hears no other daemon although it knows of some.
	// Zero means that this daemon is not isolated.
	isolationShares int
	// synced is set once this daemon has heard a daemon whose Age was at least syncPeriod
	// and whose bucket levels it could therefore take over.
	synced bool
}

// New returns a limiter without workspaces and peers. The time now is the start of this
// daemon. The quotas bound what a workspace uses in any span of the length window. If
// firstFleetStart is set, the fleet has never served before and the buckets start full;
// otherwise they start empty.
func New(now, window time.Duration, tolerance Tolerance, firstFleetStart bool) *Limiter {
	return &Limiter{
		window: window, tolerance: tolerance, startedAt: now, firstFleetStart: firstFleetStart,
		buckets: map[ident.Workspace]*bucket{}, peers: map[ident.Incarnation]*peerState{},
	}
}

// windowBurst is what a workspace may use in a window on top of the rate: the burst plus
// the fraction burstTolerance of the tolerance.
func (l *Limiter) windowBurst(limit Limit) float64 {
	quota := limit.PerSecond*l.window.Seconds() + limit.Burst
	return limit.Burst + burstTolerance*(l.tolerance.Overage*quota+l.tolerance.Slack)
}

// capacity is the maximum level of a bucket.
func (l *Limiter) capacity(limit Limit) float64 { return (1 - steadyFraction) * l.windowBurst(limit) }

// rate is the number of tokens per second by which a bucket is refilled. A full bucket and
// the refill of one window add up to what a window may hold.
func (l *Limiter) rate(limit Limit) float64 {
	if limit.PerSecond <= 0 {
		return 0
	}
	return limit.PerSecond + steadyFraction*l.windowBurst(limit)/l.window.Seconds()
}

// SetLimits replaces the limits. If a limit is lowered, the level is cut to the new
// capacity at once.
func (l *Limiter) SetLimits(now time.Duration, limits map[ident.Workspace]Limit) {
	for ws, b := range l.buckets {
		l.refill(now, ws, b)
		if _, ok := limits[ws]; !ok {
			b.limit = Limit{}
		}
	}
	for ws, limit := range limits {
		b := l.bucket(ws)
		if !b.initialized && limit.PerSecond > 0 {
			b.initialized, b.refilledAt = true, now
			if l.firstFleetStart {
				b.level = l.capacity(limit)
			}
		}
		b.limit = limit
		b.level = min(b.level, l.capacity(limit))
	}
}

func (l *Limiter) bucket(ws ident.Workspace) *bucket {
	b, ok := l.buckets[ws]
	if !ok {
		b = &bucket{}
		l.buckets[ws] = b
	}
	return b
}

// Take takes cost out of the workspace's bucket and returns true. If the bucket or this
// daemon's budget holds too little, Take takes nothing and returns false with the time after
// which a retry may succeed.
func (l *Limiter) Take(now time.Duration, ws ident.Workspace, cost float64) (time.Duration, bool) {
	b := l.bucket(ws)
	if b.limit.PerSecond <= 0 {
		b.taken += cost
		return 0, true
	}
	l.refill(now, ws, b)
	// A request that costs more than the capacity needs a full bucket.
	neededLevel := min(cost, l.capacity(b.limit))
	if b.level < neededLevel {
		return max(minRetryWait, secondsToDuration((neededLevel-b.level)/l.rate(b.limit))), false
	}
	switch allPeersRecent := l.allPeersRecent(now); {
	case now < b.budgetEnds:
		// The budget of the current interval is still valid.
	case !allPeersRecent && !b.uninformedBudgetUsed && l.daemonCount() > 1:
		// A peer is overdue. This daemon gets no new budget, because daemons that have just
		// lost contact with each other would take the same tokens again from a new budget.
		// Only once, the budget is raised to uninformedShare of an equal share of the
		// bucket. Otherwise, from the end of any daemon until it counts as silent, the
		// others would refuse requests of workspaces that they had not served a moment
		// before.
		b.uninformedBudgetUsed = true
		uninformedBudget := uninformedShare * b.level / float64(l.daemonCount())
		if neededLevel <= uninformedMaxShares*uninformedBudget {
			uninformedBudget = max(uninformedBudget, neededLevel)
		}
		b.budget = max(b.budget, uninformedBudget)
	case allPeersRecent:
		b.uninformedBudgetUsed = false
		b.budgetEnds = now + BudgetInterval
		b.budget = b.level
		if n := l.daemonCount(); n > 1 {
			minShare := minRateShare * min(1, fullMinShareDaemons/float64(n))
			b.budget = max(neededLevel, b.level*l.budgetShare(now, ws, b), minShare*BudgetInterval.Seconds()*l.rate(b.limit))
		}
	}
	if b.budget < neededLevel {
		return max(b.budgetEnds-now, BudgetInterval), false
	}
	b.budget -= cost
	b.level -= cost
	b.taken += cost
	b.recentUsage.add(now, cost)
	b.netUsage.add(now, cost)
	return 0, true
}

// Covers reports whether the workspace's bucket holds cost, even if this daemon has used up
// its own share of it. In that case another daemon may be able to grant the request.
func (l *Limiter) Covers(now time.Duration, ws ident.Workspace, cost float64) bool {
	b := l.bucket(ws)
	l.refill(now, ws, b)
	return b.level >= min(cost, l.capacity(b.limit))
}

// budgetShare is the fraction of a bucket that this daemon may take in an interval. It
// equals the fraction of the workspace's recent use that came to this daemon, so that
// callers who use only a few daemons get what they need, and is at least an equal share.
// The fractions of the use add up to one for any number of daemons. A daemon that has just
// started gets an equal share, because it knows too little of the use at the other
// daemons.
func (l *Limiter) budgetShare(now time.Duration, ws ident.Workspace, b *bucket) float64 {
	equalShare := 1 / float64(l.daemonCount())
	ownUsage := b.recentUsage.value(now)
	if now-l.startedAt < syncPeriod || ownUsage <= 0 {
		return equalShare
	}
	totalUsage := ownUsage
	for _, p := range l.peers {
		if recentUsage, ok := p.recentUsage[ws]; ok {
			totalUsage += recentUsage.value(now)
		}
	}
	return max(equalShare, ownUsage/totalUsage)
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// allPeersRecent reports whether every daemon that is not silent was heard within the last
// BudgetInterval.
func (l *Limiter) allPeersRecent(now time.Duration) bool {
	for _, p := range l.peers {
		if !p.silent && now-p.lastHeard > BudgetInterval {
			return false
		}
	}
	return true
}

// Release gives back what a request took that has not run and never will.
func (l *Limiter) Release(ws ident.Workspace, cost float64) {
	b := l.bucket(ws)
	b.taken -= cost
	b.netUsage.valueAtUpdate = max(0, b.netUsage.valueAtUpdate-cost)
	b.budget += cost
	if b.limit.PerSecond > 0 {
		b.level = min(l.capacity(b.limit), b.level+cost)
	}
}

// refill adds the tokens that a bucket gained since refilledAt, without the shares of
// silent daemons, which are reserved, and without the shares of daemons that are not heard
// while this daemon is isolated.
func (l *Limiter) refill(now time.Duration, ws ident.Workspace, b *bucket) {
	l.reserveForSilentPeers(now)
	elapsed := (now - b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	addedTokens := l.rate(b.limit) * elapsed
	refillShare := addedTokens / float64(l.daemonCount())
	addedTokens -= refillShare * float64(max(0, l.isolationShares-1-len(l.peers)))
	for _, p := range l.peers {
		if p.silent {
			p.reserved[ws] += refillShare
			addedTokens -= refillShare
		}
	}
	b.level = min(l.capacity(b.limit), b.level+addedTokens)
}

// reserveForSilentPeers finds the peers that have just become silent and takes a reserve
// for each of them out of every bucket. Such a peer is assumed to have taken as much since
// it was last heard as this daemon did, because a flood reaches all daemons alike. The
// peer's equal share of what remains is reserved as well.
func (l *Limiter) reserveForSilentPeers(now time.Duration) {
	for _, p := range l.peers {
		if p.silent || now-p.lastHeard <= SilentAfter {
			continue
		}
		p.silent = true
		for ws, b := range l.buckets {
			reserve := max(0, b.taken-p.ownTakenWhenHeard[ws])
			reserve += max(0, b.level-reserve) / float64(l.daemonCount())
			b.level -= reserve
			p.reserved[ws] += reserve
		}
	}
}

// daemonCount is the number of daemons that may take from the buckets, including this one.
func (l *Limiter) daemonCount() int {
	if l.firstFleetStart {
		return max(1+len(l.peers), l.isolationShares)
	}
	return max(1+len(l.peers), l.expectedDaemons, l.isolationShares)
}

// Age returns for how long this daemon has known the levels of the buckets, which it
// reports to the other daemons. A daemon that took over the levels of an older daemon
// returns at least syncPeriod, because it knows as much as that daemon.
func (l *Limiter) Age(now time.Duration) time.Duration {
	if l.synced {
		return max(syncPeriod, now-l.startedAt)
	}
	return now - l.startedAt
}

// SetIsolationShares sets the number of equal shares into which the buckets are divided
// while this daemon hears no other one; this daemon's own share is included. Zero ends the
// division.
func (l *Limiter) SetIsolationShares(shares int) { l.isolationShares = shares }

// recordUse adds amount to the recent use of the workspace at the peer.
func (p *peerState) recordUse(now time.Duration, ws ident.Workspace, amount float64) {
	recentUsage, ok := p.recentUsage[ws]
	if !ok {
		recentUsage = &decayingSum{}
		p.recentUsage[ws] = recentUsage
	}
	recentUsage.add(now, max(0, amount))
}

// SetExpectedDaemons sets how many daemons may exist, including this one. A daemon that has
// just started and hears no other yet must not grant the others' shares. After syncPeriod
// the number has no effect.
func (l *Limiter) SetExpectedDaemons(now time.Duration, daemons int) {
	l.expectedDaemons = daemons
	if now-l.startedAt >= syncPeriod {
		l.expectedDaemons = 0
	}
}

// ApplyPeerState applies the bucket states in a message of another daemon, whose Age was
// age when it sent them. Messages of one daemon must be applied in the order in which they
// were sent.
func (l *Limiter) ApplyPeerState(now time.Duration, id ident.Incarnation, age time.Duration, states map[ident.Workspace]Use) {
	p, known := l.peers[id]
	if !known {
		p = &peerState{
			taken: map[ident.Workspace]float64{}, recentUsage: map[ident.Workspace]*decayingSum{},
			ownTakenWhenHeard: map[ident.Workspace]float64{}, reserved: map[ident.Workspace]float64{},
		}
		l.peers[id] = p
		p.lastHeard = now
	}
	for ws, b := range l.buckets {
		l.refill(now, ws, b)
	}
	for ws, state := range states {
		b := l.bucket(ws)
		if known {
			b.level += p.reserved[ws] - (state.Taken - p.taken[ws])
			b.level = min(b.level, l.capacity(b.limit))
			p.recordUse(now, ws, state.Taken-p.taken[ws])
		} else if now-l.startedAt < syncPeriod && b.limit.PerSecond > 0 {
			l.syncLevel(b, state, age)
		}
		p.taken[ws] = state.Taken
	}
	if !known && age >= syncPeriod {
		l.synced = true
	}
	p.lastHeard, p.silent = now, false
	clear(p.reserved)
	for ws, b := range l.buckets {
		p.ownTakenWhenHeard[ws] = b.taken
	}
}

// syncLevel applies the state of a peer that is heard for the first time. The level of an
// older peer is taken over; it doesn't yet include what this daemon took. A peer as new as
// this daemon knows no more than it does, but all that the peer took must be subtracted
// here, unless an older daemon was heard before, whose level already includes it.
func (l *Limiter) syncLevel(b *bucket, state Use, age time.Duration) {
	switch {
	case l.firstFleetStart:
		// All buckets start full on the first start, so the lower level is the better
		// estimate.
		b.level = min(b.level, state.Level)
	case age >= syncPeriod:
		b.level = min(state.Level-b.taken, l.capacity(b.limit))
	case !l.synced:
		b.level -= state.Taken
	}
}

// PeerLeft removes a daemon that keeps running but takes from no bucket any more. What was
// reserved for it while it was silent was not taken and is returned to the buckets.
func (l *Limiter) PeerLeft(id ident.Incarnation) {
	p, known := l.peers[id]
	if !known {
		return
	}
	for ws, amount := range p.reserved {
		b := l.bucket(ws)
		b.level = min(l.capacity(b.limit), b.level+amount)
	}
	delete(l.peers, id)
}

// PeerEnded removes a daemon that has ended. What was reserved for the daemon counts as
// taken and is not returned to the buckets.
func (l *Limiter) PeerEnded(id ident.Incarnation) { delete(l.peers, id) }

// Tick removes the peers that have not been heard for ForgetAfter.
func (l *Limiter) Tick(now time.Duration) {
	for id, p := range l.peers {
		if now-p.lastHeard > ForgetAfter {
			delete(l.peers, id)
		}
	}
}

// Uses returns the states to send to the other daemons.
func (l *Limiter) Uses(now time.Duration) map[ident.Workspace]Use {
	states := make(map[ident.Workspace]Use, len(l.buckets))
	for ws, b := range l.buckets {
		l.refill(now, ws, b)
		states[ws] = Use{Taken: b.taken, Level: b.level}
	}
	return states
}
