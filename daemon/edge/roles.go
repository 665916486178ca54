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

// This file keeps track of the role of each daemon: relay, follower, or relay that this daemon
// follows. Times are counted in rounds of gossipInterval.

const (
	// While the set of daemons doesn't change, rosters are sent during rosterBurstRounds
	// consecutive rounds out of every rosterIntervalRounds, so that each relay and each
	// follower gets one. After a change they are sent in rosterRepeats consecutive rounds,
	// since datagrams get lost.
	rosterIntervalRounds = standbyRounds
	rosterBurstRounds    = followerRounds
	rosterRepeats        = 6
	// localRosterRows and remoteRosterRows are the numbers of ready daemons of a follower's own
	// failure domain and of others in its roster, a different subset each time. Followers only
	// need them for the directory, which names a few daemons to a caller; those of other domains
	// serve callers whose own failure domain is lost.
	localRosterRows  = 12
	remoteRosterRows = 4
	// maxIntroducedRelays is the number of relays that one message introduces to the other
	// relays, a different subset each time. Rosters between relays list followers only, so
	// without introductions two relays that have never heard each other would not know that
	// they share quotas with one more relay.
	maxIntroducedRelays = 4
	// demotionRepeats is the number of times that a former relay announces its demotion to the
	// other relays. Until they know of it, they expect messages about its quota use.
	demotionRepeats = 4
	// firstStartPeriod is the time after the first start of a fleet in which a daemon that becomes
	// a relay assumes that no quota has been used yet. Daemons that start later find that the fleet has served.
	firstStartPeriod = 5 * time.Second
)

// follower is a daemon that reports its state to this relay.
type follower struct {
	address   string
	lastHeard time.Duration
	// primary is true if this relay is the follower's primary relay, the one that counts its
	// work.
	primary bool
	// includedSeq is the sequence number of the follower's latest message whose loads are
	// included in the sums that this relay sends.
	includedSeq uint64
	feed        feedRequest
}

// tickPeers updates everything that depends on the time and on which daemons are alive: the peer
// table, the elected relays, the quota limiter, the usage ledger and this daemon's phase.
func (e *Edge) tickPeers() {
	now := e.deps.Steady()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range e.peers.Tick(now) {
		e.removePeer(id, "silent")
	}
	e.electRelays(now)
	e.updateRanked()
	e.updateFallback(now)
	e.reported.updateMostRelaysReported(now, len(e.relayPlan.OtherRelays))
	e.limiter.SetExpectedDaemons(now, e.countQuotaGranters(now))
	e.limiter.SetIsolationShares(e.isolatedQuotaParts(now))
	e.limiter.Tick(now)
	e.usageLedger.Tick(e.wallClock.At(now))
	e.checkSentReports(now)
	e.refreshPhase(now)
}

// electRelays recomputes which daemons are relays and which of them this daemon follows. The
// caller must hold e.mu.
func (e *Edge) electRelays(now time.Duration) {
	alive := peers.AliveFor
	if !e.relayPlan.Direct {
		alive = peers.RelayedAliveFor
	}
	e.peers.SetAliveFor(alive)
	e.alive = e.peers.Alive(now)
	v := relays.View{Self: e.peers.Self(), Alive: e.alive, FleetSize: e.peers.FleetSize(), DomainCount: e.peers.Domains(now), DirectFleet: e.settings.directFleet()}
	previous := e.relayPlan
	e.relayPlan = relays.Elect(v)
	e.directMode.Store(e.relayPlan.Direct)
	e.allWatch.Store(e.relayPlan.AllWatch)
	e.relayMode.Store(e.relayPlan.Relay)
	if e.relayPlan.Relay && !previous.Relay {
		e.relayConfirmation.Start(now)
	}
	if e.relayPlan.Granter && !previous.Granter {
		e.granterConfirmation.Start(now)
		e.resetLimiter(now)
	}
	switch {
	case previous.Relay && !e.relayPlan.Relay, previous.Direct && !e.relayPlan.Direct:
		e.demotionRecipients, e.demotionSendsLeft = previous.OtherRelays, demotionRepeats
	}
	followedRelaysChanged := !slices.Equal(e.relayPlan.Followed, previous.Followed)
	e.relaysChanged = e.relaysChanged || followedRelaysChanged
	if e.relayPlan.Relay != previous.Relay || followedRelaysChanged {
		var followed []ident.Incarnation
		for _, r := range e.relayPlan.Followed {
			followed = append(followed, r.Incarnation)
		}
		e.log.Note("role", decisions.F("relay", e.relayPlan.Relay), decisions.F("follows", followed), decisions.F("daemons", v.FleetSize))
	}
}

