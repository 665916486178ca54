package edge

import (
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"geraniumstack.org/geraniumstack/coordination/fairshare"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	peersv1 "geraniumstack.org/geraniumstack/gen/geranium/peers/v1"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/route"
)

// While a service has too little capacity, requests of workspaces over their share go to the engines behind
// others, and refused callers return in the order of their refusals; package fairshare makes the decisions. The
// daemons that grant quota know who is over the share; each daemon judges by its own requests whether a service is short.

const (
	// levelInterval is the time for which the level is used before it is computed again: half of the time
	// between two messages with other daemons' use.
	levelInterval = gossipInterval / 2
	// honouredFraction is the part of the time that callers have left within which they return.
	honouredFraction = 3
	// shareNoteInterval is the shortest time between two log lines about one service.
	shareNoteInterval = time.Second
	// maxNotedWorkspaces bounds the workspaces that a log line names.
	maxNotedWorkspaces = 8
)

// fairShare is this daemon's knowledge of shares, shortages and places. mu may be locked while Edge.mu is held,
// not the other way round.
type fairShare struct {
	// ranks says of each daemon that it has stated Hello.ranks last; Edge.mu guards it. ranked says that all daemons number
	// engine priorities by rank.
	ranks  map[ident.Incarnation]bool
	ranked atomic.Bool

	mu         sync.Mutex
	terms      *shareTerms
	services   map[string]*sharedService
	throughput fairshare.Throughput
	places     *fairshare.Places
	// toRelays, toFollowers and toFollowed are the places to be told to the other relays, the followers and the relays that
	// this daemon follows.
	toRelays, toFollowers, toFollowed fairshare.Announcements
	// level was computed at levelAt; over are the workspaces above it.
	level   float64
	levelAt time.Duration
	over    map[ident.Workspace]bool
}

// sharedService is what this daemon knows of one service.
type sharedService struct {
	fairshare.Service
	// short is the latest judgement; notedShort, notedOver and notedAt are those of the latest log line.
	short, notedShort bool
	notedOver         string
	notedAt           time.Duration
}

// shareTerms are what a configuration says about shares. shared says that at least two workspaces have a quota in
// tokens.
type shareTerms struct {
	table   *route.Table
	shared  bool
	classes map[string]fairshare.Classes
}

// requestShare is what is known about the share of one request.
type requestShare struct {
	// over says that its workspace was over its share when the quota was granted. short and demoted are the
	// latest judgement, promoted says that the request has returned at its time.
	over, short, demoted, promoted bool
	// judged says that the request counts for the shortage, answered that its answer has begun.
	judged, answered bool
}

func (f *fairShare) init() {
	f.ranks = map[ident.Incarnation]bool{}
	f.services = map[string]*sharedService{}
	f.places = fairshare.NewPlaces()
	f.levelAt = math.MinInt64 / 2
}

func (f *fairShare) termsLocked(t *route.Table) *shareTerms {
	if f.terms != nil && f.terms.table == t {
		return f.terms
	}
	terms := &shareTerms{table: t, classes: map[string]fairshare.Classes{}}
	priorities := map[string][]int{}
	for i := range t.Config().Routes {
		r := &t.Config().Routes[i]
		for _, target := range r.Targets {
			priorities[target.Service] = append(priorities[target.Service], r.Priority)
		}
	}
	inTokens := 0
	var own []int
	for i := range t.Config().Workspaces {
		w := &t.Config().Workspaces[i]
		if hasShare(w) {
			inTokens++
		}
		if w.HasPriority {
			own = append(own, w.Priority)
		}
	}
	for service, list := range priorities {
		terms.classes[service] = fairshare.NewClasses(slices.Concat(list, own))
	}
	terms.shared = inTokens > 1
	f.terms = terms
	return terms
}

func hasShare(w *route.Workspace) bool { return w.Quota.InTokens && w.Quota.PerSecond > 0 }

func (f *fairShare) serviceLocked(name string) *sharedService {
	s, ok := f.services[name]
	if !ok {
		s = &sharedService{}
		f.services[name] = s
	}
	return s
}

// overShare reports whether a workspace is over its share by what this daemon, which grants quota, knows of the use over
// all daemons. The caller must hold e.mu.
func (e *Edge) overShare(now time.Duration, ws ident.Workspace) bool {
	t := e.table.Load()
	if t == nil || !e.settings.Policy.Uses(FairShare) {
		return false
	}
	f := &e.fair
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.termsLocked(t).shared {
		return false
	}
	if now-f.levelAt >= levelInterval {
		recent := e.limiter.RecentUses(now)
		uses := make(map[ident.Workspace]fairshare.Use, len(recent))
		list := make([]fairshare.Use, 0, len(recent))
		for name, use := range recent {
			if w, ok := t.Workspace(name); ok && hasShare(w) {
				uses[name] = fairshare.Use{PerSecond: use.PerSecond, Weight: use.Quota}
				list = append(list, uses[name])
			}
		}
		f.levelAt, f.level = now, fairshare.ShareLevel(list, f.throughput.Served(now))
		f.over = map[ident.Workspace]bool{}
		for name, use := range uses {
			if fairshare.Over(use, f.level) {
				f.over[name] = true
			}
		}
	}
	return f.over[ws]
}

