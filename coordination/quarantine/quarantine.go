// Package quarantine finds prompt parts that make runners fail, and keeps requests with them away from
// runners.
//
// When a runner fails, every request whose answer it was about to begin is a possible cause, and so is
// each part of its prompt that other prompts share. A part becomes suspected and then quarantined by
// the failures of several runners, one after the other, with no request answered in between that holds
// the part. Sound parts are answered all the time, so the failures of many runners, whatever their
// cause, hardly ever catch one. Failures at the same moment count once: a whole failure domain may fail.
//
// A quarantined part is probed now and then: one request with it, of all daemons together, goes to a
// runner. If it is answered, the part is free. Probes become rarer, so that a part that does make
// runners fail costs few of them.
//
// All daemons tell each other what they know of a part, and each derives the same verdict from it.
//
// The package does no I/O and reads no clock: times are offsets of a monotonic clock that keeps running
// while the VM is suspended. Its types are not safe for concurrent use.
package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sameMoment is the time within which failures have one cause, unless the request of the later
	// one was sent after the earlier one.
	sameMoment = 250 * time.Millisecond
	// A failure under a request whose answer had begun counts begunWeight, under one that the runner
	// had not begun to answer, waitingWeight: the runner may have failed as it began.
	begunWeight   = 2
	waitingWeight = 1
	// suspectScore and quarantineScore are the sums of these weights at which a part is suspected and
	// quarantined: two and three failures of runners that had begun to answer.
	suspectScore    = 2 * begunWeight
	quarantineScore = 3 * begunWeight
	// maxFailures bounds the failures that are remembered of a part.
	maxFailures = 16
	// A quarantined part is first probed after firstProbeAfter, then after a time that grows by
	// probeBackoff each time, up to maxProbeInterval.
	firstProbeAfter  = 2 * time.Second
	probeBackoff     = 10
	maxProbeInterval = time.Hour
	// suspicionMemory is how long failures of a part are remembered that is not quarantined,
	// quarantineMemory how long those of a quarantined one are.
	suspicionMemory  = 5 * time.Minute
	quarantineMemory = 2 * maxProbeInterval
	// messageDelay is the longest delay of a message that is reckoned with.
	messageDelay = time.Second
	// answerMemory is how long an answer is remembered, so that messages under way don't bring the
	// failures before it back.
	answerMemory = 10 * time.Second
	// maxParts bounds the parts in a table.
	maxParts = 4096
)

// Part identifies a part of prompts to one service.
type Part uint64

// String returns the part as logs name it.
func (p Part) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// PartOf returns the identifier of a prompt part with the given hash in requests to a service.
func PartOf(service string, hash uint64) Part {
	return Part(xxhash.Sum64String(service + "\x00" + strconv.FormatUint(hash, 16)))
}

// Failure is the failure of a runner while it had a request that its answer had not gone beyond the
// beginning of.
type Failure struct {
	// Runner is a hash of the runner's ID, which differs between its incarnations.
	Runner uint64
	// At is the time of the failure, Sent that at which the request was sent.
	At, Sent time.Duration
	// Begun says that the answer had begun.
	Begun bool
}

// Verdict says what is held of a part.
type Verdict int

// Values of Verdict.
const (
	Sound Verdict = iota
	// Suspected parts may be sent to runners, but a request that has seen a runner fail is not
	// repeated.
	Suspected
	// Quarantined parts may not be sent to runners, except for probes.
	Quarantined
)

var verdictNames = [...]string{Sound: "sound", Suspected: "suspected", Quarantined: "quarantined"}

// String returns the verdict's name.
func (v Verdict) String() string { return verdictNames[v] }

// Statement is what a daemon knows of a part, as it tells the others.
type Statement struct {
	Part     Part
	Failures []Failure
	// Answered says that a request with the part has been answered, lately at AnsweredAt.
	Answered   bool
	AnsweredAt time.Duration
	// Probes is the number of probes, ProbedAt the time of the latest.
	Probes   int
	ProbedAt time.Duration
}

// Table holds what is known of the parts that failures have hit.
type Table struct {
	parts map[Part]*Statement
}

// New returns an empty table.
func New() *Table { return &Table{parts: map[Part]*Statement{}} }

// Len returns the number of parts in the table.
func (t *Table) Len() int { return len(t.parts) }

// RecordFailure records a failure under a request with the part.
func (t *Table) RecordFailure(p Part, f Failure) {
	t.Merge(Statement{Part: p, Failures: []Failure{f}})
}

// RecordAnswer records that a runner has gone beyond the beginning of an answer to a request with the
// part. It reports whether that changes the verdict.
func (t *Table) RecordAnswer(now time.Duration, p Part) bool {
	s, known := t.parts[p]
	if !known || len(s.Failures) == 0 {
		return false
	}
	before, _ := s.verdict()
	t.Merge(Statement{Part: p, Answered: true, AnsweredAt: now})
	after, _ := s.verdict()
	return before != after
}

// Merge records what another daemon knows of a part. It reports whether that was new.
func (t *Table) Merge(from Statement) bool {
	s, known := t.parts[from.Part]
	if !known {
		if len(from.Failures) == 0 {
			return false
		}
		t.makeRoom()
		s = &Statement{Part: from.Part}
		t.parts[from.Part] = s
	}
	changed := s.mergeAnswer(from)
	for _, f := range from.Failures {
		changed = s.addFailure(f) || changed
	}
	if from.Probes > s.Probes {
		s.Probes, s.ProbedAt, changed = from.Probes, from.ProbedAt, true
	}
	return changed
}

