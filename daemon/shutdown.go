package daemon

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/settings"
	"geraniumstack.org/geraniumstack/internal/pause"
)

// waitForShutdown returns when the daemon has been told to stop and has shut
// down gracefully, or when work has ended. The daemon is told to stop by ctx
// (SIGTERM), by the platform's notice for its VM, or by an operator's drain;
// the latter two set the daemon's own state in the directory to leaving.
func (d *Daemon) waitForShutdown(ctx, work context.Context) {
	for {
		changed := d.control.Changed()
		self := d.control.Self()
		if self.State == view.Leaving {
			d.shutDown(work, self.LeavesAt)
			return
		}
		select {
		case <-ctx.Done():
			d.shutDown(work, time.Time{})
			return
		case <-work.Done():
			return
		case <-changed:
		}
	}
}

// shutDown performs a graceful shutdown: it announces that the daemon is
// leaving, keeps accepting work for the lifetime of the gateway lists that name
// it, then stops accepting and drains the work in progress. It finishes within
// the grace period and before the VM stops.
func (d *Daemon) shutDown(work context.Context, leavesAt time.Time) {
	grace := settings.Millis(d.settings.Shutdown.GraceMillis)
	end := time.Now().Add(grace)
	if !leavesAt.IsZero() && leavesAt.Add(-shutdownMargin).Before(end) {
		end = leavesAt.Add(-shutdownMargin)
	}
	close(d.draining)
	klog.InfoS("Graceful shutdown begins", "end", end)
	d.control.Drain(end)
	ctx, cancel := context.WithDeadline(work, end)
	defer cancel()
	// With little time left, at least half of it remains for draining.
	lifetime := min(settings.Millis(d.settings.Limits.GatewaysLifetimeMillis), time.Until(end)/2)
	pause.For(ctx, lifetime)
	d.gateway.StopAccepting()
	d.drainRequests(ctx)
	klog.InfoS("Graceful shutdown finished")
}

// drainRequests hands over the model requests and actions in progress.
func (d *Daemon) drainRequests(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := d.models.Drain(ctx); err != nil {
			klog.ErrorS(err, "Draining model requests failed")
		}
	})
	wg.Go(func() {
		if err := d.actions.Drain(ctx); err != nil {
			klog.ErrorS(err, "Draining actions failed")
		}
	})
	wg.Wait()
}
