package edge

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/state/ident"
)

// This file decides which daemons are sent a message and how often, in rounds of
// gossipInterval. The contents of messages are built in hello.go; received messages are handled
// in receive.go.
//
// In a small, direct fleet (relays.Plan.Direct) every daemon is a relay and sends its state to
// every other daemon. In a larger one each failure domain elects a few relays, and every other
// daemon follows two of them: its primary relay, which counts its work, and a standby. Relays
// pass on what their followers send.
const (
	// gossipInterval is the time between two messages of the daemons of a small fleet. The
	// accuracy of quotas depends on it: within one interval, daemons grant quota without
	// knowing of each other's grants. The relays of a large fleet send every relayRounds
	// rounds.
	gossipInterval = 100 * time.Millisecond
	relayRounds    = 2
	// followerRounds is the number of rounds between two messages of a daemon to its primary
	// relay, and of a relay to the daemons whose primary it is. standbyRounds is the same
	// between a daemon and the other relay that it follows.
	followerRounds = 2 * relayRounds
	standbyRounds  = 2 * followerRounds
	// maxRelaysAtFullRate is the greatest number of other relays that are each sent a message
	// every relayRounds rounds. For each further maxRelaysAtFullRate relays the interval grows
	// by relayRounds.
	maxRelaysAtFullRate = 16
	// maxUnheardPerRound bounds the messages to addresses that no known daemon sends from. A
	// large fleet has many such addresses while daemons are down.
	maxUnheardPerRound = 2
	// maxDatagramBytes bounds a message, below the limit of UDP.
	maxDatagramBytes = 60 << 10
)

// tickLoop runs the periodic work and sends this daemon's state to the other daemons until the
// context ends. All of it shares one timer, since in a large fleet each wake-up of an idle
// process costs more than the work done in it.
func (e *Edge) tickLoop(ctx context.Context) {
	for round := uint64(0); ; {
		roundsPerMessage := e.roundsPerMessage()
		if !pause.For(ctx, time.Duration(roundsPerMessage)*gossipInterval) {
			return
		}
		round += roundsPerMessage
		round -= round % roundsPerMessage
		e.tickPeers()
		e.probeSilentHelpers()
		e.tickFairShare()
		e.sendRound(round)
		e.publishLateRunners()
		e.observeVersions()
		e.passOnUnsaved(e.deps.Steady())
		e.applyPeerLoads()
		e.stepSpillover()
		e.reportTrials(e.deps.Steady())
		if e.healthDue() {
			e.tickHealth()
		}
		e.duties.wakeup.wake()
		e.streams.saver.wakeup.wake()
		e.grantRequests.expire(e.deps.Steady())
		if e.configAge() > e.confirmAfter() && e.table.Load() != nil {
			go e.confirmConfig(ctx)
		}
	}
}

// roundsPerMessage returns the number of rounds between two messages of this daemon.
func (e *Edge) roundsPerMessage() uint64 {
	switch {
	case e.directMode.Load(), e.dir.wantsSnapshot():
		return 1
	case e.relayMode.Load():
		return relayRounds
	}
	return followerRounds
}

// recipient is one address of a multicast with the fields that only it gets. sharesQuotas says
// that it also gets the quota uses.
type recipient struct {
	address      string
	own          *peersv1.Hello
	sharesQuotas bool
}

// multicast is a message to several recipients, with the fields that all of them get. quotaUses
// are fields for those recipients that share the quotas with this daemon; nil if there are none.
type multicast struct {
	hello, quotaUses *peersv1.Hello
	to               []recipient
}

// sendRound sends all messages that are due in a round. In round zero every kind of message is
// due.
func (e *Edge) sendRound(round uint64) {
	w := e.summarizeWork()
	now := e.deps.Steady()
	var out []multicast
	e.mu.Lock()
	w.roster = e.rosterDue(round)
	if e.relayPlan.Relay {
		out = append(out, e.relayMessages(now, round, w))
	} else if round%followerRounds == 0 || e.relaysChanged || e.dir.wantsSnapshot() {
		e.relaysChanged = false
		out = append(out, e.followedRelayMessages(now, round, w))
	}
	if round%followerRounds == 0 {
		out = append(out, e.followerMessages(now, round, w))
	}
	out = append(out, e.formerRelayMessages(now), e.newcomerMessages(now, round))
	e.mu.Unlock()
	for _, c := range out {
		e.sendMulticast(c)
	}
}

