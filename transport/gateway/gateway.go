// Package gateway serves callers over HTTP: the OpenAI-style model API, plain services, the list of
// gateways and the outcome of earlier calls. It contains no policy: the interfaces of package call
// accept or refuse requests.
package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/state/usage"
	"geraniumstack.org/geraniumstack/transport/callerlimit"
)

// Config holds the components and settings of a Gateway. All fields are required.
type Config struct {
	Configuration view.Config
	Directory     view.Directory
	Models        call.Models
	Actions       call.Actions
	Services      call.Services
	// NewRequestID returns a new ID for each accepted request.
	NewRequestID func() ident.RequestID
	Usage        *usage.Table
	Metrics      metrics.Registry
	Limits       Limits
	// Requests limits the bytes that the requests of all callers hold together.
	Requests *callerlimit.Requests
}

// Limits holds limits and timeouts of callers' requests.
type Limits struct {
	MaxBodyBytes      int64
	MaxConcurrent     int
	ReadTimeout       time.Duration
	WriteTimeout      time.Duration
	Heartbeat         time.Duration
	GatewayListTTL    time.Duration
	MaxServiceTimeout time.Duration
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	Config
	echo        *echo.Echo
	credentials credentials
	inProgress  atomic.Int64
	endedLines  callerlimit.Rate
	draining    atomic.Bool
}

// New makes a gateway.
func New(c Config) *Gateway {
	g := &Gateway{Config: c, echo: echo.New()}
	g.echo.HTTPErrorHandler = g.writeError
	g.registerRoutes()
	return g
}

// ServeHTTP serves one caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		callerlimit.Answering(r.Context())
	}
	g.echo.ServeHTTP(w, r)
}

// StopAccepting makes the gateway refuse all new work from now on. The output of requests that were
// already accepted can still be read.
func (g *Gateway) StopAccepting() { g.draining.Store(true) }

func (g *Gateway) registerRoutes() {
	g.echo.GET("/v1/gateways", g.listGateways)
	g.echo.GET("/v1/models", g.listModels)
	g.echo.POST("/v1/chat/completions", g.chatCompletions, g.limitConcurrency)
	g.echo.POST("/v1/completions", g.completions, g.limitConcurrency)
	g.echo.GET("/v1/requests/:id", g.readRequest)
	g.echo.DELETE("/v1/requests/:id", g.cancelRequest)
	g.echo.GET("/v1/actions/:key", g.readOutcome)
	g.echo.Any("/v1/services/:service/*", g.callService, g.markKeyedRefusalsUnknown, g.limitConcurrency)
}

// limitConcurrency refuses new work while the gateway drains or the maximum number of concurrent
// requests is reached. It also limits the size of the request body.
func (g *Gateway) limitConcurrency(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		if g.draining.Load() {
			return refusal.New(refusal.Draining, "this gateway takes no new work; ask /v1/gateways of another").After(time.Second)
		}
		if g.inProgress.Add(1) > int64(g.Limits.MaxConcurrent) {
			g.inProgress.Add(-1)
			return refusal.New(refusal.Overloaded, "too many requests in progress at this gateway").After(time.Second)
		}
		defer g.inProgress.Add(-1)
		held := g.hold(c)
		defer held.Release()
		r := c.Request()
		r.Body = http.MaxBytesReader(c.Response(), r.Body, g.Limits.MaxBodyBytes)
		return next(c)
	}
}

// heldKey is set in the context of a request to what it holds of the budget of all callers.
const heldKey = "held"

// hold begins to count what a request holds.
func (g *Gateway) hold(c *echo.Context) *callerlimit.Request {
	// The context c must not be used after its request, which may be when the end is called.
	r := c.Request()
	held := g.Requests.Begin(func(e callerlimit.Ended) {
		g.incrementCounter("caller_ended.request")
		if skipped, ok := g.endedLines.Allow(time.Now()); ok {
			klog.InfoS("Request ended to make room for others", "path", r.URL.Path, "remote", r.RemoteAddr,
				"held", e.Held, "age", e.Age, "used", e.Used, "limit", e.Limit, "notLogged", skipped)
		}
		callerlimit.EndReading(r.Context())
	})
	c.Set(heldKey, held)
	return held
}

func (g *Gateway) incrementCounter(name string) {
	metrics.GetOrRegisterCounter(name, g.Metrics).Inc(1)
}
