// Package peers keeps what one daemon knows of the other daemons of its fleet: which ones
// are alive, which ones accept callers and which ones have ended.
//
// In a small fleet all daemons send messages to each other. In a large one, most daemons are
// followers: they send only to a few relays, which pass on what they receive. A daemon is
// heard if it sends messages directly to this daemon, and mentioned if a message, roster or
// introduction names it.
//
// A daemon is alive while this daemon receives its messages, or while a relay whose
// messages are received lists it in a roster, i.e. the list of daemons that the relay hears
// directly. Followers don't pass a relay's roster on as a roster of their own, otherwise
// two daemons could keep listing a third one that has ended. Registrations in the key-value
// service and introductions by other daemons only say where a daemon may be. They count for
// as long as a first message would need to arrive; introductions by daemons count again
// from time to time. A new incarnation at an address ends the former one at once, since the
// former process can't be listening there any more.
//
// The package does no I/O and reads no clock: times are offsets of a monotonic clock that
// keeps running while the VM is suspended. A Table is not safe for concurrent use.
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
	// AliveFor is how long a daemon counts as alive after its last message. It covers
	// several messages, so that a lost datagram doesn't take a daemon out of the directory,
	// and is shorter than the time for which callers keep an answer of the directory.
	AliveFor = 800 * time.Millisecond
	// RelayedAliveFor replaces AliveFor in a large fleet, where messages are less frequent.
	RelayedAliveFor = 1600 * time.Millisecond
	// IntroductionTTL is how long a daemon counts as alive that is known only from an
	// introduction or a registration. In this time two messages can be sent there and
	// answered. It is short because after a restart of the whole fleet all registered
	// daemons have ended.
	IntroductionTTL = time.Second
	// ReintroduceAfter is the shortest time between two introductions of a daemon that
	// both count.
	ReintroduceAfter = 3 * time.Second
	// ForgetAfter is how long a daemon counts as possibly running after any source last
	// mentioned it.
	ForgetAfter = 30 * time.Second
	// AddressTTL is how long messages are sent to an address after it was last learned,
	// e.g. from a message. Parts of a fleet that are cut off from each other have no other
	// way to find each other again, and such cuts last for minutes.
	AddressTTL = 10 * time.Minute
	// RosterTTL is how long a relay's roster is valid. It allows for one lost and one late
	// roster.
	RosterTTL = 2500 * time.Millisecond
	// MaxAddresses is the maximum number of addresses that a Table keeps; further ones are
	// ignored.
	MaxAddresses = 4096
)

// Phase is the stage of a daemon's life cycle.
type Phase uint8

// The phases in the order in which a daemon passes through them.
const (
	// Starting daemons don't accept callers yet, or can't at the moment.
	Starting Phase = iota + 1
	Ready
	// Draining daemons accept no new callers. The phase is final.
	Draining
)

// Member is what a daemon reports about itself.
type Member struct {
	ID            ident.DaemonID
	Incarnation   ident.Incarnation
	FailureDomain ident.FailureDomain
	CallerAddress string
	PeerAddress   string
	Phase         Phase
	// Started is the start time of the daemon by its own clock, in Unix milliseconds. It is
	// used only to order daemons by age, e.g. when relays are elected.
	Started int64
}

// Row is an entry of a roster or an introduction: what a daemon reported about itself in
// its message number Seq.
type Row struct {
	Member
	Seq uint64
}

// entry is what this daemon knows of another daemon.
type entry struct {
	Member
	// heardSeq is the number of the last message received directly, rowSeq the number of
	// the message from which Member was taken, which may have come in a row of a roster or
	// introduction.
	heardSeq, rowSeq uint64
	// lastHeard is when a message was last received directly, lastMentioned when any
	// source last mentioned the daemon. lastIntroduced is when this daemon last accepted
	// an introduction of it; Reintroduce ignores those that follow within
	// ReintroduceAfter.
	lastHeard, lastMentioned, lastIntroduced time.Duration
}

// roster holds the daemons that a relay hears directly.
type roster struct {
	receivedAt time.Duration
	rows       map[ident.Incarnation]bool
	// fleetSize is the number of daemons and domainCount the number of failure domains
	// that the relay knows.
	fleetSize, domainCount int
}

