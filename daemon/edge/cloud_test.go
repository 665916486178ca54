package edge_test

import (
	"context"
	"encoding/json"
	"sync"

	"geraniumstack.org/geraniumstack/coordination/accounting"
	"geraniumstack.org/geraniumstack/daemon/edge"
)

// cloud records reports and orders.
type cloud struct {
	mu      sync.Mutex
	reports []report
	orders  []edge.Order
	// lose lets a report be taken and its answer be lost.
	lose int
	// dry lets orders of reclaimable runners be refused, which refusals counts.
	dry      bool
	refusals int
}

type report struct {
	duty   edge.DutyLease
	window accounting.Window
	counts string
}

func (c *cloud) ReportUsage(_ context.Context, d edge.DutyLease, w accounting.Window, counts accounting.Counts) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, err := json.Marshal(counts)
	if err != nil {
		return err
	}
	c.reports = append(c.reports, report{d, w, string(data)})
	if c.lose > 0 {
		c.lose--
		return context.DeadlineExceeded
	}
	return nil
}

func (c *cloud) Order(_ context.Context, _ edge.DutyLease, o edge.Order) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dry && o.Reclaimable {
		c.refusals++
		return &edge.NoRunnersAvailableError{Order: o}
	}
	c.orders = append(c.orders, o)
	return nil
}

func (c *cloud) taken() []report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]report{}, c.reports...)
}

// reported adds up all requests of the reports, each window once.
func (w *world) reported() int64 {
	sum := int64(0)
	seen := map[accounting.Window]bool{}
	for _, r := range w.cloud.taken() {
		if seen[r.window] {
			continue
		}
		seen[r.window] = true
		sum += r.requests(w)
	}
	return sum
}

// requests adds up a report's counts.
func (r report) requests(w *world) int64 {
	var counts accounting.Counts
	w.NoErr(json.Unmarshal([]byte(r.counts), &counts))
	sum := int64(0)
	for _, n := range counts {
		sum += n
	}
	return sum
}
