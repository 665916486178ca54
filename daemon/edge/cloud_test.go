package edge_test

import (
	"context"
	"encoding/json"
	"sync"

	"geraniumstack.org/geraniumstack/coordination/accounting"
	"geraniumstack.org/geraniumstack/daemon/edge"
)

// cloud is a fake edge.Cloud that records reports and orders.
type cloud struct {
	mu      sync.Mutex
	reports []usageReport
	orders  []edge.Order
	// lostAnswers is the number of usage reports, from the next one on, that the cloud accepts but
	// whose answers are lost.
	lostAnswers int
	// hangs makes the cloud leave all calls unanswered.
	hangs bool
	// noReclaimable makes the cloud refuse orders of reclaimable runners; refusals counts the
	// refused orders.
	noReclaimable bool
	refusals      int
}

type usageReport struct {
	duty   edge.DutyLease
	window accounting.Window
	counts string
}

func (c *cloud) setHangs(hangs bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hangs = hangs
}

// waitWhileHanging waits for the end of a call that isn't answered.
func (c *cloud) waitWhileHanging(ctx context.Context) error {
	c.mu.Lock()
	hangs := c.hangs
	c.mu.Unlock()
	if !hangs {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (c *cloud) ReportUsage(ctx context.Context, d edge.DutyLease, w accounting.Window, counts accounting.Counts) error {
	if err := c.waitWhileHanging(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	data, err := json.Marshal(counts)
	if err != nil {
		return err
	}
	c.reports = append(c.reports, usageReport{d, w, string(data)})
	if c.lostAnswers > 0 {
		c.lostAnswers--
		return context.DeadlineExceeded
	}
	return nil
}

func (c *cloud) Order(ctx context.Context, _ edge.DutyLease, o edge.Order) error {
	if err := c.waitWhileHanging(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noReclaimable && o.Reclaimable {
		c.refusals++
		return &edge.NoRunnersAvailableError{Order: o}
	}
	c.orders = append(c.orders, o)
	return nil
}

func (c *cloud) received() []usageReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]usageReport{}, c.reports...)
}

// totalReported returns the number of requests in all reports. Of several reports for one
// window only the first counts.
func (w *testFleet) totalReported() int64 {
	sum := int64(0)
	seen := map[accounting.Window]bool{}
	for _, r := range w.cloud.received() {
		if seen[r.window] {
			continue
		}
		seen[r.window] = true
		sum += r.requests(w)
	}
	return sum
}

// requests returns the number of requests in a report.
func (r usageReport) requests(w *testFleet) int64 {
	var counts accounting.Counts
	w.NoErr(json.Unmarshal([]byte(r.counts), &counts))
	sum := int64(0)
	for _, n := range counts {
		sum += n
	}
	return sum
}
