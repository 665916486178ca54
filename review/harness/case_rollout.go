package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

const (
	// orderDuration is the time budget of the order. quietInterval and usualInterval are the times between requests in
	// the quiet hour in which it is given and later.
	orderDuration = 15 * time.Second
	quietInterval = 1100 * time.Millisecond
	usualInterval = 25 * time.Millisecond
	usualTime     = 25 * time.Second
	// badShare is the share of its answers that a bad version fails.
	badShare = 0.25
	// rollBack is rollback_ms, after the bad answer with the number badAnswers.
	rollBack   = 5 * time.Second
	badAnswers = 50
)

// playQuietRollout orders a service's requests to be moved to another version while few requests come. A bad version must
// not go on getting requests.
func playQuietRollout(w *world, trouble bool) ([]string, error) {
	var mu sync.Mutex
	var bad, reached []time.Time
	sound := answerWhole(15*time.Millisecond, http.StatusOK)
	failing := answerWhole(15*time.Millisecond, http.StatusInternalServerError)
	newVersion := func(r *runner, c net.Conn, req *http.Request) bool {
		fails := trouble && rand.Float64() < badShare
		mu.Lock()
		reached = append(reached, time.Now())
		if fails {
			bad = append(bad, time.Now())
		}
		mu.Unlock()
		if fails {
			return failing(r, c, req)
		}
		return sound(r, c, req)
	}
	add := func(version string, handle handleFunc) ([]*runner, error) {
		var added []*runner
		for range 3 {
			r, err := w.addRunner("app", "north", version, handle)
			if err != nil {
				return nil, err
			}
			added = append(added, r)
		}
		return added, nil
	}
	former, err := add("v1", sound)
	if err != nil {
		return nil, err
	}
	err = w.configure(1, []serviceOf{{name: "app"}}, []routeOf{
		{prefix: "/pledge/", kind: site.AtMostOnce, service: "app", timeoutMillis: 800, targetMillis: 100, attempts: 1},
	})
	if err != nil {
		return nil, err
	}
	w.rollouts = true
	if err := w.startDaemons(3, nil); err != nil {
		return nil, err
	}
	pledgeOnce := func(d *daemon) *try {
		return &try{daemon: d, method: http.MethodPost, path: "/pledge/bounty", body: "pledge"}
	}
	stopQuiet := w.trafficOf(quietInterval, pledgeOnce, func(result) {})
	time.Sleep(4 * time.Second)
	w.rec.note("the operator orders app to be moved to v2")
	order := map[string]any{"service": "app", "target": "v2", "duration_s": orderDuration.Seconds()}
	if err := w.store.Put("op/rollout/app", order); err != nil {
		return nil, err
	}
	if _, err := add("v2", newVersion); err != nil {
		return nil, err
	}
	state := ""
	w.await(orderDuration+5*time.Second, func() bool {
		state = w.rolloutState("app")
		return state == "completed" || state == "rolled_back"
	})
	stopQuiet()
	mu.Lock()
	w.rec.note("status/rollout/app is %q; %d requests have reached v2, %d answers of it were bad", state, len(reached), len(bad))
	mu.Unlock()
	if state == "completed" {
		for _, r := range former {
			r.crash()
		}
	}
	stopUsual := w.trafficOf(usualInterval, pledgeOnce, func(result) {})
	time.Sleep(usualTime)
	stopUsual()
	mu.Lock()
	defer mu.Unlock()
	if len(bad) < badAnswers {
		return nil, nil
	}
	late := 0
	for _, at := range reached {
		if at.After(bad[badAnswers-1].Add(rollBack)) {
			late++
		}
	}
	w.rec.note("%d bad answers; %d requests reached v2 later than %v after the fiftieth", len(bad), late, rollBack)
	if late > 0 {
		return []string{fmt.Sprintf("EXPOSURE: the bad version got %d requests later than rollback_ms after its 50th bad answer", late)}, nil
	}
	return nil, nil
}

// rolloutState returns what the system has written of a roll-out.
func (w *world) rolloutState(service string) string {
	answer, err := http.Get("http://" + w.store.Address() + "/v1/kv-key?key=status/rollout/" + service)
	if err != nil {
		return ""
	}
	defer answer.Body.Close()
	var item struct {
		Value []byte `json:"value"`
	}
	var status struct {
		State string `json:"state"`
	}
	if json.NewDecoder(answer.Body).Decode(&item) != nil || json.Unmarshal(item.Value, &status) != nil {
		return ""
	}
	return status.State
}
