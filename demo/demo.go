// Package demo runs the whole system in one process: stand-ins for the platform and
// the runners, five gateways and a load of mixed requests. By default it reclaims the
// model runners of one failure domain and one gateway, and takes the key-value service
// down for a while. It checks what callers observed against what the runners executed.
package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"geraniumstack.org/geraniumstack/caller"
	"geraniumstack.org/geraniumstack/coordination/config"
	"geraniumstack.org/geraniumstack/daemon"
	"geraniumstack.org/geraniumstack/daemon/settings"
	adminv1 "geraniumstack.org/geraniumstack/gen/geranium/admin/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/admin/v1/adminv1connect"
	"geraniumstack.org/geraniumstack/state/ident"
)

const operatorKey = "demo-operator"

// Time limits of a run.
const (
	defaultSendFor = 20 * time.Second
	drainTimeout   = 25 * time.Second
	applyTimeout   = 10 * time.Second
)

// Options configure a run.
type Options struct {
	Fleet string
	Seed  uint64
	// Progress receives a line for each event; it must not be nil.
	Progress io.Writer
	// Network is TCP on loopback or an in-memory network.
	Network daemon.Network
	// Events are the faults to inject; nil means DefaultEvents.
	Events []Event
	// SendFor is how long callers send new requests; zero means 20 seconds.
	SendFor time.Duration
}

func newHTTPClient(n daemon.Network) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dial, MaxIdleConnsPerHost: idlePerHost}}
}

const idlePerHost = 64

func operatorCredential() settings.Credential {
	sum := sha256.Sum256([]byte(operatorKey))
	return settings.Credential{Name: "demo", Role: "operator", KeyHash: hex.EncodeToString(sum[:])}
}

// Run runs the scenario and returns a summary of the results.
func Run(ctx context.Context, o Options) (Summary, error) {
	f, err := FleetNamed(o.Fleet)
	if err != nil {
		return Summary{}, err
	}
	if o.Events == nil {
		o.Events = DefaultEvents()
	}
	if o.SendFor == 0 {
		o.SendFor = defaultSendFor
	}
	if err := checkEvents(o.Events); err != nil {
		return Summary{}, err
	}
	startedAt := time.Now()
	e, err := newEnv(f, o.Network, o.Seed)
	if err != nil {
		return Summary{}, err
	}
	defer e.stop()
	if err := e.startGateways(ctx); err != nil {
		return Summary{}, err
	}
	d := &scenarioRun{env: e, fleet: f, options: o, startedAt: startedAt, tally: newTally()}
	if err := d.apply(ctx); err != nil {
		return Summary{}, err
	}
	d.runLoad(ctx)
	d.check()
	s := d.tally.summary()
	s.Fleet = f.Name
	s.Seconds = time.Since(startedAt).Seconds()
	return s, nil
}

type scenarioRun struct {
	env       *env
	fleet     *Fleet
	options   Options
	startedAt time.Time
	tally     *tally
}

func (d *scenarioRun) reportProgress(format string, args ...any) {
	fmt.Fprintf(d.options.Progress, "%5.1fs  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (d *scenarioRun) apply(ctx context.Context) error {
	d.reportProgress("%d gateways, %d runners; applying the manifest of %s", gateways, len(d.env.standins.Runners()), d.fleet.Name)
	client := adminv1connect.NewAdminServiceClient(newHTTPClient(d.options.Network), "http://"+d.env.daemons[0].AdminAddress())
	request := connect.NewRequest(&adminv1.ApplyRequest{
		Manifest: d.fleet.Data, ExpectedGeneration: config.AnyGeneration,
		SubmissionId: fmt.Sprintf("demo-%d", d.options.Seed), WaitMs: applyTimeout.Milliseconds(),
	})
	request.Header().Set("Authorization", "Bearer "+operatorKey)
	resp, err := client.Apply(ctx, request)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	d.reportProgress("generation %d accepted; in force everywhere: %v", resp.Msg.Generation, resp.Msg.InForceEverywhere)
	return nil
}

func (d *scenarioRun) runLoad(ctx context.Context) {
	sending, stopSending := context.WithTimeout(ctx, d.options.SendFor)
	defer stopSending()
	working, stopWorking := context.WithTimeout(ctx, d.options.SendFor+drainTimeout)
	defer stopWorking()
	l := newLoad(d.fleet, d.tally, caller.Config{
		Gateways: d.gatewayURLs(), HTTP: newHTTPClient(d.options.Network), RetryTimeout: requestTimeout,
	}, d.options.Seed)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.generate(sending, working)
	}()
	go d.injectFaults(sending)
	progress := time.NewTicker(2 * time.Second)
	defer progress.Stop()
	for {
		select {
		case <-done:
			return
		case <-progress.C:
			s := d.tally.summary()
			d.reportProgress("accepted %d, answered whole %d, refused %s, recomputed %d tokens",
				s.Accepted, s.AnsweredWhole, refusedText(s), d.env.standins.TokenCounter.TokenTotals().Recomputed)
		}
	}
}

func refusedText(s Summary) string {
	parts := []string{}
	for _, reason := range sortedKeys(s.Refused) {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, s.Refused[reason]))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, " ")
}

func (d *scenarioRun) gatewayURLs() []string {
	var out []string
	for _, r := range d.env.daemons {
		out = append(out, "http://"+r.Self().CallerAddress)
	}
	return out
}

// injectFaults injects the faults at their times and returns when all of them are
// over.
func (d *scenarioRun) injectFaults(ctx context.Context) {
	var wg sync.WaitGroup
	for _, ev := range d.options.Events {
		wg.Go(func() {
			if sleep(ctx, ev.At) {
				d.reportProgress("%s", faults[ev.Fault].message)
				faults[ev.Fault].inject(d, ctx)
			}
		})
	}
	wg.Wait()
}

// sleep waits for d and reports whether ctx was still active at its end.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// check compares the answers that callers got with what the runners executed.
func (d *scenarioRun) check() {
	totals := d.env.standins.TokenCounter.TokenTotals()
	counts := d.env.standins.Executions.Counts()
	d.tally.update(func(s *Summary) {
		s.Computed = totals.Computed
		s.Recomputed = totals.Recomputed
		s.ActionsRunTwice = countRunTwice(counts)
		s.Generations = d.generations()
		for key := range d.tally.reportedNotExecuted {
			for action, n := range counts {
				if n > 0 && strings.HasSuffix(action, "/"+key) {
					s.FalseNotRun++
				}
			}
		}
	})
}

func (d *scenarioRun) generations() map[ident.FailureDomain]ident.Generation {
	out := map[ident.FailureDomain]ident.Generation{}
	for _, r := range d.env.daemons {
		if r.reclaimed.Load() {
			continue
		}
		_, g := r.Control().Current()
		domain := r.Self().FailureDomain
		if before, ok := out[domain]; !ok || g < before {
			out[domain] = g
		}
	}
	return out
}

// countRunTwice counts the actions that ran more than once. Calls that are not actions
// are counted under "" and may be repeated.
func countRunTwice(counts map[string]int) int {
	repeated := 0
	for action, n := range counts {
		if n > 1 && action != "" {
			repeated++
		}
	}
	return repeated
}
