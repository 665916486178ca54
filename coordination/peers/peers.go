// Package peers keeps what one daemon knows of the others of its fleet: who is there,
// who takes callers and who has gone.
//
// A daemon is alive while it is heard, or while a relay that is heard tells that it
// hears it (a roster). What relays tell followers of rosters is never told on as a
// roster, or two daemons could keep a third one alive that has ended. Registrations in
// the key-value service and introductions by others only say where a daemon may be;
// they count for as long as a message would need to follow, those by daemons that vouch
// for it again and again. A new incarnation at an
// address ends the former one at once, since that process can't be listening there any
// more.
//
// The package does no I/O and reads no clock: times are offsets of a clock that
// runs on while the VM is suspended. It is not safe for concurrent use.
package peers

import (
	"cmp"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/coordination/freshness"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// AliveFor is how long a daemon counts as alive after it was last heard. It
	// is several messages, so that a lost datagram costs nobody a caller, and
	// less than callers keep an answer of the directory for.
	AliveFor = 800 * time.Millisecond
	// RelayedAliveFor is the same in a large fleet, whose daemons are heard more seldom.
	RelayedAliveFor = 1600 * time.Millisecond
	// IntroductionTTL is how long a daemon counts as alive of which only others have spoken:
	// two messages there and back. After a restart of all, those that are registered have
	// ended.
	IntroductionTTL = time.Second
	// ReintroduceAfter is how long after an introduction the next one counts.
	ReintroduceAfter = 3 * time.Second
	// ForgetAfter is how long a silent daemon counts as one that may be running.
	ForgetAfter = 30 * time.Second
	// AddressTTL is how long an address is still called at which nobody is heard. Parts of a
	// fleet that are cut off from each other know nothing else of each other, and cuts
	// last for minutes.
	AddressTTL = 10 * time.Minute
	// RosterTTL is how long a relay's roster counts: one is lost, and the next is late.
	RosterTTL = 2500 * time.Millisecond
	// MaxAddresses bounds the addresses that are called without having been heard.
	MaxAddresses = 4096
)

// Phase is where a daemon is in its life.
type Phase uint8

// Phases, in their order.
const (
	// Starting ones don't take callers yet, or can't for now.
	Starting Phase = iota + 1
	Ready
	// Draining ones take no new callers; final.
	Draining
)

// Member is what a daemon tells of itself.
type Member struct {
	ID            ident.DaemonID
	Incarnation   ident.Incarnation
	FailureDomain ident.FailureDomain
	CallerAddress string
	PeerAddress   string
	Phase         Phase
	// Started is when it started by its own time of day, in Unix milliseconds. It only
	// orders daemons; see package relays.
	Started int64
}

// Row is what a relay tells of a daemon: what that told of itself in its message seq.
type Row struct {
	Member
	Seq uint64
}

type entry struct {
	Member
	// seq is the last message that was heard directly, memberSeq the last one that Member
	// was taken from.
	seq, memberSeq uint64
	// heard is when it was heard directly, seen when anything was last known of it,
	// introduced when somebody else first spoke of it.
	heard, seen, introduced time.Duration
}

// roster is the daemons that a relay hears.
type roster struct {
	at   time.Duration
	rows map[ident.Incarnation]bool
	// fleetSize is the number of daemons, domainCount of failure domainCount.
	fleetSize, domainCount int
}

// Table is not safe for concurrent use.
type Table struct {
	self    Member
	entries map[ident.Incarnation]*entry
	// rosters by the relay that told them.
	rosters map[ident.Incarnation]roster
	// aliveFor is how long a daemon counts as alive after it was last heard.
	aliveFor time.Duration
	// addresses are called whether or not anybody was heard there.
	addresses map[string]time.Duration
}

// New returns a table that knows its own daemon only.
func New(self Member) *Table {
	return &Table{
		self: self, entries: map[ident.Incarnation]*entry{}, rosters: map[ident.Incarnation]roster{},
		addresses: map[string]time.Duration{}, aliveFor: AliveFor,
	}
}

// SetAliveFor sets how long a daemon counts as alive after it was last heard.
func (t *Table) SetAliveFor(d time.Duration) { t.aliveFor = d }

// AliveFor is how long a daemon counts as alive after it was last heard.
func (t *Table) AliveFor() time.Duration { return t.aliveFor }

// Self returns this daemon.
func (t *Table) Self() Member { return t.self }

// SetPhase moves this daemon on. Draining is final.
func (t *Table) SetPhase(p Phase) {
	if t.self.Phase != Draining {
		t.self.Phase = p
	}
}

