package control

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/coordination/config"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const (
	// watchWait is how long one watch waits in the service.
	watchWait = 20 * time.Second
	// watchTimeoutMargin is how much later than watchWait an answer may come before the
	// watch counts as silent.
	watchTimeoutMargin = 3 * time.Second
	// storeTimeout bounds every other call to the service.
	storeTimeout = 2 * time.Second
	// storeRetryDelay is the pause after a failed call, up to twice that.
	storeRetryDelay = time.Second
	// storeUpWindow is how long one answer counts as a sign of life; every daemon
	// reads the head at least that often.
	storeUpWindow = longRereadInterval + shortRereadInterval
	// shortRereadInterval is the time between two reads of the head on a watching
	// daemon, or on one that has no configuration yet or no peer.
	shortRereadInterval = 10 * time.Second
	// longRereadInterval is the same on the others, which learn from their peers.
	longRereadInterval = 5 * time.Minute
	// designationRecheck is how often a daemon without a duty looks whether it has one.
	designationRecheck = 5 * time.Second
	fetchTimeout       = 2 * time.Second
)

// executeEffectsLocked starts the follower's effects.
func (c *Control) executeEffectsLocked(effects []config.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case *config.Fetch:
			c.spawnLocked(func(ctx context.Context) { c.fetch(ctx, e) })
		case *config.Activate:
			c.activateLocked(e)
		case *config.Reject:
			c.counters.rejected.Inc(1)
			klog.ErrorS(e.Err, "Accepted configuration can't be read; the former stays in force", "generation", e.Head.Generation)
		}
	}
}

func (c *Control) activateLocked(e *config.Activate) {
	c.counters.activated.Inc(1)
	klog.InfoS("Configuration in force", "generation", e.Head.Generation, "author", e.Head.Author)
	c.table.SetGeneration(e.Head.Generation)
	c.activatedAt = time.Now()
	close(c.configChanged)
	c.configChanged = make(chan struct{})
}

func (c *Control) fetch(ctx context.Context, f *config.Fetch) {
	c.counters.fetches.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var sections map[manifest.Hash][]byte
	var err error
	if f.Source == config.StoreSource {
		sections, err = c.fetchFromStore(ctx, f.Hashes)
	} else {
		sections, err = c.fetchFromPeer(ctx, f.Source, f.Hashes)
	}
	if err != nil {
		c.counters.fetchesFailed.Inc(1)
		klog.V(1).InfoS("Fetch of sections failed", "source", f.Source, "err", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executeEffectsLocked(c.follower.Supply(time.Now(), sections))
	c.publishChangesLocked()
}

// readHead reads the register; revision zero says that there is none.
func (c *Control) readHead(ctx context.Context) (config.Head, kv.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.counters.storeReads.Inc(1)
	entry, err := c.cfg.Store.Get(ctx, headKey)
	c.recordStoreResult(err)
	if err != nil || entry.Revision == 0 {
		return config.Head{}, 0, err
	}
	head, err := config.DecodeHead(entry.Value)
	return head, entry.Revision, err
}

func (c *Control) recordStoreResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var conflict *kv.ConflictError
	var expired *kv.LeaseExpiredError
	var compacted *kv.CompactedError
	if err == nil || errors.As(err, &conflict) || errors.As(err, &expired) || errors.As(err, &compacted) {
		c.lastStoreResponse = time.Now()
		return
	}
	c.counters.storeFailures.Inc(1)
}

// learnHead takes in a head as it stands in the service.
func (c *Control) learnHead(head config.Head) {
	if head.Generation == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if head.Generation > c.newest.Generation {
		c.newest = head
	}
	c.executeEffectsLocked(c.follower.Learn(time.Now(), head.Accepted, config.StoreSource))
	c.publishChangesLocked()
}

// watchLoop waits for changes of the head while the daemon has that duty.
func (c *Control) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.isDesignated(fixedSlot) {
			pause.For(ctx, designationRecheck)
			continue
		}
		if err := c.watchHead(ctx); err != nil {
			pause.For(ctx, c.jittered(storeRetryDelay))
		}
	}
}

// watchHead reads the head and watches it until a call fails. Guards against a
// watch that went silent: it is given up watchSlack after it had to answer, and
// reading the head before the next one catches what came in between.
func (c *Control) watchHead(ctx context.Context) error {
	head, after, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	c.learnHead(head)
	for ctx.Err() == nil && c.isDesignated(fixedSlot) {
		events, next, err := c.watchOnce(ctx, after)
		if err != nil {
			return err
		}
		after = next
		for _, event := range events {
			c.learnEvent(event)
		}
	}
	return nil
}

func (c *Control) watchOnce(ctx context.Context, after kv.Revision) ([]kv.Event, kv.Revision, error) {
	watchCtx, cancel := context.WithTimeout(ctx, watchWait+watchTimeoutMargin)
	defer cancel()
	c.counters.storeReads.Inc(1)
	events, next, err := c.cfg.Store.Watch(watchCtx, headKey, after, watchWait)
	if watchCtx.Err() != nil && ctx.Err() == nil {
		c.counters.watchTimeouts.Inc(1)
	}
	c.recordStoreResult(err)
	return events, next, err
}

func (c *Control) learnEvent(event kv.Event) {
	if event.Deleted || event.Key != headKey {
		return
	}
	head, err := config.DecodeHead(event.Value)
	if err != nil {
		klog.ErrorS(err, "Head can't be read", "revision", event.Revision)
		return
	}
	c.learnHead(head)
}

// rereadLoop reads the head now and then, whatever the watch says.
func (c *Control) rereadLoop(ctx context.Context) {
	for {
		if head, _, err := c.readHead(ctx); err == nil {
			c.learnHead(head)
		}
		if !pause.For(ctx, c.jittered(c.rereadInterval())) {
			return
		}
	}
}

func (c *Control) rereadInterval() time.Duration {
	_, generation := c.Current()
	withoutPeers := len(c.Members()) < 2
	switch {
	case generation == 0 && withoutPeers:
		return storeRetryDelay
	case generation == 0 || withoutPeers || c.isDesignated(fixedSlot):
		return shortRereadInterval
	}
	return longRereadInterval
}
