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
	// rosterIntervalRounds is between two rosters while nothing changes, each in rosterSpan turns
	// so that relays and followers get one; a changed one is told rosterAgain times, since
	// messages get lost.
	rosterIntervalRounds = standbyRounds
	rosterBurstRounds    = followerRounds
	rosterRepeats        = 6
	// remoteRosterRows is how many daemons of other failure domains a follower is told of, by
	// turns: callers whose own failure domain is lost must be sent somewhere.
	remoteRosterRows = 8
	// maxIntroducedRelays is how many relays the others are told of in a message, by turns: rosters
	// hold followers only, and two relays that have never heard each other would not know
	// that there is one more to share quotas with.
	maxIntroducedRelays = 4
	// demotionRepeats is how often a daemon that is no relay any more tells those that were
	// the other relays: until they know, they wait for its word on quotas.
	demotionRepeats = 4
	// firstStartPeriod is how long after the very first start of the fleet nothing can have
	// been taken of any quota.
	firstStartPeriod = 5 * time.Second
)

// follower is a daemon that follows this one.
type follower struct {
	address   string
	lastHeard time.Duration
	// primary says that its work is counted here.
	primary bool
	// includedSeq is its message whose loads are in the sums.
	includedSeq uint64
	// feedRevision is the revision up to which it knows the key-value service.
	feedRevision uint64
}

// tickPeers moves what rests on the other daemons on.
func (e *Edge) tickPeers() {
	now := e.deps.Steady()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range e.peers.Tick(now) {
		e.removePeer(id, "silent")
	}
	e.electRelays(now)
	e.told.noteComplete(now, len(e.plan.OtherRelays))
	e.limiter.SetExpectedDaemons(now, e.quotaSharers(now))
	e.limiter.SetIsolatedParts(e.isolatedQuotaParts(now))
	e.limiter.Tick(now)
	e.book.Tick(e.wall.At(now))
	e.refreshPhase(now)
}

// electRelays finds the relays anew; called with mu held.
func (e *Edge) electRelays(now time.Duration) {
	alive := peers.AliveFor
	if !e.plan.Direct {
		alive = peers.RelayedAliveFor
	}
	e.peers.SetAliveFor(alive)
	e.alive = e.peers.Alive(now)
	v := relays.View{Self: e.peers.Self(), Alive: e.alive, Fleet: e.peers.FleetSize(), Domains: e.peers.Domains(now), DirectFleet: e.set.Policy.DirectFleet()}
	previous := e.plan
	e.plan = relays.Elect(v)
	e.direct.Store(e.plan.Direct)
	e.allWatch.Store(e.plan.AllWatch)
	e.relaying.Store(e.plan.Relay)
	switch {
	case e.plan.Relay && !previous.Relay:
		e.resetLimiter(now)
	case previous.Relay && !e.plan.Relay, previous.Direct && !e.plan.Direct:
		e.formerRelays, e.demotionsLeft = previous.OtherRelays, demotionRepeats
	}
	relaysChanged := !slices.Equal(e.plan.Followed, previous.Followed)
	e.followsAnew = e.followsAnew || relaysChanged
	if e.plan.Relay != previous.Relay || relaysChanged {
		var own []ident.Incarnation
		for _, r := range e.plan.Followed {
			own = append(own, r.Incarnation)
		}
		e.log.Note("role", decisions.F("relay", e.plan.Relay), decisions.F("follows", own), decisions.F("daemons", v.Fleet))
	}
}

// resetLimiter begins to share out quotas. What was known when this daemon did so last
// is out of date.
func (e *Edge) resetLimiter(now time.Duration) {
	first := e.set.FirstStart && now-e.began < firstStartPeriod
	e.standing.Start(now)
	e.limiter = quota.New(now, e.set.Bounds.QuotaWindow, e.set.Bounds.QuotaTolerance, first)
	if t := e.table.Load(); t != nil {
		e.limiter.SetLimits(now, limitsOf(t))
	}
}

// quotaSharers is how many daemons may share out quotas beside this one, itself included.
func (e *Edge) quotaSharers(now time.Duration) int {
	if e.plan.Direct {
		return 1 + len(e.peers.Addresses())
	}
	return 1 + len(e.plan.OtherRelays)
}

// isolatedQuotaParts is into how many parts quotas are to be divided where no other relay is
// heard: this one's is that of its followers. Zero is not isolatedQuotaParts. In a small fleet the
// limiter knows each daemon itself.
func (e *Edge) isolatedQuotaParts(now time.Duration) int {
	if e.plan.Direct {
		return 0
	}
	if e.hearsRelay(now) {
		return 0
	}
	represented := 1
	for _, f := range e.followers {
		if f.primary {
			represented++
		}
	}
	return (e.peers.FleetSize() + represented - 1) / represented
}

// hearsAny tells whether any of some daemons is heard directly; called with mu held.
func (e *Edge) hearsAny(now time.Duration, of []peers.Member) bool {
	return slices.ContainsFunc(of, func(m peers.Member) bool { return e.peers.HeardRecently(now, m.Incarnation) })
}

// hearsRelay tells whether another relay is heard directly; called with mu held.
func (e *Edge) hearsRelay(now time.Duration) bool { return e.hearsAny(now, e.plan.OtherRelays) }

