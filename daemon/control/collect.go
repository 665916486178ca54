package control

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/coordination/config"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const (
	// collectionInterval is the number of generations between two collections
	// of unreferenced sections.
	collectionInterval = 64
	collectionPageSize = 16
	// collectionRetryDelay is the delay before a failed collection is retried.
	collectionRetryDelay = 5 * time.Second
)

// scheduleCollection signals collectLoop that a collection is due if the
// generation is a multiple of collectionInterval. A collection that was started
// directly at acceptance was lost if Run had not begun or the key-value service
// went down, and the unreferenced sections then stayed for 64 more changes. The
// signal waits in the channel instead, and collectLoop retries until the
// collection succeeds. A crash in between still postpones the collection by
// collectionInterval generations.
func (c *Control) scheduleCollection(generation ident.Generation) {
	if generation%collectionInterval != 0 {
		return
	}
	select {
	case c.collectionDue <- struct{}{}:
	default: // a collection is already due
	}
}

// collectLoop runs the collections that scheduleCollection signals and retries
// each until it succeeds.
func (c *Control) collectLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.collectionDue:
		}
		for {
			err := c.collect(ctx)
			if err == nil {
				break
			}
			klog.V(1).InfoS("Collection of unreferenced sections failed; it will be retried", "err", err)
			if !pause.For(ctx, c.jittered(collectionRetryDelay)) {
				return
			}
		}
	}
}

// collect deletes the sections older than minSectionAge that no configuration
// in the history references.
func (c *Control) collect(ctx context.Context) error {
	after := sectionPrefix
	for {
		page, err := c.listPage(ctx, sectionPrefix, after, collectionPageSize)
		if err != nil || len(page) == 0 {
			return err
		}
		after = page[len(page)-1].Key
		// The head is read after the page of sections, so a section that the
		// head has begun to reference in the meantime is not deleted.
		head, _, err := c.readHead(ctx)
		if err != nil {
			return err
		}
		if err := c.deleteUnreferenced(ctx, page, head); err != nil {
			return err
		}
	}
}

func (c *Control) deleteUnreferenced(ctx context.Context, page []kv.Entry, head config.Head) error {
	referenced := map[string]bool{}
	for _, accepted := range head.History() {
		for _, hash := range accepted.Sections {
			referenced[sectionKey(hash)] = true
		}
	}
	for _, entry := range page {
		written, _, err := decodeSection(entry.Key, entry.Value)
		if referenced[entry.Key] || (err == nil && time.Since(written) < minSectionAge) {
			continue
		}
		err = c.write(func() error { return c.cfg.Store.Delete(ctx, entry.Key, entry.Revision) })
		var conflict *kv.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return err
		}
	}
	return nil
}
