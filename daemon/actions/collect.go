package actions

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/coordination/journal"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const (
	collectInterval = 10 * time.Second
	// deletePause limits deletions to a fraction of the rate that the
	// key-value service can handle.
	deletePause = 100 * time.Millisecond
	// collectMargin is the time between the expiry of all keys of a log and the
	// deletion of the log.
	collectMargin = time.Minute
	// sealLifetime is the minimum time for which a seal is kept.
	sealLifetime = claimLifetime
	// maxEpochs limits for how many successive owners of one incarnation logs are
	// searched. A daemon starts a further owner if another daemon has sealed the
	// log of its current owner by mistake.
	maxEpochs = 64
)

// collector seals and deletes the logs of daemons that have ended, so that they
// are sealed before the first query and don't fill up the key-value service.
type collector struct {
	present map[ident.Incarnation]bool
	ended   map[ident.Incarnation]*endedDaemon
}

// endedDaemon is the state of the collection for a daemon that has ended.
type endedDaemon struct {
	noticedAt time.Time
	sealed    bool
}

// collectEndedLogs seals and deletes logs of ended daemons until ctx ends. One
// live daemon is responsible for each ended daemon; when the responsible daemon
// ends, the next in rank takes over.
func (s *Service) collectEndedLogs(ctx context.Context) {
	c := &collector{present: map[ident.Incarnation]bool{}, ended: map[ident.Incarnation]*endedDaemon{}}
	for ctx.Err() == nil {
		daemons := s.cfg.Directory.Daemons()
		c.observe(daemons, s.now())
		for name, d := range c.ended {
			if s.isResponsible(name, daemons) {
				s.sealAndCollect(ctx, c, name, d)
			} else if s.now().Sub(d.noticedAt) > 2*s.allKeysExpireAfter(name) {
				delete(c.ended, name)
			}
		}
		s.pause(ctx, collectInterval)
	}
}

// observe records which daemons have disappeared since the last call.
func (c *collector) observe(daemons []view.Daemon, now time.Time) {
	present := map[ident.Incarnation]bool{}
	for _, d := range daemons {
		if d.State != view.Gone {
			present[d.Incarnation] = true
			delete(c.ended, d.Incarnation)
		}
	}
	for name := range c.present {
		if !present[name] {
			c.ended[name] = &endedDaemon{noticedAt: now}
		}
	}
	c.present = present
}

// isResponsible reports whether this daemon ranks highest among the live daemons
// by rendezvous hash for an ended one.
func (s *Service) isResponsible(ended ident.Incarnation, daemons []view.Daemon) bool {
	ownRank := xxhash.Sum64String(string(ended) + string(s.cfg.Self))
	for _, d := range daemons {
		if d.State == view.Live && xxhash.Sum64String(string(ended)+string(d.Incarnation)) > ownRank {
			return false
		}
	}
	return true
}

// allKeysExpireAfter returns how long after an owner's end all of its keys have
// expired.
func (s *Service) allKeysExpireAfter(owner ident.Incarnation) time.Duration {
	cfg := s.cfg.Owner(owner)
	return cfg.TokenLifetime + cfg.KeyRetention + collectMargin
}

// sealAndCollect seals the logs of an ended daemon at once and deletes them when
// all of their keys have expired. After an error the next round tries again.
func (s *Service) sealAndCollect(ctx context.Context, c *collector, name ident.Incarnation, d *endedDaemon) {
	if !d.sealed {
		if err := s.forEachLog(ctx, name, s.sealEndedLog); err != nil {
			klog.InfoS("Failed to seal log of ended daemon, will retry", "owner", name, "err", err)
			return
		}
		d.sealed = true
	}
	if s.now().Sub(d.noticedAt) < s.allKeysExpireAfter(name) {
		return
	}
	if err := s.forEachLog(ctx, name, s.collectLog); err != nil {
		klog.InfoS("Failed to delete log of ended daemon, will retry", "owner", name, "err", err)
		return
	}
	delete(c.ended, name)
}

// forEachLog calls f for the logs of all successive owners of a daemon, up to
// the first empty log.
func (s *Service) forEachLog(ctx context.Context, name ident.Incarnation, f func(context.Context, ident.Incarnation) error) error {
	owner := name
	for epoch := 1; epoch <= maxEpochs; epoch++ {
		first, err := s.readPage(ctx, owner, "")
		if err != nil {
			return err
		}
		if len(first) == 0 {
			return nil
		}
		if err := f(ctx, owner); err != nil {
			return err
		}
		owner = ident.Incarnation(fmt.Sprintf("%s%s%d", name, epochSeparator, epoch))
	}
	return nil
}

func (s *Service) sealEndedLog(ctx context.Context, owner ident.Incarnation) error {
	_, err := s.readSealedLog(ctx, owner, "")
	return err
}

// collectLog deletes all entries but the seal of a log whose keys have all
// expired. It first marks the seal accordingly: a daemon that reads the log
// during the deletion, or whose clock is slow, then answers "unknown" for
// missing entries instead of "not executed".
func (s *Service) collectLog(ctx context.Context, owner ident.Incarnation) error {
	entries, err := s.listLog(ctx, owner)
	if err != nil || len(entries) == 0 {
		return err
	}
	last := entries[len(entries)-1]
	if err := s.markCollected(ctx, last); err != nil {
		return err
	}
	s.logs.drop(owner)
	for _, e := range entries[:len(entries)-1] {
		if err := s.deleteEntry(ctx, e); err != nil {
			return err
		}
		s.pause(ctx, deletePause)
	}
	return nil
}

// listLog returns the log's entries. Only the last entry includes its value.
func (s *Service) listLog(ctx context.Context, owner ident.Incarnation) ([]kv.Entry, error) {
	var all []kv.Entry
	for after := ""; ; {
		page, err := s.readPage(ctx, owner, after)
		if err != nil {
			return nil, err
		}
		for _, e := range page {
			if n := len(all); n > 0 {
				all[n-1].Value = nil
			}
			all = append(all, e)
			after = e.Key
		}
		if len(page) < listLimit {
			return all, nil
		}
	}
}

// NotSealedError means that the last entry of a log is not a seal.
type NotSealedError struct{ Key string }

func (e *NotSealedError) Error() string { return fmt.Sprintf("journal entry %q is not a seal", e.Key) }

// markCollected marks a sealed log as one whose entries are being deleted. It sets
// the floor of the seal to the maximum. The floor of a log is a time: entries of
// keys that expired before it may be missing. With the maximum, the entries of all
// keys may be missing.
func (s *Service) markCollected(ctx context.Context, last kv.Entry) error {
	seal, err := journal.Decode(last.Key, last.Value)
	if err != nil {
		return err
	}
	if seal.Seal == nil {
		return &NotSealedError{Key: last.Key}
	}
	if seal.Floor == math.MaxInt64 {
		return nil
	}
	seal.Floor = math.MaxInt64
	value, err := journal.Encode(seal)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Times.Store)
	defer cancel()
	lease, err := s.currentLease(ctx)
	if err != nil {
		return err
	}
	if _, err := s.cfg.Store.CompareAndSwap(ctx, last.Key, last.Revision, value, lease); err != nil {
		return fmt.Errorf("mark log as collected: %w", err)
	}
	return nil
}

func (s *Service) deleteEntry(ctx context.Context, e kv.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Times.Store)
	defer cancel()
	s.counters.inc(logEntriesDeleted)
	if err := s.cfg.Store.Delete(ctx, e.Key, e.Revision); err != nil {
		return fmt.Errorf("delete entry of an ended log: %w", err)
	}
	return nil
}
