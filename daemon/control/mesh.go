package control

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/coordination/config"
	"geraniumstack.org/geraniumstack/coordination/membership"
	"geraniumstack.org/geraniumstack/coordination/spread"
	"geraniumstack.org/geraniumstack/coordination/view"
	meshv1 "geraniumstack.org/geraniumstack/gen/geranium/mesh/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/mesh/v1/meshv1connect"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

const (
	// heartbeatTimeout bounds one heartbeat call. A connection that has stopped
	// responding is closed when the call times out, and the next call opens a
	// new one.
	heartbeatTimeout = time.Second
	// probeTimeout bounds an indirect probe: the proxy's own heartbeat takes up
	// to heartbeatTimeout, and the rest covers the round trip to the proxy.
	probeTimeout = heartbeatTimeout + 500*time.Millisecond
	// minExchangeInterval is the minimum interval between two exchanges over
	// one link. Changes that arrive within it are sent in one message.
	minExchangeInterval = 100 * time.Millisecond
	// maxMessageBytes bounds the size of a message from a peer.
	maxMessageBytes = 32 << 20
	// compressAbove is the message size in bytes from which messages are
	// compressed. Compressing smaller messages costs more CPU time than the
	// rest of an exchange.
	compressAbove = 1024
	// seedInterval is the interval between two rounds of connection attempts to
	// seeds.
	seedInterval = time.Second
	// seedsPerRound bounds the number of seeds tried in one round.
	seedsPerRound = 4
)

// meshService implements the RPC service that peers call on a Control.
type meshService Control

var _ meshv1connect.MeshServiceHandler = (*meshService)(nil)

// MissingSenderError reports that an exchange does not identify its sender.
type MissingSenderError struct{}

func (*MissingSenderError) Error() string { return "exchange without a sender" }

// Heartbeat merges a peer's exchange and replies with this daemon's changes.
func (s *meshService) Heartbeat(_ context.Context, r *connect.Request[meshv1.HeartbeatRequest]) (*connect.Response[meshv1.HeartbeatResponse], error) {
	c := (*Control)(s)
	exchange := r.Msg.GetExchange()
	if exchange.GetFrom().GetIncarnation() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, &MissingSenderError{})
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	m := decodeExchange(now, exchange)
	c.table.Receive(now, m)
	c.learnFromPeerLocked(now, exchange)
	reply := c.composeLocked(now, m.From.Incarnation, m.From.Generation)
	c.publishChangesLocked()
	return connect.NewResponse(&meshv1.HeartbeatResponse{Exchange: reply}), nil
}

// Probe sends a heartbeat to a daemon on behalf of a peer that could not reach
// it.
func (s *meshService) Probe(ctx context.Context, r *connect.Request[meshv1.ProbeRequest]) (*connect.Response[meshv1.ProbeResponse], error) {
	c := (*Control)(s)
	wanted := ident.Incarnation(r.Msg.GetIncarnation())
	answered, err := c.exchange(ctx, r.Msg.GetAddress(), wanted, c.generationOf(wanted))
	reached := err == nil && answered == wanted
	return connect.NewResponse(&meshv1.ProbeResponse{Reached: reached}), nil
}