// Learn notes an address at which a daemon may listen.
func (t *Table) Learn(now time.Duration, address string) {
	_, known := t.addresses[address]
	if address == "" || address == t.self.PeerAddress || !known && len(t.addresses) >= MaxAddresses {
		return
	}
	t.addresses[address] = now
}

// Receive takes in a daemon's message; seq orders those of one incarnation. It
// returns false if a later one was heard already, and the incarnations that
// ended because this one listens at their address.
func (t *Table) Receive(now time.Duration, m Member, seq uint64) (isNew bool, ended []ident.Incarnation) {
	if m.Incarnation == t.self.Incarnation {
		return false, nil
	}
	e, known := t.entries[m.Incarnation]
	if known && seq <= e.seq {
		return false, nil
	}
	if !known {
		e = &entry{introduced: freshness.Never}
		t.entries[m.Incarnation] = e
	}
	if !known || e.heard == freshness.Never {
		ended = t.removeReplaced(m)
	}
	e.Member, e.seq, e.memberSeq, e.heard, e.seen = m, seq, max(seq, e.memberSeq), now, now
	t.Learn(now, m.PeerAddress)
	return true, ended
}

// ReceiveRoster takes in the roster of a relay, which replaces its last one. It returns the
// incarnations that have ended because another one listens at their address.
func (t *Table) ReceiveRoster(now time.Duration, by ident.Incarnation, rows []Row, fleetSize, domainCount int) []ident.Incarnation {
	received := roster{at: now, rows: make(map[ident.Incarnation]bool, len(rows)), fleetSize: fleetSize, domainCount: domainCount}
	var ended []ident.Incarnation
	for _, r := range rows {
		if t.shouldIgnore(now, r) {
			continue
		}
		received.rows[r.Incarnation] = true
		ended = append(ended, t.mergeRow(now, r)...)
	}
	t.rosters[by] = received
	return ended
}

// Introduce takes in that there may be a daemon.
func (t *Table) Introduce(now time.Duration, r Row) {
	if _, known := t.entries[r.Incarnation]; known {
		return
	}
	t.Reintroduce(now, r)
}

// Reintroduce takes in that another daemon vouches for one, which counts for a moment, and again
// from time to time. That other one may reach it while this one can't.
func (t *Table) Reintroduce(now time.Duration, r Row) {
	e, known := t.entries[r.Incarnation]
	if known && now-e.introduced < ReintroduceAfter || t.shouldIgnore(now, r) {
		return
	}
	t.mergeRow(now, r)
	t.entries[r.Incarnation].introduced = now
}

// shouldIgnore tells whether a row says nothing of another daemon that may be alive.
func (t *Table) shouldIgnore(now time.Duration, r Row) bool {
	return r.Incarnation == t.self.Incarnation || r.Incarnation == "" || t.hasEnded(now, r.Member)
}

func (t *Table) mergeRow(now time.Duration, r Row) []ident.Incarnation {
	e, known := t.entries[r.Incarnation]
	if known {
		e.seen = now
		if r.Seq > e.memberSeq {
			e.Member, e.memberSeq = r.Member, r.Seq
		}
		return nil
	}
	t.entries[r.Incarnation] = &entry{Member: r.Member, memberSeq: r.Seq, heard: freshness.Never, seen: now, introduced: freshness.Never}
	t.Learn(now, r.PeerAddress)
	return t.removeReplaced(r.Member)
}

// hasEnded tells whether a daemon that somebody else tells of has ended: another incarnation
// is heard at its address, or known to have started there later. A roster may be older
// than what is known here, and a daemon that followed one that has ended would be
// answered by its successor, which is no relay.
func (t *Table) hasEnded(now time.Duration, m Member) bool {
	if m.PeerAddress == t.self.PeerAddress {
		return true
	}
	for id, e := range t.entries {
		if id != m.Incarnation && e.PeerAddress == m.PeerAddress && (now-e.heard <= t.aliveFor || e.Started > m.Started) {
			return true
		}
	}
	return false
}

func (t *Table) removeReplaced(m Member) []ident.Incarnation {
	var ended []ident.Incarnation
	for id, e := range t.entries {
		if id != m.Incarnation && e.PeerAddress == m.PeerAddress {
			delete(t.entries, id)
			ended = append(ended, id)
		}
	}
	return ended
}

