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
	// collectionInterval is the number of generations between two collections of
	// unreferenced sections.
	collectionInterval = 64
	collectionPageSize = 16
	// collectionRetryDelay is the pause after a collection that failed.
	collectionRetryDelay = 5 * time.Second
)

// scheduleCollection makes a collection due if it is a generation's turn. Guards
// against a collection that nobody makes: one that was only started at the
// acceptance was lost when Run had not begun or the key-value service went down,
// and showed as sections that stayed for 64 more changes. The note waits in the
// channel for collectLoop, which tries until it has succeeded. A crash in
// between still leaves the sections to the next turn.
func (c *Control) scheduleCollection(generation ident.Generation) {
	if generation%collectionInterval != 0 {
		return
	}
	select {
	case c.collectionDue <- struct{}{}:
	default: // one is due already
	}
}

// collectLoop makes the collections that are due.
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
			klog.V(1).InfoS("Collection of sections ended early", "err", err)
			if !pause.For(ctx, c.jittered(collectionRetryDelay)) {
				return
			}
		}
	}
}

// collect deletes the old sections that no remembered configuration names.
func (c *Control) collect(ctx context.Context) error {
	after := sectionPrefix
	for {
		page, err := c.listPage(ctx, sectionPrefix, after, collectionPageSize)
		if err != nil || len(page) == 0 {
			return err
		}
		after = page[len(page)-1].Key
		// The head is read after the list, so a section that it names by now is
		// not taken for unreferenced.
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
