package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

const (
	// turnedAwayShare is the share of requests for which the runner has no room, restTime how long it wants no others then.
	turnedAwayShare = 0.2
	restTime        = 40 * time.Millisecond
	// extraShare is the share of the answers that are sent twice, for extraTime in each extraInterval.
	extraShare    = 0.03
	extraTime     = 5 * time.Second
	extraInterval = 7 * time.Second
	// extraFor is how long the callers send.
	extraFor = 50 * time.Second
	// extraCallers is the number of callers at each daemon.
	extraCallers = 1
)

// playLateExtra lets a runner send some of its answers twice, the second time where the next answer on the channel is
// expected. Callers must not be told that a request which has run has not.
func playLateExtra(w *world, trouble bool) ([]string, error) {
	var mu sync.Mutex
	extra := map[net.Conn]string{}
	begun := time.Now()
	sound := answerWhole(15*time.Millisecond, http.StatusOK)
	handle := func(r *runner, c net.Conn, req *http.Request) bool {
		mu.Lock()
		late := extra[c]
		delete(extra, c)
		mu.Unlock()
		if late != "" {
			r.w.rec.note("runner %s sends an answer a second time, before that to %s", r.currentName(), req.Header.Get("X-Request-Id"))
			if _, err := io.WriteString(c, late); err != nil {
				return false
			}
		}
		if rand.Float64() >= turnedAwayShare {
			return sound(r, c, req)
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
		id := req.Header.Get("X-Request-Id")
		answer := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nRetry-After: %g\r\nContent-Length: 0\r\n\r\n",
			id, restTime.Seconds())
		r.w.rec.note("turned away: %s by runner %s", id, r.currentName())
		if trouble && time.Since(begun)%extraInterval < extraTime && rand.Float64() < extraShare {
			mu.Lock()
			extra[c] = answer
			mu.Unlock()
		}
		_, err := io.WriteString(c, answer)
		return err == nil
	}
	if _, err := w.addRunner("app", "north", "v1", handle); err != nil {
		return nil, err
	}
	err := w.configure(1, []serviceOf{{name: "app"}}, []routeOf{
		{prefix: "/pledge/", kind: site.AtMostOnce, service: "app", timeoutMillis: 4000, targetMillis: 400, attempts: 3},
	})
	if err != nil {
		return nil, err
	}
	if err := w.startDaemons(3, nil); err != nil {
		return nil, err
	}
	var breaches []string
	var callers sync.WaitGroup
	end := time.Now().Add(extraFor)
	for n := range 3 * extraCallers {
		callers.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				subject := fmt.Sprintf("pledge%d-%04d", n, i)
				t := &try{
					daemon: w.daemons[n%3], method: http.MethodPost, path: "/pledge/bounty", body: subject, timeout: 4 * time.Second,
					headers: []string{headerSubject + ": " + subject},
				}
				res := t.send()
				if promisesNotRun(res.status) {
					time.Sleep(2 * restTime)
					// As the pages say, the caller asks once more after a promise.
					t.send()
					if found := w.brokenPromises(res, subject); len(found) > 0 {
						mu.Lock()
						breaches = append(breaches, found...)
						mu.Unlock()
					}
				}
			}
		})
	}
	callers.Wait()
	return append(w.runTwice(), breaches...), nil
}

// runTwice returns the requests that runners have begun to run more than once.
func (w *world) runTwice() (breaches []string) {
	times := map[string]int{}
	for _, r := range w.allRuns() {
		if times[r.id]++; times[r.id] == 2 {
			breaches = append(breaches, fmt.Sprintf("TWICE: %s (%s), one try of a caller, was run again at runner %s", r.id, r.subject, r.runner))
		}
	}
	return breaches
}

// brokenPromises returns the runs of a request that its caller was told has not run.
func (w *world) brokenPromises(res result, subject string) (breaches []string) {
	for _, r := range w.allRuns() {
		if r.id == res.id {
			breaches = append(breaches, fmt.Sprintf("REFUSED: %s (%s) was answered %d and had run at runner %s; %s was run %d times",
				res.id, subject, res.status, r.runner, subject, w.runsOf(subject)))
		}
	}
	return breaches
}
