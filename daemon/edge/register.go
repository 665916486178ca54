package edge

import (
	"context"
	"errors"
	"time"

	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const (
	// registrationTTL outlives the replacement of any single call; the entry
	// only helps daemons that can't reach any seed.
	registrationTTL = 30 * time.Second
	// registerEvery renews the registration several times in its life.
	registerEvery = 10 * time.Second
)

// keepRegistered keeps this daemon's address in the key-value service.
func (e *Edge) keepRegistered(ctx context.Context) {
	var lease kv.LeaseID
	for {
		callCtx, cancel := context.WithTimeout(ctx, kv.DefaultCallTimeout)
		var err error
		if lease, err = e.register(callCtx, lease); err != nil && ctx.Err() == nil {
			e.log.Note("registration_failed", decisions.F("error", err.Error()))
		}
		cancel()
		if !pause.For(ctx, registerEvery) {
			return
		}
	}
}

// register tells the address of this daemon to those that can't reach a seed.
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
	key := daemonPrefix + string(e.self)
	if _, err := e.deps.Store.CompareAndSwap(ctx, key, 0, []byte(e.set.PeerAddress), granted); err != nil {
		return 0, err
	}
	return granted, nil
}
