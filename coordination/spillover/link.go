package spillover

import (
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

const (
	// cutRunners is the number of different runners of a domain that must fail to answer, without an
	// answer of any other one, for the link to count as cut. A single runner that fails is the
	// business of its health checks. After a cut one failure suffices until a runner has answered.
	cutRunners = 2
	// firstCutTime and maxCutTime bound the time for which a link is not used after it was found to
	// be cut. It doubles each time, so that a long cut costs few attempts.
	firstCutTime = 2 * time.Second
	maxCutTime   = 32 * time.Second
)

// link is what is known of the path to the runners of another domain.
type link struct {
	failed map[ident.RunnerID]bool
	// failedAt is the time of the latest failure. cutTime is zero unless the link was cut and no runner
	// has answered since.
	failedAt, cutUntil, cutTime time.Duration
}

func (l *link) usable(now time.Duration) bool { return now >= l.cutUntil }

// LinkFailed records that a runner of another domain could not be reached or fell silent. runners
// is the number of runners there. It reports whether the link has just been found to be cut: the
// share is zero then.
func (c *Controller) LinkFailed(now time.Duration, to ident.FailureDomain, id ident.RunnerID, runners int) bool {
	p, ok := c.pairs[to]
	if !ok || !p.link.usable(now) {
		return false
	}
	if p.link.failed == nil {
		p.link.failed = map[ident.RunnerID]bool{}
	}
	p.link.failed[id], p.link.failedAt = true, now
	if p.link.cutTime == 0 && len(p.link.failed) < min(cutRunners, runners) {
		return false
	}
	p.link.cutTime = min(maxCutTime, max(firstCutTime, 2*p.link.cutTime))
	p.link.cutUntil = now + p.link.cutTime
	clear(p.link.failed)
	p.share, p.on, p.startSteps = 0, false, 0
	return true
}

// LinkWorks records that a runner of another domain has answered a request that was sent at a time.
// Answers that were on their way when the link failed say nothing.
func (c *Controller) LinkWorks(to ident.FailureDomain, sent time.Duration) {
	if p, ok := c.pairs[to]; ok && sent > p.link.failedAt {
		p.link = link{}
	}
}
