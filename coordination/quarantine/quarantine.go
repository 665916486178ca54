// Package quarantine finds what makes runners fail, and keeps it away from them: parts of prompts, which
// many requests share, and single requests, which their callers and this system repeat.
//
// When a runner fails, every request that it had is a possible cause, and so is each part of the prompts
// whose answers it was about to begin. A cause becomes suspected and then quarantined by the failures
// of several runners, one after the other, with no request answered in between that holds it. Sound
// causes are answered, so the failures of many runners, whatever their reason, hardly ever catch one.
// Failures at the same moment count once: a whole failure domain may fail. For a request they count further
// if no runner without it failed in that moment: many callers may send it at once.
//
// A quarantined cause is probed now and then: one request with it, of all daemons together, goes to a
// runner. If it is answered, the cause is free. Probes become rarer, so that a cause that does make
// runners fail costs few of them.
//
// All daemons tell each other what they know of a cause. Each derives its verdict from that and, for failures at
// the same moment, from the other failures that it knows.
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
	// A failure under a request whose answer had begun counts begunWeight. Under one that the runner had
	// not begun to answer, it counts waitingWeight for the parts of the prompt: the runner may have failed
	// as it began. For the request itself every failure counts begunWeight, since a runner may do all of
	// its work before the answer begins.
	begunWeight   = 2
	waitingWeight = 1
	// A further runner that fails under a request at the same moment counts togetherWeight if no runner without
	// the request did, and as one that fails later once othersKnownAfter has passed.
	togetherWeight = 1
	// othersKnownAfter is the time within which a runner's failure is found and told to all daemons.
	othersKnownAfter = 150 * time.Millisecond
	// suspectScore and quarantineScore are the sums of these weights at which a cause is suspected and
	// quarantined: two and three failures of runners that had begun to answer.
	suspectScore    = 2 * begunWeight
	quarantineScore = 3 * begunWeight
	// maxFailures bounds the failures that are remembered of a cause.
	maxFailures = 16
	// A quarantined part is first probed after firstPartProbeAfter, a request after
	// firstRequestProbeAfter, when its caller has given up; only requests that many callers send are
	// probed at all. The time grows by probeBackoff with each probe, up to maxProbeInterval.
	firstPartProbeAfter    = 2 * time.Second
	firstRequestProbeAfter = 30 * time.Second
	probeBackoff           = 10
	maxProbeInterval       = time.Hour
	// suspicionMemory is how long failures of a cause are remembered that is not quarantined,
	// quarantineMemory how long those of a quarantined one are.
	suspicionMemory  = 5 * time.Minute
	quarantineMemory = 2 * maxProbeInterval
	// messageDelay is the longest delay of a message that is reckoned with.
	messageDelay = time.Second
	// answerMemory is how long an answer is remembered, so that messages under way don't bring the
	// failures before it back.
	answerMemory = 10 * time.Second
	// repeatNewsFor is how long after a change a cause is told again that is sound by all that is known.
	repeatNewsFor = 2 * time.Second
	// maxCauses bounds the causes in a table.
	maxCauses = 4096
)

// Kind is the kind of a possible cause.
type Kind uint8

// Values of Kind.
const (
	// Part is a part of prompts to one service, whatever else the requests hold.
	Part Kind = iota
	// Request is a request by its content, whoever sends it and however often.
	Request
)

// Cause identifies a possible cause of runners' failures.
type Cause struct {
	Kind Kind
	Hash uint64
}

// String returns the cause as logs name it.
func (c Cause) String() string { return fmt.Sprintf("%016x", c.Hash) }

func (c Cause) compare(other Cause) int {
	return cmp.Or(cmp.Compare(c.Kind, other.Kind), cmp.Compare(c.Hash, other.Hash))
}

// PartOf returns the cause that is a prompt part with the given hash in requests to a service.
func PartOf(service string, hash uint64) Cause {
	return Cause{Part, xxhash.Sum64String(service + "\x00" + strconv.FormatUint(hash, 16))}
}

// Failure is the failure of a runner while it had a request. For a prompt part, the answer to the request
// had not gone beyond its beginning.
type Failure struct {
	// Runner is a hash of the runner's ID, which differs between its incarnations.
	Runner uint64
	// At is the time of the failure, Sent that at which the request was sent.
	At, Sent time.Duration
	// Begun says that the answer had begun.
	Begun bool
}

