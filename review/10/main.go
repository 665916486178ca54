// Command 10 plays case 10: one request of a consumer states a number of tokens that no request has. It runs although it is
// far beyond its tenant's quota, and all other consumers of the tenant are refused from then on.
package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/review/bed"
)

const (
	daemons = 3
	// before and after are how long ordinary consumers send requests before the odd request and after it.
	before = 6 * time.Second
	after  = 60 * time.Second
	// settle is left out after the odd request: it is longer than the quota's window.
	settle = 10 * time.Second
	pace   = 200 * time.Millisecond
	// leastShare is the part of all requests' share below which a tenant's share breaks the gate's rule (Starved).
	leastShare = 0.25
	// The bounds of the quota's rule.
	window  = 8 * time.Second
	overage = 0.1
	slack   = 190000
	// plainTokens is what a request without numbers of tokens counts.
	plainTokens = 200
)

// oddUsage is what the odd request states: 500 tokens of a prompt, and the largest number of 32 bits for the answer.
const oddUsage = "500,2147483647"

var keys = map[string]string{"hule930": "i9n73hh2b9wu3fexd9dn", "fida11": "n2ctnfzs989anu6wsjnb"}

func main() {
	b, err := bed.New("review/10")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(bed.CouldNot)
	}
	status := play(b)
	b.Close()
	os.Exit(status)
}

func start(b *bed.Bed) error {
	routes := []map[string]any{
		bed.Route("stream", "streaming", "llm", 10000, 800, 2, map[string]any{"sticky": true, "resumable": true, "gap_aim_ms": 250}),
		bed.Route("pledge", "non_idempotent", "app", 800, 100, 1, nil),
	}
	var tenants []map[string]any
	for name, key := range keys {
		tenants = append(tenants, bed.Tenant(name, key))
	}
	if err := b.Store.Put("op/config", bed.Config(7, routes, tenants...)); err != nil {
		return err
	}
	for n := range daemons {
		if _, err := b.AddRunner(fmt.Sprintf("i-llm%d", n), "llm", "north", bed.KVTokens); err != nil {
			return err
		}
		if _, err := b.AddRunner(fmt.Sprintf("i-app%d", n), "app", "north", 0); err != nil {
			return err
		}
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

// share counts the requests of a tenant.
type share struct{ sent, served int }

func (s share) part() float64 { return float64(s.served) / float64(max(1, s.sent)) }

// attempts are the consumers' attempts by ID, with the tokens that each counts.
type attempts struct {
	mu     sync.Mutex
	tokens map[string]float64
	sent   map[string]time.Time
}

func (t *attempts) add(a *bed.Answer, usage string) {
	tokens := 0.0
	for size := range strings.SplitSeq(usage, ",") {
		n, err := strconv.ParseFloat(size, 64)
		if err == nil {
			tokens += n
		}
	}
	if usage == "" {
		tokens = plainTokens
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokens[a.ID], t.sent[a.ID] = tokens, a.Sent
}

// traffic lets each tenant's ordinary consumers send requests of both kinds to all daemons in turn until the end.
func traffic(b *bed.Bed, t *attempts, end time.Time) map[string]*share {
	shares := map[string]*share{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for tenant, key := range keys {
		s := &share{}
		shares[tenant] = s
		all.Go(func() {
			client := bed.Client()
			for n := 0; time.Now().Before(end); n++ {
				r := bed.Request{Path: "/stream/2f", Key: key, Usage: "1460,80", Prefix: "5c1e07a2:800,91bd3f06:410,e4402b7d:250", Body: "{}", Deadline: 10 * time.Second}
				if n%2 == 1 {
					r = bed.Request{Path: "/pledge/2f", Key: key, Body: "{}", Deadline: 1500 * time.Millisecond}
				}
				address := b.Daemons[n/2%daemons].Front()
				all.Go(func() {
					a := bed.Send(context.Background(), client, address, r)
					t.add(a, r.Usage)
					b.Note("%s %s %s: status %d retry-after %q error %v", tenant, r.Path, a.ID, a.Status, a.Header.Get("Retry-After"), a.Err)
					mu.Lock()
					defer mu.Unlock()
					s.sent++
					if a.Served() {
						s.served++
					}
				})
				time.Sleep(pace)
			}
		})
	}
	all.Wait()
	return shares
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
	t := &attempts{tokens: map[string]float64{}, sent: map[string]time.Time{}}
	for tenant, s := range traffic(b, t, time.Now().Add(before)) {
		b.Note("before: tenant %s: %d sent, %d served", tenant, s.sent, s.served)
		if s.part() < 0.9 {
			b.Note("the deployment doesn't serve in calm")
			return bed.CouldNot
		}
	}
	usage := ""
	if b.Trouble {
		usage = oddUsage
	}
	a := bed.Send(context.Background(), bed.Client(), b.Daemons[0].Front(), bed.Request{Path: "/pledge/2f", Key: keys["hule930"], Usage: usage, Body: "{}", Deadline: 1500 * time.Millisecond})
	t.add(a, usage)
	b.Note("the odd consumer's request %s with X-Token-Usage %q: status %d %q error %v", a.ID, usage, a.Status, a.Body, a.Err)
	time.Sleep(settle)
	shares := traffic(b, t, time.Now().Add(after))
	return max(checkShares(b, shares), checkQuota(b, t))
}

// checkShares checks that no tenant is starved.
func checkShares(b *bed.Bed, shares map[string]*share) int {
	all := share{}
	for _, s := range shares {
		all.sent, all.served = all.sent+s.sent, all.served+s.served
	}
	status := bed.Held
	for tenant, s := range shares {
		b.Note("after: tenant %s: %d sent, %d served", tenant, s.sent, s.served)
		if s.part() < leastShare*all.part() {
			b.Note("broken: tenant %s is served %.3f of its requests, all tenants together %.3f", tenant, s.part(), all.part())
			status = bed.Broken
		}
	}
	return status
}

// checkQuota checks that in no window a tenant's requests that were sent and run in it count more tokens than its quota
// and the tolerance. Requests that ran in time for the window are those sent in it: they run within milliseconds.
func checkQuota(b *bed.Bed, t *attempts) int {
	bound := (bed.QuotaPerSecond*window.Seconds()+bed.QuotaBurst)*(1+overage) + slack
	byTenant := map[string][]bed.Run{}
	for _, r := range b.Runners {
		for _, run := range r.Runs() {
			byTenant[run.Tenant] = append(byTenant[run.Tenant], run)
		}
	}
	status := bed.Held
	for tenant, runs := range byTenant {
		most := 0.0
		for _, first := range runs {
			sum := 0.0
			for _, run := range runs {
				if !run.At.Before(first.At) && run.At.Sub(first.At) < window && !t.sent[run.ID].Before(first.At.Add(-pace)) {
					sum += t.tokens[run.ID]
				}
			}
			most = max(most, sum)
		}
		b.Note("tenant %s: at most %.0f tokens run in %v, %.0f allowed", tenant, most, window, bound)
		if most > bound {
			b.Note("broken: QUOTA of tenant %s", tenant)
			status = bed.Broken
		}
	}
	return status
}
