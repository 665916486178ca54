package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const (
	// registrationTTL is the life of a daemon's entry, which serves daemons that can't reach any
	// seed. It is long enough that single failed calls don't remove the entry.
	registrationTTL = 30 * time.Second
	// registerInterval renews the entry several times during its life.
	registerInterval = 10 * time.Second
	// earlyRegisterInterval is the same until registerInterval after the start, while this daemon
	// learns how large the fleet is.
	earlyRegisterInterval = 2500 * time.Millisecond
	// registerCheckInterval is the time between two checks whether this daemon is a relay.
	registerCheckInterval = time.Second
)

// keepRegistered keeps an entry with this daemon's address in the key-value service while it is a
// relay. The entries of a large fleet's relays suffice for a daemon that starts.
func (e *Edge) keepRegistered(ctx context.Context) {
	select {
	case <-e.fleetFound:
	case <-ctx.Done():
		return
	}
	var own ownRegistration
	var served servedRecord
	for {
		interval := registerCheckInterval
		if e.shouldRegister() {
			callCtx, cancel := context.WithTimeout(ctx, kv.DefaultCallTimeout)
			if err := e.register(callCtx, &own); err != nil && ctx.Err() == nil {
				e.log.Note("registration_failed", decisions.F("error", err.Error()))
			}
			served.write(callCtx, e)
			cancel()
			interval = registerInterval
			if e.deps.Steady()-e.startedAt < registerInterval {
				interval = earlyRegisterInterval
			}
		}
		if !e.pauseWhileRegistered(ctx, interval, own.revision) {
			return
		}
	}
}

// pauseWhileRegistered waits for an interval, at most until the key-value service has a later history than
// that of the entry's revision: it may have lost the entry. It returns false if the context has ended.
func (e *Edge) pauseWhileRegistered(ctx context.Context, interval time.Duration, revision kv.Revision) bool {
	for waited := time.Duration(0); waited < interval; waited += registerCheckInterval {
		if !pause.For(ctx, min(registerCheckInterval, interval-waited)) {
			return false
		}
		if revision != 0 && kv.Revision(e.dir.revisionReached()).History() > revision.History() {
			return true
		}
	}
	return ctx.Err() == nil
}

// ownRegistration is what this daemon knows of its entry: the lease that it depends on, its
// revision, zero if there is none, and the size of the fleet that it states.
type ownRegistration struct {
	lease    kv.LeaseID
	revision kv.Revision
	fleet    int
}

// shouldRegister reports whether this daemon is a relay, and not just one by mistake.
func (e *Edge) shouldRegister() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.relayPlan.Relay && (e.relayPlan.Direct || !e.mayBeMistaken(e.deps.Steady()))
}

// register creates or renews the entry of this daemon. In a fleet with relays it writes the entry
// anew if the size of the fleet has changed by half.
func (e *Edge) register(ctx context.Context, own *ownRegistration) error {
	e.mu.Lock()
	self, fleet, direct := e.peers.Self(), e.peers.KnownCount(), e.relayPlan.Direct
	e.mu.Unlock()
	if own.lease != 0 {
		err := e.deps.Store.KeepAlive(ctx, own.lease)
		var expired *kv.LeaseExpiredError
		if !errors.As(err, &expired) && (err != nil || direct || !sizeChanged(own.fleet, fleet)) {
			return err
		}
		if err != nil {
			*own = ownRegistration{}
		}
	}
	if own.lease == 0 {
		granted, err := e.deps.Store.Grant(ctx, registrationTTL)
		if err != nil {
			return err
		}
		own.lease = granted
	}
	value, err := json.Marshal(registration{self.ID, self.Incarnation, self.FailureDomain, self.CallerAddress, self.PeerAddress, self.Started, fleet})
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	key := daemonPrefix + string(e.self)
	revision, err := e.deps.Store.CompareAndSwap(ctx, key, own.revision, value, own.lease)
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		// Only this daemon writes the key: the entry is an earlier one of its own.
		revision, err = e.deps.Store.CompareAndSwap(ctx, key, conflict.Current.Revision, value, own.lease)
	}
	if err != nil {
		*own = ownRegistration{}
		return err
	}
	own.revision, own.fleet = revision, fleet
	return nil
}

// sizeChanged reports whether a fleet is larger or smaller by half than stated.
func sizeChanged(stated, fleet int) bool { return 2*fleet > 3*stated || 3*fleet < 2*stated }

// registration is the stored entry of a daemon.
type registration struct {
	ID            ident.DaemonID      `json:"id"`
	Incarnation   ident.Incarnation   `json:"incarnation"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	CallerAddress string              `json:"caller_address"`
	PeerAddress   string              `json:"peer_address"`
	StartedMillis int64               `json:"started_unix_ms"`
	// Fleet is the number of daemons that this one knew when it registered.
	Fleet int `json:"fleet,omitempty"`
}

// handleRegistration adds a daemon to the peer table by its entry. The entry may outlive the
// daemon.
func (e *Edge) handleRegistration(key string, value []byte) {
	var r registration
	if err := json.Unmarshal(value, &r); err != nil {
		e.log.Note("registration_ignored", decisions.F("key", key), decisions.F("reason", err.Error()))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers.LearnFleetSize(e.deps.Steady(), r.Fleet)
	e.peers.Introduce(e.deps.Steady(), peers.Row{Member: peers.Member{
		ID: r.ID, Incarnation: r.Incarnation, FailureDomain: r.FailureDomain,
		CallerAddress: r.CallerAddress, PeerAddress: r.PeerAddress, Phase: peers.Starting, Started: r.StartedMillis,
	}})
}
