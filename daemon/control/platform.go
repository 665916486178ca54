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
	// minListInterval and listPerRecord make the interval of reading the VM list,
	// which grows with the list's length: 12,000 VMs are read once in a turn of
	// the duty.
	minListInterval   = 2 * time.Second
	listIntervalPerVM = 5 * time.Millisecond
	// listConfirmDelay is when a list that lacks a VM is read again.
	listConfirmDelay = 10 * time.Second
	// listTimeout bounds one read of the list.
	listTimeout = 5 * time.Second
	// noticeWait is how long one call waits for notices.
	noticeWait = 20 * time.Second
	// noticeTimeoutMargin is how much later an answer may come.
	noticeTimeoutMargin = 3 * time.Second
	// platformRetryDelay is the pause after a failed call.
	platformRetryDelay = time.Second
)

// listLoop reads the VM list while the daemon has that duty.
func (c *Control) listLoop(ctx context.Context) {
	var next time.Time
	confirming := false
	for {
		onDuty := c.isDesignated(rotationSlot(time.Now()))
		if (onDuty || confirming) && !time.Now().Before(next) {
			var delay time.Duration
			delay, confirming = c.readList(ctx)
			next = time.Now().Add(delay)
		}
		if !pause.For(ctx, min(designationRecheck, max(minListInterval, time.Until(next)))) {
			return
		}
	}
}

// readList returns when to read next, and whether that has to be done to decide
// on a VM that was missing.
func (c *Control) readList(ctx context.Context) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	c.counters.lists.Inc(1)
	listed, err := c.cfg.Lister.List(ctx)
	if err != nil {
		klog.V(1).InfoS("VM list can't be read", "err", err)
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

// noticeLoop waits for the cloud's notices while the daemon has that duty.
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
			klog.V(1).InfoS("Notices can't be read", "err", err)
			pause.For(ctx, c.jittered(platformRetryDelay))
		}
	}
}

// readNotices gives a call up that is silent for longer than it was to wait.
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
			VM: n.VM, Address: n.Address, Left: time.Duration(n.LeftMillis) * time.Millisecond,
		})
	}
	c.applyNotices(received)
	return after, nil
}