// relayMessageRounds returns the number of rounds between two messages to the other relays. It
// grows with each maxRelaysAtFullRate of them.
func (e *Edge) relayMessageRounds() uint64 {
	return uint64(relayRounds * (1 + len(e.relayPlan.OtherRelays)/maxRelaysAtFullRate))
}

// sendsRoster reports whether a message to the other relays carries this relay's own counts
// and, if one is due, its roster; the other messages carry its followers' counts. messageNumber
// counts the messages to the other relays.
func sendsRoster(messageNumber uint64) bool { return messageNumber%2 == 1 }

// relayMessages builds the message to the other relays, which are all daemons in a direct
// fleet. In the rounds between two complete messages it only goes to the relays that need it
// sooner.
func (e *Edge) relayMessages(now time.Duration, round uint64, w workSummaries) multicast {
	period := e.relayMessageRounds()
	if e.relayPlan.Direct || round%period == 0 {
		return e.completeRelayMessages(now, round/period, w)
	}
	c := multicast{hello: e.baseHello(now), quotaUses: e.quotaUses(now)}
	for _, r := range e.urgentRelays(now) {
		c.to = append(c.to, recipient{r.PeerAddress, e.relayReply(now, r), e.sharesQuotasWith(r)})
	}
	return c
}

// urgentRelays returns the relays that are sent a message in every relayRounds rounds: those that
// share the quotas with this one, and those between which changes of the key-value service and
// the proofs of the configuration pass.
func (e *Edge) urgentRelays(now time.Duration) []peers.Member {
	return slices.DeleteFunc(slices.Clone(e.relayPlan.OtherRelays), func(r peers.Member) bool {
		return !e.sharesQuotasWith(r) && !e.passesFeedWith(now, r)
	})
}

// sharesQuotasWith reports whether this relay and another one both share the quotas.
func (e *Edge) sharesQuotasWith(r peers.Member) bool {
	return e.relayPlan.Granter && e.sharesQuotas(r.Incarnation)
}

// passesFeedWith reports whether one of this relay and another one gets the changes of the
// key-value service from the other.
func (e *Edge) passesFeedWith(now time.Duration, r peers.Member) bool {
	_, asked := e.fedRelays[r.Incarnation]
	return asked || e.asksForFeed(now, r)
}

// completeRelayMessages builds the message to all other relays. messageNumber counts these
// messages.
func (e *Edge) completeRelayMessages(now time.Duration, messageNumber uint64, w workSummaries) multicast {
	period := e.relayMessageRounds()
	c := multicast{hello: e.baseHello(now), quotaUses: e.quotaUses(now)}
	c.hello.Returns = e.fair.nextReturns(now, &e.fair.toRelays)
	if e.relayPlan.Direct || period >= followerRounds || !sendsRoster(messageNumber) {
		addWork(c.hello, w.ownAndFollowers)
	}
	if e.relayPlan.Direct && w.roster || !e.relayPlan.Direct && sendsRoster(messageNumber) && (w.roster || period >= followerRounds) {
		c.hello.Roster = e.followersRoster()
	}
	if e.relayPlan.Direct {
		e.addAllCounts(now, c.hello)
	} else if sendsRoster(messageNumber) {
		c.hello.Introduced = rotatingSubset(e.introductions(now), messageNumber/2, maxIntroducedRelays)
	}
	c.hello.Paces = e.runnerSpeeds.takePaces(now, !e.relayPlan.Direct, e.pacesToRelays())
	counts := e.countsForRelays(now, messageNumber)
	for i, r := range e.relayPlan.OtherRelays {
		own := e.relayReply(now, r)
		own.Lacks = counts.requestFor(messageNumber, i)
		e.addRelayCounts(now, r.Incarnation, counts, own)
		c.to = append(c.to, recipient{r.PeerAddress, own, e.sharesQuotasWith(r)})
	}
	return c
}

// relayReply returns the fields of a message to another relay that only it gets. The caller must
// hold e.mu.
func (e *Edge) relayReply(now time.Duration, r peers.Member) *peersv1.Hello {
	own := e.stampReply(r.Incarnation)
	own.Elects = true
	own.ElectsGranter = e.sharesQuotas(r.Incarnation)
	own.Feed = e.feedAfter(now, e.fedRelays[r.Incarnation])
	if e.asksForFeed(now, r) {
		e.dir.askForFeed(own)
	}
	return own
}