// sharesApply reports whether the request's service is one whose capacity is shared.
func (s *requestHandler) sharesApply() bool {
	f := &s.edge.fair
	if !s.edge.settings.Policy.Uses(FairShare) || !s.pool.hasEngine() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.termsLocked(s.table).shared
}

// judgeShare judges by the choice of a runner whether the service is short, and decides whether the request is demoted
// or promoted. It returns the expected time to the first token.
func (s *requestHandler) judgeShare(c routing.Choice) time.Duration {
	if !s.sharesApply() {
		return c.Estimate
	}
	e, f, now, content := s.edge, &s.edge.fair, s.edge.deps.Steady(), s.contentIfPlaces()
	f.mu.Lock()
	defer f.mu.Unlock()
	service := f.serviceLocked(s.pool.name)
	if !s.share.judged {
		s.share.judged = true
		service.Shortage.Observe(now, c.Estimate, s.route.TargetLatency)
		if f.places.Take(now, content) {
			s.share.promoted = true
			e.log.Count("share.promoted")
		}
	}
	e.noteRoomLocked(now, s.pool.name, service)
	own := time.Duration(float64(c.Estimate) * float64(max(1, c.Uncached)) / float64(max(1, c.Uncached)+c.QueuedAhead))
	v := service.Judge(now, f.termsLocked(s.table).classes[s.pool.name], f.ranked.Load(), fairshare.Request{
		Priority: s.priority, Over: s.share.over, Promoted: s.share.promoted, Queue: c.Estimate - own, Own: own,
	})
	s.share.short, s.share.demoted = v.Short, v.Demoted
	return v.Wait
}

// sharePriority returns the request's priority at an engine.
func (s *requestHandler) sharePriority() int {
	if !s.sharesApply() {
		return s.priority
	}
	f := &s.edge.fair
	f.mu.Lock()
	defer f.mu.Unlock()
	priority, _ := f.termsLocked(s.table).classes[s.pool.name].EnginePriority(s.priority, s.share.demoted, f.ranked.Load())
	return priority
}

// contentIfPlaces returns the hash of the request's content, zero if there are no places by which to find it.
func (s *requestHandler) contentIfPlaces() uint64 {
	f := &s.edge.fair
	f.mu.Lock()
	places := f.places.Len()
	f.mu.Unlock()
	if s.share.judged || places == 0 {
		return 0
	}
	return s.content().Hash
}

// noteRoomLocked judges whether a service is short, and logs a change at most once per shareNoteInterval. The caller must
// hold fair.mu.
func (e *Edge) noteRoomLocked(now time.Duration, name string, s *sharedService) {
	before := s.short
	s.short = s.Shortage.Short(now)
	if s.short && !before {
		e.log.Count("share.short")
	}
	var over []string
	if now-e.fair.levelAt < shareNoteInterval {
		for ws := range e.fair.over {
			over = append(over, string(ws))
		}
	}
	slices.Sort(over)
	names := strings.Join(over[:min(maxNotedWorkspaces, len(over))], ",")
	changed := s.short != s.notedShort || s.short && names != s.notedOver
	if !changed || s.notedAt != 0 && now-s.notedAt < shareNoteInterval {
		return
	}
	s.notedShort, s.notedOver, s.notedAt = s.short, names, now
	e.log.Note("room", decisions.F("service", name), decisions.F("short", s.short), decisions.F("waiting", s.Shortage.Waiting(now)),
		decisions.F("over", names), decisions.F("over_count", len(over)), decisions.F("level", e.fair.level))
}

// acceptableWait returns how long the first token may take from now for the request not to be refused. One that has
// returned at its time is refused only if its caller's deadline would pass: the estimate takes the whole
// queue to be ahead of it.
func (s *requestHandler) acceptableWait(now time.Time) time.Duration {
	if s.share.promoted {
		return s.deadline.Sub(now)
	}
	return s.maxFirstTokenWait(now)
}

// recordShareDispatch records that the request goes to a runner.
func (a *attempt) recordShareDispatch() {
	s := a.s
	if !s.sharesApply() {
		return
	}
	if s.share.demoted {
		s.edge.log.Count("share.demoted")
	}
	now, f, tokens := s.edge.deps.Steady(), &s.edge.fair, float64(a.choice.Uncached)
	f.mu.Lock()
	defer f.mu.Unlock()
	service := f.serviceLocked(s.pool.name)
	if !s.counts.sent {
		s.counts.sent = true
		f.throughput.Send(now, max(1, s.cost))
	}
	service.Backlog.Send(a.priority, tokens)
	a.recordRead = sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		service.Backlog.Done(a.priority, tokens)
	})
	a.onRelease = append(a.onRelease, a.recordRead)
}