// mergeAnswer takes an answer over if it refutes a failure or is clearly later than the known one. Times
// arrive as ages and grow by the delay of each message: an answer that daemons told each other again and
// again would otherwise move on until it refutes later failures.
func (s *Statement) mergeAnswer(from Statement) bool {
	if !from.Answered || s.Answered && from.AnsweredAt <= s.AnsweredAt {
		return false
	}
	answered := Statement{Answered: true, AnsweredAt: from.AnsweredAt}
	count := len(s.Failures)
	s.Failures = slices.DeleteFunc(s.Failures, answered.refutes)
	refuted := len(s.Failures) < count
	if refuted || !s.Answered || from.AnsweredAt > s.AnsweredAt+messageDelay {
		s.Answered, s.AnsweredAt = true, from.AnsweredAt
	}
	return refuted
}

// refutes reports whether an answer after a failure shows that the part was not its cause.
func (s *Statement) refutes(f Failure) bool { return s.Answered && f.At <= s.AnsweredAt }

// addFailure adds a failure in the order of time, unless that of the runner is known.
func (s *Statement) addFailure(f Failure) bool {
	if s.refutes(f) {
		return false
	}
	for i := range s.Failures {
		if known := &s.Failures[i]; known.Runner == f.Runner {
			changed := f.Begun && !known.Begun
			known.Begun = known.Begun || f.Begun
			return changed
		}
	}
	if len(s.Failures) == maxFailures {
		return false
	}
	i, _ := slices.BinarySearchFunc(s.Failures, f, func(a, b Failure) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Runner, b.Runner))
	})
	s.Failures = slices.Insert(s.Failures, i, f)
	return true
}

// verdict returns the verdict about the part, and since when it is quarantined if it is.
func (s *Statement) verdict() (Verdict, time.Duration) {
	score, weight := 0, 0
	var last time.Duration
	for i, f := range s.Failures {
		independent := i == 0 || f.At-last >= sameMoment || f.Sent > last
		if independent {
			weight, last = 0, f.At
		}
		if w := f.weight(); w > weight {
			score += w - weight
			weight = w
		}
		if score >= quarantineScore {
			return Quarantined, f.At
		}
	}
	if score >= suspectScore {
		return Suspected, 0
	}
	return Sound, 0
}

func (f Failure) weight() int {
	if f.Begun {
		return begunWeight
	}
	return waitingWeight
}

// Verdict returns the verdict about a part.
func (t *Table) Verdict(p Part) Verdict {
	s, known := t.parts[p]
	if !known {
		return Sound
	}
	v, _ := s.verdict()
	return v
}

// ProbeAt returns when a quarantined part may be probed next, and false if it is not quarantined.
func (t *Table) ProbeAt(p Part) (time.Duration, bool) {
	s, known := t.parts[p]
	if !known {
		return 0, false
	}
	v, since := s.verdict()
	if v != Quarantined {
		return 0, false
	}
	interval := firstProbeAfter
	for range s.Probes {
		interval = min(interval*probeBackoff, maxProbeInterval)
	}
	if s.Probes > 0 {
		since = max(since, s.ProbedAt)
	}
	return since + interval, true
}

// TakeProbe reports whether a quarantined part may be probed now, and counts the probe. Of all daemons
// only one decides about the probes of a part.
func (t *Table) TakeProbe(now time.Duration, p Part) bool {
	at, quarantined := t.ProbeAt(p)
	if !quarantined || now < at {
		return false
	}
	s := t.parts[p]
	s.Probes++
	s.ProbedAt = now
	return true
}

// Statement returns what is known of a part.
func (t *Table) Statement(p Part) (Statement, bool) {
	s, known := t.parts[p]
	if !known {
		return Statement{}, false
	}
	return *s, true
}

// Statements returns what is known of all parts, in the order of the parts.
func (t *Table) Statements() []Statement {
	list := make([]Statement, 0, len(t.parts))
	for _, p := range slices.Sorted(maps.Keys(t.parts)) {
		list = append(list, *t.parts[p])
	}
	return list
}

// Expire forgets what is no longer of use.
func (t *Table) Expire(now time.Duration) {
	for p, s := range t.parts {
		if now >= s.keepUntil() {
			delete(t.parts, p)
		}
	}
}

// keepUntil returns the time until which a part is remembered.
func (s *Statement) keepUntil() time.Duration {
	if s.Probes > 0 {
		return s.latest() + quarantineMemory
	}
	v, _ := s.verdict()
	switch {
	case v == Quarantined:
		return s.latest() + quarantineMemory
	case len(s.Failures) > 0:
		return s.latest() + suspicionMemory
	}
	return s.AnsweredAt + answerMemory
}

// latest returns the time of the latest failure or probe.
func (s *Statement) latest() time.Duration {
	latest := s.ProbedAt
	if n := len(s.Failures); n > 0 {
		latest = max(latest, s.Failures[n-1].At)
	}
	return latest
}

// makeRoom forgets the part that would be forgotten first if the table is full.
func (t *Table) makeRoom() {
	if len(t.parts) < maxParts {
		return
	}
	var first Part
	var earliest time.Duration
	for p, s := range t.parts {
		if until := s.keepUntil(); first == 0 || until < earliest {
			first, earliest = p, until
		}
	}
	delete(t.parts, first)
}
