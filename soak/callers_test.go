package soak_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

// requestKind describes one kind of request that callers send.
type requestKind struct {
	path   string
	method string
	// repeatable marks a request that the gateway may run more than once for one
	// attempt.
	repeatable bool
	stream     bool
	// patience is how long a caller waits for the answer, and the deadline that it states; zero for callerTimeout.
	patience time.Duration
	// promptTokens is the stated size of the prompt; zero for none.
	promptTokens int
}

var requestKinds = []requestKind{
	{path: "/read/1", method: http.MethodGet, repeatable: true},
	{path: "/pledge/1", method: http.MethodPost},
	{path: "/draft/stream/1", method: http.MethodPost, repeatable: true, stream: true},
	{path: "/match/stream/1", method: http.MethodPost, stream: true},
}

// longStreamKinds are streams that take so long that a silence of their runner may fall into them.
var longStreamKinds = []requestKind{
	{path: "/draft/stream/1", method: http.MethodPost, repeatable: true, stream: true, patience: longStreamPatience},
	{path: "/match/stream/1", method: http.MethodPost, stream: true, patience: longStreamPatience},
}

const (
	// A stream of five events takes 1 to 3 s at these times between two.
	leastEventTime = 200 * time.Millisecond
	mostEventTime  = 600 * time.Millisecond
	// longStreamPatience is the time of the longest stream and of the longest silence, and some for a second
	// attempt.
	longStreamPatience = 6 * time.Second
)

// attempt is one request of a caller and the answer to it.
type attempt struct {
	requestKind
	id, key, body string
	daemonAddress string
	// workspace owns the key.
	workspace   string
	sent, ended time.Time
	// first is the ID of the request of which this one is a return, by its number of returns; its own if it is none.
	first   string
	returns int
	// timeLeft is what is left at a return of the time for all of them; zero if this is none.
	timeLeft time.Duration
	// retryAfter is when a refused caller comes back.
	retryAfter time.Duration
	status     int
	signature  string
	answer     string
	// truncated is set if the answer failed or ended before it was complete.
	truncated bool
	// left is set if the caller had left when the answer ended.
	left bool
}

// attemptLog holds all attempts of a soak by request ID.
type attemptLog struct {
	seed int64

	mu   sync.Mutex
	byID map[string]*attempt
	seq  int
}

// timeout returns how long the caller waits for the answer, and states that it will.
func (a *attempt) timeout() time.Duration {
	return cmp.Or(a.timeLeft, max(callerTimeout, a.patience))
}

// isRefused reports whether the answer says that the request has not run.
func (a *attempt) isRefused() bool {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (r *attemptLog) add(k requestKind, key, daemonAddress string) *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &attempt{requestKind: k, key: key, workspace: site.Workspace, daemonAddress: daemonAddress}
	r.addLocked(a)
	a.first = a.id
	if k.method == http.MethodPost {
		a.body = "body of " + a.id
	}
	return a
}

// addReturn adds the return of a refused request.
func (r *attemptLog) addReturn(refused *attempt, daemonAddress string, timeLeft time.Duration) *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &attempt{
		requestKind: refused.requestKind, key: refused.key, workspace: refused.workspace, body: refused.body, daemonAddress: daemonAddress,
		first: refused.first, returns: refused.returns + 1, timeLeft: timeLeft,
	}
	r.addLocked(a)
	return a
}

func (r *attemptLog) addLocked(a *attempt) {
	r.seq++
	a.id, a.sent = fmt.Sprintf("s%d-%d", r.seed, r.seq), time.Now()
	r.byID[a.id] = a
}

// caller sends one request after the other until the context ends. Like the callers of
// the real fleets, it resolves addresses through the directory, reuses its connections
// until they break, and sometimes abandons a request.
type caller struct {
	fleet           *fleet
	rng             *rand.Rand
	client          *http.Client
	addresses       []string
	addressesExpire time.Time
	// longStreams is set if the caller sends only requests for long streams. Otherwise it sends kinds.
	longStreams bool
	kinds       []requestKind
	workspace   string
	// pinned is the daemon to which the caller sends; nil for those that the directory names.
	pinned *daemon
}