// FetchConfig returns those of the requested configuration sections that this
// daemon has.
func (s *meshService) FetchConfig(_ context.Context, r *connect.Request[meshv1.FetchConfigRequest]) (*connect.Response[meshv1.FetchConfigResponse], error) {
	c := (*Control)(s)
	var hashes []manifest.Hash
	for _, hash := range r.Msg.GetSectionHashes() {
		hashes = append(hashes, manifest.Hash(hash))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	response := &meshv1.FetchConfigResponse{Sections: map[string][]byte{}}
	for hash, data := range c.follower.Sections(hashes) {
		response.Sections[string(hash)] = data
	}
	return connect.NewResponse(response), nil
}

// composeLocked returns the next message to a peer. It includes the head of the
// configuration in force if the peer has a lower generation.
func (c *Control) composeLocked(now time.Time, to ident.Incarnation, peerGeneration ident.Generation) *meshv1.Exchange {
	var head *config.Accepted
	if inForce, _ := c.follower.InForce(); inForce.Generation > peerGeneration {
		head = &inForce
	}
	return encodeExchange(now, c.table.Compose(to), head)
}

// learnFromPeerLocked passes the head in a peer's message, if any, to the
// follower.
func (c *Control) learnFromPeerLocked(now time.Time, x *meshv1.Exchange) {
	if x.GetHead() == nil {
		return
	}
	c.executeEffectsLocked(c.follower.Learn(now, decodeHead(x.GetHead()), x.GetFrom().GetPeerAddress()))
}

func (c *Control) client(address string) meshv1connect.MeshServiceClient {
	return meshv1connect.NewMeshServiceClient(c.cfg.HTTPClient, c.cfg.Scheme+"://"+address,
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendGzip(), connect.WithCompressMinBytes(compressAbove))
}

// exchange sends a heartbeat to one peer and merges the response. The argument
// to is membership.NoPeer if only the address is known. It returns the
// incarnation that responded.
func (c *Control) exchange(ctx context.Context, address string, to ident.Incarnation, peerGeneration ident.Generation) (ident.Incarnation, error) {
	sentAt := time.Now()
	c.mu.Lock()
	request := &meshv1.HeartbeatRequest{Exchange: c.composeLocked(sentAt, to, peerGeneration)}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	c.counters.heartbeats.Inc(1)
	response, err := c.client(address).Heartbeat(ctx, connect.NewRequest(request))
	if err != nil {
		c.counters.heartbeatsFailed.Inc(1)
		return membership.NoPeer, fmt.Errorf("heartbeat to %s: %w", address, err)
	}
	now := time.Now()
	answer := response.Msg.GetExchange()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.ReceiveAnswer(now, sentAt, decodeExchange(now, answer))
	c.learnFromPeerLocked(now, answer)
	c.publishChangesLocked()
	return ident.Incarnation(answer.GetFrom().GetIncarnation()), nil
}

// heartbeat exchanges with a known peer. If the call fails and no other peer
// can reach the peer either, heartbeat marks the peer unreachable.
func (c *Control) heartbeat(ctx context.Context, m membership.Member) {
	_, err := c.exchange(ctx, m.PeerAddress, m.Incarnation, c.generationOf(m.Incarnation))
	if err == nil || ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	needsIndirectProbe := c.table.ProbeFailed(m.Incarnation)
	c.mu.Unlock()
	if !needsIndirectProbe {
		return
	}
	reached := c.probeIndirectly(ctx, m)
	c.mu.Lock()
	defer c.mu.Unlock()
	if reached {
		c.table.ReachedByPeer(m.Incarnation)
		return
	}
	c.table.MarkUnreachable(time.Now(), m.Incarnation)
	c.publishChangesLocked()
}

// probeIndirectly asks the other linked peers to call a peer and reports
// whether at least one of them reached it.
func (c *Control) probeIndirectly(ctx context.Context, m membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	proxies := c.linkedPeers(m.Incarnation)
	answers := make(chan bool, len(proxies))
	request := &meshv1.ProbeRequest{Address: m.PeerAddress, Incarnation: string(m.Incarnation)}
	for _, proxy := range proxies {
		go func() {
			c.counters.probes.Inc(1)
			response, err := c.client(proxy.PeerAddress).Probe(ctx, connect.NewRequest(request))
			answers <- err == nil && response.Msg.GetReached()
		}()
	}
	reached := false
	for range proxies {
		reached = <-answers || reached
	}
	return reached
}

func (c *Control) linkedPeers(except ident.Incarnation) []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var peers []membership.Member
	for _, l := range c.links {
		if l.peer.Incarnation != except {
			peers = append(peers, l.peer)
		}
	}
	return peers
}

// link is a peer that this daemon sends heartbeats to.
type link struct {
	peer   membership.Member
	wakeUp chan struct{}
	stop   context.CancelFunc
}

// wake requests an early exchange on the link. It never blocks.
func (l *link) wake() {
	select {
	case l.wakeUp <- struct{}{}:
	default:
	}
}

// relinkLocked updates the links to match the neighbours that the strategy
// selects.
func (c *Control) relinkLocked() {
	members := c.membersLocked()
	peers := make([]spread.Peer, 0, len(members))
	for i := range members {
		m := &members[i]
		if m.Incarnation != c.cfg.Self.Incarnation {
			peers = append(peers, spread.Peer{ID: string(m.Incarnation), Suspect: m.State == view.Suspect})
		}
	}
	c.strategy.SetMembers(time.Now(), peers)
	wanted := map[ident.Incarnation]bool{}
	for _, id := range c.strategy.Links() {
		wanted[ident.Incarnation(id)] = true
	}
	for i := range members {
		if wanted[members[i].Incarnation] {
			c.linkLocked(members[i])
		}
	}
	for id, l := range c.links {
		if !wanted[id] {
			l.stop()
			delete(c.links, id)
		}
	}
}

