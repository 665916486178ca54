package control

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/coordination/membership"
	"geraniumstack.org/geraniumstack/internal/pause"
	"geraniumstack.org/geraniumstack/transport/cloudapi"
)

const (
	// minListInterval and listIntervalPerVM determine the interval between two
	// reads of the VM list, which grows with the length of the list: a list of
	// 12,000 VMs is read once in a rotation period.
	minListInterval   = 2 * time.Second
	listIntervalPerVM = 5 * time.Millisecond
	// listConfirmDelay is the maximum delay before the list is read again to
	// confirm that a VM is missing from it.
	listConfirmDelay = 10 * time.Second
	// listTimeout bounds one read of the list.
	listTimeout = 5 * time.Second
	// noticeWait is how long the cloud holds one call open while there are no
	// notices.
	noticeWait = 20 * time.Second
	// noticeTimeoutMargin is how long after noticeWait a response may still
	// arrive before the call times out.
	noticeTimeoutMargin = 3 * time.Second
	// platformRetryDelay is the delay before a failed call is retried.
	platformRetryDelay = time.Second
)

// listLoop reads the VM list while this daemon is designated to do so, or while
// a missing VM has to be confirmed.
func (c *Control) listLoop(ctx context.Context) {
	var next time.Time
	confirming := false
	for {
		isDesignated := c.isDesignated(rotationSlot(time.Now()))
		if (isDesignated || confirming) && !time.Now().Before(next) {
			var delay time.Duration
			delay, confirming = c.readList(ctx)
			next = time.Now().Add(delay)
		}
		if !pause.For(ctx, min(designationRecheck, max(minListInterval, time.Until(next)))) {
			return
		}
	}
}

// readList reads the VM list. It returns the delay until the next read, and
// whether that read is needed to confirm that a VM is missing.
func (c *Control) readList(ctx context.Context) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	c.counters.lists.Inc(1)
	listed, err := c.cfg.Lister.List(ctx)
	if err != nil {
		klog.V(1).InfoS("Reading the VM list failed", "err", err)
		return platformRetryDelay, false
	}
	vms := make([]membership.VM, 0, len(listed))
	for _, vm := range listed {
		vms = append(vms, fromPlatform(vm))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	needsConfirmation := c.table.ApplyVMList(time.Now(), vms)
	c.publishChangesLocked()
	interval := max(minListInterval, time.Duration(len(vms))*listIntervalPerVM)
	if needsConfirmation {
		return min(interval, listConfirmDelay), true
	}
	return interval, false
}

func fromPlatform(vm cloudapi.VM) membership.VM {
	states := map[cloudapi.VMState]membership.VMState{
		cloudapi.VMStarting: membership.VMStarting,
		cloudapi.VMLive:     membership.VMLive,
		cloudapi.VMLeaving:  membership.VMLeaving,
	}
	return membership.VM{
		ID: vm.ID, Address: vm.Address, FailureDomain: vm.FailureDomain, Class: vm.Class,
		Reclaimable: vm.Reclaimable, PricePerHour: vm.PricePerHour, Service: vm.Service,
		State: states[vm.State],
	}
}

// noticeLoop reads the cloud's termination notices while this daemon is
// designated to do so.
func (c *Control) noticeLoop(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		if !c.isDesignated(fixedSlot) {
			pause.For(ctx, designationRecheck)
			continue
		}
		next, err := c.readNotices(ctx, after)
		after = next
		if err != nil {
			klog.V(1).InfoS("Reading termination notices failed", "err", err)
			pause.For(ctx, c.jittered(platformRetryDelay))
		}
	}
}

// readNotices waits for notices after a sequence number, applies them and
// returns the new sequence number. The call times out noticeTimeoutMargin after
// noticeWait.
func (c *Control) readNotices(ctx context.Context, after uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, noticeWait+noticeTimeoutMargin)
	defer cancel()
	notices, err := c.cfg.Cloud.Notices(ctx, after, noticeWait)
	if err != nil {
		return after, err
	}
	received := make([]membership.Notice, 0, len(notices))
	for _, n := range notices {
		c.counters.notices.Inc(1)
		after = max(after, n.Sequence)
		received = append(received, membership.Notice{
			VM: n.VM, Address: n.Address, TimeLeft: time.Duration(n.LeftMillis) * time.Millisecond,
		})
	}
	c.applyNotices(received)
	return after, nil
}
