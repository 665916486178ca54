package models_test

import (
	"context"
	"testing"

	"github.com/rcrowley/go-metrics"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/models"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/transport/engineapi"
)

// instantEngine is an engine client that emits tokens without delay or
// connection, so that only the work of the gateway is measured.
type instantEngine struct{ engineClients }

func (instantEngine) Generate(_ context.Context, _ string, r engineapi.GenerateRequest, sink func(engineapi.GenerateEvent) error) error {
	e := engineapi.GenerateEvent{RequestID: r.RequestID, AttemptID: r.AttemptID, Token: "token"}
	for ; e.Offset < r.MaxTokens; e.Offset++ {
		if err := sink(e); err != nil {
			return err
		}
	}
	e.Token, e.Done = "", true
	return sink(e)
}

// BenchmarkRequest measures a request of 500 tokens from acceptance to its
// reader, without network connections.
func BenchmarkRequest(b *testing.B) {
	c := &cluster{changed: make(chan struct{})}
	c.runners = []view.Runner{{ID: "runner-0", Address: address(0), Service: model, State: view.Live}}
	self := ident.NewIncarnation("gw-0", []byte{0})
	m := models.New(models.Config{
		Self: self, Directory: directory{c, self}, Config: fixedConfig{},
		Engines: instantEngine{}, Metrics: metrics.NewRegistry(), Limits: models.Limits{MaxFinished: 100},
	})
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go func() { _ = m.Run(ctx) }()
	const tokens = 500
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		id := ident.NewRequestID(self, []byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
		r := call.ModelRequest{ID: id, Workspace: workspace, Class: "chat", Model: model, Prompt: "p", MaxTokens: tokens}
		if err := m.Submit(ctx, r); err != nil {
			b.Fatal(err)
		}
		if err := m.Read(ctx, workspace, id, 0, func(call.Event) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}
