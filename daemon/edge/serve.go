package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/freshness"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/protocol/forward"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/route"
)

const (
	// notReadyRetryAfter is when to come back to a daemon that has no configuration
	// or none that is recent enough: another one may answer meanwhile.
	notReadyRetryAfter = 500 * time.Millisecond
	// drainAcceptPeriod is how long after the order to stop new requests are
	// still taken on connections that callers keep. They ask for the directory
	// again within a few seconds; what comes later could not end within the grace.
	drainAcceptPeriod = 2500 * time.Millisecond
	// defaultTimeout is used where neither caller nor route gives a bound.
	defaultTimeout = 30 * time.Second
)

// requestHandler is one request on its way through this daemon.
type requestHandler struct {
	edge      *Edge
	req       *Request
	reply     Reply
	table     *route.Table
	route     *route.Route
	workspace ident.Workspace
	priority  int
	// cost is what the quota was charged; zero is nothing. granter is the address of the
	// relay that charged it, empty for this daemon.
	cost    float64
	granter string
	// recommended is the runner that the relay chose; empty is none.
	recommended    ident.RunnerID
	deadline       time.Time
	pool           *pool
	routingRequest routing.Request
	// failedRunners are the runners that have failedRunners the request.
	failedRunners prefix.Set
	// gate is that of the operator's order to change the service's software; nil is none.
	gate     *canary.Gate
	exchange forward.Exchange
	events   *forward.EventStream
	// usageCounted says that the request was usageCounted as begun.
	usageCounted bool
	// buffered is a runner's own failure that is passed on if nothing better comes.
	buffered *bufferedAnswer
}

// Serve answers one request. The context ends when the caller has left.
func (e *Edge) Serve(ctx context.Context, req *Request, reply Reply) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	s := &requestHandler{edge: e, req: req, reply: reply}
	if r := s.admit(ctx); r != nil {
		s.refuse(r)
		return
	}
	s.run(ctx)
}

// refuse sends the final answer of a request that is not served.
func (s *requestHandler) refuse(r *refusal.Refusal) {
	if s.cost > 0 && r.Executed == refusal.ExecutedNo {
		s.edge.returnQuota(s.granter, s.workspace, s.cost)
	}
	s.note("refused", decisions.F("reason", r.Reason), decisions.F("executed", r.Executed),
		decisions.F("retry_after", r.RetryAfter), decisions.F("detail", r.Detail))
	s.edge.log.Count("refused." + string(r.Reason))
	s.reply.Refuse(r, s.connectionClosing())
}

// note writes a line about the request with what every such line holds.
func (s *requestHandler) note(event decisions.Event, fields ...decisions.Field) {
	name, version := "", ident.Generation(0)
	if s.route != nil {
		name = s.route.Name
	}
	if s.table != nil {
		version = s.table.Version()
	}
	all := append([]decisions.Field{
		decisions.F("request", s.req.ID), decisions.F("route", name), decisions.F("workspace", s.workspace),
		decisions.F("config", version), decisions.F("age", time.Since(s.req.Received)),
	}, fields...)
	s.edge.log.Note(event, all...)
}

// connectionClosing asks the caller to use another daemon from now on.
func (s *requestHandler) connectionClosing() bool {
	_, draining := s.edge.timeSinceDrain()
	return draining
}

// admit finds the request's route and workspace and charges its quota.
func (s *requestHandler) admit(ctx context.Context) *refusal.Refusal {
	if since, draining := s.edge.timeSinceDrain(); draining && since > drainAcceptPeriod {
		return refusal.New(refusal.Draining, "this daemon is shutting down").After(notReadyRetryAfter)
	}
	if r := s.identify(ctx); r != nil {
		return r
	}
	s.setDeadline()
	service := s.route.Pick(rand.Float64())
	s.pool = s.edge.pool(service)
	if s.pool == nil {
		return refusal.New(refusal.UnknownService, "no service %q", service)
	}
	s.routingRequest = routingRequestOf(s.req)
	s.routingRequest.Fetchable = s.pool.canFetchPrefix()
	if s.gate = s.edge.trials.gate(service); s.gate != nil {
		s.pool.excludeBySide(&s.routingRequest, s.failedRunners, s.gate, s.edge.sideOfRepeat(s.gate))
	}
	if r := s.charge(ctx); r != nil {
		return r
	}
	attempts := max(1, s.route.MaxAttempts)
	if !s.edge.settings.Policy.Uses(Retries) {
		attempts = 1
	}
	s.exchange.Terms = forward.Terms{
		Repeatable:  s.route.Repeatable(),
		Resumable:   s.route.Resumable,
		MaxAttempts: attempts,
		Deadline:    s.deadline,
	}
	return nil
}

