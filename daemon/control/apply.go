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
	// submissionTimeout bounds the acceptance of one submission.
	submissionTimeout = 15 * time.Second
	// stepRetryDelay is the delay before a failed step is retried.
	stepRetryDelay = 100 * time.Millisecond
	// confirmationTimeout bounds how long Apply waits for the remaining daemons
	// to confirm, once the generation is in force in every failure domain.
	confirmationTimeout = 250 * time.Millisecond
)

// Submission is a request to accept a manifest as the next configuration.
type Submission struct {
	Manifest *manifest.Manifest
	Author   string
	// ID makes the submission idempotent: a repeated submission with the same
	// ID is accepted only once. It must never be reused for another submission.
	ID string
	// Expected is the generation that the manifest replaces, or
	// config.AnyGeneration.
	Expected int64
	// Wait bounds how long Apply waits for the generation to be in force in
	// every failure domain.
	Wait time.Duration
}

// DomainStatus describes the rollout of the configuration in one failure
// domain.
type DomainStatus struct {
	FailureDomain ident.FailureDomain
	// Generation is the highest generation that a daemon of the domain has in
	// force.
	Generation ident.Generation
	// Daemons is the number of known daemons of the domain that are not gone.
	// Daemons that are leaving are excluded from the next two counts.
	// DaemonsBehind counts daemons that have reported a lower generation since
	// this daemon activated its own. DaemonsUnheard counts daemons with a lower
	// last reported generation that have reported nothing since then. If only
	// the report of a third daemon shows that the domain has the generation,
	// one daemon is subtracted from these two counts.
	Daemons        int
	DaemonsBehind  int
	DaemonsUnheard int
}

// Outcome is the result of an accepted submission.
type Outcome struct {
	Accepted config.Accepted
	Domains  []DomainStatus
	// InForceEverywhere reports whether the accepted generation, or a higher
	// one, is in force in every failure domain that has a known daemon.
	InForceEverywhere bool
}

// Apply submits a manifest for acceptance and then waits up to s.Wait until it
// is in force. The errors are *config.ConflictError, *config.NotAcceptedError
// (nothing was changed), *config.OutcomeUnknownError (retry with the same ID)
// and *kv.TooLargeError.
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

// isPermanent reports whether err cannot be resolved by a retry. No such error
// comes from a swap that may have taken effect.
func isPermanent(err error) bool {
	var large *kv.TooLargeError
	var malformed *config.MalformedHeadError
	return errors.As(err, &large) || errors.As(err, &malformed)
}

// executeStep executes one step of a submission. After an error, the submission
// either repeats the step or reads the head again.
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

// storeSection writes a section unless a recent copy is already stored. A
// section that has been unreferenced for long could be garbage-collected
// between the check here and the swap of the head, which would then name a
// missing section. The collection deletes only sections written more than
// minSectionAge ago and unchanged since it listed them, so storeSection
// rewrites an old section to renew its write time.
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

// activateAccepted activates an accepted configuration on this daemon without
// fetching its sections.
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

// waitInForce waits until the generation is in force in every failure domain
// and every daemon has confirmed it. It returns earlier after the wait, or
// after confirmationTimeout once every failure domain has the generation.
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

// confirmedByAllDaemons reports whether the generation is in force in every
// failure domain and every daemon that is not leaving has confirmed it.
func (o Outcome) confirmedByAllDaemons() bool {
	for _, d := range o.Domains {
		if d.DaemonsBehind+d.DaemonsUnheard > 0 {
			return false
		}
	}
	return o.InForceEverywhere
}

// Domains returns the rollout status of each failure domain that the manifest
// in force names or a known daemon belongs to, sorted by name.
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

// recordHighest records the domain's highest generation in force. A third
// daemon can report this generation before the daemon that has it reports it
// directly, so one daemon is then subtracted from the counts. Otherwise all
// daemons of a domain that has the generation would be reported as behind.
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

// History returns the accepted configurations, newest first. It reads them from
// the key-value service; during an outage of the service it returns those that
// this daemon read last.
func (c *Control) History(ctx context.Context) []config.Accepted {
	head, _, err := c.readHead(ctx)
	if err == nil {
		c.learnHead(head)
		return head.History()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if inForce, _ := c.follower.InForce(); inForce.Generation > c.newestHead.Generation {
		return []config.Accepted{inForce}
	}
	return c.newestHead.History()
}

// Content returns the manifest of a generation that is still in the history.
// The errors are *UnknownGenerationError, those of the key-value service and
// those of manifest.Join.
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

// UnknownGenerationError reports that the history does not contain a
// generation.
type UnknownGenerationError struct{ Generation ident.Generation }

func (e *UnknownGenerationError) Error() string {
	return fmt.Sprintf("generation %d is not in the history", e.Generation)
}
