package soak_test

import (
	"fmt"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

const (
	// revokeWithin is the bound on the time for which a revoked key still works.
	revokeWithin = 5 * time.Second
	// stableKey is part of every configuration, so requests with it must never be
	// denied.
	stableKey = "stable"
)

// retryUntilAccepted repeats a write until the store accepts it.
func (f *fleet) retryUntilAccepted(write func() error) {
	for write() != nil {
		time.Sleep(20 * time.Millisecond)
	}
}

// configure writes the next configuration version, with the keys that are valid now.
func (f *fleet) configure() {
	f.configureMu.Lock()
	defer f.configureMu.Unlock()
	f.mu.Lock()
	f.version += 3
	version, keys := f.version, append([]string{stableKey}, f.keys...)
	f.mu.Unlock()
	f.retryUntilAccepted(func() error {
		if f.with.surges {
			return f.store.PutConfigOf(version, f.with.routes(), surgeSlots, tenants(keys)...)
		}
		return f.store.PutConfig(version, f.with.routes(), 10_000, keys...)
	})
}

// routes has one route for each kind of request.
var routes = []site.Route{
	{Name: "read", Kind: site.Idempotent, TimeoutMillis: 4000, TargetMillis: 200, Attempts: 2},
	{Name: "pledge", Kind: site.AtMostOnce, TimeoutMillis: 4000, TargetMillis: 200, Attempts: 2},
	{Name: "draft", Kind: site.Stream, TimeoutMillis: 7000, TargetMillis: 200, Attempts: 2, Resumable: true},
	{Name: "match", Kind: site.Stream, TimeoutMillis: 7000, TargetMillis: 200, Attempts: 2},
}

// routes returns the routes of a fleet under the conditions.
func (c conditions) routes() []site.Route {
	all := routes
	if c.surges {
		all = routesWithClasses()
	}
	if c.attempts == 0 {
		return all
	}
	all = slices.Clone(all)
	for i := range all {
		all[i].Attempts = c.attempts
	}
	return all
}

// rotateKey replaces the oldest key by a new one and returns the old key once the store
// has accepted the change.
func (f *fleet) rotateKey() string {
	f.mu.Lock()
	old := f.keys[0]
	f.keysIssued++
	f.keys = append(f.keys[1:], fmt.Sprintf("k%d", f.keysIssued))
	f.mu.Unlock()
	f.configure()
	f.mu.Lock()
	f.revokedAt[old] = time.Now()
	f.mu.Unlock()
	return old
}

// pickKey returns a revoked key for 0 (if there is one), the newest key for other even
// numbers and stableKey for odd ones.
func (f *fleet) pickKey(pick int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if pick == 0 {
		for key := range f.revokedAt {
			return key
		}
	}
	if pick%2 == 0 {
		return f.keys[len(f.keys)-1]
	}
	return stableKey
}
