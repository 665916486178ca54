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
	listLimit  = 64
	sealTries  = 8
	cachedLogs = 8
	// sealsPerSecond and sealBurst bound the logs that this daemon reads and
	// seals: a caller can make up any number of owners.
	sealsPerSecond = 5
	sealBurst      = 20
	// ancient is how long after its end a key is over without any look at a
	// log, which may have been collected; clocks differ by less.
	ancient = sealLifetime / 2
)

// daemonIncarnation strips the number of a daemon's later owners.
func daemonIncarnation(owner ident.Incarnation) ident.Incarnation {
	name, _, _ := strings.Cut(string(owner), epochSeparator)
	return ident.Incarnation(name)
}

// speakFor answers for an owner that has ended: from its table if this daemon
// or its successor has it, else from its log, which it seals first.
func (s *Service) speakFor(ctx context.Context, owner ident.Incarnation, id actionkey.ID, hash string) action.Result {
	if r, _, ok := s.ask(owner, id, hash); ok {
		return r
	}
	if key, err := actionkey.Parse(id.Key); err != nil || s.now().Sub(key.Expires()) > ancient {
		return refused(refusal.New(refusal.KeyExpired, "key was over long ago").Unknown())
	}
	log, err := s.sealedLog(ctx, owner, "")
	if err != nil {
		return refused(refusal.New(refusal.JournalUnavailable, "owner has ended; its journal: %v", err).
			Unknown().After(time.Second))
	}
	if r, ok := s.askSuccessor(ctx, log, owner, id, hash); ok {
		return r
	}
	return action.ResultFromVerdict(log.Verdict(s.now(), id, hash))
}

// askSuccessor asks the one daemon that the seal names, while it lives.
func (s *Service) askSuccessor(ctx context.Context, log *journal.Log, owner ident.Incarnation, id actionkey.ID,
	hash string) (action.Result, bool) {
	successor := log.Seal().Successor
	if successor == "" || successor == s.cfg.Self {
		return action.Result{}, false
	}
	for _, d := range s.cfg.Directory.Daemons() {
		if d.Incarnation != successor {
			continue
		}
		resp, err := s.askPeer(ctx, d, owner, id, hash)
		if err != nil || resp.GetOutcome().GetNotOwner() {
			return action.Result{}, false
		}
		return resultOf(resp.GetOutcome()), true
	}
	return action.Result{}, false
}

// UnsettledSealError says that a log could not be sealed for now.
type UnsettledSealError struct {
	Owner ident.Incarnation
	Err   error
}

func (e *UnsettledSealError) Error() string { return fmt.Sprintf("seal log of %q: %v", e.Owner, e.Err) }

// Unwrap returns the cause.
func (e *UnsettledSealError) Unwrap() error { return e.Err }

// ContendedError says that entries kept coming while the log was sealed.
type ContendedError struct{ Tries int }

func (e *ContendedError) Error() string { return fmt.Sprintf("lost %d entries in a row", e.Tries) }

// SealRateError says that too many logs were asked for at once.
type SealRateError struct{}

func (e *SealRateError) Error() string { return "too many ended owners at once" }

// sealedLog reads an ended owner's log to its seal, and seals it if nobody has.
func (s *Service) sealedLog(ctx context.Context, owner, successor ident.Incarnation) (*journal.Log, error) {
	if log := s.logs.get(owner, s.now()); log != nil {
		return log, nil
	}
	if !s.seals.Allow() {
		return nil, &UnsettledSealError{Owner: owner, Err: &SealRateError{}}
	}
	result := s.sealing.DoChan(string(owner), func() (any, error) {
		// Not the caller's context: others wait for the same log.
		ctx, cancel := context.WithTimeout(s.ctx, s.cfg.Times.Call)
		defer cancel()
		return s.sealLog(ctx, owner, successor)
	})
	select {
	case r := <-result:
		if r.Err != nil {
			s.counters.inc(sealsFailed)
			return nil, &UnsettledSealError{Owner: owner, Err: r.Err}
		}
		log := r.Val.(*journal.Log)
		s.logs.put(owner, log, s.now())
		return log, nil
	case <-ctx.Done():
		return nil, &UnsettledSealError{Owner: owner, Err: ctx.Err()}
	}
}

func (s *Service) sealLog(ctx context.Context, owner, successor ident.Incarnation) (*journal.Log, error) {
	log := journal.NewLog(owner)
	if err := s.readLog(ctx, log, owner, ""); err != nil {
		return nil, err
	}
	for range sealTries {
		if log.Seal() != nil {
			return log, nil
		}
		if err := s.trySeal(ctx, log, owner, successor); err != nil {
			return nil, err
		}
		// The read shows whether the seal is the last entry: a reader that was
		// paused can win an index that the owner has collected.
		if err := s.readLog(ctx, log, owner, lastKey(log, owner)); err != nil {
			return nil, err
		}
	}
	return nil, &ContendedError{Tries: sealTries}
}

// lastKey is the key of the last entry that was read.
func lastKey(log *journal.Log, owner ident.Incarnation) string {
	if log.Next() == 0 {
		return ""
	}
	return journal.EntryKey(owner, log.Next()-1)
}

// trySeal creates the seal as the next entry. Whatever comes of it shows in
// the log; only a call without an answer is an error.
func (s *Service) trySeal(ctx context.Context, log *journal.Log, owner, successor ident.Incarnation) error {
	s.counters.inc(sealsTried)
	value, err := journal.Encode(journal.Entry{
		Nonce: "seal/" + string(s.cfg.Self),
		Seal:  &journal.Seal{By: s.cfg.Self, Successor: successor},
	})
	if err != nil {
		return err
	}
	// The seal may vanish with its lease: by then the owner refuses the keys
	// of which it has spoken as expired.
	lease, err := s.dayLease(ctx)
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
		s.lease.forget(lease)
	}
	if err == nil {
		s.counters.inc(sealsWon)
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
	log  *journal.Log
	used time.Time
}

func (c *logCache) get(owner ident.Incarnation, now time.Time) *journal.Log {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.logs[owner]
	if !ok {
		return nil
	}
	c.logs[owner] = cachedLog{log: entry.log, used: now}
	return entry.log
}

func (c *logCache) put(owner ident.Incarnation, log *journal.Log, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.logs == nil {
		c.logs = map[ident.Incarnation]cachedLog{}
	}
	c.logs[owner] = cachedLog{log: log, used: now}
	for len(c.logs) > cachedLogs {
		delete(c.logs, c.oldest())
	}
}

func (c *logCache) drop(owner ident.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.logs, owner)
}

func (c *logCache) oldest() ident.Incarnation {
	var name ident.Incarnation
	var used time.Time
	for owner, entry := range c.logs {
		if name == "" || entry.used.Before(used) {
			name, used = owner, entry.used
		}
	}
	return name
}