// followedRelayMessages builds the message to the relays that this daemon follows.
func (e *Edge) followedRelayMessages(now time.Duration, round uint64, w workSummaries) multicast {
	c := multicast{hello: e.baseHello(now)}
	c.hello.Follows = true
	c.hello.Returns = e.fair.nextReturns(now, &e.fair.toFollowed)
	addWork(c.hello, w.own)
	e.addOwnCounts(now, c.hello)
	e.reported.rememberSent(c.hello.Seq, w.own.loads)
	for i, r := range e.relayPlan.Followed {
		if i > 0 && round%standbyRounds != 0 {
			break
		}
		own := e.stampReply(r.Incarnation)
		own.Primary = i == 0
		if own.Primary {
			own.Paces = e.runnerSpeeds.takePaces(now, false, maxPaces)
		}
		e.dir.askForFeed(own)
		c.to = append(c.to, recipient{address: r.PeerAddress, own: own})
	}
	return c
}

// followerMessages builds the message to the daemons that follow this one.
func (e *Edge) followerMessages(now time.Duration, round uint64, w workSummaries) multicast {
	c := multicast{}
	speeds := e.runnerSpeeds.forFollowers(now, e.followers)
	for id, f := range e.followers {
		if now-f.lastHeard > e.peers.AliveFor() {
			delete(e.followers, id)
			continue
		}
		if !f.primary && round%standbyRounds != 0 {
			continue
		}
		own := e.stampReply(id)
		own.IncludedSeq = f.includedSeq
		own.Feed = e.feedAfter(now, f.feed)
		if f.primary {
			own.Speeds = speeds
		}
		c.to = append(c.to, recipient{address: f.address, own: own})
	}
	if len(c.to) == 0 {
		return c
	}
	c.hello = e.baseHello(now)
	c.hello.TimeUnixNs = e.wallClock.At(now).UnixNano()
	c.hello.Returns = e.fair.nextReturns(now, &e.fair.toFollowers)
	c.hello.Ranks = e.fair.ranked.Load()
	addWork(c.hello, w.all)
	if w.roster {
		c.hello.Roster = e.domainRoster(now)
	}
	return c
}

// replyAtOnce builds the answer to a daemon that waits for the content of the key-value service, or
// for a configuration that the service has lost; it is sent at once. The caller must hold e.mu.
func (e *Edge) replyAtOnce(now time.Duration, id ident.Incarnation, h *peersv1.Hello) multicast {
	request := feedRequestOf(h)
	var content *peersv1.Feed
	switch {
	case request.wanted && !request.position.Complete():
		content = e.feedAfter(now, request)
	case h.ConfigWanted:
		content = &peersv1.Feed{Config: e.configAfter(request.configVersion)}
	default:
		return multicast{}
	}
	own := e.stampReply(id)
	own.Feed = content
	return multicast{hello: e.baseHello(now), to: []recipient{{address: h.PeerAddress, own: own}}}
}

// formerRelayMessages builds the announcement of a demotion. It goes to the relays that this
// daemon was one of, and to the daemons that it shared quotas with while the fleet was direct:
// they wait for its quota use until they know that other daemons are the relays now.
func (e *Edge) formerRelayMessages(now time.Duration) multicast {
	c := multicast{}
	if e.demotionSendsLeft == 0 {
		return c
	}
	e.demotionSendsLeft--
	c.hello = e.baseHello(now)
	upToDate := e.relayPlan.Followed
	if e.relayPlan.Relay {
		upToDate = e.relayPlan.OtherRelays
		proto.Merge(c.hello, e.quotaUses(now))
		c.hello.Roster = e.domainRoster(now)
	}
	for _, r := range e.demotionRecipients {
		if !containsMember(upToDate, r.Incarnation) {
			c.to = append(c.to, recipient{address: r.PeerAddress, own: e.stampReply(r.Incarnation)})
		}
	}
	return c
}

