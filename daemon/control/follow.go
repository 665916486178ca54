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
	// watchWait is how long the key-value service holds one watch call open
	// while there are no events.
	watchWait = 20 * time.Second
	// watchTimeoutMargin is how long after watchWait a response may still
	// arrive before the watch counts as stalled.
	watchTimeoutMargin = 3 * time.Second
	// storeTimeout bounds every call to the key-value service except watches.
	storeTimeout = 2 * time.Second
	// storeRetryDelay is the minimum delay before a failed call is retried;
	// jitter adds up to half of it.
	storeRetryDelay = time.Second
	// storeUpWindow is how long after a response the key-value service counts
	// as up. Every daemon reads the head at least that often.
	storeUpWindow = longRereadInterval + shortRereadInterval
	// shortRereadInterval is the interval between two reads of the head on a
	// daemon that is designated to watch it, has no configuration yet, or knows
	// no peer.
	shortRereadInterval = 10 * time.Second
	// longRereadInterval is the interval on all other daemons, which learn from
	// their peers.
	longRereadInterval = 5 * time.Minute
	// designationRecheck is how often a daemon that is not designated checks
	// whether it has become so.
	designationRecheck = 5 * time.Second
	fetchTimeout       = 2 * time.Second
)

// executeEffectsLocked executes the effects that the follower returns.
func (c *Control) executeEffectsLocked(effects []config.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case *config.Fetch:
			c.spawnLocked(func(ctx context.Context) { c.fetch(ctx, e) })
		case *config.Activate:
			c.activateLocked(e)
		case *config.Reject:
			c.counters.rejected.Inc(1)
			klog.ErrorS(e.Err, "Accepted configuration can't be decoded; the previous one stays in force", "generation", e.Head.Generation)
		}
	}
}

// activateLocked publishes a newly activated configuration to this daemon's
// readers and, through the table, to its peers.
func (c *Control) activateLocked(e *config.Activate) {
	c.counters.activated.Inc(1)
	klog.InfoS("Configuration in force", "generation", e.Head.Generation, "author", e.Head.Author)
	c.table.SetGeneration(e.Head.Generation)
	c.activated = time.Now()
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
		klog.V(1).InfoS("Fetching configuration sections failed", "source", f.Source, "err", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executeEffectsLocked(c.follower.Supply(time.Now(), sections))
	c.publishChangesLocked()
}

// readHead reads the head of the configuration register. Revision zero means
// that no head is stored.
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

// recordStoreResult records whether the key-value service responded. Errors
// such as a conflict are responses, too.
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

// learnHead passes a head read from the key-value service to the follower.
func (c *Control) learnHead(head config.Head) {
	if head.Generation == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if head.Generation > c.newestHead.Generation {
		c.newestHead = head
	}
	c.executeEffectsLocked(c.follower.Learn(time.Now(), head.Accepted, config.StoreSource))
	c.publishChangesLocked()
}

// watchLoop watches the head while this daemon is designated to do so.
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

// watchHead reads the head and then watches it until a call fails or this
// daemon is no longer designated. A stalled watch ends watchTimeoutMargin after
// its response was due, and the read of the head before the next watch picks up
// any change missed in between.
func (c *Control) watchHead(ctx context.Context) error {
	head, after, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	c.learnHead(head)
	c.rewriteLostHead(ctx, head, after)
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
		klog.ErrorS(err, "Head of the configuration register can't be decoded", "revision", event.Revision)
		return
	}
	c.learnHead(head)
}

// rereadLoop reads the head periodically, independently of any watch.
func (c *Control) rereadLoop(ctx context.Context) {
	for {
		if head, revision, err := c.readHead(ctx); err == nil {
			c.learnHead(head)
			c.rewriteLostHead(ctx, head, revision)
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
