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
	// tellEvery is the time between two messages of the daemons of a small fleet. Quotas
	// rest on it: what daemons do at once in this time, they do without knowing of each
	// other. A large fleet's relays tell each other at half the pace.
	tellEvery  = 100 * time.Millisecond
	relayTurns = 2
	// followTurns is between two messages of a daemon to its primary, and of a relay to
	// the daemons whose primary it is. standbyTurns is the same for those that follow it
	// beside their primary.
	followTurns  = 2 * relayTurns
	standbyTurns = 2 * followTurns
	// relaysAtOnce is how many relays are told at this pace at the most; of more, each is
	// told half as often, or more seldom.
	relaysAtOnce = 16
	// unheardATurn bounds the messages to addresses at which nobody is heard, which a
	// large fleet has many of while its daemons are down.
	unheardATurn = 2
	// datagramBytes bounds a message; UDP carries no more.
	datagramBytes = 60 << 10
)

// tickLoop moves everything on that rests on time, and sends this daemon's state to the
// others, until the context ends. It is one timer, since each time that an idle process
// wakes up costs a large fleet more than what it does then.
func (e *Edge) tickLoop(ctx context.Context) {
	for turn := uint64(0); ; {
		turns := e.turns()
		if !pause.For(ctx, time.Duration(turns)*tellEvery) {
			return
		}
		turn += turns
		turn -= turn % turns
		e.tickPeers()
		e.tellTurn(turn)
		e.applyPeerLoads()
		e.reportTrials(e.deps.Steady())
		if e.healthDue() {
			e.tickHealth()
		}
		e.duties.wake()
		e.grantRequests.expire(e.deps.Steady())
		if e.configAge() > confirmAfter && e.table.Load() != nil {
			go e.confirmConfig(ctx)
		}
	}
}

// turns is how many turns pass until this daemon has anything to tell.
func (e *Edge) turns() uint64 {
	switch {
	case e.directMode.Load():
		return 1
	case e.relayMode.Load():
		return relayTurns
	}
	return followTurns
}

// recipient is one address of a message, with what is meant for it alone.
type recipient struct {
	address string
	own     *peersv1.Hello
}

// multicast is a message to several recipients.
type multicast struct {
	hello *peersv1.Hello
	to    []recipient
}

// tellTurn sends what is due in a turn. Turn zero is everything.
func (e *Edge) tellTurn(turn uint64) {
	w := e.summarizeWork()
	now := e.deps.Steady()
	var out []multicast
	e.mu.Lock()
	w.roster = e.rosterDue(turn)
	if e.relayPlan.Relay {
		out = append(out, e.toRelays(now, turn, w))
	} else if turn%followTurns == 0 || e.relaysChanged {
		e.relaysChanged = false
		out = append(out, e.toFollowed(now, turn, w))
	}
	if turn%followTurns == 0 {
		out = append(out, e.toFollowers(now, turn, w))
	}
	out = append(out, e.toFormerRelays(now), e.toOthers(now, turn))
	e.mu.Unlock()
	for _, c := range out {
		e.post(c)
	}
}

// relayPeriod is how many turns are between two messages to the other relays: of more than
// relaysAtOnce each is told more seldom.
func (e *Edge) relayPeriod() uint64 {
	return uint64(relayTurns * (1 + len(e.relayPlan.Others)/relaysAtOnce))
}

// rosterBeat tells whether the other relays are told of this one's roster, if that is due, and
// its own counts in their message of a number, instead of its followers' counts.
func rosterBeat(beat uint64) bool { return beat%2 == 1 }

// toRelays is for the other relays; in a small fleet for everybody.
func (e *Edge) toRelays(now time.Duration, turn uint64, w workSummaries) multicast {
	period := e.relayPeriod()
	if !e.relayPlan.Direct && turn%period != 0 {
		return multicast{}
	}
	beat := turn / period
	c := multicast{hello: e.presence(now)}
	e.addUses(now, c.hello)
	if e.relayPlan.Direct || period >= followTurns || !rosterBeat(beat) {
		addWork(c.hello, w.ownAndFollowers)
	}
	if e.relayPlan.Direct && w.roster || !e.relayPlan.Direct && rosterBeat(beat) && (w.roster || period >= followTurns) {
		c.hello.Roster = e.followersRoster()
	}
	if e.relayPlan.Direct {
		e.addAllCounts(now, c.hello)
	} else if rosterBeat(beat) {
		c.hello.Introduced = inTurn(e.introductions(now), beat/2, relayRows)
	}
	counts := e.countsForRelays(now, beat)
	for i, r := range e.relayPlan.Others {
		own := e.answer(r.Incarnation)
		own.Elects = true
		own.Lacks = counts.lacked(beat, i)
		e.addRelayCounts(now, r.Incarnation, counts, own)
		own.Feed = e.feedAfter(now, e.fedRelays[r.Incarnation])
		if r.Incarnation == e.relayPlan.Source.Incarnation && !e.relayPlan.Watches {
			own.FeedAt = e.dir.revisionReached()
		}
		c.to = append(c.to, recipient{r.PeerAddress, own})
	}
	return c
}

