package fleet

import (
	"context"
	"errors"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/standin/engine"
	"geraniumstack.org/geraniumstack/standin/pipe"
	"geraniumstack.org/geraniumstack/state/document"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/engineapi"

	api "geraniumstack.org/geraniumstack/transport/cloudapi"
	client "geraniumstack.org/geraniumstack/transport/engine"
)

// The built-in settings must contain the failure domains, VM classes and
// services of the example manifests.
func TestBuiltInSettingsAgreeWithExamples(t *testing.T) {
	is := is.New(t)
	for path, set := range map[string]func() (Settings, error){
		"../../examples/huaman.json":       Huaman,
		"../../examples/aspen-coulee.json": AspenCoulee,
	} {
		data, err := os.ReadFile(path)
		is.NoErr(err)
		var m manifest.Manifest
		is.NoErr(document.Decode(data, &m))
		s, err := set()
		is.NoErr(err)
		derived := FromManifest(&m)
		is.Equal(s.FailureDomains, derived.FailureDomains)
		is.Equal(s.VMClasses, derived.VMClasses)
		is.Equal(s.Services, derived.Services)
	}
}

func TestParseReportsAllProblems(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(`{
		"listen": {"key_value": "x", "cloud": "x", "weights": "x", "runner_host": "x"},
		"failure_domains": ["a"],
		"vm_classes": [{"name": "c", "reclaimable": true, "price_per_hour": 1}],
		"services": [{"name": "s", "kind": "model", "runners": 1, "vm_class": "d"}],
		"entry_vms": [{"id": "e", "address": "x", "failure_domain": "b", "vm_class": "c"}]
	}`))
	var invalid *document.InvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(len(invalid.Problems), 3)
}

// A whole failure domain is reclaimed. Its runners must be gone when the
// notice period is over, and a replacement started through the cloud API must
// serve a model after an order to load it.
func TestReclaimAndReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, err := Huaman()
		is.NoErr(err)
		n := pipe.NewNetwork()
		f, err := Start(s, Options{Network: n})
		is.NoErr(err)
		connections := n.Client()
		cloud := api.NewClient(f.Addresses().Cloud, connections)
		ctx := context.Background()
		is.Equal(len(f.Cloud.ReclaimDomain("lima-norte", 30*time.Second)), 4)
		notices, err := cloud.Notices(ctx, 0, time.Second)
		is.NoErr(err)
		is.Equal(len(notices), 4)
		time.Sleep(time.Minute)
		<-f.Runner("asistente-01").Engine.Died()
		vm, err := cloud.Start(ctx, api.StartRequest{Token: "t", FailureDomain: "lima-sur", Class: "accelerator-on-demand", Service: "asistente"})
		is.NoErr(err)
		runner := client.New(vm.Address, connections)
		is.NoErr(runner.Order(ctx, engineapi.Order{Kind: engineapi.OrderLoad, Model: "asistente", Version: "2026-10"}))
		time.Sleep(10 * time.Second)
		tokens := 0
		err = runner.Generate(ctx, engineapi.GenerateRequest{
			RequestID: "r", AttemptID: "r/1", Model: "asistente", Prompt: "hola", MaxTokens: 3,
		}, 2*time.Second, func(e engineapi.GenerateEvent) error {
			if e.Token != "" {
				is.Equal(e.Token, engine.Token("asistente", "hola", tokens))
				tokens++
			}
			return nil
		})
		is.NoErr(err)
		is.Equal(tokens, 3)
		is.Equal(f.TokenCounter.TokenTotals().Recomputed, 0)
		connections.CloseIdleConnections()
		f.Close()
	})
}
