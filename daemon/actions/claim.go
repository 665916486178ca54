package actions

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const (
	claimPrefix = "claim/"
	// claimLifetime is the minimum time for which a key without a token is
	// remembered.
	claimLifetime = 24 * time.Hour
	// claimRenewal is how long new claims and seals of this daemon are attached to
	// the same lease. After that, a new lease is granted for further ones.
	claimRenewal     = time.Hour
	maxClaimAttempts = 3
)

// claim is the value stored in the key-value service for a key without a token.
// Key is a key with a token, under which the action is processed instead.
type claim struct {
	Key string `json:"key"`
}

// sharedLease is the key-value lease to which this daemon's claims and seals are
// attached, so that they are deleted about a day after they were written.
type sharedLease struct {
	mu      sync.Mutex
	id      kv.LeaseID
	renewAt time.Time
}

func claimName(ws ident.Workspace, key string) string {
	sum := sha256.Sum256([]byte(string(ws) + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// resolveKey returns the key under which the owner records a call. A key with a
// token is returned unchanged; a key without one is claimed.
func (s *Service) resolveKey(ctx context.Context, ws ident.Workspace, key string) (string, *refusal.Refusal) {
	if actionkey.HasToken(key) {
		return key, nil
	}
	if s.cfg.RequireToken {
		return "", refusal.New(refusal.KeyRequired,
			"start the Idempotency-Key with a token from /v1/gateways")
	}
	if len(key) > actionkey.MaxLength {
		return "", refusal.New(refusal.KeyMalformed, "key is over %d bytes", actionkey.MaxLength)
	}
	claimed, err := s.claim(ctx, ws, key)
	if err != nil {
		s.counters.inc(claimsFailed)
		// The refusal must not state that the call didn't run: a copy of the
		// call may have claimed the key at another daemon.
		return "", refusal.New(refusal.ClaimUnavailable,
			"key without a token can't be claimed now; start it with a token from /v1/gateways: %v", err).
			Unknown().After(time.Second)
	}
	return claimed, nil
}

// claim returns the claimed key for a key without a token. If there is no
// claim yet, it creates one with the daemon's current token.
func (s *Service) claim(ctx context.Context, ws ident.Workspace, key string) (string, error) {
	lease, err := s.currentLease(ctx)
	if err != nil {
		return "", err
	}
	name := claimName(ws, key)
	token, _ := s.Token()
	ownKey := token + name
	value, err := json.Marshal(claim{Key: ownKey})
	if err != nil {
		return "", fmt.Errorf("encode claim: %w", err)
	}
	for attempt := 1; ; attempt++ {
		err = s.createClaim(ctx, name, value, lease)
		var conflict *kv.ConflictError
		var expired *kv.LeaseExpiredError
		switch {
		case errors.As(err, &expired):
			s.lease.invalidate(lease)
			return "", fmt.Errorf("create claim: %w", err)
		case err == nil:
			s.counters.inc(claimsCreated)
			return ownKey, nil
		case errors.As(err, &conflict):
			// The existing claim may be from an earlier attempt whose response was
			// lost.
			s.counters.inc(claimsFound)
			return decodeClaim(conflict.Current.Value)
		case attempt == maxClaimAttempts || ctx.Err() != nil:
			return "", fmt.Errorf("create claim: %w", err)
		}
	}
}

func (s *Service) createClaim(ctx context.Context, name string, value []byte, lease kv.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Times.Store)
	defer cancel()
	_, err := s.cfg.Store.CompareAndSwap(ctx, claimPrefix+name, 0, value, lease)
	return err
}

func (s *Service) currentLease(ctx context.Context) (kv.LeaseID, error) {
	if id := s.lease.current(time.Now()); id != 0 {
		return id, nil
	}
	// Concurrent callers share one grant, and no lock is held while they wait.
	granted := s.leaseGroup.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(s.ctx, s.cfg.Times.Store)
		defer cancel()
		id, err := s.cfg.Store.Grant(ctx, claimLifetime+claimRenewal)
		if err == nil {
			s.lease.set(id, time.Now().Add(claimRenewal))
		}
		return id, err
	})
	select {
	case r := <-granted:
		if r.Err != nil {
			return 0, fmt.Errorf("grant lease of a day: %w", r.Err)
		}
		return r.Val.(kv.LeaseID), nil
	case <-ctx.Done():
		return 0, fmt.Errorf("grant lease of a day: %w", ctx.Err())
	}
}

// current returns zero if a new lease must be granted.
func (l *sharedLease) current(now time.Time) kv.LeaseID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.renewAt) {
		return 0
	}
	return l.id
}

func (l *sharedLease) set(id kv.LeaseID, renewAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.renewAt = id, renewAt
}

// invalidate makes the next call of currentLease grant a new lease, unless that
// has already happened.
func (l *sharedLease) invalidate(lease kv.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == lease {
		l.id = 0
	}
}

func decodeClaim(value []byte) (string, error) {
	var c claim
	if err := json.Unmarshal(value, &c); err != nil {
		return "", fmt.Errorf("decode claim: %w", err)
	}
	return c.Key, nil
}

// lookUpKey is like resolveKey, but doesn't create a claim.
func (s *Service) lookUpKey(ctx context.Context, ws ident.Workspace, key string) (string, *refusal.Refusal) {
	if actionkey.HasToken(key) {
		return key, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Times.Store)
	defer cancel()
	entry, err := s.cfg.Store.Get(ctx, claimPrefix+claimName(ws, key))
	if err != nil {
		return "", refusal.New(refusal.ClaimUnavailable, "look up claim: %v", err).Unknown().After(time.Second)
	}
	if entry.Revision == 0 {
		return "", refusal.New(refusal.UnknownRequest, "nothing is known of this key").Unknown()
	}
	claimed, err := decodeClaim(entry.Value)
	if err != nil {
		return "", refusal.From(err)
	}
	return claimed, nil
}
