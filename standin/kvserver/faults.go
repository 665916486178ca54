package kvserver

import (
	"context"
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/transport/kv"
)

// CallKind is the kind of a call to the service.
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

// Calls counts calls by kind, including calls that failed because of a fault.
type Calls map[CallKind]int

// Writes returns the number of calls that change the store.
func (c Calls) Writes() int {
	writes := 0
	for kind, n := range c {
		if kind.isWrite() {
			writes += n
		}
	}
	return writes
}

// Reads returns the number of calls that do not change the store. A watch
// counts as one call, however long it waits.
func (c Calls) Reads() int {
	all := 0
	for _, n := range c {
		all += n
	}
	return all - c.Writes()
}

// Faults are the injected faults of the service; the zero value injects none.
type Faults struct {
	// Outage makes every call fail at once without effect. Leases continue to
	// expire.
	Outage bool `json:"outage,omitempty"`
	// DelayMillis delays every call before it takes effect.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// LateEffects lets a delayed call take effect even if its caller has
	// given up. A caller that uses the Store without HTTP is blocked for the
	// whole delay.
	LateEffects bool `json:"late_effects,omitempty"`
	// LoseAnswers is how many of the next writes take effect without
	// returning their response.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LosePrefix restricts LoseAnswers to keys with this prefix. Lease calls
	// have no key, so they are affected only if the prefix is empty.
	LosePrefix string `json:"lose_prefix,omitempty"`
	// LoseSilently blocks the caller of a write whose response is lost until
	// it gives up, instead of returning an error at once.
	LoseSilently bool `json:"lose_silently,omitempty"`
	// SilentWatches keeps all watches, including those that are waiting, from
	// ever returning; their connections stay open. Watches that start after
	// the fault is removed work.
	SilentWatches bool `json:"silent_watches,omitempty"`
}

// OutageError reports that the service was down and the call had no effect.
type OutageError struct{}

func (*OutageError) Error() string { return "service is down" }

// LostAnswerError reports that a write took effect but its response was lost.
type LostAnswerError struct{}

func (*LostAnswerError) Error() string { return "response was lost after the call took effect" }

// SetFaults replaces all injected faults. It also applies to watches that are
// waiting.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for w := range s.watchers {
		w.notify()
	}
}

// Faults returns the injected faults. LoseAnswers counts down as responses
// are lost.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the number of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(Calls, len(s.calls))
	for kind, n := range s.calls {
		counts[kind] = n
	}
	return counts
}

// ResetCalls sets all call counts and the peak to zero.
func (s *Store) ResetCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = nil
	s.callMeter = callMeter{}
}

// beforeCall counts a call, waits for the rate limit and applies the faults
// that occur before the call's effect.
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

// delay waits and then checks for an outage, which may have begun during the
// wait.
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

// afterWrite is called after a write took effect. It returns an error if
// LoseAnswers applies to the write.
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

// blockIfSilent blocks a watch until its caller gives up if SilentWatches is
// set. The watch stays blocked when the fault is removed: it simulates a
// connection whose state was lost in the network, while new connections work.
func (s *Store) blockIfSilent(ctx context.Context) error {
	if !s.Faults().SilentWatches {
		return nil
	}
	<-ctx.Done()
	return &kv.UnavailableError{Err: ctx.Err()}
}