// Table holds what this daemon knows of the others. It is not safe for concurrent use.
type Table struct {
	self    Member
	entries map[ident.Incarnation]*entry
	// byAddress holds the incarnations of entries by their peer address. Comparing each row of
	// a roster with all entries would grow with the square of the fleet.
	byAddress map[string][]ident.Incarnation
	// rosters holds the last roster of each relay.
	rosters map[ident.Incarnation]roster
	// aliveFor is how long a daemon counts as alive after its last message.
	aliveFor time.Duration
	// registeredSize is the size of the fleet that registrations state, as of registeredAt.
	registeredSize int
	registeredAt   time.Duration
	// addressLearnedAt holds the addresses to send messages to, with the time when each
	// was last learned. It includes addresses from which no message was received.
	addressLearnedAt map[string]time.Duration
}

// New returns a table that contains only this daemon.
func New(self Member) *Table {
	return &Table{
		self: self, entries: map[ident.Incarnation]*entry{}, byAddress: map[string][]ident.Incarnation{}, rosters: map[ident.Incarnation]roster{},
		addressLearnedAt: map[string]time.Duration{}, aliveFor: AliveFor,
	}
}

// SetAliveFor sets how long a daemon counts as alive after its last message.
func (t *Table) SetAliveFor(d time.Duration) { t.aliveFor = d }

// AliveFor returns how long a daemon counts as alive after its last message.
func (t *Table) AliveFor() time.Duration { return t.aliveFor }

// Self returns this daemon's own record.
func (t *Table) Self() Member { return t.self }

// SetPhase sets the phase of this daemon unless it is Draining.
func (t *Table) SetPhase(p Phase) {
	if t.self.Phase != Draining {
		t.self.Phase = p
	}
}

// LearnAddress records an address at which a daemon may be listening.
func (t *Table) LearnAddress(now time.Duration, address string) {
	_, known := t.addressLearnedAt[address]
	if address == "" || address == t.self.PeerAddress || !known && len(t.addressLearnedAt) >= MaxAddresses {
		return
	}
	t.addressLearnedAt[address] = now
}

// Receive applies a message of a daemon; seq orders the messages of one incarnation. It
// returns false if the same or a later message was already received, and it returns the
// incarnations that have ended because the sender now listens at their address.
func (t *Table) Receive(now time.Duration, m Member, seq uint64) (isNew bool, ended []ident.Incarnation) {
	if m.Incarnation == t.self.Incarnation {
		return false, nil
	}
	e, known := t.entries[m.Incarnation]
	if known && seq <= e.heardSeq {
		return false, nil
	}
	if !known {
		e = &entry{lastIntroduced: freshness.Never}
		t.entries[m.Incarnation] = e
	}
	if !known || e.lastHeard == freshness.Never {
		ended = t.removeReplaced(m)
	}
	t.indexAddress(m, e.PeerAddress)
	e.Member, e.heardSeq, e.rowSeq, e.lastHeard, e.lastMentioned = m, seq, max(seq, e.rowSeq), now, now
	t.LearnAddress(now, m.PeerAddress)
	return true, ended
}

// ReceiveRoster applies the roster of a relay, which replaces the relay's previous one. It
// returns the incarnations that have ended because a daemon that this daemon learned of
// from the roster now listens at their address.
func (t *Table) ReceiveRoster(now time.Duration, relay ident.Incarnation, rows []Row, fleetSize, domainCount int) []ident.Incarnation {
	received := roster{receivedAt: now, rows: make(map[ident.Incarnation]bool, len(rows)), fleetSize: fleetSize, domainCount: domainCount}
	var ended []ident.Incarnation
	for _, r := range rows {
		if t.shouldIgnore(now, r) {
			continue
		}
		received.rows[r.Incarnation] = true
		ended = append(ended, t.mergeRow(now, r)...)
	}
	t.rosters[relay] = received
	return ended
}

// Introduce records that a daemon may exist, unless it is already known.
func (t *Table) Introduce(now time.Duration, r Row) {
	if _, known := t.entries[r.Incarnation]; known {
		return
	}
	t.Reintroduce(now, r)
}

// Reintroduce records that the daemon of the row may exist, as stated by another daemon's
// introduction or, through Introduce, by a registration. This daemon may be unable to reach
// the introduced daemon, so that one counts as alive only for IntroductionTTL, also if it
// was known before. An introduction is ignored if it comes within ReintroduceAfter of the
// last accepted introduction of the same daemon.
func (t *Table) Reintroduce(now time.Duration, r Row) {
	e, known := t.entries[r.Incarnation]
	if known && now-e.lastIntroduced < ReintroduceAfter || t.shouldIgnore(now, r) {
		return
	}
	t.mergeRow(now, r)
	t.entries[r.Incarnation].lastIntroduced = now
}

