package main

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/standin/site"
)

const (
	// upgradeEvents and upgradePace describe the streams.
	upgradeEvents = 60
	upgradePace   = 100 * time.Millisecond
	// storeDownFor is how long the store is down, upgradeTime how long a runner needs to start again.
	storeDownFor = 4500 * time.Millisecond
	upgradeTime  = 800 * time.Millisecond
	// mostMixed is the number of streams that may hold events of two versions.
	mostMixed = 2
)

// eventPattern finds whole events and the version that made them.
var eventPattern = regexp.MustCompile(`id: (\d+)\ndata: (v\d) [^\n]*\n\n`)

// playUpgradedRunner lets a runner start again, under the name that it had and with another software version, while the
// store is down. Streams that another runner began at the former version must not go on there.
func playUpgradedRunner(w *world, trouble bool) ([]string, error) {
	for range 3 {
		if _, err := w.addRunner(engineService, "north", "v1", streamEvents(upgradeEvents, upgradePace)); err != nil {
			return nil, err
		}
	}
	err := w.configure(1, []serviceOf{{name: engineService, engine: true}}, []routeOf{
		{prefix: "/draft/", kind: site.Stream, service: engineService, timeoutMillis: 10000, targetMillis: 800, attempts: 2, gapAimMillis: 250, resumable: true},
	})
	if err != nil {
		return nil, err
	}
	if err := w.startDaemons(2, nil); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var breaches []string
	var streams sync.WaitGroup
	for i := range 36 {
		streams.Go(func() {
			t := promptOf(w.daemons[i%2], false)
			t.path, t.timeout = "/draft/", 10*time.Second
			res := t.send()
			var versions []string
			for _, m := range eventPattern.FindAllStringSubmatch(res.body, -1) {
				if !slices.Contains(versions, m[2]) {
					versions = append(versions, m[2])
				}
			}
			w.rec.note("stream %s: status %d, complete %v, events of %v", res.id, res.status, res.whole, versions)
			if res.status == http.StatusOK && len(versions) > 1 {
				mu.Lock()
				defer mu.Unlock()
				breaches = append(breaches, fmt.Sprintf("ORDER: stream %s holds events of %v", res.id, versions))
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	if trouble {
		w.rec.note("the store is down for %v", storeDownFor)
		w.store.KV.SetFaults(kvserver.Faults{Outage: true})
		time.AfterFunc(storeDownFor, func() {
			w.rec.note("the store is back")
			w.store.KV.SetFaults(kvserver.Faults{})
		})
	}
	upgraded, next := w.runners[0], w.runners[1]
	time.Sleep(200 * time.Millisecond)
	w.rec.note("runner %s ends", upgraded.currentName())
	upgraded.crash()
	time.Sleep(upgradeTime)
	if err := upgraded.restartAs("v2"); err != nil {
		return nil, err
	}
	w.rec.note("runner %s starts again, with version v2", upgraded.currentName())
	time.Sleep(2 * time.Second)
	w.rec.note("runner %s ends", next.currentName())
	next.crash()
	streams.Wait()
	if len(breaches) > mostMixed {
		return breaches, nil
	}
	return nil, nil
}
