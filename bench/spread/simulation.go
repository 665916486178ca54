package spread

import (
	"fmt"
	"math/rand/v2"
	"time"

	"geraniumstack.org/geraniumstack/coordination/spread"
)

const (
	regions = 3
	// nearLatency and farLatency are one way, within and between regions.
	nearLatency = time.Millisecond
	farLatency  = 40 * time.Millisecond
	// jitterShare is how much longer a message may take.
	jitterShare = 0.5

	warmUp = 4 * time.Second
	// settled is how long the run goes on after the last member was reached, so
	// that the traffic of at least two rounds is counted.
	settled = 4 * time.Second
	// giveUp ends a run in which some member is never reached.
	giveUp = 60 * time.Second

	// wireOverhead is the bytes of HTTP and TCP/IP headers around one message,
	// and bodyBytes those of a message with no changes in it, as the experiment
	// "control" measures them between two daemons.
	wireOverhead = 356
	bodyBytes    = 150
	// newsBytes is what a higher version adds to a message: the head with its
	// section hashes.
	newsBytes = 420
)

// faults says what is wrong during a run.
type faults struct {
	crashed, paused, falselySuspected float64
	// cut keeps the regions from each other from cutBegin on until cutLength
	// after the publishing.
	cut bool
}

const (
	// pauseLength is how long a paused member neither receives nor sends.
	pauseLength = 5 * time.Second
	cutBegin    = time.Second
	cutLength   = 20 * time.Second
	// suspectedAfter is when a silent member is suspected, up to twice that.
	suspectedAfter = 3 * time.Second
)

// member is one strategy with its place and its faults.
type member struct {
	id       string
	strategy spread.Strategy
	region   int
	crashed  bool
	// pausedUntil is zero for a member that is never paused.
	pausedUntil time.Duration
	// doubted members are suspect to everybody without cause.
	doubted  bool
	reached  time.Duration
	done     bool
	bytes    int64
	partners map[int]struct{}
}

// simulation passes messages between the machines in virtual time.
type simulation struct {
	now     time.Duration
	queue   eventQueue
	members []*member
	index   map[string]int
	random  *rand.Rand
	order   uint64
	faults  faults

	waiting int
	publish time.Duration
	last    time.Duration
	// lastRunning is the same without the members that were paused.
	lastRunning time.Duration
	messages    int64
	published   bool
}

const version = 1

// newSimulation makes n members of a strategy; member 0 publishes.
func newSimulation(n int, seed uint64, f faults, machine maker) *simulation {
	s := &simulation{faults: f, random: rand.New(rand.NewPCG(seed, uint64(n))), index: map[string]int{}}
	ids := memberIDs(n)
	for i, id := range ids {
		m := &member{id: id, region: i % regions, partners: map[int]struct{}{}}
		m.strategy = machine(id, ids, seed+uint64(i))
		s.members = append(s.members, m)
		s.index[id] = i
	}
	s.publish = warmUp
	s.harm(f)
	s.waiting = s.correct()
	for i := range s.members {
		s.introduce(i, func(j int) bool { return s.members[j].doubted })
		interval := s.members[i].strategy.Interval()
		s.push(event{at: time.Duration(s.random.Int64N(int64(interval))), kind: tick, to: i})
	}
	s.push(event{at: s.publish, kind: publish})
	if f.crashed+f.paused > 0 {
		s.scheduleSuspicions(s.publish+suspectedAfter, s.publish+pauseLength)
	}
	if f.cut {
		s.scheduleSuspicions(cutBegin+suspectedAfter, s.heals()+suspectedAfter)
	}
	return s
}

func memberIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("daemon-%04d", i)
	}
	return ids
}

func (s *simulation) correct() int {
	n := 0
	for _, m := range s.members {
		if !m.crashed {
			n++
		}
	}
	return n
}

// harm draws the faulty members. Crashes and pauses begin when the version is
// published, so nobody knows of them yet.
func (s *simulation) harm(f faults) {
	order := s.random.Perm(len(s.members) - 1)
	share := func(part float64) []int {
		n := int(part * float64(len(s.members)))
		if part > 0 && n == 0 {
			n = 1
		}
		taken := order[:n]
		order = order[n:]
		return taken
	}
	for _, i := range share(f.crashed) {
		s.members[i+1].crashed = true
	}
	for _, i := range share(f.paused) {
		s.members[i+1].pausedUntil = s.publish + pauseLength
	}
	for _, i := range share(f.falselySuspected) {
		s.members[i+1].doubted = true
	}
}

