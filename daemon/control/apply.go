package control

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"time"

	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/coordination/config"
	"geraniumstack.org/geraniumstack/coordination/membership"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const (
	// submissionTimeout is when a submission is given up.
	submissionTimeout = 15 * time.Second
	// stepRetryDelay is the pause before a step that failed is tried again.
	stepRetryDelay = 100 * time.Millisecond
	// confirmationTimeout is how long Apply waits, once every failure domain has the
	// generation, for the single daemons' own word.
	confirmationTimeout = 250 * time.Millisecond
)

// Submission asks for a manifest to be accepted.
type Submission struct {
	Manifest *manifest.Manifest
	Author   string
	// ID makes the submission repeatable; it must be unique for all time.
	ID string
	// Expected is the generation to replace, or config.AnyGeneration.
	Expected int64
	// Wait is how long to wait until it is in force in every failure domain.
	Wait time.Duration
}

// DomainStatus is how far one failure domain is.
type DomainStatus struct {
	FailureDomain ident.FailureDomain
	// Generation is the highest that some daemon of it has in force.
	Generation ident.Generation
	// Daemons counts the known ones but the gone. Of these and not leaving,
	// DaemonsBehind counts those that said, after this daemon had its generation
	// in force, to have a lower one; DaemonsUnheard those that said nothing
	// since then and had a lower one before. Where a daemon of the domain is known
	// by others' word to have it, one is left out of the two counts.
	Daemons        int
	DaemonsBehind  int
	DaemonsUnheard int
}

// Outcome is what became of an accepted submission.
type Outcome struct {
	Accepted config.Accepted
	Domains  []DomainStatus
	// InForceEverywhere says that every failure domain with a known daemon has
	// the accepted generation, or a higher one, in force.
	InForceEverywhere bool
}

// Apply brings a manifest to acceptance and waits until it is in force. The
// errors are *config.ConflictError, *config.NotAcceptedError (nothing
// happened), *config.OutcomeUnknownError (send the same ID again) and
// *kv.TooLargeError.
func (c *Control) Apply(ctx context.Context, s Submission) (Outcome, error) {
	c.counters.submissions.Inc(1)
	accepted, err := c.submit(ctx, s)
	if err != nil {
		c.countFailure(err)
		return Outcome{}, err
	}
	klog.InfoS("Configuration accepted", "generation", accepted.Generation, "author", accepted.Author, "submission", accepted.SubmissionID)
	c.activateAccepted(accepted, s.Manifest)
	c.scheduleCollection(accepted.Generation)
	return c.waitInForce(ctx, accepted, s.Wait), nil
}

func (c *Control) countFailure(err error) {
	var conflict *config.ConflictError
	var unknown *config.OutcomeUnknownError
	switch {
	case errors.As(err, &conflict):
		c.counters.conflicts.Inc(1)
	case errors.As(err, &unknown):
		c.counters.outcomesUnknown.Inc(1)
	}
}

func (c *Control) submit(ctx context.Context, s Submission) (config.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, submissionTimeout)
	defer cancel()
	_, minGeneration := c.Current()
	submission, err := config.NewSubmission(s.Manifest, s.Author, s.ID, s.Expected, minGeneration)
	if err != nil {
		return config.Accepted{}, err
	}
	for {
		switch step := submission.Step().(type) {
		case *config.Done:
			return step.Accepted, nil
		case *config.Failed:
			return config.Accepted{}, step.Err
		default:
			err = c.executeStep(ctx, submission, step)
		}
		if isPermanent(err) {
			return config.Accepted{}, err
		}
		if err != nil && !pause.For(ctx, c.jittered(stepRetryDelay)) {
			return config.Accepted{}, submission.AbortError(err)
		}
	}
}

// isPermanent tells the errors that trying again cannot mend. None of them comes
// from a swap that may have taken effect.
func isPermanent(err error) bool {
	var large *kv.TooLargeError
	var malformed *config.MalformedHeadError
	return errors.As(err, &large) || errors.As(err, &malformed)
}

// executeStep carries out one step; after an error the machine is still at it, or
// reads the head again.
func (c *Control) executeStep(ctx context.Context, submission *config.Submission, step config.Step) error {
	switch step := step.(type) {
	case *config.ReadHead:
		head, revision, err := c.readHead(ctx)
		if err != nil {
			return err
		}
		submission.HeadRead(time.Now(), head, uint64(revision))
	case *config.StoreSections:
		for _, section := range step.Sections {
			if err := c.storeSection(ctx, section); err != nil {
				return err
			}
		}
		submission.SectionsStored()
	case *config.SwapHead:
		return c.swapHead(ctx, submission, step)
	}
	return nil
}

func (c *Control) swapHead(ctx context.Context, submission *config.Submission, step *config.SwapHead) error {
	value, err := config.EncodeHead(step.Head)
	if err != nil {
		return err
	}
	_, err = c.compareAndSwap(ctx, headKey, kv.Revision(step.Expected), value)
	var conflict *kv.ConflictError
	var large *kv.TooLargeError
	switch {
	case err == nil:
		submission.Swapped()
		return nil
	case errors.As(err, &conflict):
		submission.SwapConflict()
		return nil
	case errors.As(err, &large):
		return err
	}
	submission.SwapLost()
	return err
}

func (c *Control) compareAndSwap(ctx context.Context, key string, expected kv.Revision, value []byte) (kv.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var revision kv.Revision
	err := c.write(func() (err error) {
		revision, err = c.cfg.Store.CompareAndSwap(ctx, key, expected, value, 0)
		return err
	})
	return revision, err
}

