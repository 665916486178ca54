package kvserver

import (
	"context"
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/transport/kv"
)

// CallKind names a kind of call.
type CallKind string

// Kinds of calls.
const (
	CallGet            CallKind = "get"
	CallList           CallKind = "list"
	CallCompareAndSwap CallKind = "compare_and_swap"
	CallDelete         CallKind = "delete"
	CallGrant          CallKind = "grant"
	CallKeepAlive      CallKind = "keep_alive"
	CallRevoke         CallKind = "revoke"
	CallWatch          CallKind = "watch"
)

// Calls counts calls by kind, also those that met a fault.
type Calls map[CallKind]int

// Writes is the number of calls that change the store.
func (c Calls) Writes() int {
	writes := 0
	for kind, n := range c {
		if kind.isWrite() {
			writes += n
		}
	}
	return writes
}

// Reads is the number of calls that do not; a waiting watch is one.
func (c Calls) Reads() int {
	all := 0
	for _, n := range c {
		all += n
	}
	return all - c.Writes()
}

// Faults are the switches of the service; the zero value is a healthy one.
type Faults struct {
	// Outage makes every call fail at once without effect. Leases go on
	// lapsing.
	Outage bool `json:"outage,omitempty"`
	// DelayMillis is waited before each call takes effect.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// LateEffects lets a delayed call take effect although its caller gave up
	// meanwhile. A caller without HTTP between waits the delay out.
	LateEffects bool `json:"late_effects,omitempty"`
	// LoseAnswers is how many of the next writes take effect and lose their
	// answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LosePrefix restricts LoseAnswers to keys with this prefix; writes
	// without a key (leases) count for the empty prefix only.
	LosePrefix string `json:"lose_prefix,omitempty"`
	// LoseSilently keeps the caller waiting for a lost answer until it gives
	// up, in place of an error at once.
	LoseSilently bool `json:"lose_silently,omitempty"`
	// SilentWatches keeps watches, also those that wait already, from ever
	// answering; the connection stays open. Watches made after the switch is
	// off again work.
	SilentWatches bool `json:"silent_watches,omitempty"`
}

// OutageError says that the service was down and the call had no effect.
type OutageError struct{}

func (*OutageError) Error() string { return "service is down" }

// LostAnswerError says that a write took effect and its answer was lost.
type LostAnswerError struct{}

func (*LostAnswerError) Error() string { return "answer lost after the effect" }

// SetFaults replaces all switches. Watches that wait notice it.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for w := range s.watchers {
		w.notify()
	}
}

// Faults returns the switches as they stand.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the counts so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(Calls, len(s.calls))
	for kind, n := range s.calls {
		counts[kind] = n
	}
	return counts
}

// ResetCalls sets all counts and the peak to zero.
func (s *Store) ResetCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = nil
	s.callMeter = callMeter{}
}

// beforeCall counts a call and applies the faults that come before its effect.
func (s *Store) beforeCall(ctx context.Context, kind CallKind) error {
	s.mu.Lock()
	if s.calls == nil {
		s.calls = Calls{}
	}
	s.calls[kind]++
	s.callMeter.count(kind, time.Now())
	f, limit := s.faults, s.readLimiter
	if kind.isWrite() {
		limit = s.writeLimiter
	}
	s.mu.Unlock()
	if f.Outage {
		return &kv.UnavailableError{Err: &OutageError{}}
	}
	if err := s.waitForLimit(ctx, limit); err != nil {
		return err
	}
	if f.DelayMillis > 0 {
		if f.LateEffects {
			ctx = context.WithoutCancel(ctx)
		}
		return s.delay(ctx, time.Duration(f.DelayMillis)*time.Millisecond)
	}
	if err := ctx.Err(); err != nil {
		return &kv.UnavailableError{Err: err}
	}
	return nil
}

// delay waits and then looks again, since an outage may have begun meanwhile.
func (s *Store) delay(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return s.checkOutage()
	case <-ctx.Done():
		return &kv.UnavailableError{Err: ctx.Err()}
	}
}

func (s *Store) checkOutage() error {
	if s.Faults().Outage {
		return &kv.UnavailableError{Err: &OutageError{}}
	}
	return nil
}

// afterWrite loses the answer of a write that took effect, if the switch says so.
func (s *Store) afterWrite(ctx context.Context, key string) error {
	silently, lost := s.takeLostAnswer(key)
	if !lost {
		return nil
	}
	if silently {
		<-ctx.Done()
		return &kv.UnavailableError{Err: ctx.Err()}
	}
	return &kv.UnavailableError{Err: &LostAnswerError{}}
}

func (s *Store) takeLostAnswer(key string) (silently, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers <= 0 || !strings.HasPrefix(key, s.faults.LosePrefix) {
		return false, false
	}
	s.faults.LoseAnswers--
	return s.faults.LoseSilently, true
}

// blockIfSilent blocks a watch until its caller gives up if the switch for silent
// watches is on. It stays silent when the switch goes off: the connection is
// lost track of for good, while new ones work.
func (s *Store) blockIfSilent(ctx context.Context) error {
	if !s.Faults().SilentWatches {
		return nil
	}
	<-ctx.Done()
	return &kv.UnavailableError{Err: ctx.Err()}
}
