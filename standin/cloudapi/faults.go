package cloudapi

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/cloudapi"
)

// Faults are the injected faults of the cloud API and the VM list; the zero
// value injects none.
type Faults struct {
	// Outage makes every call fail at once without effect.
	Outage bool `json:"outage,omitempty"`
	// DelayMillis delays every call before it takes effect.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// RefuseStarts is how many of the next starts are refused.
	RefuseStarts int `json:"refuse_starts,omitempty"`
	// RefuseDomains and RefuseClasses refuse all starts in these failure
	// domains and of these classes.
	RefuseDomains []ident.FailureDomain `json:"refuse_domains,omitempty"`
	RefuseClasses []string              `json:"refuse_classes,omitempty"`
	// LoseAnswers is how many of the next starts take effect without
	// returning their response.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// SilentNotices keeps calls that wait for notices from ever returning.
	SilentNotices bool `json:"silent_notices,omitempty"`
	// DropNotices leaves reclaim notices out of the cloud API. The Noticed
	// hook and the VM list still show them.
	DropNotices bool `json:"drop_notices,omitempty"`
}

// OutageError reports that the service was down and the call had no effect.
type OutageError struct{}

func (*OutageError) Error() string { return "service is down" }

// LostAnswerError reports that a start took effect but its response was lost.
type LostAnswerError struct{}

func (*LostAnswerError) Error() string { return "response was lost after the call took effect" }

// SetFaults replaces all injected faults.
func (c *Cloud) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
	c.notifyWaiters()
}

// Faults returns the injected faults. RefuseStarts and LoseAnswers count down
// as the faults occur.
func (c *Cloud) Faults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// RefusedStarts returns the number of starts refused so far.
func (c *Cloud) RefusedStarts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusedStarts
}

func (c *Cloud) notifyWaiters() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Cloud) beforeCall(ctx context.Context) error {
	return applyCallFaults(ctx, c.Faults().Outage, c.Faults().DelayMillis)
}

// applyCallFaults applies the faults that occur before a call's effect.
func applyCallFaults(ctx context.Context, outage bool, delayMillis int64) error {
	if outage {
		return &cloudapi.UnavailableError{Err: &OutageError{}}
	}
	if delayMillis == 0 {
		if err := ctx.Err(); err != nil {
			return &cloudapi.UnavailableError{Err: err}
		}
		return nil
	}
	timer := time.NewTimer(time.Duration(delayMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return &cloudapi.UnavailableError{Err: ctx.Err()}
	}
}

// refusalReason returns why a start is refused, or an empty string if it is
// accepted.
func (c *Cloud) refusalReason(r cloudapi.StartRequest, class Class) string {
	f := &c.faults
	switch {
	case class.Reclaimable && time.Since(c.lastReclaim[r.FailureDomain]) < c.settings.RefuseAfterReclaim:
		return fmt.Sprintf("no reclaimable capacity in %s", r.FailureDomain)
	case slices.Contains(f.RefuseDomains, r.FailureDomain):
		return fmt.Sprintf("no capacity in %s", r.FailureDomain)
	case slices.Contains(f.RefuseClasses, r.Class):
		return fmt.Sprintf("no capacity of class %s", r.Class)
	case f.RefuseStarts > 0:
		f.RefuseStarts--
		return "no capacity"
	default:
		return ""
	}
}

func (c *Cloud) takeLostAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.LoseAnswers <= 0 {
		return false
	}
	c.faults.LoseAnswers--
	return true
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
