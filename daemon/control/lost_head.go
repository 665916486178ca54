package control

import (
	"context"

	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/coordination/config"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/kv"
)

// rewriteLostHead writes the configuration in force to the key-value service again, with its sections, if the
// head that was just read is an older one. A service that has come back from a copy may have lost it, although
// operators were told that it is accepted; daemons that start would bring the older one into force. Only
// daemons that are designated to watch the head write, and a conflict says that another one has.
func (c *Control) rewriteLostHead(ctx context.Context, head config.Head, revision kv.Revision) {
	c.mu.Lock()
	inForce, m := c.follower.InForce()
	c.mu.Unlock()
	if m == nil || head.Generation >= inForce.Generation || !c.isDesignated(fixedSlot) {
		return
	}
	if err := c.writeHead(ctx, head.Restore(inForce), revision, m); err != nil {
		klog.ErrorS(err, "Configuration in force could not be written again", "generation", inForce.Generation, "found", head.Generation)
		return
	}
	c.counters.headsRewritten.Inc(1)
	klog.InfoS("Configuration in force written again", "generation", inForce.Generation, "found", head.Generation, "revision", revision)
}

// writeHead stores the sections of a manifest and then the head that names them.
func (c *Control) writeHead(ctx context.Context, head config.Head, expected kv.Revision, m *manifest.Manifest) error {
	sections, err := manifest.Split(m)
	if err != nil {
		return err
	}
	for _, section := range sections {
		if err := c.storeSection(ctx, section); err != nil {
			return err
		}
	}
	value, err := config.EncodeHead(head)
	if err != nil {
		return err
	}
	_, err = c.compareAndSwap(ctx, headKey, expected, value)
	return err
}
