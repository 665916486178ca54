package edge

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/internal/pause"
)

// Whom a daemon tells, and how often, in turns of tellEvery. What is told is made in
// hello.go; what is heard is taken in in hear.go.
const (
	// gossipInterval is the time between two messages of the daemons of a small fleet. Quotas
	// rest on it: what daemons do at once in this time, they do without knowing of each
	// other. A large fleet's relays tell each other at half the pace.
	gossipInterval = 100 * time.Millisecond
	relayRounds    = 2
	// followerRounds is between two messages of a daemon to its primary, and of a relay to
	// the daemons whose primary it is. standbyTurns is the same for those that follow it
	// beside their primary.
	followerRounds = 2 * relayRounds
	standbyRounds  = 2 * followerRounds
	// maxRelaysAtFullRate is how many relays are told at this pace at the most; of more, each is
	// told half as often, or more seldom.
	maxRelaysAtFullRate = 16
	// maxUnheardPerRound bounds the messages to addresses at which nobody is heard, which a
	// large fleet has many of while its daemons are down.
	maxUnheardPerRound = 2
	// maxDatagramBytes bounds a message; UDP carries no more.
	maxDatagramBytes = 60 << 10
)

// tickLoop moves everything on that rests on time, and sends this daemon's state to the
// others, until the context ends. It is one timer, since each time that an idle process
// wakes up costs a large fleet more than what it does then.
func (e *Edge) tickLoop(ctx context.Context) {
	for round := uint64(0); ; {
		step := e.roundsPerMessage()
		if !pause.For(ctx, time.Duration(step)*gossipInterval) {
			return
		}
		round += step
		round -= round % step
		e.tickPeers()
		e.sendRound(round)
		e.applyLoads()
		e.reportTrials(e.deps.Steady())
		if e.healthDue() {
			e.tickHealth()
		}
		e.duties.wake()
		e.asks.expire(e.deps.Steady())
		if e.configAge() > confirmAfter && e.table.Load() != nil {
			go e.confirm(ctx)
		}
	}
}

// roundsPerMessage is how many roundsPerMessage pass until this daemon has anything to tell.
func (e *Edge) roundsPerMessage() uint64 {
	switch {
	case e.direct.Load():
		return 1
	case e.relaying.Load():
		return relayRounds
	}
	return followerRounds
}

// recipient is one address of a message, with what is meant for it alone.
type recipient struct {
	address    string
	individual *peersv1.Hello
}

// multicast is a message to several recipients.
type multicast struct {
	hello *peersv1.Hello
	to    []recipient
}