// toFollowed is for the relays that this daemon follows.
func (e *Edge) toFollowed(now time.Duration, turn uint64, w workSummaries) multicast {
	c := multicast{hello: e.presence(now)}
	c.hello.Follows = true
	addWork(c.hello, w.own)
	e.addOwnCounts(now, c.hello)
	e.reported.rememberSent(c.hello.Seq, w.own.loads)
	for i, r := range e.relayPlan.Own {
		if i > 0 && turn%standbyTurns != 0 {
			break
		}
		own := e.answer(r.Incarnation)
		own.Primary = i == 0
		own.FeedAt = e.dir.revisionReached()
		c.to = append(c.to, recipient{r.PeerAddress, own})
	}
	return c
}

// toFollowers is for the daemons that follow this one.
func (e *Edge) toFollowers(now time.Duration, turn uint64, w workSummaries) multicast {
	c := multicast{}
	for id, f := range e.followers {
		if now-f.heard > e.peers.AliveFor() {
			delete(e.followers, id)
			continue
		}
		if !f.primary && turn%standbyTurns != 0 {
			continue
		}
		own := e.answer(id)
		own.IncludedSeq = f.included
		own.Feed = e.feedAfter(now, f.feedAt)
		c.to = append(c.to, recipient{f.address, own})
	}
	if len(c.to) == 0 {
		return c
	}
	c.hello = e.presence(now)
	c.hello.TimeUnixNs = e.wallClock.At(now).UnixNano()
	addWork(c.hello, w.all)
	if w.roster {
		c.hello.Roster = e.domainRoster(now)
	}
	return c
}

// toFormerRelays is for the relays that this daemon was one of, and for those that it shared
// quotas with while the fleet was small: they wait to hear of its use until they know, too,
// that there are others now.
func (e *Edge) toFormerRelays(now time.Duration) multicast {
	c := multicast{}
	if e.demotionSendsLeft == 0 {
		return c
	}
	e.demotionSendsLeft--
	c.hello = e.presence(now)
	told := e.relayPlan.Own
	if e.relayPlan.Relay {
		told = e.relayPlan.Others
		e.addUses(now, c.hello)
		c.hello.Roster = e.domainRoster(now)
	}
	for _, r := range e.demotionRecipients {
		if !contain(told, r.Incarnation) {
			c.to = append(c.to, recipient{r.PeerAddress, e.answer(r.Incarnation)})
		}
	}
	return c
}

// toOthers is for those who may not know of the fleet, or are not known: addresses at
// which nobody is heard, which a daemon that follows others leaves to the relays, and
// daemons that ask who the relays are.
func (e *Edge) toOthers(now time.Duration, turn uint64) multicast {
	c := multicast{}
	if e.relayPlan.Relay {
		unheard := e.peers.Unheard(e.alive)
		if !e.relayPlan.Direct {
			unheard = inTurn(unheard, turn, unheardATurn)
		}
		for _, address := range unheard {
			c.to = append(c.to, recipient{address, &peersv1.Hello{ConfigRevision: e.fresh.Revision()}})
		}
	}
	if !e.relayPlan.Direct {
		for id, address := range e.rosterRequesters {
			c.to = append(c.to, recipient{address, e.answer(id)})
		}
	}
	clear(e.rosterRequesters)
	if len(c.to) == 0 {
		return c
	}
	c.hello = e.presence(now)
	c.hello.Introduced = e.introductions(now)
	if e.relayPlan.Direct {
		e.addUses(now, c.hello)
	}
	return c
}

// inTurn picks a few of a list, all of them within a few turns.
func inTurn[T any](list []T, turn uint64, most int) []T {
	if len(list) <= most {
		return list
	}
	some := make([]T, 0, most)
	for i := range uint64(most) {
		some = append(some, list[(turn*uint64(most)+i)%uint64(len(list))])
	}
	return some
}

// post sends a multicast: messages that are joined are merged by their reader, so what
// is meant for one daemon is appended to what is meant for all.
func (e *Edge) post(c multicast) {
	if len(c.to) == 0 {
		return
	}
	common, err := proto.Marshal(&peersv1.Datagram{Hello: c.hello})
	if err != nil {
		e.log.Note("message_failed", decisions.F("error", err.Error()))
		return
	}
	for _, r := range c.to {
		message, err := proto.MarshalOptions{}.MarshalAppend(common[:len(common):len(common)], &peersv1.Datagram{Hello: r.own})
		if err != nil || len(message) > datagramBytes {
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
	to, err := e.resolvedAddresses.of(address)
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

func (a *udpAddresses) of(address string) (*net.UDPAddr, error) {
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
