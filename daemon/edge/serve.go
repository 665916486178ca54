package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"geraniumstack.org/geraniumstack/coordination/canary"
	"geraniumstack.org/geraniumstack/coordination/freshness"
	"geraniumstack.org/geraniumstack/coordination/quarantine"
	"geraniumstack.org/geraniumstack/coordination/routing"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/protocol/forward"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/prefix"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/route"
)

const (
	// notReadyRetryAfter is the retry time given to callers by a daemon whose configuration is
	// missing or too old. Another daemon may answer in the meantime.
	notReadyRetryAfter = 500 * time.Millisecond
	// drainAcceptPeriod is how long after Drain new requests are still accepted on connections
	// that callers keep open. Callers fetch the directory again within a few seconds; a later
	// request could not end within the grace period.
	drainAcceptPeriod = 2500 * time.Millisecond
	// defaultTimeout is used if neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
)

// requestHandler processes one request.
type requestHandler struct {
	edge      *Edge
	req       *Request
	reply     Reply
	table     *route.Table
	route     *route.Route
	workspace ident.Workspace
	priority  int
	// cost is the amount charged to the quota; zero if nothing was charged. granter is the
	// address of the relay that charged it, empty for this daemon.
	cost          float64
	grantingRelay string
	// recommended is the runner that the relay recommended; empty if there is none.
	recommended    ident.RunnerID
	deadline       time.Time
	pool           *pool
	routingRequest routing.Request
	// failedRunners are the runners that have failed this request.
	failedRunners prefix.Set
	// heldRunners are the limited runners for which this daemon has no permit at the moment, and those
	// that have asked it for rest.
	heldRunners prefix.Set
	// gate decides which software version the request may use while an order to change the
	// service's version is known; nil without such an order.
	gate     *canary.Gate
	exchange forward.Exchange
	// prepared says that the quota has been charged and the rest done that an attempt at a
	// runner needs. delegated says that another daemon has delegated the request to this one.
	// connectFailures counts the attempts that found no connection to a runner.
	prepared, delegated bool
	connectFailures     int
	delegator           delegator

	events *forward.EventStream
	// bound is the software version that began the stream. recorded says that it has been recorded.
	bound    boundVersion
	recorded bool
	// parts are the parts of the prompt that other prompts may hold, too. probed is the cause that
	// the request probes; nil if none. sawFailure says that a runner has failed at the beginning of an answer to it.
	parts      []quarantine.Cause
	probed     *quarantine.Cause
	sawFailure bool
	// contentCause is the request itself as a cause of failures, once contentKnown is set.
	contentCause quarantine.Cause
	contentKnown bool
	// leavingRunner is the hash of the runner whose answer came last if it said that the runner is leaving,
	// otherwise zero.
	leavingRunner uint64
	// hedge is the one that looks for another answer at present; nil if none does.
	hedge  *hedge
	counts requestCounts
	// retryCharged says that the retry budget was charged for an attempt that has not reached a runner yet, retryChargedAt
	// when.
	retryCharged   bool
	retryChargedAt time.Time
	// usageCounted says that the request has been counted for the usage report.
	usageCounted bool
	// buffered is a runner's server error, which is passed on if no later attempt succeeds.
	buffered *bufferedAnswer
	share    requestShare
}

// Terms are what the configuration says about a request.
type Terms struct {
	// Route is the name of the request's route, Workspace whose key the request has; empty for none.
	Route     string
	Workspace ident.Workspace
	// Deadline is the end of the time that its caller and its route leave for the request.
	Deadline time.Time
}

// Admit tells whether a request whose body hasn't been read may be served, as far as that is known without its body. The
// refusal is nil if so. Serve decides anew, as the configuration may change while the body arrives.
func (e *Edge) Admit(ctx context.Context, req *Request) (Terms, *refusal.Refusal) {
	s := &requestHandler{edge: e, req: req}
	refused := s.admit(ctx)
	terms := Terms{Workspace: s.workspace, Deadline: s.deadline}
	if s.route != nil {
		terms.Route = s.route.Name
	}
	return terms, refused
}

// Serve answers one request. The context must end when the caller has disconnected.
func (e *Edge) Serve(ctx context.Context, req *Request, reply Reply) {
	s := &requestHandler{edge: e, req: req, reply: reply}
	s.serve(ctx)
}

func (s *requestHandler) serve(ctx context.Context) {
	s.edge.inFlight.Add(1)
	defer s.edge.inFlight.Add(-1)
	defer s.notePanic()
	ctx, cancel := s.edge.untilEnd(ctx)
	defer cancel()
	if r := s.admit(ctx); r != nil {
		s.refuse(r)
		return
	}
	if r := s.bindResumed(ctx); r != nil {
		s.refuse(r)
		return
	}
	s.run(ctx)
}