// sendRound sends what is due in a turn. Turn zero is everything.
func (e *Edge) sendRound(round uint64) {
	w := e.whatToTell()
	now := e.deps.Steady()
	var out []multicast
	e.mu.Lock()
	w.roster = e.rosterDue(round)
	if e.plan.Relay {
		out = append(out, e.relayMessages(now, round, w))
	} else if round%followerRounds == 0 || e.followsAnew {
		e.followsAnew = false
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

// relayMessageRounds is how many turns are between two messages to the other relays: of more than
// relaysAtOnce each is told more seldom.
func (e *Edge) relayMessageRounds() uint64 {
	return uint64(relayRounds * (1 + len(e.plan.OtherRelays)/maxRelaysAtFullRate))
}

// sendsRoster tells whether the other relays are told of this one's roster, if that is due, and
// its own counts in their message of a number, instead of its followers' counts.
func sendsRoster(messageNumber uint64) bool { return messageNumber%2 == 1 }

// relayMessages is for the other relays; in a small fleet for everybody.
func (e *Edge) relayMessages(now time.Duration, round uint64, w news) multicast {
	period := e.relayMessageRounds()
	if !e.plan.Direct && round%period != 0 {
		return multicast{}
	}
	messageNumber := round / period
	c := multicast{hello: e.baseHello(now)}
	e.addQuotaUses(now, c.hello)
	if e.plan.Direct || period >= followerRounds || !sendsRoster(messageNumber) {
		addWork(c.hello, w.cell)
	}
	if e.plan.Direct && w.roster || !e.plan.Direct && sendsRoster(messageNumber) && (w.roster || period >= followerRounds) {
		c.hello.Roster = e.followersRoster()
	}
	if e.plan.Direct {
		e.addAllCounts(now, c.hello)
	} else if sendsRoster(messageNumber) {
		c.hello.Introduced = rotatingSubset(e.introductions(now), messageNumber/2, maxIntroducedRelays)
	}
	counts := e.countsForRelays(now, messageNumber)
	for i, r := range e.plan.OtherRelays {
		individual := e.stampReply(r.Incarnation)
		individual.Elects = true
		individual.Lacks = counts.requestFor(messageNumber, i)
		e.addRelayCounts(now, r.Incarnation, counts, individual)
		individual.Feed = e.feedAfter(now, e.feeding[r.Incarnation])
		if r.Incarnation == e.plan.WatchSource.Incarnation && !e.plan.WatchesStore {
			individual.FeedAt = e.dir.reached()
		}
		c.to = append(c.to, recipient{r.PeerAddress, individual})
	}
	return c
}

// followedRelayMessages is for the relays that this daemon follows.
func (e *Edge) followedRelayMessages(now time.Duration, round uint64, w news) multicast {
	c := multicast{hello: e.baseHello(now)}
	c.hello.Follows = true
	addWork(c.hello, w.own)
	e.addOwnCounts(now, c.hello)
	e.told.remember(c.hello.Seq, w.own.loads)
	for i, r := range e.plan.Followed {
		if i > 0 && round%standbyRounds != 0 {
			break
		}
		individual := e.stampReply(r.Incarnation)
		individual.Primary = i == 0
		individual.FeedAt = e.dir.reached()
		c.to = append(c.to, recipient{r.PeerAddress, individual})
	}
	return c
}

// followerMessages is for the daemons that follow this one.
func (e *Edge) followerMessages(now time.Duration, round uint64, w news) multicast {
	c := multicast{}
	for id, f := range e.followers {
		if now-f.lastHeard > e.peers.AliveFor() {
			delete(e.followers, id)
			continue
		}
		if !f.primary && round%standbyRounds != 0 {
			continue
		}
		individual := e.stampReply(id)
		individual.IncludedSeq = f.includedSeq
		individual.Feed = e.feedAfter(now, f.feedRevision)
		c.to = append(c.to, recipient{f.address, individual})
	}
	if len(c.to) == 0 {
		return c
	}
	c.hello = e.baseHello(now)
	c.hello.TimeUnixNs = e.wall.At(now).UnixNano()
	addWork(c.hello, w.all)
	if w.roster {
		c.hello.Roster = e.domainRoster(now)
	}
	return c
}

// formerRelayMessages is for the relays that this daemon was one of, and for those that it shared
// quotas with while the fleet was small: they wait to hear of its use until they know, too,
// that there are others now.
func (e *Edge) formerRelayMessages(now time.Duration) multicast {
	c := multicast{}
	if e.demotionsLeft == 0 {
		return c
	}
	e.demotionsLeft--
	c.hello = e.baseHello(now)
	upToDate := e.plan.Followed
	if e.plan.Relay {
		upToDate = e.plan.OtherRelays
		e.addQuotaUses(now, c.hello)
		c.hello.Roster = e.domainRoster(now)
	}
	for _, r := range e.formerRelays {
		if !containsMember(upToDate, r.Incarnation) {
			c.to = append(c.to, recipient{r.PeerAddress, e.stampReply(r.Incarnation)})
		}
	}
	return c
}

// newcomerMessages is for those who may not know of the fleet, or are not known: addresses at
// which nobody is heard, which a daemon that follows others leaves to the relays, and
// daemons that ask who the relays are.
func (e *Edge) newcomerMessages(now time.Duration, round uint64) multicast {
	c := multicast{}
	if e.plan.Relay {
		unheard := e.peers.UnheardAddresses(e.alive)
		if !e.plan.Direct {
			unheard = rotatingSubset(unheard, round, maxUnheardPerRound)
		}
		for _, address := range unheard {
			c.to = append(c.to, recipient{address, &peersv1.Hello{ConfigRevision: e.fresh.Revision()}})
		}
	}
	if !e.plan.Direct {
		for id, address := range e.joining {
			c.to = append(c.to, recipient{address, e.stampReply(id)})
		}
	}
	clear(e.joining)
	if len(c.to) == 0 {
		return c
	}
	c.hello = e.baseHello(now)
	c.hello.Introduced = e.introductions(now)
	if e.plan.Direct {
		e.addQuotaUses(now, c.hello)
	}
	return c
}

// rotatingSubset picks a few of a list, all of them within a few turns.
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

// sendMulticast sends a multicast: messages that are joined are merged by their reader, so what
// is meant for one daemon is appended to what is meant for all.
func (e *Edge) sendMulticast(c multicast) {
	if len(c.to) == 0 {
		return
	}
	common, err := proto.Marshal(&peersv1.Datagram{Hello: c.hello})
	if err != nil {
		e.log.Note("message_failed", decisions.F("error", err.Error()))
		return
	}
	for _, r := range c.to {
		message, err := proto.MarshalOptions{}.MarshalAppend(common[:len(common):len(common)], &peersv1.Datagram{Hello: r.individual})
		if err != nil || len(message) > maxDatagramBytes {
			e.log.Note("message_failed", decisions.F("bytes", len(message)))
			continue
		}
		e.sendBytes(r.address, message)
	}
}

// sendTo sends one message to an address.
func (e *Edge) sendTo(address string, d *peersv1.Datagram) {
	message, err := proto.Marshal(d)
	if err != nil {
		e.log.Note("message_failed", decisions.F("error", err.Error()))
		return
	}
	e.sendBytes(address, message)
}

func (e *Edge) sendBytes(address string, message []byte) {
	to, err := e.resolved.resolve(address)
	if err != nil {
		e.log.Note("message_failed", decisions.F("address", address), decisions.F("error", err.Error()))
		return
	}
	if _, err := e.deps.Datagrams.WriteTo(message, to); err != nil {
		e.log.Count("peers.send_failed")
	}
}

// udpAddresses keeps peers' addresses parsed; each is used several times a second.
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
		return nil, fmt.Errorf("peer address: %w", err)
	}
	if a.parsed == nil || len(a.parsed) >= peers.MaxAddresses {
		a.parsed = map[string]*net.UDPAddr{}
	}
	a.parsed[address] = parsed
	return parsed, nil
}