const (
	callerTimeout = 3 * time.Second
	// addressTTL is how long a caller uses the addresses that the directory returned.
	addressTTL = 2 * time.Second
	// unstatedReturn is when a caller comes back that isn't told when.
	unstatedReturn = 500 * time.Millisecond

	// Numbers of the callers of a seed, by what they send.
	longStreamCallerNumbers = 100
	steadyCallerNumbers     = 200
	surgeCallerNumbers      = 300
	revokedCallerNumbers    = 1000
)

func newCaller(f *fleet, n int) *caller {
	return &caller{
		fleet: f, kinds: requestKinds, workspace: site.Workspace, rng: rand.New(rand.NewPCG(uint64(f.seed), uint64(100+n))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}},
	}
}

// run sends requests until accepting ends. Those that are being sent then go on until ctx ends.
func (c *caller) run(accepting, ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for accepting.Err() == nil {
		address := c.address(ctx)
		if address != "" {
			k := c.nextKind()
			c.sendUntilServed(ctx, c.nextAttempt(k, address))
		}
		time.Sleep(time.Duration(c.rng.IntN(30)) * time.Millisecond)
	}
}

func (c *caller) nextAttempt(k requestKind, address string) *attempt {
	if c.workspace == site.Workspace {
		return c.fleet.attemptLog.add(k, c.fleet.pickKey(c.rng.IntN(8)), address)
	}
	a := c.fleet.attemptLog.add(k, keyOf(c.workspace), address)
	a.workspace = c.workspace
	return a
}

// sendUntilServed sends a request and, where callers honour Retry-After, its returns, unless its time is over.
func (c *caller) sendUntilServed(ctx context.Context, a *attempt) {
	deadline := a.sent.Add(a.timeout())
	c.send(ctx, a)
	for c.fleet.with.returns && a.isRefused() && time.Until(deadline) > a.retryAfter {
		time.Sleep(a.retryAfter)
		address := c.address(ctx)
		if address == "" || ctx.Err() != nil {
			return
		}
		a = c.fleet.attemptLog.addReturn(a, address, time.Until(deadline))
		c.send(ctx, a)
	}
}

// nextKind draws the kind of the caller's next request.
func (c *caller) nextKind() requestKind {
	if !c.longStreams {
		return c.kinds[c.rng.IntN(len(c.kinds))]
	}
	k := longStreamKinds[c.rng.IntN(len(longStreamKinds))]
	k.path += fmt.Sprintf("?event_ms=%d", durationBetween(c.rng, leastEventTime, mostEventTime).Milliseconds())
	return k
}

// address returns one of the addresses from the directory, and resolves them anew
// when they have expired. It returns "" if there are none.
func (c *caller) address(ctx context.Context) string {
	if c.pinned != nil {
		return c.pinned.CallerAddress()
	}
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
	found, err := d.ResolveHost(ctx, c.client, site.Host)
	if err != nil {
		return nil
	}
	return found
}

func (c *caller) send(ctx context.Context, a *attempt) {
	stated := a.timeout()
	timeout := stated
	if c.rng.IntN(20) == 0 {
		timeout = time.Duration(1+c.rng.IntN(60)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.sendOnce(ctx, a, stated)
}

// sendOnce sends a request whose caller states how long it waits, and records the answer.
func (c *caller) sendOnce(ctx context.Context, a *attempt, stated time.Duration) {
	answer, err := site.SendRequest(ctx, c.client, a.daemonAddress, &site.CallerRequest{
		ID: a.id, Method: a.method, Host: site.Host, Path: a.path, Body: a.body, APIKey: a.key,
		Timeout: stated, SpoofedWorkspace: "forged", PromptTokens: a.promptTokens, OutputTokens: min(a.promptTokens, streamEvents),
	})
	c.fleet.attemptLog.mu.Lock()
	defer c.fleet.attemptLog.mu.Unlock()
	a.ended, a.left = time.Now(), ctx.Err() != nil
	if err != nil {
		a.truncated = true
		return
	}
	a.status, a.signature, a.answer, a.truncated = answer.Status, answer.Signature(), answer.Body, answer.Truncated
	var told bool
	if a.retryAfter, told = answer.RetryAfter(); !told {
		a.retryAfter = unstatedReturn
	}
}