// Verdict says what is held of a cause.
type Verdict int

// Values of Verdict.
const (
	Sound Verdict = iota
	// Suspected causes may be sent to runners, but a request that has seen a runner fail is not
	// repeated.
	Suspected
	// Quarantined causes may not be sent to runners, except for probes.
	Quarantined
)

var verdictNames = [...]string{Sound: "sound", Suspected: "suspected", Quarantined: "quarantined"}

// String returns the verdict's name.
func (v Verdict) String() string { return verdictNames[v] }

// Statement is what a daemon knows of a cause, as it tells the others.
type Statement struct {
	Cause    Cause
	Failures []Failure
	// Answered says that a request with the cause has been answered, lately at AnsweredAt.
	Answered   bool
	AnsweredAt time.Duration
	// Probes is the number of probes, ProbedAt the time of the latest.
	Probes   int
	ProbedAt time.Duration
}

// SaysSameAs reports whether two statements name the same failures, answer and probes of a cause.
func (s Statement) SaysSameAs(other Statement) bool {
	return s.Cause == other.Cause && slices.Equal(s.Failures, other.Failures) && s.Answered == other.Answered &&
		s.AnsweredAt == other.AnsweredAt && s.Probes == other.Probes
}

// Table holds what is known of the causes that failures have hit.
type Table struct {
	causes map[Cause]*Statement
	// failed holds when runners failed under any request, at most maxCauses of them.
	failed map[uint64]time.Duration
}

// New returns an empty table.
func New() *Table { return &Table{causes: map[Cause]*Statement{}, failed: map[uint64]time.Duration{}} }

// Len returns the number of causes in the table.
func (t *Table) Len() int { return len(t.causes) }

// RecordFailure records a failure under a request with the cause.
func (t *Table) RecordFailure(c Cause, f Failure) {
	t.Merge(Statement{Cause: c, Failures: []Failure{f}})
}

// RecordAnswer records that a runner has gone beyond the beginning of an answer to a request with the
// cause. It reports whether that changes the verdict.
func (t *Table) RecordAnswer(now time.Duration, c Cause) bool {
	s, known := t.causes[c]
	if !known || len(s.Failures) == 0 {
		return false
	}
	before, _ := t.verdict(now, s)
	t.Merge(Statement{Cause: c, Answered: true, AnsweredAt: now})
	after, _ := t.verdict(now, s)
	return before != after
}

// Merge records what another daemon knows of a cause. It reports whether that was new.
func (t *Table) Merge(from Statement) bool {
	s, known := t.causes[from.Cause]
	if !known {
		if len(from.Failures) == 0 {
			return false
		}
		t.makeRoom()
		s = &Statement{Cause: from.Cause}
		t.causes[from.Cause] = s
	}
	changed := s.mergeAnswer(from)
	for _, f := range from.Failures {
		changed = s.addFailure(f) || changed
		t.rememberFailed(f)
	}
	if from.Probes > s.Probes {
		s.Probes, s.ProbedAt, changed = from.Probes, from.ProbedAt, true
	}
	return changed
}

