// Command 10 plays case 10: a version of the config takes the last tenant away, and with it the last key. From then on the
// key still works, and so does any other.
package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/review/bed"
)

const (
	daemons, runners = 3, 3
	tenant, key      = "hule930", "i9n73hh2b9wu3fexd9dn"
	// unknownKey is a key that no config holds.
	unknownKey = "x0000000000000000000"
	// revoke is bounds.revoke_ms.
	revoke = 5 * time.Second
	before = 5 * time.Second
	after  = 25 * time.Second
	pace   = 100 * time.Millisecond
)

func main() {
	b, err := bed.New("review/10/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(bed.CouldNot)
	}
	status := play(b)
	b.Close()
	os.Exit(status)
}

var routes = []map[string]any{
	bed.Route("pledge", "non_idempotent", "app", 800, 100, 1, nil),
	bed.Route("lookup", "idempotent", "app", 800, 100, 2, nil),
}

func start(b *bed.Bed) error {
	if err := b.Store.Put("op/config", bed.Config(7, routes, bed.Tenant(tenant, key))); err != nil {
		return err
	}
	for n := range runners {
		if _, err := b.AddRunner(fmt.Sprintf("i-app%d", n), "app", "north", 0); err != nil {
			return err
		}
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

// attempts are the consumers' attempts with the key that was taken away, and with one that never was.
type attempts struct {
	mu      sync.Mutex
	revoked map[string]*bed.Answer
	unknown map[string]*bed.Answer
}

func (t *attempts) send(b *bed.Bed, until time.Time) {
	client := bed.Client()
	var all sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		path := []string{"/pledge/2f", "/lookup/2f"}[n%2]
		address := b.Daemons[n/2%daemons].Front()
		for k, list := range map[string]map[string]*bed.Answer{key: t.revoked, unknownKey: t.unknown} {
			all.Go(func() {
				a := bed.Send(context.Background(), client, address, bed.Request{Path: path, Key: k, Body: "{}", Deadline: 1500 * time.Millisecond})
				b.Note("%s %s with key %s: status %d error %v", path, a.ID, k, a.Status, a.Err)
				t.mu.Lock()
				defer t.mu.Unlock()
				list[a.ID] = a
			})
		}
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
	t := &attempts{revoked: map[string]*bed.Answer{}, unknown: map[string]*bed.Answer{}}
	t.send(b, time.Now().Add(before))
	for _, a := range t.revoked {
		if !a.Served() {
			b.Note("the deployment doesn't serve in calm")
			return bed.CouldNot
		}
	}
	var acknowledged time.Time
	if b.Trouble {
		if err := b.Store.Put("op/config", bed.Config(9, routes)); err != nil {
			b.Note("config: %v", err)
			return bed.CouldNot
		}
		acknowledged = time.Now()
		b.Note("config 9 without the tenant is acknowledged")
	}
	t.send(b, time.Now().Add(after))
	return check(b, t, acknowledged)
}

func check(b *bed.Bed, t *attempts, acknowledged time.Time) int {
	withRevoked, withUnknown, asTenant := 0, 0, 0
	for _, r := range b.Runners {
		for _, run := range r.Runs() {
			if a := t.revoked[run.ID]; a != nil && !acknowledged.IsZero() && a.Sent.Sub(acknowledged) > revoke {
				withRevoked++
				b.Note("broken, CONFIG: %s ran at %s for tenant %q, sent %v after its key was taken away", run.ID, r.ID, run.Tenant, a.Sent.Sub(acknowledged))
			}
			if t.unknown[run.ID] != nil {
				withUnknown++
				b.Note("broken, ROUTE: %s ran at %s for tenant %q with a key that no config ever held", run.ID, r.ID, run.Tenant)
			}
			if run.Tenant != "" && run.Tenant != tenant {
				asTenant++
			}
		}
	}
	b.Note("%d attempts with the tenant's key, %d with an unknown one; %d ran too late with the first, %d with the second, %d for another tenant",
		len(t.revoked), len(t.unknown), withRevoked, withUnknown, asTenant)
	if withRevoked+withUnknown+asTenant > 0 {
		return bed.Broken
	}
	return bed.Held
}
