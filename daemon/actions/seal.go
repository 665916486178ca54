package actions

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/coordination/journal"
	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const (
	listLimit       = 64
	maxSealAttempts = 8
	maxCachedLogs   = 8
	// sealsPerSecond and sealBurst bound the logs that this daemon reads and
	// seals: a caller can make up any number of owners.
	sealsPerSecond = 5
	sealBurst      = 20
	// expiredWithoutLogAfter is how long after its end a key is over without any look at a
	// log, which may have been collected; clocks differ by less.
	expiredWithoutLogAfter = sealLifetime / 2
)

// daemonIncarnation strips the number of a daemon's later owners.
func daemonIncarnation(owner ident.Incarnation) ident.Incarnation {
	name, _, _ := strings.Cut(string(owner), epochSeparator)
	return ident.Incarnation(name)
}

// resolveEndedOwner answers for an owner that has ended: from its table if this daemon
// or its successor has it, else from its log, which it seals first.
func (s *Service) resolveEndedOwner(ctx context.Context, owner ident.Incarnation, id actionkey.ID, hash string) action.Result {
	if r, _, ok := s.lookUpLocal(owner, id, hash); ok {
		return r
	}
	if key, err := actionkey.Parse(id.Key); err != nil || s.now().Sub(key.Expires()) > expiredWithoutLogAfter {
		return refused(refusal.New(refusal.KeyExpired, "key was over long ago").Unknown())
	}
	log, err := s.readSealedLog(ctx, owner, "")
	if err != nil {
		return refused(refusal.New(refusal.JournalUnavailable, "owner has ended; its journal: %v", err).
			Unknown().After(time.Second))
	}
	if r, ok := s.querySuccessor(ctx, log, owner, id, hash); ok {
		return r
	}
	return action.ResultFromVerdict(log.Verdict(s.now(), id, hash))
}

// querySuccessor asks the one daemon that the seal names, while it lives.
func (s *Service) querySuccessor(ctx context.Context, log *journal.Log, owner ident.Incarnation, id actionkey.ID,
	hash string) (action.Result, bool) {
	successor := log.Seal().Successor
	if successor == "" || successor == s.cfg.Self {
		return action.Result{}, false
	}
	for _, d := range s.cfg.Directory.Daemons() {
		if d.Incarnation != successor {
			continue
		}
		resp, err := s.queryPeer(ctx, d, owner, id, hash)
		if err != nil || resp.GetOutcome().GetNotOwner() {
			return action.Result{}, false
		}
		return decodeResult(resp.GetOutcome()), true
	}
	return action.Result{}, false
}

// SealFailedError says that a log could not be sealed for now.
type SealFailedError struct {
	Owner ident.Incarnation
	Err   error
}

func (e *SealFailedError) Error() string { return fmt.Sprintf("seal log of %q: %v", e.Owner, e.Err) }

// Unwrap returns the cause.
func (e *SealFailedError) Unwrap() error { return e.Err }

// SealContendedError says that entries kept coming while the log was sealed.
type SealContendedError struct{ Attempts int }

func (e *SealContendedError) Error() string {
	return fmt.Sprintf("lost %d entries in a row", e.Attempts)
}

// SealRateError says that too many logs were asked for at once.
type SealRateError struct{}

func (e *SealRateError) Error() string { return "too many ended owners at once" }

// readSealedLog reads an ended owner's log to its seal, and seals it if nobody has.
func (s *Service) readSealedLog(ctx context.Context, owner, successor ident.Incarnation) (*journal.Log, error) {
	if log := s.logs.get(owner, s.now()); log != nil {
		return log, nil
	}
	if !s.sealLimiter.Allow() {
		return nil, &SealFailedError{Owner: owner, Err: &SealRateError{}}
	}
	result := s.sealGroup.DoChan(string(owner), func() (any, error) {
		// Not the caller's context: others wait for the same log.
		ctx, cancel := context.WithTimeout(s.ctx, s.cfg.Times.Call)
		defer cancel()
		return s.sealLog(ctx, owner, successor)
	})
	select {
	case r := <-result:
		if r.Err != nil {
			s.counters.inc(sealsFailed)
			return nil, &SealFailedError{Owner: owner, Err: r.Err}
		}
		log := r.Val.(*journal.Log)
		s.logs.put(owner, log, s.now())
		return log, nil
	case <-ctx.Done():
		return nil, &SealFailedError{Owner: owner, Err: ctx.Err()}
	}
}

