package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

// kind is how a request may be treated.
type kind struct {
	path   string
	method string
	// repeatable requests may run more than once for one attempt.
	repeatable bool
	stream     bool
}

var requestKinds = []kind{
	{path: "/read/1", method: http.MethodGet, repeatable: true},
	{path: "/pledge/1", method: http.MethodPost},
	{path: "/draft/stream/1", method: http.MethodPost, repeatable: true, stream: true},
	{path: "/match/stream/1", method: http.MethodPost, stream: true},
}

// call is one attempt of a caller and what it got.
type call struct {
	kind
	id, key, body string
	daemon        string
	sent          time.Time
	status        int
	signature     string
	answer        string
	// cut says that the answer did not end as a whole one.
	cut bool
}

// record keeps all attempts.
type record struct {
	mu    sync.Mutex
	calls map[string]*call
	seq   int
}

func (r *record) next(seed int64, k kind, key, daemon string) *call {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	id := fmt.Sprintf("s%d-%d", seed, r.seq)
	c := &call{kind: k, id: id, key: key, daemon: daemon, sent: time.Now()}
	if k.method == http.MethodPost {
		c.body = "body of " + id
	}
	r.calls[id] = c
	return c
}

// caller sends one request after the other until the context ends, as the users'
// callers do: it asks the directory which addresses to use, keeps its connections,
// goes on using them until they break, and leaves now and then.
type caller struct {
	fleet     *fleet
	record    *record
	seed      int64
	rng       *rand.Rand
	client    *http.Client
	addresses []string
	until     time.Time
}

const (
	callerPatience = 3 * time.Second
	// keepAddresses is how long callers keep what the directory said.
	keepAddresses = 2 * time.Second
)

func newCaller(f *fleet, r *record, seed int64, n int) *caller {
	return &caller{
		fleet: f, record: r, seed: seed, rng: rand.New(rand.NewPCG(uint64(seed), uint64(100+n))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}},
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		address := c.address(ctx)
		if address != "" {
			k := requestKinds[c.rng.IntN(len(requestKinds))]
			c.ask(ctx, c.record.next(c.seed, k, c.fleet.aKey(c.rng.IntN(8)), address))
		}
		time.Sleep(time.Duration(c.rng.IntN(30)) * time.Millisecond)
	}
}

// address picks one that the directory gave.
func (c *caller) address(ctx context.Context) string {
	if time.Now().After(c.until) {
		d := c.fleet.daemons[c.rng.IntN(len(c.fleet.daemons))]
		if found := c.resolve(ctx, d); len(found) > 0 {
			c.addresses, c.until = found, time.Now().Add(keepAddresses)
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.rng.IntN(len(c.addresses))]
}

func (c *caller) resolve(ctx context.Context, d *daemon) []string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	found, err := d.ResolveHost(ctx, c.client, site.Host)
	if err != nil {
		return nil
	}
	return found
}

func (c *caller) ask(ctx context.Context, a *call) {
	patience := callerPatience
	if c.rng.IntN(20) == 0 {
		patience = time.Duration(1+c.rng.IntN(60)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	answer, err := site.SendRequest(ctx, c.client, a.daemon, &site.CallerRequest{
		ID: a.id, Method: a.method, Host: site.Host, Path: a.path, Body: a.body, APIKey: a.key,
		Timeout: callerPatience, SpoofedWorkspace: "forged",
	})
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	if err != nil {
		a.cut = true
		return
	}
	a.status, a.signature, a.answer, a.cut = answer.Status, answer.Signature(), answer.Body, answer.Truncated
}