// Tick forgets what has been silent for long and returns the incarnations.
func (t *Table) Tick(now time.Duration) []ident.Incarnation {
	var ended []ident.Incarnation
	for id, e := range t.entries {
		if now-e.seen > ForgetAfter {
			delete(t.entries, id)
			ended = append(ended, id)
		}
	}
	for by, r := range t.rosters {
		if now-r.at > RosterTTL {
			delete(t.rosters, by)
		}
	}
	for address, at := range t.addresses {
		if now-at > AddressTTL {
			delete(t.addresses, address)
		}
	}
	return ended
}

// Addresses lists where to send messages to, in order.
func (t *Table) Addresses() []string {
	list := make([]string, 0, len(t.addresses))
	for a := range t.addresses {
		list = append(list, a)
	}
	slices.Sort(list)
	return list
}

// Alive lists the other daemons that are heard, told of or were just introduced, by
// incarnation.
func (t *Table) Alive(now time.Duration) []Member { return t.list(now, true) }

// Confirmed lists the other daemons that are heard or told of, by incarnation.
func (t *Table) Confirmed(now time.Duration) []Member { return t.list(now, false) }

func (t *Table) list(now time.Duration, introduced bool) []Member {
	inRosters := t.inRosters(now)
	var list []Member
	for id, e := range t.entries {
		if now-e.heard <= t.aliveFor || introduced && now-e.introduced <= IntroductionTTL || inRosters[id] {
			list = append(list, e.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return list
}

// SeenSince lists the other daemons of which anything was last known at a time or later, in
// no order. Some may have lost their relays, and some have ended.
func (t *Table) SeenSince(at time.Duration) []ident.Incarnation {
	var list []ident.Incarnation
	for id, e := range t.entries {
		if e.seen >= at {
			list = append(list, id)
		}
	}
	return list
}

// inRosters is the daemons in the rosters of relays that are heard.
func (t *Table) inRosters(now time.Duration) map[ident.Incarnation]bool {
	inRosters := map[ident.Incarnation]bool{}
	for by, r := range t.rosters {
		if !t.HeardRecently(now, by) || now-r.at > RosterTTL {
			continue
		}
		for id := range r.rows {
			inRosters[id] = true
		}
	}
	return inRosters
}

// HeardRecently tells whether a daemon is heard directly.
func (t *Table) HeardRecently(now time.Duration, id ident.Incarnation) bool {
	e, known := t.entries[id]
	return known && now-e.heard <= t.aliveFor
}

// Rows returns what daemons told of themselves last; those that are not known are left out.
func (t *Table) Rows(ids []ident.Incarnation) []Row {
	rows := make([]Row, 0, len(ids))
	for _, id := range ids {
		if e, known := t.entries[id]; known {
			rows = append(rows, Row{Member: e.Member, Seq: e.memberSeq})
		}
	}
	return rows
}

// Domains is the number of failure domains that any relay knows; zero is not told.
func (t *Table) Domains(now time.Duration) int {
	domainCount := 0
	for _, r := range t.rosters {
		if now-r.at <= RosterTTL {
			domainCount = max(domainCount, r.domainCount)
		}
	}
	return domainCount
}

// KnownCount is the number of daemons that this one knows of itself, itself included: those that
// are heard or told of, and those that are silent but not forgotten.
func (t *Table) KnownCount() int { return 1 + len(t.entries) }

// FleetSize is the number of daemons that may be running, this one included: those that are known
// here, or as many as a relay knows. It is never told on: relays would tell each other of the
// largest fleet that there ever was.
func (t *Table) FleetSize() int {
	size := t.KnownCount()
	for _, r := range t.rosters {
		size = max(size, r.fleetSize)
	}
	return size
}

// UnheardAddresses lists the addresses at which none of the daemons is.
func (t *Table) UnheardAddresses(daemons []Member) []string {
	known := make(map[string]bool, len(daemons))
	for _, m := range daemons {
		known[m.PeerAddress] = true
	}
	var list []string
	for a := range t.addresses {
		if !known[a] {
			list = append(list, a)
		}
	}
	slices.Sort(list)
	return list
}

// Directory lists the daemons for callers to use, this one included.
func (t *Table) Directory(now time.Duration) []view.Daemon {
	var list []view.Daemon
	for _, m := range append(t.Alive(now), t.self) {
		list = append(list, view.Daemon{
			ID:            m.ID,
			Incarnation:   m.Incarnation,
			FailureDomain: m.FailureDomain,
			CallerAddress: m.CallerAddress,
			PeerAddress:   m.PeerAddress,
			State:         viewState(m.Phase),
		})
	}
	slices.SortFunc(list, func(a, b view.Daemon) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func viewState(p Phase) view.State {
	switch p {
	case Ready:
		return view.Live
	case Draining:
		return view.Leaving
	}
	return view.Gone
}
