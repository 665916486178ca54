package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

const (
	// brittleSlots, brittleQueue and fewerWait are the places of a runner, the latter in a brittle time from contact on.
	brittleSlots = 6
	brittleQueue = 24
	fewerWait    = 6
	// brittleLimit is the number of requests that a brittle runner can turn away in a second.
	brittleLimit = 5
	brittleWork  = 60 * time.Millisecond
	// calmTime and brittleTime are the times before the runners are brittle and while they are.
	calmTime    = 4 * time.Second
	brittleTime = 30 * time.Second
	// burstTime is how long a burst lasts, burstInterval the time between its requests, which come besides the others;
	// downTime is how long a runner is down that crashes.
	burstTime     = 3 * time.Second
	burstInterval = 5700 * time.Microsecond
	downTime      = 2 * time.Second
	// brittleRunners is their number; mostFalls is 2 and a tenth of it.
	brittleRunners = 4
	mostFalls      = 2.4
)

// brittleRunner is a runner with room for some requests, which falls over when it has to turn too many away.
type brittleRunner struct {
	mu       sync.Mutex
	inFlight int
	rejected []time.Time
}

// playBrittle lets the runners of a service be brittle, under a load that they can bear.
func playBrittle(w *world, trouble bool) ([]string, error) {
	var mu sync.Mutex
	falls := 0
	var since time.Time
	brittle := func() (bool, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		return trouble && !since.IsZero() && time.Since(since) < brittleTime, time.Since(since)
	}
	for range brittleRunners {
		b := &brittleRunner{}
		slots := make(chan struct{}, brittleSlots)
		handle := func(r *runner, c net.Conn, req *http.Request) bool {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return false
			}
			isBrittle, lasted := brittle()
			header, room := "", brittleSlots+brittleQueue
			if isBrittle {
				header = fmt.Sprintf("Server-Brittle: %d\r\n", brittleLimit)
				if lasted > contact {
					room = brittleSlots + fewerWait
				}
			}
			if !b.enter(room) {
				r.w.rec.note("turned away: %s by runner %s", req.Header.Get("X-Request-Id"), r.currentName())
				if isBrittle && b.reject() > brittleLimit {
					name := r.currentName()
					if channels, crashed := r.crash(); crashed {
						mu.Lock()
						falls++
						r.w.rec.note("runner %s falls over (fall %d); its %d channels end", name, falls, channels)
						mu.Unlock()
						time.AfterFunc(backAfter, func() {
							b.reset()
							if err := r.restart(); err != nil {
								r.w.rec.note("runner is not back: %v", err)
							}
						})
					}
					return false
				}
				_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", req.Header.Get("X-Request-Id"), header)
				return err == nil
			}
			defer b.leave()
			slots <- struct{}{}
			r.began(req)
			time.Sleep(brittleWork)
			<-slots
			_, err := fmt.Fprintf(c, "%s%sContent-Length: 2\r\n\r\nok", r.head(http.StatusOK, req), header)
			return err == nil
		}
		if _, err := w.addRunner("app", "north", "v1", handle); err != nil {
			return nil, err
		}
	}
	err := w.configure(1, []serviceOf{{name: "app"}}, []routeOf{
		{prefix: "/lookup/", kind: site.Idempotent, service: "app", timeoutMillis: 4000, targetMillis: 400, attempts: 2},
	})
	if err != nil {
		return nil, err
	}
	if err := w.startDaemons(3, nil); err != nil {
		return nil, err
	}
	lookup := func(d *daemon) *try {
		return &try{daemon: d, method: http.MethodGet, path: "/lookup/case", timeout: 4 * time.Second}
	}
	stopTraffic := w.trafficOf(4*time.Millisecond, lookup, func(result) {})
	defer stopTraffic()
	time.Sleep(calmTime)
	mu.Lock()
	since = time.Now()
	mu.Unlock()
	w.rec.note("the runners are brittle from now on")
	for i := range 6 {
		time.Sleep(brittleTime/6 - burstTime)
		r := w.runners[i%brittleRunners]
		w.rec.note("runner %s crashes; many users come at once", r.currentName())
		_, crashed := r.crash()
		stopBurst := w.trafficOf(burstInterval, lookup, func(result) {})
		time.Sleep(downTime)
		if crashed {
			if err := r.restart(); err != nil {
				return nil, err
			}
			w.rec.note("runner %s is back", r.currentName())
		}
		time.Sleep(burstTime - downTime)
		stopBurst()
	}
	mu.Lock()
	defer mu.Unlock()
	w.rec.note("%d falls", falls)
	if float64(falls) > mostFalls {
		return []string{fmt.Sprintf("LIMIT: brittle runners fell over %d times", falls)}, nil
	}
	return nil, nil
}

func (b *brittleRunner) enter(room int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight >= room {
		return false
	}
	b.inFlight++
	return true
}

func (b *brittleRunner) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}

// reject records that a request was turned away, and returns how many were in the last second.
func (b *brittleRunner) reject() (lately int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rejected = append(b.rejected, time.Now())
	for _, at := range b.rejected {
		if time.Since(at) <= time.Second {
			lately++
		}
	}
	return lately
}

func (b *brittleRunner) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rejected = nil
}