// refuse sends the final answer of a request that isn't served, which says that it wasn't executed only if that is certain.
// The quota charged for such a request is returned.
func (s *requestHandler) refuse(r *refusal.Refusal) {
	r = s.exchange.Final(r)
	note := s.noteLoss
	if r.Executed == refusal.ExecutedNo {
		note = s.note
		s.returnCharge()
	}
	note("refused", decisions.F("reason", r.Reason), decisions.F("executed", r.Executed),
		decisions.F("attempts", s.exchange.Sent()), decisions.F("may_have_run", s.exchange.MayHaveRun()),
		decisions.F("retry_after", r.RetryAfter), decisions.F("detail", r.Detail))
	s.edge.log.Count("refused." + string(r.Reason))
	s.edge.log.Count("refused_executed." + string(r.Executed))
	s.reply.Refuse(r, s.connectionClosing())
}

// note logs an event of the request, together with the fields common to all such events.
func (s *requestHandler) note(event decisions.Event, fields ...decisions.Field) {
	s.edge.log.Note(event, s.withCommonFields(fields)...)
}

// noteLoss is note for an event that says why the answer isn't whole.
func (s *requestHandler) noteLoss(event decisions.Event, fields ...decisions.Field) {
	s.edge.log.NoteLoss(event, s.withCommonFields(fields)...)
}

// withCommonFields puts the fields common to all events of the request before others.
func (s *requestHandler) withCommonFields(fields []decisions.Field) []decisions.Field {
	name, version := "", ident.Generation(0)
	if s.route != nil {
		name = s.route.Name
	}
	if s.table != nil {
		version = s.table.Version()
	}
	return append([]decisions.Field{
		decisions.F("request", s.req.ID), decisions.F("route", name), decisions.F("workspace", s.workspace),
		decisions.F("config", version), decisions.F("age", time.Since(s.req.Received)),
	}, fields...)
}

// connectionClosing reports whether the caller should be asked to use another daemon from now
// on.
func (s *requestHandler) connectionClosing() bool {
	_, draining := s.edge.timeSinceDrain()
	return draining
}

// admit determines the request's route, workspace and service.
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
	s.parts = partsOf(service, &s.req.Prompt)
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
	if s.delegated && s.pool.paths.lost.Load() {
		return s.refuseWithoutRunner(&PathsLostError{service})
	}
	return nil
}

// PathsLostError says that this daemon reaches no runner of a service.
type PathsLostError struct{ Service string }

func (e *PathsLostError) Error() string { return "no path to the runners of " + e.Service }

// prepare does what is needed once before the request is sent to a runner: it finds out which
// software version the request may use, and charges the quota.
func (s *requestHandler) prepare(ctx context.Context) *refusal.Refusal {
	if s.prepared {
		return nil
	}
	s.routingRequest = routingRequestOf(s.req)
	s.routingRequest.Fetchable = s.pool.canFetchPrefix()
	s.routingRequest.PauseWeight = pauseWeight(s.route)
	s.routingRequest.Exclude = s.excludedRunners()
	if s.gate = s.edge.trials.gate(s.pool.name); s.gate != nil {
		s.pool.excludeByPlacement(&s.routingRequest, s.routingRequest.Exclude, s.gate, s.edge.placeRepeat(s.gate))
	}
	r := s.charge(ctx)
	s.prepared = r == nil
	return r
}

func routingRequestOf(r *Request) routing.Request {
	p := routing.Request{
		Prefix:       r.Prompt.Prefix,
		PrefixTokens: r.Prompt.PrefixTokens,
		Model:        r.Prompt.Model,
		PromptTokens: max(1, r.Prompt.PromptTokens),
		OutputTokens: max(1, r.Prompt.ExpectedOutput),
		Bytes:        r.Body.Len(),
	}
	// The last part of a prompt belongs to this request alone; the parts before it may be
	// shared with other requests.
	if n := len(p.Prefix); n > 1 {
		p.Shared, p.SharedTokens = p.Prefix[n-2], p.PrefixTokens[n-2]
	}
	return p
}

// identify determines the request's route and workspace. The result of a lookup only counts if
// the configuration is known to be recent: an unknown key or route may have been added a moment
// ago, and a known key may have been removed. If the configuration isn't recent enough, the
// key-value service is read once.
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

// maxAge is the limit on the configuration's age where the age doesn't matter.
const maxAge = -freshness.Never

// lookUp looks the request up in the configuration. It returns a refusal or nil, and the age of
// the configuration up to which this result counts.
func (s *requestHandler) lookUp() (*refusal.Refusal, time.Duration) {
	found, ok := s.table.Lookup(s.req.Host, s.req.Path)
	if !ok {
		return refusal.New(refusal.UnknownRoute, "no route for this host and path"), s.edge.maxConfigAgeForDenial()
	}
	s.route = found
	s.priority = found.Priority
	w, ok := s.table.WorkspaceOf(s.req.Key)
	if !s.table.KeyRequired(found, s.req.Key) {
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

// charge takes the request's cost out of its workspace's quota.
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
	s.cost, s.grantingRelay = cost, granted.relay
	if granted.Grant != nil {
		s.recommended = ident.RunnerID(granted.Runner)
		s.share.over = granted.OverShare
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
