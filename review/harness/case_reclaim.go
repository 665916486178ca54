package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

const (
	// longEvents and longPace describe the streams that a reclaim cuts off.
	longEvents = 40
	longPace   = 100 * time.Millisecond
	// notice is the time from the notice of a reclaim to the end of the runner.
	notice = 2 * time.Second
)

// playReclaimedStream reclaims a runner while it sends streams that have neither a length nor chunks. They must not look
// complete.
func playReclaimedStream(w *world, trouble bool) ([]string, error) {
	for i := range 4 {
		if _, err := w.addRunner(engineService, []string{"north", "south"}[i%2], "v1", streamUnframed(longEvents, longPace)); err != nil {
			return nil, err
		}
	}
	err := w.configure(1, []serviceOf{{name: engineService, engine: true}}, []routeOf{
		{prefix: "/match/", kind: site.Stream, service: engineService, timeoutMillis: 10000, targetMillis: 600, attempts: 1, gapAimMillis: 250},
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
	for i := range 24 {
		streams.Go(func() {
			t := promptOf(w.daemons[i%2], false)
			t.timeout = 10 * time.Second
			res := t.send()
			events := strings.Count(res.body, "\n\n")
			w.rec.note("stream %s: %d events of %d, complete: %v", res.id, events, longEvents, res.whole)
			if res.status == http.StatusOK && res.whole && events < longEvents {
				mu.Lock()
				defer mu.Unlock()
				breaches = append(breaches, fmt.Sprintf("ORDER: stream %s ended as complete after %d events of %d", res.id, events, longEvents))
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	if trouble {
		time.Sleep(300 * time.Millisecond)
		r := w.runners[0]
		w.rec.note("runner %s is told that it is taken away", r.currentName())
		r.announceEnd(notice)
		time.Sleep(notice)
		name := r.currentName()
		channels, _ := r.crash()
		w.rec.note("runner %s is gone; its %d channels end", name, channels)
	}
	streams.Wait()
	return breaches, nil
}

// streamUnframed is streamEvents for streams with neither a length nor chunks, which end with their channel.
func streamUnframed(events int, pace time.Duration) handleFunc {
	return func(r *runner, c net.Conn, req *http.Request) bool {
		r.began(req)
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
		if _, err := fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", r.head(http.StatusOK, req)); err != nil {
			return false
		}
		for i := 1; i <= events; i++ {
			time.Sleep(pace)
			if _, err := fmt.Fprintf(c, "id: %d\ndata: %s word%d\n\n", i, r.version, i); err != nil {
				return false
			}
		}
		return false
	}
}
