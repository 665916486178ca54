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
	// deletePause paces deletions to a share of the service's rate.
	deletePause = 100 * time.Millisecond
	// collectMargin is kept between the end of all keys of a log and its
	// collection.
	collectMargin = time.Minute
	// sealLifetime is at least how long a seal stays.
	sealLifetime = claimLifetime
	// maxEpochs bounds the owners that are looked for behind one incarnation.
	maxEpochs = 64
)

// collector seals and collects the logs of daemons that have ended, so that
// they are sealed before anyone asks and don't fill the service for ever.
type collector struct {
	present map[ident.Incarnation]bool
	ended   map[ident.Incarnation]*endedDaemon
}

// endedDaemon is the end of a daemon as seen from here.
type endedDaemon struct {
	at     time.Time
	sealed bool
}

// collectEndedLogs runs until ctx ends. One daemon is responsible for each that has
// ended; when it ends itself, the next in rank goes on.
func (s *Service) collectEndedLogs(ctx context.Context) {
	c := &collector{present: map[ident.Incarnation]bool{}, ended: map[ident.Incarnation]*endedDaemon{}}
	for ctx.Err() == nil {
		daemons := s.cfg.Directory.Daemons()
		c.observe(daemons, s.now())
		for name, d := range c.ended {
			if s.isResponsible(name, daemons) {
				s.sealAndCollect(ctx, c, name, d)
			} else if s.now().Sub(d.at) > 2*s.allKeysExpireAfter(name) {
				delete(c.ended, name)
			}
		}
		s.pause(ctx, collectInterval)
	}
}

// observe notes which daemons have gone since the last look.
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
			c.ended[name] = &endedDaemon{at: now}
		}
	}
	c.present = present
}

// isResponsible ranks the live daemons for an ended one.
func (s *Service) isResponsible(ended ident.Incarnation, daemons []view.Daemon) bool {
	ownRank := xxhash.Sum64String(string(ended) + string(s.cfg.Self))
	for _, d := range daemons {
		if d.State == view.Live && xxhash.Sum64String(string(ended)+string(d.Incarnation)) > ownRank {
			return false
		}
	}
	return true
}

// allKeysExpireAfter is how long after an owner's end all of its keys are over.
func (s *Service) allKeysExpireAfter(owner ident.Incarnation) time.Duration {
	cfg := s.cfg.Owner(owner)
	return cfg.TokenLifetime + cfg.KeyRetention + collectMargin
}

func (s *Service) sealAndCollect(ctx context.Context, c *collector, name ident.Incarnation, d *endedDaemon) {
	if !d.sealed {
		if err := s.forEachLog(ctx, name, s.sealEndedLog); err != nil {
			klog.InfoS("Log of an ended daemon not sealed yet", "owner", name, "err", err)
			return
		}
		d.sealed = true
	}
	if s.now().Sub(d.at) < s.allKeysExpireAfter(name) {
		return
	}
	if err := s.forEachLog(ctx, name, s.collectLog); err != nil {
		klog.InfoS("Log of an ended daemon not collected yet", "owner", name, "err", err)
		return
	}
	delete(c.ended, name)
}

// forEachLog calls f for the logs of all owners that a daemon can have had, up to
// the first empty one.
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

// collectLog deletes a sealed log whose keys are all over. First the seal says
// so: who reads the log in the middle of it, or with a slow clock, then answers
// "unknown" for what is missing, never "not executed".
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

// listLog returns the log's keys and revisions, and the value of the last.
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

// NotSealedError says that a log's last entry is no seal.
type NotSealedError struct{ Key string }

func (e *NotSealedError) Error() string { return fmt.Sprintf("%q is no seal", e.Key) }

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
