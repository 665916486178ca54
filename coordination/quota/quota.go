// Package quota shares each workspace's quota over all daemons without asking
// anybody on a request's way.
//
// A quota is a rate with a burst: in any window a workspace may use what the rate
// gives in it and one burst. Every daemon keeps a copy of the workspace's one
// token bucket. It takes its own requests out at once and what the others took as
// soon as it hears of it, a moment later. Three guards bound what the copies can
// give out together:
//
//   - In one Interval a daemon takes no more than its part of what the bucket
//     held at the interval's start. Without it a flood of one workspace over all
//     daemons would take the same tokens at each of them before any hears of the
//     others.
//   - A daemon that has been silent may go on taking. The others leave it its
//     part of the bucket and of the refill until it is heard again or forgotten,
//     and take it to have done as they did since it was last heard.
//   - A daemon that hears none of the others that it knows of gives out its part only.
//     It can't tell whether they are down or go on without it.
//   - A daemon that starts takes the others' level. Where there is nobody to ask
//     and the fleet has served before, its bucket starts empty: whatever was given
//     out a moment ago, no window then holds more than without the restart. A
//     count of the use in the last window would have to refuse for that long.
//     Daemons that start together each give out what comes in until they hear of
//     each other; all that they took is taken out then, so it is paid back.
//
// The package does no I/O and reads no clock: times are offsets of a clock that
// runs on while the VM is suspended. It is not safe for concurrent use.
package quota

