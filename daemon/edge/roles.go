package edge

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/coordination/quota"
	"geraniumstack.org/geraniumstack/coordination/relays"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
)

// Who the other daemons are to this one: relays, followers and followed.

const (
	// rosterTurns is between two rosters while nothing changes, each in rosterSpan turns
	// so that relays and followers get one; a changed one is told rosterAgain times, since
	// messages get lost.
	rosterTurns = standbyTurns
	rosterSpan  = followTurns
	rosterAgain = 6
	// farRows is how many daemons of other failure domains a follower is told of, by
	// turns: callers whose own failure domain is lost must be sent somewhere.
	farRows = 8
	// relayRows is how many relays the others are told of in a message, by turns: rosters
	// hold followers only, and two relays that have never heard each other would not know
	// that there is one more to share quotas with.
	relayRows = 4
	// demotionRepeats is how often a daemon that is no relay any more tells those that were
	// the other relays: until they know, they wait for its word on quotas.
	demotionRepeats = 4
	// firstStartFor is how long after the very first start of the fleet nothing can have
	// been taken of any quota.
	firstStartFor = 5 * time.Second
)

// follower is a daemon that follows this one.
type follower struct {
	address string
	heard   time.Duration
	// primary says that its work is counted here.
	primary bool
	// included is its message whose loads are in the sums.
	included uint64
	// feedAt is the revision up to which it knows the key-value service.
	feedAt uint64
}

// tickPeers moves what rests on the other daemons on.
func (e *Edge) tickPeers() {
	now := e.deps.Steady()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range e.peers.Tick(now) {
		e.forget(id, "silent")
	}
	e.elect(now)
	e.reported.updateMostKnown(now, len(e.relayPlan.Others))
	e.limiter.Expect(now, e.expected(now))
	e.limiter.Isolate(e.isolated(now))
	e.limiter.Tick(now)
	e.usageBook.Tick(e.wallClock.At(now))
	e.refreshPhase(now)
}

// elect finds the relays anew; called with mu held.
func (e *Edge) elect(now time.Duration) {
	alive := peers.AliveFor
	if !e.relayPlan.Direct {
		alive = peers.RelayedAliveFor
	}
	e.peers.SetAliveFor(alive)
	e.alive = e.peers.Alive(now)
	v := relays.View{Self: e.peers.Self(), Alive: e.alive, Fleet: e.peers.Size(), Domains: e.peers.Domains(now), DirectFleet: e.settings.Policy.DirectFleet()}
	before := e.relayPlan
	e.relayPlan = relays.Make(v)
	e.directMode.Store(e.relayPlan.Direct)
	e.allWatch.Store(e.relayPlan.AllWatch)
	e.relayMode.Store(e.relayPlan.Relay)
	switch {
	case e.relayPlan.Relay && !before.Relay:
		e.renewLimiter(now)
	case before.Relay && !e.relayPlan.Relay, before.Direct && !e.relayPlan.Direct:
		e.demotionRecipients, e.demotionSendsLeft = before.Others, demotionRepeats
	}
	moved := !slices.Equal(e.relayPlan.Own, before.Own)
	e.relaysChanged = e.relaysChanged || moved
	if e.relayPlan.Relay != before.Relay || moved {
		var own []ident.Incarnation
		for _, r := range e.relayPlan.Own {
			own = append(own, r.Incarnation)
		}
		e.log.Note("role", decisions.F("relay", e.relayPlan.Relay), decisions.F("follows", own), decisions.F("daemons", v.Fleet))
	}
}

// renewLimiter begins to share out quotas. What was known when this daemon did so last
// is out of date.
func (e *Edge) renewLimiter(now time.Duration) {
	first := e.settings.FirstStart && now-e.startedAt < firstStartFor
	e.relayStanding.Begin(now)
	e.limiter = quota.New(now, e.settings.Bounds.QuotaWindow, e.settings.Bounds.QuotaTolerance, first)
	if t := e.table.Load(); t != nil {
		e.limiter.SetLimits(now, limitsOf(t))
	}
}

// expected is how many daemons may share out quotas beside this one, itself included.
func (e *Edge) expected(now time.Duration) int {
	if e.relayPlan.Direct {
		return 1 + len(e.peers.Addresses())
	}
	return 1 + len(e.relayPlan.Others)
}

// isolated is into how many parts quotas are to be divided where no other relay is
// heard: this one's is that of its followers. Zero is not isolated. In a small fleet the
// limiter knows each daemon itself.
func (e *Edge) isolated(now time.Duration) int {
	if e.relayPlan.Direct {
		return 0
	}
	if e.hearsRelay(now) {
		return 0
	}
	stands := 1
	for _, f := range e.followers {
		if f.primary {
			stands++
		}
	}
	return (e.peers.Size() + stands - 1) / stands
}

// hearsAny tells whether any of some daemons is heard directly; called with mu held.
func (e *Edge) hearsAny(now time.Duration, of []peers.Member) bool {
	return slices.ContainsFunc(of, func(m peers.Member) bool { return e.peers.HeardLately(now, m.Incarnation) })
}

// hearsRelay tells whether another relay is heard directly; called with mu held.
func (e *Edge) hearsRelay(now time.Duration) bool { return e.hearsAny(now, e.relayPlan.Others) }

// elects tells whether this daemon takes another one for a relay; called with mu held.
func (e *Edge) elects(id ident.Incarnation) bool { return contain(e.relayPlan.Others, id) }