func (s *Service) sealLog(ctx context.Context, owner, successor ident.Incarnation) (*journal.Log, error) {
	log := journal.NewLog(owner)
	if err := s.readLog(ctx, log, owner, ""); err != nil {
		return nil, err
	}
	for range maxSealAttempts {
		if log.Seal() != nil {
			return log, nil
		}
		if err := s.trySeal(ctx, log, owner, successor); err != nil {
			return nil, err
		}
		// The read shows whether the seal is the last entry: a reader that was
		// paused can win an index that the owner has collected.
		if err := s.readLog(ctx, log, owner, lastEntryKey(log, owner)); err != nil {
			return nil, err
		}
	}
	return nil, &SealContendedError{Attempts: maxSealAttempts}
}

// lastEntryKey is the key of the last entry that was read.
func lastEntryKey(log *journal.Log, owner ident.Incarnation) string {
	if log.Next() == 0 {
		return ""
	}
	return journal.EntryKey(owner, log.Next()-1)
}

// trySeal creates the seal as the next entry. Whatever comes of it shows in
// the log; only a call without an answer is an error.
func (s *Service) trySeal(ctx context.Context, log *journal.Log, owner, successor ident.Incarnation) error {
	s.counters.inc(sealsAttempted)
	value, err := journal.Encode(journal.Entry{
		Nonce: "seal/" + string(s.cfg.Self),
		Seal:  &journal.Seal{By: s.cfg.Self, Successor: successor},
	})
	if err != nil {
		return err
	}
	// The seal may vanish with its lease: by then the owner refuses the keys
	// of which it has spoken as expired.
	lease, err := s.currentLease(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Times.Store)
	defer cancel()
	_, err = s.cfg.Store.CompareAndSwap(ctx, journal.EntryKey(owner, log.Next()), 0, value, lease)
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	var expired *kv.LeaseExpiredError
	if errors.As(err, &expired) {
		s.lease.invalidate(lease)
	}
	if err == nil {
		s.counters.inc(sealsCreated)
	}
	return err
}

// readLog takes in the entries after the given key.
func (s *Service) readLog(ctx context.Context, log *journal.Log, owner ident.Incarnation, after string) error {
	for {
		page, err := s.readPage(ctx, owner, after)
		if err != nil {
			return err
		}
		for _, e := range page {
			index, err := journal.Index(owner, e.Key)
			if err != nil {
				return err
			}
			entry, err := journal.Decode(e.Key, e.Value)
			if err != nil {
				return err
			}
			log.Add(index, entry)
			after = e.Key
		}
		if len(page) < listLimit {
			return nil
		}
	}
}

func (s *Service) readPage(ctx context.Context, owner ident.Incarnation, after string) ([]kv.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Times.Store)
	defer cancel()
	return s.cfg.Store.List(ctx, journal.Prefix(owner), after, listLimit)
}

// logCache keeps a few sealed logs; sealed ones never change.
type logCache struct {
	mu   sync.Mutex
	logs map[ident.Incarnation]cachedLog
}

type cachedLog struct {
	log      *journal.Log
	lastUsed time.Time
}

func (c *logCache) get(owner ident.Incarnation, now time.Time) *journal.Log {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.logs[owner]
	if !ok {
		return nil
	}
	c.logs[owner] = cachedLog{log: entry.log, lastUsed: now}
	return entry.log
}

func (c *logCache) put(owner ident.Incarnation, log *journal.Log, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.logs == nil {
		c.logs = map[ident.Incarnation]cachedLog{}
	}
	c.logs[owner] = cachedLog{log: log, lastUsed: now}
	for len(c.logs) > maxCachedLogs {
		delete(c.logs, c.leastRecentlyUsed())
	}
}

func (c *logCache) drop(owner ident.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.logs, owner)
}

func (c *logCache) leastRecentlyUsed() ident.Incarnation {
	var name ident.Incarnation
	var used time.Time
	for owner, entry := range c.logs {
		if name == "" || entry.lastUsed.Before(used) {
			name, used = owner, entry.lastUsed
		}
	}
	return name
}