// newcomerMessages builds the message to addresses that no known daemon sends from, and to
// daemons that ask for the relays or wrongly claim to be one. A daemon that follows relays
// leaves the unheard addresses to them.
func (e *Edge) newcomerMessages(now time.Duration, round uint64) multicast {
	c := multicast{}
	for _, address := range e.unheardAddresses(now, round) {
		c.to = append(c.to, recipient{address: address, own: &peersv1.Hello{ConfigVersion: e.fresh.Version()}})
	}
	if !e.relayPlan.Direct && len(e.rosterRequesters) > 0 {
		introductions := e.introductions(now)
		for id, address := range e.rosterRequesters {
			own := e.stampReply(id)
			own.Introduced = e.introductionsTo(id, introductions)
			c.to = append(c.to, recipient{address: address, own: own})
		}
	}
	clear(e.rosterRequesters)
	if len(c.to) == 0 {
		return c
	}
	c.hello = e.baseHello(now)
	if e.relayPlan.Direct {
		proto.Merge(c.hello, e.quotaUses(now))
	} else {
		c.hello.Roster = e.buildRoster(nil)
	}
	return c
}

// unheardAddresses returns addresses that no known daemon sends from, for messages. A daemon that
// hears nobody asks its seeds in every round.
func (e *Edge) unheardAddresses(now time.Duration, round uint64) []string {
	if !e.relayPlan.Relay {
		return nil
	}
	unheard := e.peers.UnheardAddresses(e.alive)
	if e.relayPlan.Direct {
		return unheard
	}
	unheard = rotatingSubset(unheard, round, maxUnheardPerRound)
	if !e.hearsAny(now, e.alive) {
		unheard = append(unheard, e.settings.Seeds...)
	}
	return unheard
}

// rotatingSubset returns at most limit elements of a list. Consecutive rounds go through the
// whole list.
func rotatingSubset[T any](list []T, round uint64, limit int) []T {
	if len(list) <= limit {
		return list
	}
	some := make([]T, 0, limit)
	for i := range uint64(limit) {
		some = append(some, list[(round*uint64(limit)+i)%uint64(len(list))])
	}
	return some
}

// sendMulticast encodes the common fields once and appends each recipient's own: a reader of
// concatenated protobuf messages merges them.
func (e *Edge) sendMulticast(c multicast) {
	if len(c.to) == 0 {
		return
	}
	common, err := proto.Marshal(&peersv1.Datagram{Hello: c.hello})
	if err != nil {
		e.log.Note("message_failed", decisions.F("error", err.Error()))
		return
	}
	quotaUses, err := proto.Marshal(&peersv1.Datagram{Hello: c.quotaUses})
	if err != nil {
		e.log.Note("message_failed", decisions.F("error", err.Error()))
		return
	}
	for _, r := range c.to {
		message := common[:len(common):len(common)]
		if r.sharesQuotas {
			message = append(message, quotaUses...)
		}
		message, err := proto.MarshalOptions{}.MarshalAppend(message, &peersv1.Datagram{Hello: r.own})
		if err != nil || len(message) > maxDatagramBytes {
			e.log.Note("message_failed", decisions.F("bytes", len(message)))
			continue
		}
		e.sendBytes(r.address, message)
	}
}

func (e *Edge) sendTo(address string, d *peersv1.Datagram) { e.sendToAll([]string{address}, d) }

// sendToAll encodes a message once and sends it to several addresses.
func (e *Edge) sendToAll(addresses []string, d *peersv1.Datagram) {
	message, err := proto.Marshal(d)
	if err != nil {
		e.log.Note("message_failed", decisions.F("error", err.Error()))
		return
	}
	for _, address := range addresses {
		e.sendBytes(address, message)
	}
}

func (e *Edge) sendBytes(address string, message []byte) {
	to, err := e.resolvedAddresses.resolve(address)
	if err != nil {
		e.log.Note("message_failed", decisions.F("address", address), decisions.F("error", err.Error()))
		return
	}
	if _, err := e.deps.Datagrams.WriteTo(message, to); err != nil {
		e.log.Count("peers.send_failed")
	}
	e.countMessage(address, len(message))
}

// udpAddresses caches parsed peer addresses, each of which is used several times a second.
type udpAddresses struct {
	mu     sync.Mutex
	parsed map[string]*net.UDPAddr
}

func (a *udpAddresses) resolve(address string) (*net.UDPAddr, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known, ok := a.parsed[address]; ok {
		return known, nil
	}
	parsed, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("resolve peer address: %w", err)
	}
	if a.parsed == nil || len(a.parsed) >= peers.MaxAddresses {
		a.parsed = map[string]*net.UDPAddr{}
	}
	a.parsed[address] = parsed
	return parsed, nil
}
