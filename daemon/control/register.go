package control

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/coordination/membership"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const (
	// minKeepAliveInterval and keepAliveIntervalPerMember determine the
	// interval between keep-alives, so that all daemons together write at most
	// ten times a second.
	minKeepAliveInterval       = 10 * time.Second
	keepAliveIntervalPerMember = 100 * time.Millisecond
	// leaseIntervals is the duration of the lease in keep-alive intervals. It
	// may be long, because a registration only makes a daemon known and does
	// not indicate that it is alive.
	leaseIntervals = 3
	// minReadInterval and readIntervalPerMember determine the interval between
	// two reads of all registrations on the designated daemons.
	minReadInterval       = 30 * time.Second
	readIntervalPerMember = 330 * time.Millisecond
	readPageSize          = 500
)

// registration is the JSON form of a daemon's registration in the key-value
// service.
type registration struct {
	ID            ident.DaemonID      `json:"id"`
	Incarnation   ident.Incarnation   `json:"incarnation"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	CallerAddress string              `json:"caller_address"`
	PeerAddress   string              `json:"peer_address"`
	VM            string              `json:"vm,omitempty"`
	Version       uint64              `json:"version"`
}

func (r registration) member() membership.Member {
	return membership.Member{
		Daemon: view.Daemon{
			ID: r.ID, Incarnation: r.Incarnation, FailureDomain: r.FailureDomain,
			CallerAddress: r.CallerAddress, PeerAddress: r.PeerAddress,
		},
		VM: r.VM, Version: r.Version,
	}
}

func (c *Control) registration() registration {
	c.mu.Lock()
	defer c.mu.Unlock()
	self := c.table.Self()
	return registration{
		ID: self.ID, Incarnation: self.Incarnation, FailureDomain: self.FailureDomain,
		CallerAddress: self.CallerAddress, PeerAddress: self.PeerAddress,
		VM: self.VM, Version: self.Version,
	}
}

// registerLoop keeps the daemon registered while it is live, and revokes the
// registration when it is leaving or Run ends.
func (c *Control) registerLoop(ctx context.Context) {
	var lease kv.LeaseID
	for ctx.Err() == nil && c.Self().State == view.Live {
		interval := scaledInterval(minKeepAliveInterval, keepAliveIntervalPerMember, c.Members())
		granted, err := c.keepRegistered(ctx, lease, interval*leaseIntervals)
		lease = granted
		if err != nil {
			klog.V(1).InfoS("Registration failed", "err", err)
			interval = storeRetryDelay
		}
		c.sleepUntilLeaving(ctx, c.jittered(interval))
	}
	c.revoke(lease)
}

// sleepUntilLeaving sleeps for d, or less if this daemon starts to leave or ctx
// ends.
func (c *Control) sleepUntilLeaving(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for ctx.Err() == nil && c.Self().State == view.Live {
		select {
		case <-ctx.Done():
		case <-timer.C:
			return
		case <-c.Changed():
		}
	}
}

// keepRegistered renews the lease. If there is none or it has expired,
// keepRegistered obtains a new lease and writes the registration with it.
func (c *Control) keepRegistered(ctx context.Context, lease kv.LeaseID, ttl time.Duration) (kv.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if lease != 0 {
		err := c.write(func() error { return c.cfg.Store.KeepAlive(ctx, lease) })
		var expired *kv.LeaseExpiredError
		if !errors.As(err, &expired) {
			return lease, err
		}
	}
	err := c.write(func() (err error) {
		lease, err = c.cfg.Store.Grant(ctx, ttl)
		return err
	})
	if err != nil {
		return 0, err
	}
	if err := c.register(ctx, lease); err != nil {
		return 0, err
	}
	return lease, nil
}

func (c *Control) register(ctx context.Context, lease kv.LeaseID) error {
	value, err := json.Marshal(c.registration())
	if err != nil {
		return err
	}
	key := registrationKey(c.cfg.Self.ID)
	c.counters.storeReads.Inc(1)
	entry, err := c.cfg.Store.Get(ctx, key)
	c.recordStoreResult(err)
	if err != nil {
		return err
	}
	return c.write(func() error {
		_, err := c.cfg.Store.CompareAndSwap(ctx, key, entry.Revision, value, lease)
		return err
	})
}

func (c *Control) write(call func() error) error {
	c.counters.storeWrites.Inc(1)
	err := call()
	c.recordStoreResult(err)
	return err
}

func (c *Control) revoke(lease kv.LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := c.write(func() error { return c.cfg.Store.Revoke(ctx, lease) }); err != nil {
		klog.V(1).InfoS("Revoking the registration failed; it remains until its lease expires", "err", err)
	}
}

// readRegistrationsLoop reads all registrations: at start, often while no peer
// is known, and periodically on the designated daemons, so that separated
// groups of daemons find each other again.
func (c *Control) readRegistrationsLoop(ctx context.Context) {
	for {
		members, err := c.readRegistrations(ctx)
		if err == nil {
			c.mu.Lock()
			c.table.MergeRegistrations(time.Now(), members)
			c.publishChangesLocked()
			c.mu.Unlock()
		}
		if !c.sleepBeforeReading(ctx, err) {
			return
		}
	}
}

func (c *Control) sleepBeforeReading(ctx context.Context, readErr error) bool {
	interval := scaledInterval(minReadInterval, readIntervalPerMember, c.Members())
	if readErr != nil || len(c.Members()) < 2 {
		return pause.For(ctx, c.jittered(storeRetryDelay))
	}
	if !pause.For(ctx, c.jittered(interval)) {
		return false
	}
	for !c.isDesignated(fixedSlot) && len(c.Members()) > 1 {
		if !pause.For(ctx, designationRecheck) {
			return false
		}
	}
	return true
}

func (c *Control) readRegistrations(ctx context.Context) ([]membership.Member, error) {
	var members []membership.Member
	after := ""
	for {
		page, err := c.listPage(ctx, registrationPrefix, after, readPageSize)
		if err != nil {
			return nil, err
		}
		for _, entry := range page {
			after = entry.Key
			var r registration
			if err := json.Unmarshal(entry.Value, &r); err != nil {
				klog.ErrorS(err, "Registration can't be decoded", "key", entry.Key)
				continue
			}
			members = append(members, r.member())
		}
		if len(page) < readPageSize {
			return members, nil
		}
	}
}

func (c *Control) listPage(ctx context.Context, prefix, after string, limit int) ([]kv.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.counters.storeReads.Inc(1)
	page, err := c.cfg.Store.List(ctx, prefix, after, limit)
	c.recordStoreResult(err)
	return page, err
}
