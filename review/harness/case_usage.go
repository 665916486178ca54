package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/standin/site"
)

const (
	// copyAge is the age of the copy that the store comes back from, copyInterval the time between two copies, and
	// storeAway how long the store is away.
	copyAge      = 3 * time.Second
	copyInterval = 100 * time.Millisecond
	storeAway    = time.Second
	// afterReport is the time from a report to the loss of power.
	afterReport = 300 * time.Millisecond
)

var errNoReport = errors.New("no usage report came")

// playUsageAfterCopy lets all machines lose power at the moment at which the store does, which comes back from a copy
// some seconds old. No window's usage may be reported twice with different counts.
func playUsageAfterCopy(w *world, trouble bool) ([]string, error) {
	for range 4 {
		if _, err := w.addRunner("app", "north", "v1", answerWhole(15*time.Millisecond, http.StatusOK)); err != nil {
			return nil, err
		}
	}
	err := w.configure(1, []serviceOf{{name: "app"}}, []routeOf{
		{prefix: "/lookup/", kind: site.Idempotent, service: "app", timeoutMillis: 800, targetMillis: 100, attempts: 2},
	})
	if err != nil {
		return nil, err
	}
	if err := w.startDaemons(3, nil); err != nil {
		return nil, err
	}
	stopTraffic := w.trafficOf(50*time.Millisecond, func(d *daemon) *try {
		return &try{daemon: d, method: http.MethodGet, path: "/lookup/case"}
	}, func(result) {})
	defer stopTraffic()
	copies := w.keepCopies()
	reports := func() []site.Call { return w.cloud.Calls("/usage") }
	// The second report with counts is the first of a window of which the daemons have seen all.
	if !w.await(40*time.Second, func() bool { return reportsWithCounts(reports()) >= 2 }) {
		return nil, errNoReport
	}
	time.Sleep(afterReport)
	if trouble {
		if err := w.losePowerWithStore(copies); err != nil {
			return nil, err
		}
	}
	time.Sleep(25 * time.Second)
	return breachesOfReports(w, reports()), nil
}

// reportsWithCounts returns the number of reports that hold requests.
func reportsWithCounts(calls []site.Call) (n int) {
	for _, c := range calls {
		if counts, ok := c.Body["counts"].(map[string]any); ok && len(counts) > 0 {
			n++
		}
	}
	return n
}

// losePowerWithStore ends all daemons and the store at one moment. The store comes back from a copy, and the daemons
// start again.
func (w *world) losePowerWithStore(copies func(age time.Duration) *kvserver.Copy) error {
	old := copies(copyAge)
	w.store.KV.SetFaults(kvserver.Faults{Outage: true})
	w.rec.note("the store is away; all daemons are killed")
	for _, d := range w.daemons {
		d.kill()
	}
	time.Sleep(storeAway)
	w.store.ReturnFromCopy(old)
	w.store.KV.SetFaults(kvserver.Faults{})
	w.rec.note("the store is back from a copy that was %v old, with Store-Era %d", copyAge, w.store.KV.History())
	for _, d := range w.daemons {
		if err := d.start(false); err != nil {
			return err
		}
	}
	return w.awaitReady(w.daemons...)
}

// keepCopies copies the store again and again. The result returns the newest copy of at least an age.
func (w *world) keepCopies() func(age time.Duration) *kvserver.Copy {
	type dated struct {
		at   time.Time
		copy *kvserver.Copy
	}
	var mu sync.Mutex
	var kept []dated
	w.beats.Go(func() {
		tick := time.NewTicker(copyInterval)
		defer tick.Stop()
		for {
			mu.Lock()
			kept = append(kept, dated{time.Now(), w.store.KV.Copy()})
			mu.Unlock()
			select {
			case <-tick.C:
			case <-w.stop:
				return
			}
		}
	})
	return func(age time.Duration) *kvserver.Copy {
		mu.Lock()
		defer mu.Unlock()
		newest := kept[0].copy
		for _, d := range kept {
			if time.Since(d.at) >= age {
				newest = d.copy
			}
		}
		return newest
	}
}

// trafficOf sends a try to the daemons in turn, at an interval, until the function that it returns is called. answered is
// called with what came of each.
func (w *world) trafficOf(interval time.Duration, next func(d *daemon) *try, answered func(result)) (stop func()) {
	ended := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-tick.C:
				d := w.daemons[n%len(w.daemons)]
				sending.Go(func() { answered(next(d).send()) })
			case <-ended:
				return
			}
		}
	})
	return func() {
		close(ended)
		sending.Wait()
	}
}

// breachesOfReports compares the reports of each window.
func breachesOfReports(w *world, calls []site.Call) []string {
	var breaches []string
	first := map[string]site.Call{}
	for _, c := range calls {
		window := fmt.Sprintf("%.0f", c.Body["window"])
		counts := fmt.Sprint(c.Body["counts"])
		w.rec.note("usage report at %.3f s: window %s, %s, holder %s, generation number %s",
			c.At.Sub(w.rec.start).Seconds(), window, counts, c.Holder, c.Fence)
		former, known := first[window]
		if !known {
			first[window] = c
			continue
		}
		if before := fmt.Sprint(former.Body["counts"]); before != counts {
			breaches = append(breaches, fmt.Sprintf("ONE: window %s was reported with %s and with %s", window, before, counts))
		}
	}
	return breaches
}
