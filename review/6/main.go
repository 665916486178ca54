// Command 6 plays case 6: a daemon is cut off from all runners and lets another one serve its requests. Some last until
// their time is over; the daemon refuses part of them as not run, which have run.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/review/bed"
)

const (
	daemons, runners = 4, 4
	tenant, key      = "hule930", "i9n73hh2b9wu3fexd9dn"
	timeout          = 800
	// cuts are how often a daemon is cut off, each time for cut, with calm between.
	cuts = 6
	cut  = 5 * time.Second
	calm = 4 * time.Second
	pace = 20 * time.Millisecond
)

func main() {
	b, err := bed.New("review/6/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(bed.CouldNot)
	}
	status := play(b)
	b.Close()
	os.Exit(status)
}

func start(b *bed.Bed) error {
	routes := []map[string]any{bed.Route("pledge", "non_idempotent", "app", timeout, 100, 1, nil)}
	if err := b.Store.Put("op/config", bed.Config(7, routes, bed.Tenant(tenant, key))); err != nil {
		return err
	}
	for n := range runners {
		r, err := b.AddRunner(fmt.Sprintf("i-app%d", n), "app", "north", 0)
		if err != nil {
			return err
		}
		r.Long = 2 * time.Second
	}
	for range daemons {
		if _, err := b.AddDaemon("north"); err != nil {
			return err
		}
	}
	for _, d := range b.Daemons {
		if err := d.Start(true); err != nil {
			return err
		}
	}
	return nil
}

// attempts are the consumers' attempts by their IDs.
type attempts struct {
	mu   sync.Mutex
	byID map[string]*bed.Answer
}

// send sends pledges to a daemon, of which one in three lasts longer than its route's timeout.
func (t *attempts) send(b *bed.Bed, d *bed.Daemon, until time.Time) {
	client := bed.Client()
	var all sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		path := []string{"/pledge/2f", "/pledge/2f", "/pledge/long"}[n%3]
		all.Go(func() {
			a := bed.Send(context.Background(), client, d.Front(), bed.Request{Path: path, Key: key, Body: "{}", Deadline: 1200 * time.Millisecond})
			b.Note("%s %s to %s: status %d after %v, error %v", path, a.ID, d.IP, a.Status, a.Took, a.Err)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.byID[a.ID] = a
		})
		time.Sleep(pace)
	}
	all.Wait()
}

func play(b *bed.Bed) int {
	if err := start(b); err != nil {
		b.Note("start: %v", err)
		return bed.CouldNot
	}
	if !b.AwaitReady(10 * time.Second) {
		b.Note("the daemons are not ready")
		return bed.CouldNot
	}
	time.Sleep(2 * time.Second)
	for _, d := range b.Daemons {
		a := bed.Send(context.Background(), bed.Client(), d.Front(), bed.Request{Path: "/pledge/2f", Key: key, Body: "{}", Deadline: 1200 * time.Millisecond})
		if !a.Served() {
			b.Note("the deployment doesn't serve in calm: %d %v", a.Status, a.Err)
			return bed.CouldNot
		}
	}
	t := &attempts{byID: map[string]*bed.Answer{}}
	for n := range cuts {
		d := b.Daemons[n%daemons]
		if b.Trouble {
			b.Cut(d)
			b.Note("%s is cut off from all runners", d.IP)
		}
		t.send(b, d, time.Now().Add(cut))
		b.Heal()
		b.Note("%s reaches the runners", d.IP)
		t.send(b, d, time.Now().Add(calm))
	}
	return check(b, t)
}

func check(b *bed.Bed, t *attempts) int {
	statuses, broken := map[int]int{}, 0
	for _, a := range t.byID {
		statuses[a.Status]++
	}
	for _, r := range b.Runners {
		for _, run := range r.Runs() {
			a := t.byID[run.ID]
			if a == nil {
				continue
			}
			switch a.Status {
			case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
				broken++
				b.Note("broken, REFUSED: %s ran at %s, and was answered %d: %s", run.ID, r.ID, a.Status, a.Body)
			}
		}
	}
	b.Note("%d pledges, by status %v; %d were refused as not run and had run", len(t.byID), statuses, broken)
	if broken > 0 {
		return bed.Broken
	}
	return bed.Held
}