// introduce tells member i of all others.
func (s *simulation) introduce(i int, suspect func(int) bool) {
	peers := make([]spread.Peer, 0, len(s.members)-1)
	for j, m := range s.members {
		if j != i {
			peers = append(peers, spread.Peer{ID: m.id, Suspect: suspect(j)})
		}
	}
	s.send(i, s.members[i].strategy.SetMembers(time.Time{}, peers))
}

// scheduleSuspicions lets each member look for silent ones twice, at its own
// time: when it finds out of them, and when it finds out that some are back.
func (s *simulation) scheduleSuspicions(found, back time.Duration) {
	for i := range s.members {
		late := time.Duration(s.random.Int64N(int64(suspectedAfter)))
		s.push(event{at: found + late, kind: suspect, to: i})
		s.push(event{at: back + late, kind: suspect, to: i})
	}
}

// heals is when a cut ends.
func (s *simulation) heals() time.Duration { return s.publish + cutLength }

func (s *simulation) isCut(a, b int) bool {
	open := !s.faults.cut || s.now < cutBegin || s.now >= s.heals()
	return !open && s.members[a].region != s.members[b].region
}

// suspects tells whether member i suspects member j now.
func (s *simulation) suspects(i, j int) bool {
	m := s.members[j]
	return m.crashed || m.doubted || m.pausedUntil > s.now || s.isCut(i, j)
}

// run ends settled after the last correct member was reached, or at giveUp.
func (s *simulation) run() {
	end := s.publish + giveUp
	for len(s.queue) > 0 {
		e := s.queue.pop()
		if e.at > end {
			break
		}
		s.now = e.at
		s.handle(e)
		if s.waiting == 0 && end == s.publish+giveUp {
			end = s.now + settled
		}
	}
	s.now = end
}

func (s *simulation) handle(e event) {
	if e.kind == publish {
		s.published = true
		s.send(0, s.members[0].strategy.Publish(time.Time{}, version))
		s.note(0)
		return
	}
	m := s.members[e.to]
	if s.published && m.crashed {
		return
	}
	if s.published && s.now < m.pausedUntil {
		e.at = m.pausedUntil
		s.push(e)
		return
	}
	switch e.kind {
	case tick:
		s.send(e.to, m.strategy.Tick(time.Time{}))
		s.push(event{at: s.now + m.strategy.Interval(), kind: tick, to: e.to})
	case suspect:
		s.introduce(e.to, func(j int) bool { return s.suspects(e.to, j) })
	case deliver:
		m.bytes += size(e.message)
		s.send(e.to, m.strategy.Receive(time.Time{}, s.members[e.from].id, e.message))
	}
	s.note(e.to)
}

// note sees whether a member has the version now.
func (s *simulation) note(i int) {
	m := s.members[i]
	if m.done || m.strategy.Version() < version {
		return
	}
	m.done = true
	m.reached = s.now
	s.waiting--
	s.last = s.now
	if m.pausedUntil == 0 {
		s.lastRunning = s.now
	}
}

func (s *simulation) send(from int, sends []spread.Send) {
	for _, send := range sends {
		to := s.index[send.To]
		s.members[from].bytes += size(send.Message)
		s.members[from].partners[to] = struct{}{}
		s.members[to].partners[from] = struct{}{}
		if s.published && s.waiting > 0 {
			s.messages++
		}
		if s.isCut(from, to) {
			continue
		}
		s.push(event{at: s.now + s.latency(from, to), kind: deliver, from: from, to: to, message: send.Message})
	}
}

func (s *simulation) latency(from, to int) time.Duration {
	base := farLatency
	if s.members[from].region == s.members[to].region {
		base = nearLatency
	}
	return base + time.Duration(s.random.Float64()*jitterShare*float64(base))
}

// size is a message's bytes on the wire. A version goes along with pushes,
// replies and tests only while it is news; that is the news' first message to
// each member, which newsBytes of every broadcast message over-count.
func size(m spread.Message) int64 {
	if m.Kind == spread.Tree || m.Kind == spread.Deliver {
		return wireOverhead + bodyBytes + newsBytes
	}
	return wireOverhead + bodyBytes
}