import (
	"math"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Limit is one workspace's quota; a zero PerSecond is none.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// Tolerance is by how much the use of a window may exceed the quota. It is there
// because daemons don't know at once what the others take.
type Tolerance struct {
	// Overage is a part of the quota, Slack an amount on top.
	Overage float64
	Slack   float64
}

// BucketState is what one daemon tells of one workspace.
type BucketState struct {
	// Taken is all that the daemon took since it started, less what it gave back.
	Taken float64
	// Level is its copy of the bucket.
	Level float64
}

const (
	// BudgetInterval is how often daemons hear of each other at the least, with one
	// lost message.
	BudgetInterval = 250 * time.Millisecond
	// SilentAfter is how long a daemon may be unheard before its part is left to
	// it. Five messages of 100 ms each are then missing.
	SilentAfter = 600 * time.Millisecond
	// ForgetAfter is how long an unheard daemon keeps its part.
	ForgetAfter = 10 * time.Second
	// minRateShare is the part of what the rate gives in an interval that a daemon
	// may take at any time: below the quota a workspace whose callers all use one
	// daemon needs it. Beyond smallFleet daemons, which together may so take four
	// times what the rate gives, it falls with their number: 33 could else take six
	// seconds' worth before any hears of the others. A workspace whose callers use
	// few of many daemons then lives on its share of the use.
	minRateShare        = 0.7
	fullMinShareDaemons = 6
	// uninformedShare of an equal part may be taken once while another daemon has just fallen
	// silent.
	uninformedShare = 1.0
	// uninformedMaxShares times that part may be taken for a single prompt that is longer.
	uninformedMaxShares = 2.0
	// usageDecay is the time constant of the recent use that shares are taken by.
	// It is several intervals long, so that one request more or less changes little.
	usageDecay = time.Second
	// burstTolerance is the part of the tolerance that is added to the burst, since a
	// prompt may be a third of a second's worth and a level is partly guessed; the
	// rest covers what daemons take without knowing of each other.
	burstTolerance = 0.38
	// minRetryWait keeps a refusal from asking its caller back at once.
	minRetryWait = 5 * time.Millisecond
	// steadyFraction is the part of what a window may hold beyond the rate that is given
	// out steadily, the rest at once. A workspace that sends a little over its rate
	// all the time is within its quota in every window, and would be refused by a
	// bucket as large as the burst that is refilled at the bare rate. What is left
	// holds several of the longest prompts.
	steadyFraction = 0.5
	// syncPeriod is how long after its start a daemon takes the others' level for
	// its own knowledge.
	syncPeriod = 3 * time.Second
)

// bucket is the copy of one workspace's.
type bucket struct {
	limit       Limit
	initialized bool
	level       float64
	// refilledAt is when level was last refilled.
	refilledAt time.Duration
	// taken counts own requests since the start.
	taken float64
	// budget is what may still be taken in the interval that ends at ends.
	budget     float64
	budgetEnds time.Duration
	// uninformedBudgetUsed says that a part for such a time was added since the daemon was informed last.
	uninformedBudgetUsed bool
	// recentUsage is the own recent use.
	recentUsage decayingSum
}

// decayingSum is an amount that fades with useMemory.
type decayingSum struct {
	amount float64
	at     time.Duration
}

func (r *decayingSum) add(now time.Duration, amount float64) {
	*r = decayingSum{r.value(now) + amount, now}
}

func (r *decayingSum) value(now time.Duration) float64 {
	return r.amount * math.Exp(-(now-r.at).Seconds()/usageDecay.Seconds())
}

type peerState struct {
	lastHeard time.Duration
	taken     map[ident.Workspace]float64
	// recentUsage is its recent use.
	recentUsage map[ident.Workspace]*decayingSum
	// ownTaken is what this daemon had taken itself when it last heard the other.
	ownTaken map[ident.Workspace]float64
	// silent says that it has been unheard for SilentAfter, reserved what was
	// left to it since.
	silent   bool
	reserved map[ident.Workspace]float64
}

// Limiter holds the copies of one daemon.
type Limiter struct {
	window     time.Duration
	tolerance  Tolerance
	started    time.Duration
	firstStart bool
	buckets    map[ident.Workspace]*bucket
	peers      map[ident.Incarnation]*peerState
	// expectedDaemons is how many daemons there may be, this one included, whether or not
	// they have been heard.
	expectedDaemons int
	// isolatedParts is how many parts the buckets have while no other daemon is heard at all;
	// zero is not isolatedParts.
	isolatedParts int
	// synced says that an older daemon's levels were taken over.
	synced bool
}

// New returns a limiter that knows no workspace and no other daemon. firstStart
// says that the fleet has not served before.
func New(now, window time.Duration, tolerance Tolerance, firstStart bool) *Limiter {
	return &Limiter{
		window: window, tolerance: tolerance, started: now, firstStart: firstStart,
		buckets: map[ident.Workspace]*bucket{}, peers: map[ident.Incarnation]*peerState{},
	}
}

// windowBurst is what a window may hold beyond the rate: the burst and the lenient part of
// the tolerance.
func (l *Limiter) windowBurst(limit Limit) float64 {
	quota := limit.PerSecond*l.window.Seconds() + limit.Burst
	return limit.Burst + burstTolerance*(l.tolerance.Overage*quota+l.tolerance.Slack)
}

// capacity is the most that a bucket holds.
func (l *Limiter) capacity(limit Limit) float64 { return (1 - steadyFraction) * l.windowBurst(limit) }

// rate is what a bucket gains in a second. A full bucket and a window's gain are
// together what a window may hold.
func (l *Limiter) rate(limit Limit) float64 {
	if limit.PerSecond <= 0 {
		return 0
	}
	return limit.PerSecond + steadyFraction*l.windowBurst(limit)/l.window.Seconds()
}

// SetLimits replaces the limits. A lowered one takes what is above its capacity
// away at once.
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
			if l.firstStart {
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

// Take takes cost out of the workspace's bucket. If there is too little it takes
// nothing and returns false with the time in which there will be enough.
func (l *Limiter) Take(now time.Duration, ws ident.Workspace, cost float64) (time.Duration, bool) {
	b := l.bucket(ws)
	if b.limit.PerSecond <= 0 {
		b.taken += cost
		return 0, true
	}
	l.refill(now, ws, b)
	// A request over all that a bucket holds needs a full one.
	need := min(cost, l.capacity(b.limit))
	if b.level < need {
		return max(minRetryWait, secondsToDuration((need-b.level)/l.rate(b.limit))), false
	}
	switch informed := l.allPeersRecent(now); {
	case now < b.budgetEnds:
	case !informed && !b.uninformedBudgetUsed && l.daemonCount() > 1:
		b.uninformedBudgetUsed = true
		part := uninformedShare * b.level / float64(l.daemonCount())
		if need <= uninformedMaxShares*part {
			part = max(part, need)
		}
		b.budget = max(b.budget, part)
	case informed:
		b.uninformedBudgetUsed = false
		b.budgetEnds = now + BudgetInterval
		b.budget = b.level
		if n := l.daemonCount(); n > 1 {
			minBudget := minRateShare * min(1, fullMinShareDaemons/float64(n))
			b.budget = max(need, b.level*l.budgetShare(now, ws, b), minBudget*BudgetInterval.Seconds()*l.rate(b.limit))
		}
	}
	if b.budget < need {
		return max(b.budgetEnds-now, BudgetInterval), false
	}
	b.budget -= cost
	b.level -= cost
	b.taken += cost
	b.recentUsage.add(now, cost)
	return 0, true
}

// Covers tells whether the workspace's bucket holds a cost, though this daemon may have
// used up its part of it. Another daemon may give it out then.
func (l *Limiter) Covers(now time.Duration, ws ident.Workspace, cost float64) bool {
	b := l.bucket(ws)
	l.refill(now, ws, b)
	return b.level >= min(cost, l.capacity(b.limit))
}

// budgetShare is the part of a bucket that this daemon may take in an interval: that of
// the workspace's recent use which came here, so that callers who use few of the
// daemons find what they need, and an equal one at the least. Shares of the use add
// up to one, whatever the number of daemons. One that has just started knows too
// little of the others' use.
func (l *Limiter) budgetShare(now time.Duration, ws ident.Workspace, b *bucket) float64 {
	equalShare := 1 / float64(l.daemonCount())
	ownUsage := b.recentUsage.value(now)
	if now-l.started < syncPeriod || ownUsage <= 0 {
		return equalShare
	}
	totalUsage := ownUsage
	for _, p := range l.peers {
		if used, ok := p.recentUsage[ws]; ok {
			totalUsage += used.value(now)
		}
	}
	return max(equalShare, ownUsage/totalUsage)
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// allPeersRecent tells whether every daemon that is not silent was heard within an
// interval. Until then the former budget must last, and a part of an equal one: with a new
// one in each interval daemons that have just lost each other would take the same tokens
// again; without any, a daemon's end would have the others refuse for as long as it
// isn't taken for silent whom they had not served a moment before.
func (l *Limiter) allPeersRecent(now time.Duration) bool {
	for _, p := range l.peers {
		if !p.silent && now-p.lastHeard > BudgetInterval {
			return false
		}
	}
	return true
}

// Refund gives back what a request took that has not run and never will.
func (l *Limiter) Refund(ws ident.Workspace, cost float64) {
	b := l.bucket(ws)
	b.taken -= cost
	b.budget += cost
	if b.limit.PerSecond > 0 {
		b.level = min(l.capacity(b.limit), b.level+cost)
	}
}

// refill adds what the time since the last refill is worth, less the parts of
// the silent daemons.
func (l *Limiter) refill(now time.Duration, ws ident.Workspace, b *bucket) {
	l.markSilentPeers(now)
	elapsed := (now - b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	gained := l.rate(b.limit) * elapsed
	part := gained / float64(l.daemonCount())
	gained -= part * float64(max(0, l.isolatedParts-1-len(l.peers)))
	for _, p := range l.peers {
		if p.silent {
			p.reserved[ws] += part
			gained -= part
		}
	}
	b.level = min(l.capacity(b.limit), b.level+gained)
}

// markSilentPeers finds the daemons that have just become silent and leaves each its
// part of what the buckets hold. Since it was last heard it is taken to have
// done as this daemon did: a flood comes to all daemons alike.
func (l *Limiter) markSilentPeers(now time.Duration) {
	for _, p := range l.peers {
		if p.silent || now-p.lastHeard <= SilentAfter {
			continue
		}
		p.silent = true
		for ws, b := range l.buckets {
			part := max(0, b.taken-p.ownTaken[ws])
			part += max(0, b.level-part) / float64(l.daemonCount())
			b.level -= part
			p.reserved[ws] += part
		}
	}
}

// daemonCount counts the daemons that may take from the buckets, this one included.
func (l *Limiter) daemonCount() int {
	if l.firstStart {
		return max(1+len(l.peers), l.isolatedParts)
	}
	return max(1+len(l.peers), l.expectedDaemons, l.isolatedParts)
}

// Age is how long this daemon has known how full the buckets are, as far as it matters
// to others: one that has taken an older one's level knows as much as that.
func (l *Limiter) Age(now time.Duration) time.Duration {
	if l.synced {
		return max(syncPeriod, now-l.started)
	}
	return now - l.started
}

// SetIsolatedParts tells into how many parts the buckets are to be divided while this daemon
// hears no other, its own included; zero ends that.
func (l *Limiter) SetIsolatedParts(parts int) { l.isolatedParts = parts }

func (p *peerState) addUsage(now time.Duration, ws ident.Workspace, amount float64) {
	used, ok := p.recentUsage[ws]
	if !ok {
		used = &decayingSum{}
		p.recentUsage[ws] = used
	}
	used.add(now, max(0, amount))
}

// SetExpectedDaemons tells how many daemons there may be, this one included. One that has just
// started and hears nobody yet must not give out the others' parts, too.
func (l *Limiter) SetExpectedDaemons(now time.Duration, daemons int) {
	l.expectedDaemons = daemons
	if now-l.started >= syncPeriod {
		l.expectedDaemons = 0
	}
}

// ApplyPeerState takes in what another daemon, which has run for age, tells of itself.
// Messages of one daemon must come in the order in which it made them.
func (l *Limiter) ApplyPeerState(now time.Duration, id ident.Incarnation, age time.Duration, states map[ident.Workspace]BucketState) {
	p, known := l.peers[id]
	if !known {
		p = &peerState{
			taken: map[ident.Workspace]float64{}, recentUsage: map[ident.Workspace]*decayingSum{},
			ownTaken: map[ident.Workspace]float64{}, reserved: map[ident.Workspace]float64{},
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
			p.addUsage(now, ws, state.Taken-p.taken[ws])
		} else if now-l.started < syncPeriod && b.limit.PerSecond > 0 {
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
		p.ownTaken[ws] = b.taken
	}
}

// syncLevel takes in what a daemon knows that is heard for the first time. An older
// one's level is taken over; it does not know yet what was taken here. One that is
// as new knows no more than this one, but all that it took is news: an older daemon
// that was heard before has told that already.
func (l *Limiter) syncLevel(b *bucket, state BucketState, age time.Duration) {
	switch {
	case l.firstStart:
		// All buckets start full, so none may be fuller than another.
		b.level = min(b.level, state.Level)
	case age >= syncPeriod:
		b.level = min(state.Level-b.taken, l.capacity(b.limit))
	case !l.synced:
		b.level -= state.Taken
	}
}

// PeerLeft forgets a daemon that goes on but takes from no bucket any more. What was left to
// it while it was unheard was not taken.
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

// PeerEnded forgets a daemon that has ended.
func (l *Limiter) PeerEnded(id ident.Incarnation) { delete(l.peers, id) }

// ExpirePeers forgets daemons that have been silent for long.
func (l *Limiter) ExpirePeers(now time.Duration) {
	for id, p := range l.peers {
		if now-p.lastHeard > ForgetAfter {
			delete(l.peers, id)
		}
	}
}

// BucketStates is what to tell the other daemons.
func (l *Limiter) BucketStates(now time.Duration) map[ident.Workspace]BucketState {
	states := make(map[ident.Workspace]BucketState, len(l.buckets))
	for ws, b := range l.buckets {
		l.refill(now, ws, b)
		states[ws] = BucketState{Taken: b.taken, Level: b.level}
	}
	return states
}
