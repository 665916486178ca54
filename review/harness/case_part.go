package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

const (
	// badPart is the part of a prompt under which each runner crashes that begins to write an answer.
	badPart = "bad0bad1"
	// backAfter is the time after which a runner that has crashed is back.
	backAfter = 3 * time.Second
	// contact is contact_ms.
	contact = 3 * time.Second
	// mostBadRequests is the number of requests with the part that may reach runners later than contact after the
	// fifth crash.
	mostBadRequests = 3
)

// playCrashingPart kills all daemons at once while requests with a part of a prompt come that crashes runners.
func playCrashingPart(w *world, trouble bool) ([]string, error) {
	var mu sync.Mutex
	var bad, crashes []time.Time
	sound := streamEvents(40, 40*time.Millisecond)
	handle := func(r *runner, c net.Conn, req *http.Request) bool {
		if !strings.Contains(req.Header.Get("X-Prompt-Prefix"), badPart) {
			return sound(r, c, req)
		}
		r.began(req)
		_, _ = io.Copy(io.Discard, req.Body)
		fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.head(http.StatusOK, req))
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		bad = append(bad, time.Now())
		mu.Unlock()
		name := r.currentName()
		broken, crashed := r.crash()
		if !crashed {
			return false
		}
		mu.Lock()
		crashes = append(crashes, time.Now())
		w.rec.note("runner %s crashes under %s (crash %d); its %d channels end", name, req.Header.Get("X-Request-Id"), len(crashes), broken)
		mu.Unlock()
		time.AfterFunc(backAfter, func() {
			if err := r.restart(); err != nil {
				w.rec.note("runner is not back: %v", err)
			}
		})
		return false
	}
	for i := range 12 {
		if _, err := w.addRunner("llm", []string{"north", "south"}[i%2], "v1", handle); err != nil {
			return nil, err
		}
	}
	err := w.configure(1, []serviceOf{{name: "llm", engine: true}}, []routeOf{
		{prefix: "/match/", kind: site.Stream, service: "llm", timeoutMillis: 5000, targetMillis: 600, attempts: 1, gapAimMillis: 250},
	})
	if err != nil {
		return nil, err
	}
	if err := w.startDaemons(3, nil); err != nil {
		return nil, err
	}
	var brokenOff atomic.Int64
	stopTraffic := w.trafficOf(100*time.Millisecond, func(d *daemon) *try { return promptOf(d, false) }, func(res result) {
		if res.status == http.StatusOK && !res.whole {
			brokenOff.Add(1)
		}
	})
	defer stopTraffic()
	time.Sleep(5 * time.Second)
	// Many users come at once.
	var sending sync.WaitGroup
	for i := range 9 {
		sending.Go(func() { promptOf(w.daemons[i%3], true).send() })
	}
	sending.Wait()
	for i := range 4 {
		time.Sleep(400 * time.Millisecond)
		promptOf(w.daemons[i%3], true).send()
	}
	mu.Lock()
	if len(crashes) < 5 {
		mu.Unlock()
		return nil, fmt.Errorf("only %d crashes before the disruption", len(crashes))
	}
	slices.SortFunc(crashes, time.Time.Compare)
	fifth := crashes[4]
	mu.Unlock()
	time.Sleep(4 * time.Second)
	inTouch := fifth.Add(contact)
	if trouble {
		w.rec.note("all daemons are killed")
		for _, d := range w.daemons {
			d.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, d := range w.daemons {
			if err := d.start(false); err != nil {
				return nil, err
			}
		}
		if err := w.awaitReady(w.daemons...); err != nil {
			return nil, err
		}
		inTouch = time.Now().Add(contact)
	}
	time.Sleep(contact + time.Second)
	before := brokenOff.Load()
	w.rec.note("all daemons are in touch again")
	for i := range 10 {
		promptOf(w.daemons[i%3], true).send()
		time.Sleep(2500 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	count := 0
	for _, at := range bad {
		if at.After(inTouch) && at.After(fifth.Add(contact)) {
			count++
		}
	}
	w.rec.note("%d requests with the part reached runners later than contact_ms after the fifth crash, from machines in touch; %d crashes; %d sound streams have been broken off meanwhile", count, len(crashes), brokenOff.Load()-before)
	if count > mostBadRequests {
		return []string{fmt.Sprintf("BUDGET: %d requests with a part that crashes runners reached runners", count)}, nil
	}
	return nil, nil
}

// promptOf returns a try with a prompt that shares its first part with all others; no two are alike.
func promptOf(d *daemon, bad bool) *try {
	id := lastPrompt.Add(1)
	middle := fmt.Sprintf("c%07x", id%7)
	if bad {
		middle = badPart
	}
	return &try{
		daemon: d, method: http.MethodPost, path: "/match/", body: fmt.Sprintf("prompt %d", id), timeout: 5 * time.Second,
		headers: []string{"X-Model: m", "X-Token-Usage: 900,48", fmt.Sprintf("X-Prompt-Prefix: a0000001:300,%s:300,e%07x:300", middle, id)},
	}
}