// storeSection writes a section unless a recent writing of it is there. Guards
// against the collection of unreferenced sections: one that was referenced long
// ago may be deleted between this look and the swap of the head, which would
// then name a section that is nowhere. Only sections older than
// sectionKeepAtLeast are deleted, and only if unchanged since; so an old one is
// written again, which makes it young.
func (c *Control) storeSection(ctx context.Context, section manifest.Section) error {
	value := encodeSection(time.Now(), section.Data)
	_, err := c.compareAndSwap(ctx, sectionKey(section.Hash), 0, value)
	var conflict *kv.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	written, _, err := decodeSection(conflict.Current.Key, conflict.Current.Value)
	if err == nil && time.Since(written) < sectionRefreshAfter {
		return nil
	}
	_, err = c.compareAndSwap(ctx, sectionKey(section.Hash), conflict.Current.Revision, value)
	return err
}

// activateAccepted brings an accepted configuration into force here without a fetch.
func (c *Control) activateAccepted(accepted config.Accepted, m *manifest.Manifest) {
	sections, err := manifest.Split(m)
	if err != nil {
		return
	}
	data := map[manifest.Hash][]byte{}
	for _, section := range sections {
		data[section.Hash] = section.Data
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executeEffectsLocked(c.follower.Adopt(time.Now(), accepted, data))
	c.publishChangesLocked()
}

// waitInForce waits until every failure domain has the generation.
func (c *Control) waitInForce(ctx context.Context, accepted config.Accepted, wait time.Duration) Outcome {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var confirmationTimer *time.Timer
	for {
		changed := c.Changed()
		outcome := c.outcome(accepted)
		if outcome.confirmedByAllDaemons() || ctx.Err() != nil {
			return outcome
		}
		if outcome.InForceEverywhere && confirmationTimer == nil {
			confirmationTimer = time.AfterFunc(confirmationTimeout, cancel)
			defer confirmationTimer.Stop()
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (c *Control) outcome(accepted config.Accepted) Outcome {
	o := Outcome{Accepted: accepted, Domains: c.Domains(), InForceEverywhere: true}
	for _, d := range o.Domains {
		if d.Daemons > 0 && d.Generation < accepted.Generation {
			o.InForceEverywhere = false
		}
	}
	return o
}

// confirmedByAllDaemons tells whether it is in force and every daemon has said so.
func (o Outcome) confirmedByAllDaemons() bool {
	for _, d := range o.Domains {
		if d.DaemonsBehind+d.DaemonsUnheard > 0 {
			return false
		}
	}
	return o.InForceEverywhere
}

// Domains tells how far each failure domain of the manifest in force or of a
// known daemon is, by name.
func (c *Control) Domains() []DomainStatus {
	m, generation := c.Current()
	byDomain := map[ident.FailureDomain]*DomainStatus{}
	status := func(domain ident.FailureDomain) *DomainStatus {
		if byDomain[domain] == nil {
			byDomain[domain] = &DomainStatus{FailureDomain: domain}
		}
		return byDomain[domain]
	}
	if m != nil {
		for _, domain := range m.Fleet.FailureDomains {
			status(domain)
		}
	}
	since := c.activationTime()
	for _, member := range c.MembersNow() {
		status(member.FailureDomain).countDaemon(member, generation, since)
	}
	for domain, g := range c.InForce() {
		status(domain).recordHighest(g, generation)
	}
	all := make([]DomainStatus, 0, len(byDomain))
	for _, d := range byDomain {
		all = append(all, *d)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].FailureDomain < all[j].FailureDomain })
	return all
}

func (d *DomainStatus) countDaemon(m membership.Member, generation ident.Generation, since time.Time) {
	d.Daemons++
	switch {
	case m.Generation >= generation || m.State == view.Leaving:
	case m.LastHeard.Before(since):
		d.DaemonsUnheard++
	default:
		d.DaemonsBehind++
	}
}

// recordHighest notes the domain's highest generation. It may be known before the word
// of the daemon that has it comes, by way of a third one. Without taking that one
// out, all daemons of a domain that has the generation would be shown as behind.
func (d *DomainStatus) recordHighest(highest, wanted ident.Generation) {
	d.Generation = highest
	if highest < wanted || d.DaemonsBehind+d.DaemonsUnheard < d.Daemons {
		return
	}
	if d.DaemonsUnheard > 0 {
		d.DaemonsUnheard--
		return
	}
	d.DaemonsBehind = max(0, d.DaemonsBehind-1)
}

// History lists accepted configurations, newest first: from the key-value
// service, or during its outage what this daemon last read of it.
func (c *Control) History(ctx context.Context) []config.Accepted {
	head, _, err := c.readHead(ctx)
	if err == nil {
		c.learnHead(head)
		return head.History()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if inForce, _ := c.follower.InForce(); inForce.Generation > c.newest.Generation {
		return []config.Accepted{inForce}
	}
	return c.newest.History()
}

// Content returns the manifest of a generation that the history still has. The
// errors are *UnknownGenerationError, the key-value service's and those of
// manifest.Join.
func (c *Control) Content(ctx context.Context, generation ident.Generation) (*manifest.Manifest, error) {
	for _, accepted := range c.History(ctx) {
		if accepted.Generation != generation {
			continue
		}
		sections, err := c.fetchFromStore(ctx, accepted.Sections)
		if err != nil {
			return nil, err
		}
		return manifest.Join(accepted.Sections, sections)
	}
	return nil, &UnknownGenerationError{Generation: generation}
}

// UnknownGenerationError says that the history does not have a generation.
type UnknownGenerationError struct{ Generation ident.Generation }

func (e *UnknownGenerationError) Error() string {
	return fmt.Sprintf("generation %d is not in the history", e.Generation)
}
