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

// requestKind is how a request may be treated.
type requestKind struct {
	path   string
	method string
	// repeatable requests may run more than once for one attempt.
	repeatable bool
	stream     bool
}

var requestKinds = []requestKind{
	{path: "/read/1", method: http.MethodGet, repeatable: true},
	{path: "/pledge/1", method: http.MethodPost},
	{path: "/draft/stream/1", method: http.MethodPost, repeatable: true, stream: true},
	{path: "/match/stream/1", method: http.MethodPost, stream: true},
}

// attempt is one attempt of a caller and what it got.
type attempt struct {
	requestKind
	id, key, body string
	daemonAddress string
	sent          time.Time
	status        int
	signature     string
	answer        string
	// truncated says that the answer did not end as a whole one.
	truncated bool
}

// attemptLog keeps all attempts.
type attemptLog struct {
	mu   sync.Mutex
	byID map[string]*attempt
	seq  int
}

func (r *attemptLog) add(seed int64, k requestKind, key, daemon string) *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	id := fmt.Sprintf("s%d-%d", seed, r.seq)
	c := &attempt{requestKind: k, id: id, key: key, daemonAddress: daemon, sent: time.Now()}
	if k.method == http.MethodPost {
		c.body = "body of " + id
	}
	r.byID[id] = c
	return c
}

// caller sends one request after the other until the context ends, as the users'
// callers do: it asks the directory which addresses to use, keeps its connections,
// goes on using them until they break, and leaves now and then.
type caller struct {
	fleet           *fleet
	attempts        *attemptLog
	seed            int64
	rng             *rand.Rand
	client          *http.Client
	addresses       []string
	addressesExpire time.Time
}

const (
	callerTimeout = 3 * time.Second
	// addressTTL is how long callers keep what the directory said.
	addressTTL = 2 * time.Second
)

func newCaller(f *fleet, r *attemptLog, seed int64, n int) *caller {
	return &caller{
		fleet: f, attempts: r, seed: seed, rng: rand.New(rand.NewPCG(uint64(seed), uint64(100+n))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}},
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		address := c.pickAddress(ctx)
		if address != "" {
			k := requestKinds[c.rng.IntN(len(requestKinds))]
			c.send(ctx, c.attempts.add(c.seed, k, c.fleet.pickKey(c.rng.IntN(8)), address))
		}
		time.Sleep(time.Duration(c.rng.IntN(30)) * time.Millisecond)
	}
}

// pickAddress picks one that the directory gave.
func (c *caller) pickAddress(ctx context.Context) string {
	if time.Now().After(c.addressesExpire) {
		d := c.fleet.daemons[c.rng.IntN(len(c.fleet.daemons))]
		if found := c.resolve(ctx, d); len(found) > 0 {
			c.addresses, c.addressesExpire = found, time.Now().Add(addressTTL)
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
	found, err := d.Directory(ctx, c.client, site.Host)
	if err != nil {
		return nil
	}
	return found
}

func (c *caller) send(ctx context.Context, a *attempt) {
	timeout := callerTimeout
	if c.rng.IntN(20) == 0 {
		timeout = time.Duration(1+c.rng.IntN(60)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := site.Ask(ctx, c.client, a.daemonAddress, &site.Attempt{
		ID: a.id, Method: a.method, Host: site.Host, Path: a.path, Body: a.body, Key: a.key,
		Patience: callerTimeout, ForgedWorkspace: "forged",
	})
	c.attempts.mu.Lock()
	defer c.attempts.mu.Unlock()
	if err != nil {
		a.truncated = true
		return
	}
	a.status, a.signature, a.answer, a.truncated = answer.Status, answer.Signature(), answer.Body, answer.Cut
}