// shouldIgnore reports whether a row is about this daemon, names no incarnation, or is
// about a daemon that has ended.
func (t *Table) shouldIgnore(now time.Duration, r Row) bool {
	return r.Incarnation == t.self.Incarnation || r.Incarnation == "" || t.hasEnded(now, r.Member)
}

// mergeRow updates or adds the daemon of a row. It returns the incarnations that have ended
// because the daemon of the row, if it was not known before, now listens at their address.
func (t *Table) mergeRow(now time.Duration, r Row) []ident.Incarnation {
	e, known := t.entries[r.Incarnation]
	if known {
		e.lastMentioned = now
		if r.Seq > e.rowSeq {
			t.indexAddress(r.Member, e.PeerAddress)
			e.Member, e.rowSeq = r.Member, r.Seq
		}
		return nil
	}
	t.indexAddress(r.Member, "")
	t.entries[r.Incarnation] = &entry{Member: r.Member, rowSeq: r.Seq, lastHeard: freshness.Never, lastMentioned: now, lastIntroduced: freshness.Never}
	t.LearnAddress(now, r.PeerAddress)
	return t.removeReplaced(r.Member)
}

// hasEnded reports whether a daemon that others mention has ended: another incarnation is
// heard at its address, or is known to have started there later. This check is needed
// because a roster may be older than what this daemon knows. If this daemon followed an
// ended relay, it would get answers from the new incarnation at that address, which is not
// a relay.
func (t *Table) hasEnded(now time.Duration, m Member) bool {
	if m.PeerAddress == t.self.PeerAddress {
		return true
	}
	for _, id := range t.byAddress[m.PeerAddress] {
		e := t.entries[id]
		if id != m.Incarnation && (now-e.lastHeard <= t.aliveFor || e.Started > m.Started) {
			return true
		}
	}
	return false
}

// indexAddress records the address of a daemon that so far had the given one, or none.
func (t *Table) indexAddress(m Member, former string) {
	if m.PeerAddress == former {
		return
	}
	t.removeFromIndex(m.Incarnation, former)
	t.byAddress[m.PeerAddress] = append(t.byAddress[m.PeerAddress], m.Incarnation)
}

func (t *Table) removeFromIndex(id ident.Incarnation, address string) {
	remaining := slices.DeleteFunc(t.byAddress[address], func(other ident.Incarnation) bool { return other == id })
	if len(remaining) == 0 {
		delete(t.byAddress, address)
		return
	}
	t.byAddress[address] = remaining
}

func (t *Table) remove(id ident.Incarnation) {
	t.removeFromIndex(id, t.entries[id].PeerAddress)
	delete(t.entries, id)
}

// removeReplaced removes all other incarnations at the address of m and returns them.
func (t *Table) removeReplaced(m Member) []ident.Incarnation {
	var ended []ident.Incarnation
	for _, id := range slices.Clone(t.byAddress[m.PeerAddress]) {
		if id != m.Incarnation {
			t.remove(id)
			ended = append(ended, id)
		}
	}
	return ended
}

// Tick removes daemons after ForgetAfter, rosters after RosterTTL and addresses after
// AddressTTL, and returns the incarnations of the removed daemons.
func (t *Table) Tick(now time.Duration) []ident.Incarnation {
	var ended []ident.Incarnation
	for id, e := range t.entries {
		if now-e.lastMentioned > ForgetAfter {
			t.remove(id)
			ended = append(ended, id)
		}
	}
	for relay, r := range t.rosters {
		if now-r.receivedAt > RosterTTL {
			delete(t.rosters, relay)
		}
	}
	if now-t.registeredAt > RosterTTL {
		t.registeredSize = 0
	}
	for address, at := range t.addressLearnedAt {
		if now-at > AddressTTL {
			delete(t.addressLearnedAt, address)
		}
	}
	return ended
}

// Addresses returns the addresses to send messages to, sorted.
func (t *Table) Addresses() []string {
	list := make([]string, 0, len(t.addressLearnedAt))
	for a := range t.addressLearnedAt {
		list = append(list, a)
	}
	slices.Sort(list)
	return list
}

// Alive returns the other daemons that are heard, listed in a roster or recently
// introduced, sorted by incarnation.
func (t *Table) Alive(now time.Duration) []Member { return t.list(now, true) }