func (c *Control) linkLocked(m membership.Member) {
	if _, ok := c.links[m.Incarnation]; ok || c.runCtx == nil {
		return
	}
	ctx, cancel := context.WithCancel(c.runCtx)
	l := &link{peer: m, wakeUp: make(chan struct{}, 1), stop: cancel}
	c.links[m.Incarnation] = l
	c.spawnLocked(func(context.Context) {
		defer cancel()
		c.linkLoop(ctx, l)
	})
}

// linkLoop exchanges with the linked peer at jittered intervals, and earlier
// when the link is woken.
func (c *Control) linkLoop(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		c.heartbeat(ctx, l.peer)
		if !pause.For(ctx, minExchangeInterval) {
			return
		}
		remaining := c.interval() - minExchangeInterval
		timer := time.NewTimer(remaining*9/10 + c.jitter.below(remaining/5))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-l.wakeUp:
		}
		timer.Stop()
	}
}

func (c *Control) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.strategy.Interval()
}

// generationOf returns the generation that a peer last reported as in force.
func (c *Control) generationOf(i ident.Incarnation) ident.Generation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.GenerationOf(i)
}

// seedLoop tries to reach, in each round, some of the seed addresses at which
// no live daemon is known, and one suspect peer.
func (c *Control) seedLoop(ctx context.Context) {
	round := 0
	for {
		for _, address := range c.seedTargets(round) {
			c.spawn(func(ctx context.Context) { c.exchangeBestEffort(ctx, address, membership.NoPeer) })
		}
		for _, m := range c.suspectTarget(round) {
			c.spawn(func(ctx context.Context) { c.exchangeBestEffort(ctx, m.PeerAddress, m.Incarnation) })
		}
		round++
		if !pause.For(ctx, seedInterval) {
			return
		}
	}
}

// exchangeBestEffort exchanges with an address. A failure does not change the
// state of the peer.
func (c *Control) exchangeBestEffort(ctx context.Context, address string, to ident.Incarnation) {
	if _, err := c.exchange(ctx, address, to, 0); err != nil {
		klog.V(2).InfoS("Exchange with peer address failed", "address", address, "err", err)
	}
}

func (c *Control) spawn(work func(context.Context)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spawnLocked(work)
}

// seedTargets returns the seed addresses to try in a round. If there are more
// than seedsPerRound, successive rounds cycle through them.
func (c *Control) seedTargets(round int) []string {
	known := map[string]bool{c.cfg.Self.PeerAddress: true}
	for _, m := range c.Members() {
		if m.State != view.Suspect {
			known[m.PeerAddress] = true
		}
	}
	var unknown []string
	for _, address := range c.cfg.Seeds {
		if !known[address] {
			unknown = append(unknown, address)
		}
	}
	if len(unknown) <= seedsPerRound {
		return unknown
	}
	start := round * seedsPerRound % len(unknown)
	doubled := append(unknown, unknown...)
	return doubled[start : start+seedsPerRound]
}

// suspectTarget returns the suspect peer to try in a round, or none. Successive
// rounds cycle through the suspects.
func (c *Control) suspectTarget(round int) []membership.Member {
	var suspects []membership.Member
	for _, m := range c.Members() {
		if m.State == view.Suspect {
			suspects = append(suspects, m)
		}
	}
	if len(suspects) == 0 {
		return nil
	}
	return suspects[round%len(suspects):][:1]
}

// announceDeparture tells the linked peers that this incarnation has ended. It
// is called at the end of Run.
func (c *Control) announceDeparture() {
	c.mu.Lock()
	c.table.MarkGone(time.Now())
	c.mu.Unlock()
	peers := c.linkedPeers(membership.NoPeer)
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	done := make(chan struct{})
	for _, m := range peers {
		go func() {
			c.exchangeBestEffort(ctx, m.PeerAddress, m.Incarnation)
			done <- struct{}{}
		}()
	}
	for range peers {
		<-done
	}
}

// fetchFromPeer reads sections from a peer. It wraps errors of connect.
func (c *Control) fetchFromPeer(ctx context.Context, address string, hashes []manifest.Hash) (map[manifest.Hash][]byte, error) {
	request := &meshv1.FetchConfigRequest{}
	for _, hash := range hashes {
		request.SectionHashes = append(request.SectionHashes, string(hash))
	}
	response, err := c.client(address).FetchConfig(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, fmt.Errorf("fetch sections from %s: %w", address, err)
	}
	sections := map[manifest.Hash][]byte{}
	for hash, data := range response.Msg.GetSections() {
		sections[manifest.Hash(hash)] = data
	}
	return sections, nil
}
