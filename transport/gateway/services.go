package gateway

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/labstack/echo/v5"

	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/httpanswer"
)

const (
	idempotencyKeyHeader = "Idempotency-Key"
	executedHeader       = "X-Executed"
	pendingRetryAfter    = 200 * time.Millisecond
)

// excludedHeaders apply to one connection only (RFC 9110, section 7.6.1) or are set by this system.
var excludedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Proxy-Connection": true, "Authorization": true, idempotencyKeyHeader: true, timeoutHeader: true,
}

// callService passes a call to a plain service. Unless the manifest marks the route as repeatable,
// the call is executed at most once under its idempotency key.
func (g *Gateway) callService(c *echo.Context) error {
	m, ws, err := g.authenticate(c)
	if err != nil {
		return err
	}
	serviceCall, route, err := g.parseServiceCall(c, m, ws)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), serviceCall.Deadline)
	defer cancel()
	c.Set(outcomeKnownKey, true)
	answer, err := g.dispatchService(ctx, serviceCall, route)
	if err != nil {
		return err
	}
	g.incrementCounter("answered_whole.service")
	g.Usage.Answered(ws, 0)
	return writeAnswer(c, answer)
}

// outcomeKnownKey is set in the context of a call that was passed on. Its refusal then states
// correctly whether the call was executed.
const outcomeKnownKey = "judged"

// markKeyedRefusalsUnknown changes "not executed" to "unknown" if this gateway itself refused a
// call with an idempotency key, for example because it drains or is overloaded. The call may be a
// retry of one that was executed: if the caller were told "not executed", it would call again with
// a new key, and the action would run twice. Only the daemon that owns the key, or its substitute,
// knows the outcome.
func (g *Gateway) markKeyedRefusalsUnknown(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		err := next(c)
		if err == nil || c.Request().Header.Get(idempotencyKeyHeader) == "" || c.Get(outcomeKnownKey) != nil {
			return err
		}
		r := toRefusal(err)
		if r.Executed != refusal.ExecutedNo {
			return err
		}
		unknown := *r
		return unknown.Unknown()
	}
}

func (g *Gateway) dispatchService(ctx context.Context, sc call.ServiceCall, route *manifest.Route) (call.Answer, error) {
	g.incrementCounter("accepted.service")
	g.Usage.Accepted(sc.Workspace)
	if route.Repeatable {
		return g.Services.Call(ctx, sc)
	}
	if sc.Key == "" {
		return call.Answer{}, refusal.New(refusal.KeyRequired,
			"this call may not be repeated: send an %s made of the key_token of /v1/gateways and a suffix of your own", idempotencyKeyHeader)
	}
	return g.Actions.Execute(ctx, sc)
}

func (g *Gateway) parseServiceCall(c *echo.Context, m *manifest.Manifest, ws ident.Workspace) (call.ServiceCall, *manifest.Route, error) {
	var empty call.ServiceCall
	service := m.ServiceNamed(c.Param("service"))
	if service == nil || service.Kind != manifest.KindPlain {
		return empty, nil, refusal.New(refusal.UnknownService, "no plain service %q", c.Param("service"))
	}
	r := c.Request()
	path := "/" + c.Param("*")
	route := service.RouteFor(r.Method, path)
	if route == nil {
		return empty, nil, refusal.New(refusal.UnknownRoute, "service %q has no route for %s %s", service.Name, r.Method, path)
	}
	body, err := g.readBody(c)
	if err != nil {
		return empty, nil, err
	}
	deadline, err := requestDeadline(c, g.serviceTimeout(m, route))
	if err != nil {
		return empty, nil, err
	}
	return call.ServiceCall{
		Workspace: ws, Service: service.Name,
		Key: r.Header.Get(idempotencyKeyHeader), Method: r.Method, Path: withQuery(path, r.URL),
		Headers: endToEndHeaders(r.Header), Body: body, Deadline: deadline,
	}, route, nil
}

// serviceTimeout returns the timeout of a call whose caller sets none: the deadline of the route's
// class, but at most the gateway's limit.
func (g *Gateway) serviceTimeout(m *manifest.Manifest, route *manifest.Route) time.Duration {
	class := m.ClassNamed(route.Class)
	if class == nil || class.DeadlineMillis == 0 {
		return g.Limits.MaxServiceTimeout
	}
	return min(time.Duration(class.DeadlineMillis)*time.Millisecond, g.Limits.MaxServiceTimeout)
}

func withQuery(path string, u *url.URL) string {
	if u.RawQuery == "" {
		return path
	}
	return path + "?" + u.RawQuery
}

func endToEndHeaders(h http.Header) []call.Header {
	out := []call.Header{}
	connectionOptions := strings.ToLower(h.Get("Connection"))
	for name, values := range h {
		if excludedHeaders[name] || strings.Contains(connectionOptions, strings.ToLower(name)) {
			continue
		}
		for _, v := range values {
			out = append(out, call.Header{Name: name, Value: v})
		}
	}
	return out
}

// writeAnswer sends a runner's answer. One that was kept by an earlier version of the daemon may be none.
func writeAnswer(c *echo.Context, a call.Answer) error {
	if err := httpanswer.CheckFinal(a.Status, nil); err != nil {
		return refusal.New(refusal.RunnerFailed, "%v", err).Unknown()
	}
	h := c.Response().Header()
	contentType := ""
	for _, f := range a.Headers {
		name := http.CanonicalHeaderKey(f.Name)
		if excludedHeaders[name] {
			continue
		}
		if name == "Content-Type" {
			contentType = f.Value
			continue
		}
		h.Add(name, f.Value)
	}
	h.Set(executedHeader, string(refusal.ExecutedYes))
	return c.Blob(a.Status, contentType, a.Body)
}

// readOutcome returns the outcome of an earlier call that may run at most once.
func (g *Gateway) readOutcome(c *echo.Context) error {
	_, ws, err := g.authenticate(c)
	if err != nil {
		return err
	}
	key, err := url.PathUnescape(c.Param("key"))
	if err != nil {
		return refusal.New(refusal.KeyMalformed, "the key is not a path segment: %v", err).Unknown()
	}
	answer, pending, err := g.Actions.Outcome(c.Request().Context(), ws, key)
	if err != nil {
		return err
	}
	if pending {
		c.Response().Header().Set("Retry-After", retryAfterSeconds(pendingRetryAfter))
		return c.NoContent(http.StatusAccepted)
	}
	return writeAnswer(c, answer)
}