// Confirmed returns the other daemons that are heard or listed in a roster, sorted by
// incarnation.
func (t *Table) Confirmed(now time.Duration) []Member { return t.list(now, false) }

func (t *Table) list(now time.Duration, includeIntroduced bool) []Member {
	inRosters := t.inRosters(now)
	var list []Member
	for id, e := range t.entries {
		if now-e.lastHeard <= t.aliveFor || includeIntroduced && now-e.lastIntroduced <= IntroductionTTL || inRosters[id] {
			list = append(list, e.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return list
}

// MentionedSince returns, unsorted, the other daemons that a message, a roster or an
// introduction has mentioned at or after the time since. Some of them may be alive but
// without a relay at the moment, others may have ended.
func (t *Table) MentionedSince(since time.Duration) []ident.Incarnation {
	var list []ident.Incarnation
	for id, e := range t.entries {
		if e.lastMentioned >= since {
			list = append(list, id)
		}
	}
	return list
}

// inRosters returns the daemons in valid rosters of relays that are heard.
func (t *Table) inRosters(now time.Duration) map[ident.Incarnation]bool {
	inRosters := map[ident.Incarnation]bool{}
	for relay, r := range t.rosters {
		if !t.HeardRecently(now, relay) || now-r.receivedAt > RosterTTL {
			continue
		}
		for id := range r.rows {
			inRosters[id] = true
		}
	}
	return inRosters
}

// HeardRecently reports whether a message of a daemon was received directly within the
// time that Table.AliveFor returns.
func (t *Table) HeardRecently(now time.Duration, id ident.Incarnation) bool {
	e, known := t.entries[id]
	return known && now-e.lastHeard <= t.aliveFor
}

// Rows returns the last known records of the given daemons, without those that are unknown.
func (t *Table) Rows(ids []ident.Incarnation) []Row {
	rows := make([]Row, 0, len(ids))
	for _, id := range ids {
		if e, known := t.entries[id]; known {
			rows = append(rows, Row{Member: e.Member, Seq: e.rowSeq})
		}
	}
	return rows
}

// Domains returns the highest number of failure domains in any valid roster, or zero if
// there is none.
func (t *Table) Domains(now time.Duration) int {
	domainCount := 0
	for _, r := range t.rosters {
		if now-r.receivedAt <= RosterTTL {
			domainCount = max(domainCount, r.domainCount)
		}
	}
	return domainCount
}

// KnownCount returns the number of daemons that this one knows, including itself. It
// counts daemons that are heard or listed in a roster as well as silent ones that are not
// forgotten yet.
func (t *Table) KnownCount() int { return 1 + len(t.entries) }

// LearnFleetSize records the size of the fleet that a registration states. It counts for
// RosterTTL.
func (t *Table) LearnFleetSize(now time.Duration, size int) {
	if size >= t.registeredSize {
		t.registeredSize, t.registeredAt = size, now
	}
}

// FleetSize returns the number of daemons that may be running, including this one: the
// number known here or the highest number in a roster or registration. It must not be sent to other
// daemons, because relays would keep repeating to each other the largest size that the
// fleet ever had.
func (t *Table) FleetSize() int {
	size := max(t.KnownCount(), t.registeredSize)
	for _, r := range t.rosters {
		size = max(size, r.fleetSize)
	}
	return size
}

// LargestSize remembers the largest recent size of a fleet. Daemons that are no longer heard may be cut off and running,
// so what is divided among all must not be divided among fewer as soon as they are forgotten.
type LargestSize struct {
	size       int
	observedAt time.Duration
}

// Observe records the size that is known at a time, and returns the largest one until it has not been reached for
// AddressTTL.
func (l *LargestSize) Observe(now time.Duration, size int) int {
	if size >= l.size || now-l.observedAt > AddressTTL {
		l.size, l.observedAt = size, now
	}
	return l.size
}

// UnheardAddresses returns the known addresses that belong to none of the given daemons,
// sorted.
func (t *Table) UnheardAddresses(daemons []Member) []string {
	known := make(map[string]bool, len(daemons))
	for _, m := range daemons {
		known[m.PeerAddress] = true
	}
	var list []string
	for a := range t.addressLearnedAt {
		if !known[a] {
			list = append(list, a)
		}
	}
	slices.Sort(list)
	return list
}

// Directory returns this daemon and all daemons that are alive with their states, sorted by
// ID. A starting daemon is listed as view.Gone. Callers may use only those that are
// view.Live.
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
