package kvserver

import (
	"context"
	"sort"
	"time"

	"geraniumstack.org/geraniumstack/transport/kv"
)

// Grant implements kv.Store. Every lease ID is higher than all earlier ones, also after a Restore.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := s.beforeCall(ctx, CallGrant); err != nil {
		return 0, err
	}
	id := s.grant(ttl)
	return id, s.afterWrite(ctx, "")
}

func (s *Store) grant(ttl time.Duration) kv.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.addLease(s.lastLease, s.epoch, ttl)
	return s.lastLease
}

func (s *Store) addLease(id kv.LeaseID, epoch uint64, ttl time.Duration) {
	l := &lease{id: id, epoch: epoch, ttl: ttl, expires: time.Now().Add(ttl), keys: map[string]struct{}{}}
	l.timer = time.AfterFunc(ttl, func() { s.expireIfDue(l) })
	s.leases[id] = l
}

// KeepAlive implements kv.Store.
func (s *Store) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	if err := s.beforeCall(ctx, CallKeepAlive); err != nil {
		return err
	}
	if err := s.renew(id, false); err != nil {
		return err
	}
	return s.afterWrite(ctx, "")
}

// KeepAliveAnyHistory is like KeepAlive, but also renews a lease that was granted in an earlier history.
// The platform's service does, and leaves it to its client to end such leases.
func (s *Store) KeepAliveAnyHistory(ctx context.Context, id kv.LeaseID) error {
	if err := s.beforeCall(ctx, CallKeepAlive); err != nil {
		return err
	}
	if err := s.renew(id, true); err != nil {
		return err
	}
	return s.afterWrite(ctx, "")
}

func (s *Store) renew(id kv.LeaseID, anyHistory bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || l.epoch != s.epoch && !anyHistory {
		return &kv.LeaseExpiredError{Lease: id}
	}
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return nil
}

// Revoke implements kv.Store.
func (s *Store) Revoke(ctx context.Context, id kv.LeaseID) error {
	if err := s.beforeCall(ctx, CallRevoke); err != nil {
		return err
	}
	if !s.Expire(id) {
		return &kv.LeaseExpiredError{Lease: id}
	}
	return s.afterWrite(ctx, "")
}

// Expire ends a lease at once and reports whether the lease existed. Tests
// use it to inject a lease that expires early.
func (s *Store) Expire(id kv.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	s.endLease(l)
	return true
}

// Leases returns the IDs of the leases that have not expired, oldest first.
func (s *Store) Leases() []kv.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]kv.LeaseID, 0, len(s.leases))
	for id := range s.leases {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// expireIfDue runs when a lease's timer fires. It checks the expiry time
// again, because a renewal can acquire the lock between the firing of the
// timer and this call.
func (s *Store) expireIfDue(l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[l.id] != l || time.Now().Before(l.expires) {
		return
	}
	s.endLease(l)
}

func (s *Store) endLease(l *lease) {
	l.timer.Stop()
	delete(s.leases, l.id)
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.remove(s.entries[key])
	}
}

// Close stops the timers of all leases.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}