func routingRequestOf(r *Request) routing.Request {
	p := routing.Request{
		Prefix:       r.Prompt.Prefix,
		PrefixTokens: r.Prompt.PrefixTokens,
		Model:        r.Prompt.Model,
		PromptTokens: max(1, r.Prompt.PromptTokens),
		OutputTokens: max(1, r.Prompt.ExpectedOutput),
	}
	// The last part is the request's own; what stands before it others share.
	if n := len(p.Prefix); n > 1 {
		p.Shared, p.SharedTokens = p.Prefix[n-2], p.PrefixTokens[n-2]
	}
	return p
}

// identify finds the request's route and workspace. What the configuration says counts
// only if it is known to be recent: an unknown key or route may have been added a moment
// ago, a known key taken away. If it is not recent enough the service is read once.
func (s *requestHandler) identify(ctx context.Context) *refusal.Refusal {
	for retry := true; ; retry = false {
		table, age := s.edge.activeConfig()
		if table == nil {
			return refusal.New(refusal.NotReady, "no configuration yet").After(notReadyRetryAfter)
		}
		s.table = table
		r, within := s.lookUp()
		if age <= within {
			return r
		}
		if !retry {
			s.workspace = ""
			return refusal.New(refusal.StaleConfiguration, "configuration was proved %v ago", age).After(notReadyRetryAfter)
		}
		s.edge.confirmConfig(ctx)
	}
}

// maxAge is the bound on the configuration's age where it doesn't matter.
const maxAge = -freshness.Never

// lookUp says what the configuration has for the request, a refusal or nil, and up to
// which age of the configuration that counts.
func (s *requestHandler) lookUp() (*refusal.Refusal, time.Duration) {
	found, ok := s.table.Lookup(s.req.Host, s.req.Path)
	if !ok {
		return refusal.New(refusal.UnknownRoute, "no route for this host and path"), s.edge.maxConfigAgeForDenial()
	}
	s.route = found
	s.priority = found.Priority
	w, ok := s.table.WorkspaceOf(s.req.Key)
	if !s.table.KeyRequired(found) {
		if ok {
			s.workspace = w.Name
		}
		return nil, maxAge
	}
	if !ok {
		return refusal.New(refusal.Unauthenticated, "unknown key"), s.edge.maxConfigAgeForDenial()
	}
	s.workspace = w.Name
	if w.HasPriority {
		s.priority = w.Priority
	}
	return nil, s.edge.maxConfigAgeForKeys()
}

func (s *requestHandler) setDeadline() {
	timeout := s.req.CallerTimeout
	if timeout <= 0 || s.route.Timeout > 0 && s.route.Timeout < timeout {
		timeout = s.route.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	s.deadline = s.req.Received.Add(timeout)
}

// charge takes the request out of its workspace's quota.
func (s *requestHandler) charge(ctx context.Context) *refusal.Refusal {
	w, ok := s.table.Workspace(s.workspace)
	if !ok || w.Quota.PerSecond <= 0 {
		return nil
	}
	cost := costOf(&w.Quota, &s.req.Prompt)
	granted, r := s.edge.takeQuota(ctx, s.workspace, cost, s)
	if r != nil {
		return r
	}
	s.cost, s.granter = cost, granted.relay
	if granted.Grant != nil {
		s.recommended = ident.RunnerID(granted.Runner)
	}
	return nil
}

func costOf(q *route.Quota, p *Prompt) float64 {
	if !q.InTokens {
		return 1
	}
	if p.PromptTokens == 0 && p.OutputTokens == 0 {
		return q.PlainTokens
	}
	return float64(p.PromptTokens + p.OutputTokens)
}