// recordShareAnswer records that the answer to the request has begun.
func (a *attempt) recordShareAnswer() {
	s := a.s
	if a.recordRead == nil {
		return
	}
	a.recordRead()
	if s.share.answered {
		return
	}
	s.share.answered = true
	now, f := s.edge.deps.Steady(), &s.edge.fair
	f.mu.Lock()
	defer f.mu.Unlock()
	f.throughput.Answer(now, max(1, s.cost))
	f.serviceLocked(s.pool.name).Served(now, s.priority)
}

// returnAfter returns the time after which a request should come back that would get its first token too late by
// the time late. While its service is short, that is the time of a place that is its own.
func (s *requestHandler) returnAfter(late time.Duration) time.Duration {
	if s.share.promoted {
		s.edge.log.Count("refused.returned")
	}
	if !s.share.short || s.exchange.Sent() > 0 || s.patient() {
		return late + notReadyRetryAfter
	}
	e, f, now, request := s.edge, &s.edge.fair, s.edge.deps.Steady(), s.content().Hash
	f.mu.Lock()
	defer f.mu.Unlock()
	if at, known := f.places.At(request); known && at > now {
		return at - now
	}
	at, kept := f.serviceLocked(s.pool.name).Return(now, s.priority, late, time.Until(s.deadline)/honouredFraction)
	if kept && f.places.Add(now, request, at) {
		e.announceLocked(fairshare.Place{Request: request, At: at}, true)
	}
	return at - now
}

// announceLocked queues a place for other daemons. toRelays says that the other relays don't know it yet. The caller
// must hold fair.mu.
func (e *Edge) announceLocked(p fairshare.Place, toRelays bool) {
	f := &e.fair
	if !e.relayMode.Load() {
		f.toFollowed.Add(p)
		return
	}
	if toRelays {
		f.toRelays.Add(p)
	}
	if !e.directMode.Load() {
		f.toFollowers.Add(p)
	}
}

// nextReturns returns the places for the next message to one group of daemons.
func (f *fairShare) nextReturns(now time.Duration, to *fairshare.Announcements) []*peersv1.Returning {
	f.mu.Lock()
	defer f.mu.Unlock()
	var returns []*peersv1.Returning
	for _, p := range to.Next(now) {
		returns = append(returns, &peersv1.Returning{Request: p.Request, AfterMs: uint32(max(0, p.At-now).Milliseconds())})
	}
	return returns
}

// receiveReturns records the places that another daemon tells of. A relay passes on what its followers and other
// relays tell it.
func (e *Edge) receiveReturns(now time.Duration, h *peersv1.Hello) {
	if len(h.Returns) == 0 || !e.settings.Policy.Uses(FairShare) {
		return
	}
	e.fair.mu.Lock()
	defer e.fair.mu.Unlock()
	for i, r := range h.Returns {
		if i >= fairshare.MaxAnnounced || r.GetRequest() == 0 || r.GetAfterMs() > uint32(fairshare.MaxReturnTime.Milliseconds()) {
			e.log.Count("returns.ignored")
			continue
		}
		at := now + time.Duration(r.AfterMs)*time.Millisecond
		if e.fair.places.Add(now, r.Request, at) && e.relayMode.Load() && !e.directMode.Load() {
			e.announceLocked(fairshare.Place{Request: r.Request, At: at}, h.Follows)
		}
	}
}

// tickFairShare forgets the places of callers that don't return, and judges services that get no requests.
func (e *Edge) tickFairShare() {
	now := e.deps.Steady()
	e.fair.mu.Lock()
	defer e.fair.mu.Unlock()
	e.fair.places.Expire(now)
	for name, s := range e.fair.services {
		e.noteRoomLocked(now, name, s)
	}
}

// ranksWithFollowers reports whether this daemon and its followers can number engine priorities by rank. The caller must
// hold e.mu.
func (e *Edge) ranksWithFollowers() bool {
	for id := range e.followers {
		if !e.fair.ranks[id] {
			return false
		}
	}
	return e.settings.Policy.Uses(FairShare)
}

// updateRanked finds out whether all daemons can number engine priorities by rank: those that this daemon hears directly,
// and by their relays' statements the others. A daemon that hears nobody goes on as before. The caller must hold
// e.mu.
func (e *Edge) updateRanked() {
	others := e.alive
	switch {
	case len(others) == 0 && len(e.peers.Addresses()) > 0:
		return
	case e.relayPlan.Direct:
	case e.relayPlan.Relay:
		others = e.relayPlan.OtherRelays
	default:
		others = e.relayPlan.Followed[:min(1, len(e.relayPlan.Followed))]
	}
	ranked := e.ranksWithFollowers()
	for _, m := range others {
		ranked = ranked && e.fair.ranks[m.Incarnation]
	}
	if e.fair.ranked.Swap(ranked) != ranked {
		e.log.Note("ranks", decisions.F("ranked", ranked))
	}
}