func contain(members []peers.Member, id ident.Incarnation) bool {
	return slices.ContainsFunc(members, func(m peers.Member) bool { return m.Incarnation == id })
}

// heardRelay takes in that a daemon takes itself for a relay, and whether it takes this
// one for one. Whoever is mistaken of itself is told who the relays are. The daemons of a
// small fleet, in which nobody is mistaken, take each other for relays in good time before it
// grows. Called with mu held.
func (e *Edge) heardRelay(now time.Duration, id ident.Incarnation, h *peersv1.Hello) {
	if !h.Relay || !e.relayPlan.Relay {
		return
	}
	if !e.relayPlan.Direct && !e.elects(id) {
		e.rosterRequesters[id] = h.PeerAddress
		return
	}
	if e.relayStanding.Heard(now, h.Elects) && !e.relayPlan.Direct {
		e.log.Note("role_doubted", decisions.F("by", id), decisions.F("relays", 1+len(e.relayPlan.Others)),
			decisions.F("knows", len(e.alive)), decisions.F("daemons", e.peers.Size()))
	}
}

// forget drops a daemon that has ended; its counts of usage stay. Called with mu
// held.
func (e *Edge) forget(id ident.Incarnation, why string) {
	e.limiter.Gone(id)
	e.wallClock.Gone(id)
	delete(e.stamps, id)
	delete(e.followers, id)
	delete(e.fedRelays, id)
	delete(e.requestedCounts, id)
	e.coverage.Gone(e.deps.Steady(), id)
	e.log.Note("daemon_gone", decisions.F("incarnation", id), decisions.F("reason", why))
}

// noteFollower takes in whether a daemon follows this one; called with mu held.
func (e *Edge) noteFollower(now time.Duration, id ident.Incarnation, h *peersv1.Hello) {
	if h.Joining {
		e.rosterRequesters[id] = h.PeerAddress
	}
	delete(e.fedRelays, id)
	if !h.Follows {
		delete(e.followers, id)
		if h.FeedAt != 0 {
			e.fedRelays[id] = h.FeedAt
		}
		return
	}
	f := follower{address: h.PeerAddress, heard: now, primary: h.Primary, feedAt: h.FeedAt}
	if h.Primary {
		f.included = h.Seq
	}
	e.followers[id] = f
}

func (e *Edge) fleetSize() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.Size()
}

// rosterDue tells whether rosters are told in a turn; called with mu held.
func (e *Edge) rosterDue(turn uint64) bool {
	if v := rosterVersion(e.alive); v != e.rosterVersion {
		e.rosterVersion, e.rosterSendsLeft = v, rosterAgain
	}
	if e.rosterSendsLeft > 0 {
		e.rosterSendsLeft--
		return true
	}
	return turn%rosterTurns < rosterSpan
}

// rosterVersion differs between two sets of daemons, or phases of theirs.
func rosterVersion(members []peers.Member) uint64 {
	d := xxhash.New()
	for _, m := range members {
		// A digest takes all that is written.
		_, _ = d.WriteString(string(m.Incarnation))
		_, _ = d.Write([]byte{0, byte(m.Phase)})
	}
	return d.Sum64()
}

// followersRoster is all that this relay hears itself; called with mu held.
func (e *Edge) followersRoster() *peersv1.Roster {
	ids := make([]ident.Incarnation, 0, len(e.followers))
	for id := range e.followers {
		ids = append(ids, id)
	}
	r := e.roster(ids)
	r.Followers = true
	return r
}

// domainRoster is all daemons of this failure domain and some others; called with mu held.
func (e *Edge) domainRoster(now time.Duration) *peersv1.Roster {
	var near, far []ident.Incarnation
	for _, m := range e.peers.Vouched(now) {
		if m.FailureDomain == e.settings.FailureDomain {
			near = append(near, m.Incarnation)
		} else if m.Phase == peers.Ready {
			far = append(far, m.Incarnation)
		}
	}
	for i := range uint64(min(farRows, len(far))) {
		near = append(near, far[(e.seq*farRows+i)%uint64(len(far))])
	}
	return e.roster(near)
}

func (e *Edge) roster(ids []ident.Incarnation) *peersv1.Roster {
	return &peersv1.Roster{Rows: e.rows(ids), Fleet: uint32(e.peers.Known()), Domains: uint32(e.relayPlan.Domains)}
}

// rows are what daemons told of themselves last; called with mu held.
func (e *Edge) rows(ids []ident.Incarnation) []*peersv1.Row {
	var rows []*peersv1.Row
	for _, row := range e.peers.Rows(ids) {
		rows = append(rows, tellRow(row))
	}
	return rows
}

// introductions are the relays that are heard or told of, by which a daemon finds its
// place. Introductions are never told on, or two daemons could keep a third one alive
// that has ended. Called with mu held.
func (e *Edge) introductions(now time.Duration) []*peersv1.Row {
	if e.relayPlan.Direct {
		return nil
	}
	var ids []ident.Incarnation
	for _, m := range e.peers.Vouched(now) {
		if e.elects(m.Incarnation) {
			ids = append(ids, m.Incarnation)
		}
	}
	return e.rows(ids)
}

// firstByName returns the first few in the order of names, in which daemons stand for
// the duties.
func firstByName(members []peers.Member, n int) []peers.Member {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b peers.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members[:min(n, len(members))]
}
