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
	// sealsPerSecond and sealBurst limit the rate at which this daemon reads
	// and seals logs: callers can send keys with any number of invented owners.
	sealsPerSecond = 5
	sealBurst      = 20
	// skipLogAfterExpiry is the time since its expiry after which a key is
	// refused as expired without reading the log, which may have been deleted.
	// It exceeds the largest difference between the clocks of daemons.
	skipLogAfterExpiry = sealLifetime / 2
)

// daemonIncarnation returns the incarnation of the daemon that runs an owner. The
// names of its second and later owners have a number appended.
func daemonIncarnation(owner ident.Incarnation) ident.Incarnation {
	name, _, _ := strings.Cut(string(owner), epochSeparator)
	return ident.Incarnation(name)
}

// resolveEndedOwner answers a query for an owner that has ended. It uses the
// owner's table if this daemon or the successor has it, and otherwise the owner's
// log, which it seals first.
func (s *Service) resolveEndedOwner(ctx context.Context, owner ident.Incarnation, id actionkey.ID, hash string) action.Result {
	if r, _, ok := s.lookUpLocal(owner, id, hash); ok {
		return r
	}
	if key, err := actionkey.Parse(id.Key); err != nil || s.now().Sub(key.Expires()) > skipLogAfterExpiry {
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

// querySuccessor queries the successor that the seal names, if it is in the
// directory.
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

// SealFailedError means that a log couldn't be read or sealed. A later attempt
// may succeed.
type SealFailedError struct {
	Owner ident.Incarnation
	Err   error
}

func (e *SealFailedError) Error() string { return fmt.Sprintf("seal log of %q: %v", e.Owner, e.Err) }

// Unwrap returns the cause.
func (e *SealFailedError) Unwrap() error { return e.Err }

// SealContendedError means that other writers created the log's next entry before
// the seal in every attempt.
type SealContendedError struct{ Attempts int }

func (e *SealContendedError) Error() string {
	return fmt.Sprintf("lost %d entries in a row", e.Attempts)
}

// SealRateError means that the rate limit for sealing logs was exceeded.
type SealRateError struct{}

func (e *SealRateError) Error() string { return "too many ended owners at once" }

// readSealedLog returns the log of an ended owner. It seals the log if that has
// not happened yet.
func (s *Service) readSealedLog(ctx context.Context, owner, successor ident.Incarnation) (*journal.Log, error) {
	if log := s.logs.get(owner, s.now()); log != nil {
		return log, nil
	}
	if !s.sealLimiter.Allow() {
		return nil, &SealFailedError{Owner: owner, Err: &SealRateError{}}
	}
	result := s.sealGroup.DoChan(string(owner), func() (any, error) {
		// This doesn't use the caller's context, because other callers wait for
		// the same log.
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
		// The log is read again to check that the seal is its last entry. If this
		// daemon was paused, the seal may have been created at an index whose
		// entry the owner had already deleted.
		if err := s.readLog(ctx, log, owner, lastEntryKey(log, owner)); err != nil {
			return nil, err
		}
	}
	return nil, &SealContendedError{Attempts: maxSealAttempts}
}

// lastEntryKey returns the key of the last entry that was read, or "" if there is
// none.
func lastEntryKey(log *journal.Log, owner ident.Incarnation) string {
	if log.Next() == 0 {
		return ""
	}
	return journal.EntryKey(owner, log.Next()-1)
}

// trySeal tries to create a seal as the log's next entry. A conflict with another
// writer is no error; the caller reads the log to find out what was written.
func (s *Service) trySeal(ctx context.Context, log *journal.Log, owner, successor ident.Incarnation) error {
	s.counters.inc(sealsAttempted)
	value, err := journal.Encode(journal.Entry{
		Nonce: "seal/" + string(s.cfg.Self),
		Seal:  &journal.Seal{By: s.cfg.Self, Successor: successor},
	})
	if err != nil {
		return err
	}
	// The seal may be deleted when its lease expires. A paused owner that
	// resumes later could then append to the log, but refuses as expired
	// all keys about which answers were given from the sealed log.
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

// readLog adds the entries after the given key to log.
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

// logCache keeps the sealed logs that were used most recently, at most
// maxCachedLogs. Sealed logs don't change until they are deleted.
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
	var lastUsed time.Time
	for owner, entry := range c.logs {
		if name == "" || entry.lastUsed.Before(lastUsed) {
			name, lastUsed = owner, entry.lastUsed
		}
	}
	return name
}
