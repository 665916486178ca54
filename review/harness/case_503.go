package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

// failShare is the share of its requests that a runner in trouble fails.
const failShare = 0.4

// playFailed503 lets runners fail part of their requests with status 503, after they have run them. Callers must not
// be told that such a request has not run.
func playFailed503(w *world, trouble bool) ([]string, error) {
	sound := answerWhole(15*time.Millisecond, http.StatusOK)
	failing := answerWhole(15*time.Millisecond, http.StatusServiceUnavailable)
	for n := range 4 {
		handle := func(r *runner, c net.Conn, req *http.Request) bool {
			if trouble && n == 0 && rand.Float64() < failShare {
				return failing(r, c, req)
			}
			return sound(r, c, req)
		}
		if _, err := w.addRunner("app", "north", "v1", handle); err != nil {
			return nil, err
		}
	}
	err := w.configure(1, []serviceOf{{name: "app"}}, []routeOf{
		{prefix: "/pledge/", kind: site.AtMostOnce, service: "app", timeoutMillis: 800, targetMillis: 100, attempts: 1},
	})
	if err != nil {
		return nil, err
	}
	if err := w.startDaemons(2, nil); err != nil {
		return nil, err
	}
	var breaches []string
	for n := range 200 {
		subject := fmt.Sprintf("pledge%03d", n)
		t := &try{
			daemon: w.daemons[n%2], method: http.MethodPost, path: "/pledge/bounty", body: subject, headers: []string{headerSubject + ": " + subject},
		}
		res := t.send()
		if !promisesNotRun(res.status) {
			continue
		}
		for _, r := range w.allRuns() {
			if r.id == res.id {
				breaches = append(breaches, fmt.Sprintf("REFUSED: %s (%s) was answered %d and had run at runner %s", res.id, subject, res.status, r.runner))
			}
		}
		// As the pages say, the caller asks once more after a promise.
		t.send()
		if times := w.runsOf(subject); times > 1 {
			w.rec.note("%s was run %d times", subject, times)
		}
	}
	return breaches, nil
}

// runsOf returns how often runners began to run requests about a subject.
func (w *world) runsOf(subject string) (times int) {
	for _, r := range w.allRuns() {
		if r.subject == subject {
			times++
		}
	}
	return times
}

// promisesNotRun reports whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
