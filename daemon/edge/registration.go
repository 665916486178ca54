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
	// registrationTTL is the life of a daemon's entry, which only serves daemons that can't
	// reach any seed. It is long enough that single failed calls don't remove the entry.
	registrationTTL = 30 * time.Second
	// registerInterval renews the entry several times during its life.
	registerInterval = 10 * time.Second
)

// keepRegistered keeps an entry with this daemon's address in the key-value service.
func (e *Edge) keepRegistered(ctx context.Context) {
	var lease kv.LeaseID
	for {
		callCtx, cancel := context.WithTimeout(ctx, kv.DefaultCallTimeout)
		var err error
		if lease, err = e.register(callCtx, lease); err != nil && ctx.Err() == nil {
			e.log.Note("registration_failed", decisions.F("error", err.Error()))
		}
		cancel()
		if !pause.For(ctx, registerInterval) {
			return
		}
	}
}

// register creates or renews the entry of this daemon. It returns the lease that the entry
// depends on.
func (e *Edge) register(ctx context.Context, lease kv.LeaseID) (kv.LeaseID, error) {
	if lease != 0 {
		err := e.deps.Store.KeepAlive(ctx, lease)
		var expired *kv.LeaseExpiredError
		if !errors.As(err, &expired) {
			return lease, err
		}
	}
	granted, err := e.deps.Store.Grant(ctx, registrationTTL)
	if err != nil {
		return 0, err
	}
	e.mu.Lock()
	self := e.peers.Self()
	e.mu.Unlock()
	value, err := json.Marshal(registration{self.ID, self.Incarnation, self.FailureDomain, self.CallerAddress, self.PeerAddress, self.Started})
	if err != nil {
		return 0, fmt.Errorf("encode registration: %w", err)
	}
	if _, err := e.deps.Store.CompareAndSwap(ctx, daemonPrefix+string(e.self), 0, value, granted); err != nil {
		return 0, err
	}
	return granted, nil
}

// registration is the stored entry of a daemon.
type registration struct {
	ID            ident.DaemonID      `json:"id"`
	Incarnation   ident.Incarnation   `json:"incarnation"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	CallerAddress string              `json:"caller_address"`
	PeerAddress   string              `json:"peer_address"`
	StartedMillis int64               `json:"started_unix_ms"`
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
	e.peers.Introduce(e.deps.Steady(), peers.Row{Member: peers.Member{
		ID: r.ID, Incarnation: r.Incarnation, FailureDomain: r.FailureDomain,
		CallerAddress: r.CallerAddress, PeerAddress: r.PeerAddress, Phase: peers.Starting, Started: r.StartedMillis,
	}})
}
