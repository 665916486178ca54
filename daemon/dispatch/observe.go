package dispatch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"geraniumstack.org/geraniumstack/daemon/models"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/engine"
	"geraniumstack.org/geraniumstack/transport/engineapi"
	"geraniumstack.org/geraniumstack/transport/httpanswer"
)

// observedEngines forwards calls to the engines and reports first tokens to the
// dispatcher.
type observedEngines struct {
	models.Engines
	d *Dispatcher
}

// Observe wraps engines so that the dispatcher learns when the first token of
// each attempt arrives. Without it, the dispatcher counts the prompt of an
// attempt as waiting until the answer ends.
func (d *Dispatcher) Observe(e models.Engines) models.Engines { return &observedEngines{e, d} }

// Generate implements models.Engines.
func (o *observedEngines) Generate(ctx context.Context, address string, r engineapi.GenerateRequest, sink func(engineapi.GenerateEvent) error) error {
	seen := false
	err := o.Engines.Generate(ctx, address, r, func(e engineapi.GenerateEvent) error {
		if !seen && !e.Heartbeat && e.AttemptID == r.AttemptID {
			seen = true
			o.d.firstToken(attemptKey{ident.RequestID(r.RequestID), address}, r, e.CachedTokens)
		}
		return sink(e)
	})
	if err != nil {
		return fmt.Errorf("generate: %w", err)
	}
	return nil
}

func (d *Dispatcher) firstToken(key attemptKey, r engineapi.GenerateRequest, cached int) {
	d.mu.Lock()
	var s *service
	if d.manifest != nil {
		if m := d.manifest.ModelNamed(r.Model); m != nil {
			s = d.services[m.Service]
		}
	}
	d.mu.Unlock()
	if s != nil {
		s.firstToken(time.Now(), key, cached)
	}
}

// FreshConnProber probes an engine by reading its load report on a new
// connection.
type FreshConnProber struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Probe implements Prober.
func (p FreshConnProber) Probe(ctx context.Context, address string) error {
	transport := httpanswer.NewTransport(&http.Transport{DialContext: p.Dial, DisableKeepAlives: true})
	defer transport.CloseIdleConnections()
	if _, err := engine.New(address, &http.Client{Transport: transport}).Load(ctx); err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	return nil
}
