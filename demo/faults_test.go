package demo_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"geraniumstack.org/geraniumstack/demo"
	"geraniumstack.org/geraniumstack/standin/pipe"
)

const faultsSendFor = 12 * time.Second

// pairs lists faults that overlap: the second is injected while the first is active.
var pairs = [][2]string{
	{"kv-outage", "gateway-kill"},
	{"kv-outage", "runners-kill"},
	{"kv-lost-answers", "gateway-reclaim"},
	{"kv-slow", "operators-race"},
	{"kv-silent", "operators-race"},
	{"gateway-reclaim", "gateway-kill"},
	{"gateway-silent", "kv-outage"},
	{"runners-reclaim", "gateway-reclaim"},
	{"runners-reclaim", "runners-kill"},
	{"runners-reclaim", "engines-stall"},
	{"services-close", "gateway-kill"},
	{"services-hang", "kv-outage"},
}

func scenarios() map[string][]demo.Event {
	out := map[string][]demo.Event{}
	for _, name := range demo.FaultNames() {
		out[name] = []demo.Event{{At: 3 * time.Second, Fault: name}}
	}
	for _, p := range pairs {
		out[p[0]+"+"+p[1]] = []demo.Event{{At: 3 * time.Second, Fault: p[0]}, {At: 5 * time.Second, Fault: p[1]}}
	}
	return out
}

// Callers send their load during one fault, or during two that overlap. For each case,
// an accepted request must get its whole answer or a refusal with a reason, no answer
// may contain parts of another, no action may run twice, no caller may be told "not
// run" about an action that ran, at most one of two concurrent manifests may be
// accepted, and an accepted manifest must be in force in all failure domains.
func TestPromisesHoldUnderEachFaultAndPair(t *testing.T) {
	for name, events := range scenarios() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s, err := demo.Run(t.Context(), demo.Options{
					Fleet: "huaman", Seed: 1, Progress: io.Discard,
					Network: pipe.NewNetwork(), Events: events, SendFor: faultsSendFor,
				})
				if err != nil {
					t.Fatal(err)
				}
				if !s.PromisesKept {
					t.Error(summaryText(s))
				}
			})
		})
	}
}

func summaryText(s demo.Summary) string {
	var b strings.Builder
	fmt.Fprintln(&b)
	if err := s.Write(&b); err != nil {
		return err.Error()
	}
	return b.String()
}
