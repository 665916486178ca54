package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumstack.org/geraniumstack/coordination/freshness"
	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// tellEvery is the time between two messages to each daemon of a small
	// fleet. Quotas and placement rest on it: what daemons do at once in this
	// time, they do without knowing of each other.
	tellEvery = 100 * time.Millisecond
	// smallFleet is the number of daemons up to which that costs less than half
	// of a percent of a core; a larger one tells at half the pace.
	smallFleet = 10
	// datagramBytes bounds a message; UDP carries no more.
	datagramBytes = 60 << 10
)

// tell sends this daemon's state to the others until the context ends.
func (e *Edge) tell(ctx context.Context) {
	ticker := time.NewTicker(tellEvery)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if turn%2 == 0 || e.fleetSize() <= smallFleet {
			e.tellAll()
		}
		e.tickPeers()
		e.applyLoads()
		if e.configAge() > confirmAfter && e.table.Load() != nil {
			go e.confirm(ctx)
		}
	}
}

func (e *Edge) fleetSize() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.Size()
}

func (e *Edge) tickPeers() {
	now := e.deps.Steady()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range e.peers.Tick(now) {
		e.forget(id, "silent")
	}
	e.limiter.Expect(now, 1+len(e.peers.Addresses()))
	e.limiter.Tick(now)
	e.book.Tick(e.wall.At(now))
	e.refreshPhase(now)
}

// forget drops a daemon that has ended; its counts of usage stay. Called with mu
// held.
func (e *Edge) forget(id ident.Incarnation, why string) {
	e.limiter.Gone(id)
	e.wall.Gone(id)
	delete(e.stamps, id)
	e.log.Note("daemon_gone", decisions.F("incarnation", id), decisions.F("reason", why))
}

// tellAll sends one message to each known address.
func (e *Edge) tellAll() {
	loads := e.ownLoads()
	offered, placed := e.ownOffered()
	e.mu.Lock()
	base := e.hello(loads)
	base.Offered, base.Placed = offered, placed
	addresses := e.peers.Addresses()
	answers := map[string]*peersv1.Hello{}
	for _, m := range e.peers.Alive(e.deps.Steady()) {
		answers[m.PeerAddress] = e.answer(m.Incarnation)
	}
	silent := e.fresh.Answer(nil)
	e.mu.Unlock()
	common, err := proto.Marshal(base)
	if err != nil {
		e.log.Note("message_failed", decisions.F("error", err.Error()))
		return
	}
	for _, address := range addresses {
		own := answers[address]
		if own == nil {
			own = &peersv1.Hello{ConfigRevision: silent.Revision}
		}
		e.send(address, common, own)
	}
}

// send appends what is meant for one daemon to what is meant for all: messages
// that are joined are merged by their reader.
func (e *Edge) send(address string, common []byte, own *peersv1.Hello) {
	message, err := proto.MarshalOptions{}.MarshalAppend(common[:len(common):len(common)], own)
	if err != nil || len(message) > datagramBytes {
		e.log.Note("message_failed", decisions.F("bytes", len(message)))
		return
	}
	to, err := e.resolved.of(address)
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

func (e *Edge) ownLoads() []routing.OwnLoad {
	var loads []routing.OwnLoad
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	for _, p := range e.pools {
		loads = p.loads(loads)
	}
	return loads
}

func (e *Edge) ownOffered() ([]*peersv1.Offered, []*peersv1.Placed) {
	var offered []*peersv1.Offered
	var placed []*peersv1.Placed
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	for name, p := range e.pools {
		p.mu.Lock()
		offered = append(offered, &peersv1.Offered{Service: name, PromptTokens: p.offered})
		p.mu.Unlock()
		placed = p.recent(time.Now(), placed)
	}
	return offered, placed
}

// receive takes the others' messages in until the context ends. The socket is closed when
// it returns: a message that comes as the context ends lets it return before the close
// that the end brings about, and the address would still be taken when a daemon is started
// there next.
func (e *Edge) receive(ctx context.Context) error {
	defer e.deps.Datagrams.Close()
	stop := context.AfterFunc(ctx, func() { e.deps.Datagrams.Close() })
	defer stop()
	buffer := make([]byte, datagramBytes+1)
	for {
		n, _, err := e.deps.Datagrams.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("receive datagrams: %w", err)
		}
		if err != nil {
			// A datagram to a closed port comes back as an error of the next read.
			e.log.Count("peers.receive_failed")
			continue
		}
		var h peersv1.Hello
		if err := proto.Unmarshal(buffer[:n], &h); err != nil {
			e.log.Note("message_ignored", decisions.F("reason", err.Error()))
			continue
		}
		e.heard(ctx, &h)
	}
}

func (e *Edge) heard(ctx context.Context, h *peersv1.Hello) {
	id := ident.Incarnation(h.Incarnation)
	now := e.deps.Steady()
	e.mu.Lock()
	fresh, ended := e.peers.Heard(now, peers.Member{
		ID: ident.DaemonID(h.Daemon), Incarnation: id, FailureDomain: ident.FailureDomain(h.FailureDomain),
		CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress, Phase: peers.Phase(h.Phase),
	}, h.Seq)
	if !fresh {
		e.mu.Unlock()
		return
	}
	for _, former := range ended {
		e.forget(former, "replaced")
	}
	if _, known := e.stamps[id]; !known {
		e.log.Note("daemon_heard", decisions.F("incarnation", id), decisions.F("address", h.PeerAddress))
	}
	for _, a := range h.Addresses {
		e.peers.Learn(now, a)
	}
	e.stamps[id] = freshness.Stamp{Sent: time.Duration(h.StampNs), Received: now}
	e.wall.Heard(id, time.Unix(0, h.TimeUnixNs), now)
	e.limiter.Heard(now, id, time.Duration(h.AgeNs), usesOf(h))
	e.book.Heard(id, windowsOf(h.Windows))
	for _, one := range h.Ended {
		e.book.Heard(ident.Incarnation(one.Incarnation), windowsOf(one.Windows))
	}
	behind := e.fresh.Heard(freshness.Word{
		Revision: h.ConfigRevision, Echo: time.Duration(h.EchoNs), Lag: time.Duration(h.LagNs), Proved: h.Proved,
	})
	e.refreshPhase(now)
	e.mu.Unlock()
	if behind && e.table.Load() != nil {
		go e.confirm(ctx)
	}
	e.heardLeaving(h.Leaving)
	e.heardLoads(id, h)
	for _, one := range h.Placed {
		if p := e.pool(one.Service); p != nil {
			p.assume(ident.RunnerID(one.Runner), one.Prefix)
		}
	}
}