// elects tells whether this daemon takes another one for a relay; called with mu held.
func (e *Edge) elects(id ident.Incarnation) bool { return containsMember(e.plan.OtherRelays, id) }

func containsMember(members []peers.Member, id ident.Incarnation) bool {
	return slices.ContainsFunc(members, func(m peers.Member) bool { return m.Incarnation == id })
}

// handleRelayClaim takes in that a daemon takes itself for a relay, and whether it takes this
// one for one. Whoever is mistaken of itself is told who the relays are. The daemons of a
// small fleet, in which nobody is mistaken, take each other for relays in good time before it
// grows. Called with mu held.
func (e *Edge) handleRelayClaim(now time.Duration, id ident.Incarnation, h *peersv1.Hello) {
	if !h.Relay || !e.plan.Relay {
		return
	}
	if !e.plan.Direct && !e.elects(id) {
		e.joining[id] = h.PeerAddress
		return
	}
	if e.standing.Receive(now, h.Elects) && !e.plan.Direct {
		e.log.Note("role_doubted", decisions.F("by", id), decisions.F("relays", 1+len(e.plan.OtherRelays)),
			decisions.F("knows", len(e.alive)), decisions.F("daemons", e.peers.FleetSize()))
	}
}

// removePeer drops a daemon that has ended; its counts of usage stay. Called with mu
// held.
func (e *Edge) removePeer(id ident.Incarnation, why string) {
	e.limiter.PeerEnded(id)
	e.wall.PeerEnded(id)
	delete(e.stamps, id)
	delete(e.followers, id)
	delete(e.feeding, id)
	delete(e.lacked, id)
	e.coverage.PeerEnded(e.deps.Steady(), id)
	e.log.Note("daemon_gone", decisions.F("incarnation", id), decisions.F("reason", why))
}

// updateFollower takes in whether a daemon follows this one; called with mu held.
func (e *Edge) updateFollower(now time.Duration, id ident.Incarnation, h *peersv1.Hello) {
	if h.Joining {
		e.joining[id] = h.PeerAddress
	}
	delete(e.feeding, id)
	if !h.Follows {
		delete(e.followers, id)
		if h.FeedAt != 0 {
			e.feeding[id] = h.FeedAt
		}
		return
	}
	f := follower{address: h.PeerAddress, lastHeard: now, primary: h.Primary, feedRevision: h.FeedAt}
	if h.Primary {
		f.includedSeq = h.Seq
	}
	e.followers[id] = f
}

func (e *Edge) fleetSize() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.FleetSize()
}

// rosterDue tells whether rosters are told in a turn; called with mu held.
func (e *Edge) rosterDue(turn uint64) bool {
	if v := rosterDigest(e.alive); v != e.rosterVersion {
		e.rosterVersion, e.rosterLeft = v, rosterRepeats
	}
	if e.rosterLeft > 0 {
		e.rosterLeft--
		return true
	}
	return turn%rosterIntervalRounds < rosterBurstRounds
}

// rosterDigest differs between two sets of daemons, or phases of theirs.
func rosterDigest(members []peers.Member) uint64 {
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
	r := e.buildRoster(ids)
	r.Followers = true
	return r
}

// domainRoster is all daemons of this failure domain and some others; called with mu held.
func (e *Edge) domainRoster(now time.Duration) *peersv1.Roster {
	var local, remote []ident.Incarnation
	for _, m := range e.peers.Confirmed(now) {
		if m.FailureDomain == e.set.FailureDomain {
			local = append(local, m.Incarnation)
		} else if m.Phase == peers.Ready {
			remote = append(remote, m.Incarnation)
		}
	}
	for i := range uint64(min(remoteRosterRows, len(remote))) {
		local = append(local, remote[(e.seq*remoteRosterRows+i)%uint64(len(remote))])
	}
	return e.buildRoster(local)
}

func (e *Edge) buildRoster(ids []ident.Incarnation) *peersv1.Roster {
	return &peersv1.Roster{Rows: e.rosterRows(ids), Fleet: uint32(e.peers.KnownCount()), Domains: uint32(e.plan.Domains)}
}

// rosterRows are what daemons told of themselves last; called with mu held.
func (e *Edge) rosterRows(ids []ident.Incarnation) []*peersv1.Row {
	var rows []*peersv1.Row
	for _, row := range e.peers.Rows(ids) {
		rows = append(rows, encodeRow(row))
	}
	return rows
}

// introductions are the relays that are heard or told of, by which a daemon finds its
// place. Introductions are never told on, or two daemons could keep a third one alive
// that has ended. Called with mu held.
func (e *Edge) introductions(now time.Duration) []*peersv1.Row {
	if e.plan.Direct {
		return nil
	}
	var ids []ident.Incarnation
	for _, m := range e.peers.Confirmed(now) {
		if e.elects(m.Incarnation) {
			ids = append(ids, m.Incarnation)
		}
	}
	return e.rosterRows(ids)
}

// firstByID returns the first few in the order of names, in which daemons stand for
// the duties.
func firstByID(members []peers.Member, n int) []peers.Member {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b peers.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members[:min(n, len(members))]
}