// rememberFailed records when a runner failed, in place of the earliest one if there are too many.
func (t *Table) rememberFailed(f Failure) {
	if _, known := t.failed[f.Runner]; known {
		return
	}
	if len(t.failed) >= maxCauses {
		earliest := f.Runner
		for runner, at := range t.failed {
			if earliest == f.Runner || at < t.failed[earliest] {
				earliest = runner
			}
		}
		delete(t.failed, earliest)
	}
	t.failed[f.Runner] = f.At
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

// refutes reports whether an answer after a failure shows that the cause was not that of the failure.
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

// verdict returns the verdict about the cause, and since when it is quarantined if it is.
func (t *Table) verdict(now time.Duration, s *Statement) (Verdict, time.Duration) {
	score, weight := 0, 0
	var last time.Duration
	for i, f := range s.Failures {
		switch {
		case i == 0 || f.At-last >= sameMoment || f.Sent > last:
			weight, last = s.weight(f), f.At
			score += weight
		case s.Cause.Kind == Request && !t.othersFailed(s, last):
			score += s.togetherWeight(now, f)
		default:
			if w := s.weight(f); w > weight {
				score += w - weight
				weight = w
			}
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

// othersFailed reports whether runners that had no request with the cause failed at the same moment, as those of a
// failure domain do.
func (t *Table) othersFailed(s *Statement, moment time.Duration) bool {
	for runner, at := range t.failed {
		if (at-moment).Abs() < sameMoment && !slices.ContainsFunc(s.Failures, func(f Failure) bool { return f.Runner == runner }) {
			return true
		}
	}
	return false
}

// togetherWeight returns what a failure counts in whose moment no runner without the cause is known to have failed.
func (s *Statement) togetherWeight(now time.Duration, f Failure) int {
	if now-f.At < othersKnownAfter {
		return togetherWeight
	}
	return s.weight(f)
}

func (s *Statement) weight(f Failure) int {
	if f.Begun || s.Cause.Kind == Request {
		return begunWeight
	}
	return waitingWeight
}

// Verdict returns the verdict about a cause. It may change by time alone, while failures of the same moment become known.
func (t *Table) Verdict(now time.Duration, c Cause) Verdict {
	s, known := t.causes[c]
	if !known {
		return Sound
	}
	v, _ := t.verdict(now, s)
	return v
}

// ProbeAt returns when a quarantined cause may be probed next, and false if it is not quarantined.
func (t *Table) ProbeAt(now time.Duration, c Cause) (time.Duration, bool) {
	s, known := t.causes[c]
	if !known {
		return 0, false
	}
	v, since := t.verdict(now, s)
	if v != Quarantined {
		return 0, false
	}
	interval := firstPartProbeAfter
	if c.Kind == Request {
		interval = firstRequestProbeAfter
	}
	for range s.Probes {
		interval = min(interval*probeBackoff, maxProbeInterval)
	}
	if s.Probes > 0 {
		since = max(since, s.ProbedAt)
	}
	return since + interval, true
}

// TakeProbe reports whether a quarantined cause may be probed now, and counts the probe. Of all daemons
// only one decides about the probes of a cause.
func (t *Table) TakeProbe(now time.Duration, c Cause) bool {
	at, quarantined := t.ProbeAt(now, c)
	if !quarantined || now < at {
		return false
	}
	s := t.causes[c]
	s.Probes++
	s.ProbedAt = now
	return true
}

// Statement returns what is known of a cause.
func (t *Table) Statement(c Cause) (Statement, bool) {
	s, known := t.causes[c]
	if !known {
		return Statement{}, false
	}
	return *s, true
}

// Statements returns what is known of all causes, in their order.
func (t *Table) Statements() []Statement { return t.statements(func(*Statement) bool { return true }) }

// Repeated returns what is to be told again and again, in the order of the causes: what is suspected or
// quarantined, and what has changed lately. A failing runner has many requests, most of which no other
// failure follows.
func (t *Table) Repeated(now time.Duration) []Statement {
	return t.statements(func(s *Statement) bool {
		v, _ := t.verdict(now, s)
		return v != Sound || s.Answered || now < s.latest()+repeatNewsFor
	})
}

func (t *Table) statements(wanted func(*Statement) bool) []Statement {
	var list []Statement
	for _, s := range t.causes {
		if wanted(s) {
			list = append(list, *s)
		}
	}
	slices.SortFunc(list, func(a, b Statement) int { return a.Cause.compare(b.Cause) })
	return list
}

// Expire forgets what is no longer of use.
func (t *Table) Expire(now time.Duration) {
	for c, s := range t.causes {
		if now >= t.keepUntil(s) {
			delete(t.causes, c)
		}
	}
	maps.DeleteFunc(t.failed, func(_ uint64, at time.Duration) bool { return now-at > quarantineMemory })
}

// keepUntil returns the time until which a cause is remembered.
func (t *Table) keepUntil(s *Statement) time.Duration {
	if s.Probes > 0 {
		return s.latest() + quarantineMemory
	}
	v, _ := t.verdict(s.latest()+othersKnownAfter, s)
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

// makeRoom forgets the cause that would be forgotten first if the table is full.
func (t *Table) makeRoom() {
	if len(t.causes) < maxCauses {
		return
	}
	var first *Statement
	for _, s := range t.causes {
		if first == nil || t.keepUntil(s) < t.keepUntil(first) {
			first = s
		}
	}
	delete(t.causes, first.Cause)
}