// resetLimiter creates a new quota limiter when this daemon becomes one of the relays that share
// the quotas, since the state of an earlier such period is out of date.
func (e *Edge) resetLimiter(now time.Duration) {
	first := e.firstStart.Load() && now-e.startedAt < firstStartPeriod
	e.limiter = quota.New(now, e.settings.Bounds.QuotaWindow, e.settings.Bounds.QuotaTolerance, first)
	if t := e.table.Load(); t != nil {
		e.limiter.SetLimits(now, limitsOf(t))
	}
}

// countQuotaGranters returns the number of daemons that may grant quota, including this one.
func (e *Edge) countQuotaGranters(now time.Duration) int {
	if e.relayPlan.Direct {
		return 1 + len(e.peers.Addresses())
	}
	return 1 + len(e.relayPlan.OtherGranters)
}

// isolatedQuotaParts returns the number of parts into which quotas are divided while this relay
// hears no other one that shares them. This relay's part covers itself and the followers whose
// primary it is.
// Zero means not isolated; it is also returned in a direct fleet, where the limiter knows every
// daemon.
func (e *Edge) isolatedQuotaParts(now time.Duration) int {
	if e.relayPlan.Direct {
		return 0
	}
	if e.hearsAny(now, e.relayPlan.OtherGranters) {
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

// hearsAny reports whether this daemon recently received a message from one of the members. The
// caller must hold e.mu.
func (e *Edge) hearsAny(now time.Duration, members []peers.Member) bool {
	return slices.ContainsFunc(members, func(m peers.Member) bool { return e.peers.HeardRecently(now, m.Incarnation) })
}

// elects reports whether another daemon is a relay according to this daemon's election. The
// caller must hold e.mu.
func (e *Edge) elects(id ident.Incarnation) bool { return containsMember(e.relayPlan.OtherRelays, id) }

// sharesQuotas reports whether another daemon is one of the relays that share the quotas,
// according to this daemon's election. The caller must hold e.mu.
func (e *Edge) sharesQuotas(id ident.Incarnation) bool {
	return containsMember(e.relayPlan.OtherGranters, id)
}

func containsMember(members []peers.Member, id ident.Incarnation) bool {
	return slices.ContainsFunc(members, func(m peers.Member) bool { return m.Incarnation == id })
}

// handleRelayClaim processes the message of a daemon that claims to be a relay. If this daemon
// doesn't elect the sender, the sender is sent the elected relays with the next
// newcomerMessages. Otherwise its statement whether it elects this daemon is recorded. In a
// direct fleet, where every daemon is a relay, this happens too, so that the daemons may share
// quotas without a gap when the fleet outgrows that mode. The caller must hold e.mu.
func (e *Edge) handleRelayClaim(now time.Duration, id ident.Incarnation, h *peersv1.Hello) {
	if !h.Relay || !e.relayPlan.Relay {
		return
	}
	if !e.relayPlan.Direct && !e.elects(id) {
		e.rosterRequesters[id] = h.PeerAddress
		return
	}
	if e.relayPlan.Granter && e.sharesQuotas(id) {
		e.granterConfirmation.Receive(now, h.ElectsGranter)
	}
	if e.relayConfirmation.Receive(now, h.Elects) && !e.relayPlan.Direct {
		e.log.Note("role_doubted", decisions.F("by", id), decisions.F("relays", 1+len(e.relayPlan.OtherRelays)),
			decisions.F("knows", len(e.alive)), decisions.F("daemons", e.peers.FleetSize()))
	}
}

// removePeer drops all state of a daemon that has ended, except its usage counts, which are
// still to be reported. The caller must hold e.mu.
func (e *Edge) removePeer(id ident.Incarnation, reason string) {
	e.limiter.PeerEnded(id)
	e.wallClock.PeerEnded(id)
	delete(e.stamps, id)
	delete(e.fair.ranks, id)
	delete(e.followers, id)
	delete(e.fedRelays, id)
	delete(e.cutOffUntil, id)
	delete(e.requestedCountsByRelay, id)
	e.coverage.PeerEnded(e.deps.Steady(), id)
	e.log.Note("daemon_gone", decisions.F("incarnation", id), decisions.F("reason", reason))
}

// updateFollower records whether the sender of a message follows this daemon. The caller must
// hold e.mu.
func (e *Edge) updateFollower(now time.Duration, id ident.Incarnation, h *peersv1.Hello) {
	if h.Joining {
		e.rosterRequesters[id] = h.PeerAddress
	}
	delete(e.fedRelays, id)
	if !h.Follows {
		delete(e.followers, id)
		if request := feedRequestOf(h); request.wanted {
			e.fedRelays[id] = request
		}
		return
	}
	f := follower{address: h.PeerAddress, lastHeard: now, primary: h.Primary, feed: feedRequestOf(h)}
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

// rosterDue reports whether rosters are sent in a round. The caller must hold e.mu.
func (e *Edge) rosterDue(round uint64) bool {
	if v := rosterHash(e.alive); v != e.rosterHash {
		e.rosterHash, e.rosterSendsLeft = v, rosterRepeats
	}
	if e.rosterSendsLeft > 0 {
		e.rosterSendsLeft--
		return true
	}
	return round%rosterIntervalRounds < rosterBurstRounds
}

// rosterHash returns a hash of the members' incarnations and phases, by which a changed
// roster is detected.
func rosterHash(members []peers.Member) uint64 {
	d := xxhash.New()
	for _, m := range members {
		// A hash accepts every write without an error.
		_, _ = d.WriteString(string(m.Incarnation))
		_, _ = d.Write([]byte{0, byte(m.Phase)})
	}
	return d.Sum64()
}

// followersRoster lists the followers of this relay, for the other relays. The caller must hold
// e.mu.
func (e *Edge) followersRoster() *peersv1.Roster {
	ids := make([]ident.Incarnation, 0, len(e.followers))
	for id := range e.followers {
		ids = append(ids, id)
	}
	r := e.buildRoster(ids)
	r.Followers = true
	return r
}

// domainRoster lists the relays of this failure domain, localRosterRows daemons of it and
// remoteRosterRows ready ones of others, for followers. The caller must hold e.mu.
func (e *Edge) domainRoster(now time.Duration) *peersv1.Roster {
	var elected, local, remote []ident.Incarnation
	for _, m := range e.peers.Confirmed(now) {
		switch {
		case m.FailureDomain != e.settings.FailureDomain:
			if m.Phase == peers.Ready {
				remote = append(remote, m.Incarnation)
			}
		case e.elects(m.Incarnation):
			elected = append(elected, m.Incarnation)
		default:
			local = append(local, m.Incarnation)
		}
	}
	return e.buildRoster(slices.Concat(elected, rotatingSubset(local, e.seq, localRosterRows), rotatingSubset(remote, e.seq, remoteRosterRows)))
}

func (e *Edge) buildRoster(ids []ident.Incarnation) *peersv1.Roster {
	return &peersv1.Roster{Rows: e.rosterRows(ids), Fleet: uint32(e.peers.KnownCount()), Domains: uint32(e.relayPlan.DomainCount)}
}

// rosterRows returns the latest known state of the given daemons. The caller must hold e.mu.
func (e *Edge) rosterRows(ids []ident.Incarnation) []*peersv1.Row {
	var rosterRows []*peersv1.Row
	for _, row := range e.peers.Rows(ids) {
		rosterRows = append(rosterRows, encodeRow(row))
	}
	return rosterRows
}

// introductions lists the elected relays that are heard directly or listed in a roster, so that
// a receiver can find the relays to follow. The receiver must not pass introductions on, or two
// daemons could keep a third one alive for each other after its end. The caller must hold e.mu.
func (e *Edge) introductions(now time.Duration) []*peersv1.Row {
	if e.relayPlan.Direct {
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

// introductionsTo selects the relays to introduce to one daemon: those of its failure domain, which
// it may follow, and the granters of the others, from which a relay hears of all. The caller must
// hold e.mu.
func (e *Edge) introductionsTo(id ident.Incarnation, introductions []*peersv1.Row) []*peersv1.Row {
	domain := ""
	for _, row := range e.rosterRows([]ident.Incarnation{id}) {
		domain = row.FailureDomain
	}
	return slices.DeleteFunc(slices.Clone(introductions), func(row *peersv1.Row) bool {
		return row.FailureDomain != domain && !e.sharesQuotas(ident.Incarnation(row.Incarnation))
	})
}

// firstByID returns the first n members in the order of daemon IDs, which is also the order in
// which daemons take over the duties.
func firstByID(members []peers.Member, n int) []peers.Member {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b peers.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members[:min(n, len(members))]
}
