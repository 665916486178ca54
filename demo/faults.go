package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	adminv1 "geraniumstack.org/geraniumstack/gen/geranium/admin/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/admin/v1/adminv1connect"
	"geraniumstack.org/geraniumstack/standin/engine"
	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/standin/service"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
)

// Event is a fault and the time at which it is injected, counted from the first
// request.
type Event struct {
	At    time.Duration
	Fault string
}

// UnknownFaultError reports a fault name that does not exist.
type UnknownFaultError struct{ Name string }

func (e *UnknownFaultError) Error() string {
	return fmt.Sprintf("no fault %q; there are %v", e.Name, FaultNames())
}

// Durations and sizes of the faults.
const (
	runnerNotice    = 6 * time.Second
	gatewayNotice   = 8 * time.Second
	outageDuration  = 8 * time.Second
	slowAnswerDelay = 400 * time.Millisecond
	lostAnswers     = 12
	faultyStreams   = 6
	faultyCalls     = 3
)

// fault is a kind of fault: the progress message for it and the function that injects
// it.
type fault struct {
	message string
	inject  func(*scenarioRun, context.Context)
}

var faults = map[string]fault{
	"runners-reclaim":  {"the model runners of a failure domain get notice", (*scenarioRun).reclaimRunners},
	"runners-kill":     {"the model runners of a failure domain die", (*scenarioRun).killRunners},
	"gateway-reclaim":  {"a gateway gets notice", (*scenarioRun).reclaimGateway},
	"gateway-kill":     {"a gateway dies", (*scenarioRun).killGateway},
	"gateway-silent":   {"a gateway's open connections go silent for good", (*scenarioRun).silenceGateway},
	"kv-outage":        {"the key-value service goes down for a while", kvFault(kvserver.Faults{Outage: true})},
	"kv-slow":          {"the key-value service gets slow for a while", kvFault(kvserver.Faults{DelayMillis: slowAnswerDelay.Milliseconds()})},
	"kv-lost-answers":  {"the key-value service loses answers", kvFault(kvserver.Faults{LoseAnswers: lostAnswers})},
	"kv-silent":        {"watches of the key-value service go silent", kvFault(kvserver.Faults{SilentWatches: true})},
	"engines-stall":    {"streams of model engines stall", engineFault(engine.StreamStall)},
	"engines-truncate": {"streams of model engines end early", engineFault(engine.StreamTruncate)},
	"engines-break":    {"connections of model engines break", engineFault(engine.StreamBreak)},
	"engines-cross":    {"model engines emit lines of other attempts", engineFault(engine.StreamCross)},
	"engines-repeat":   {"model engines repeat lines", engineFault(engine.StreamDuplicate)},
	"services-close":   {"plain services run calls and close without an answer", serviceFault(service.Faults{CloseAfterExecute: faultyCalls})},
	"services-hang":    {"plain services run calls and never answer", serviceFault(service.Faults{HangSilently: 1})},
	"services-refuse":  {"plain services refuse calls before they run", serviceFault(service.Faults{RefuseBefore: faultyCalls})},
	"operators-race":   {"two operators submit manifests at once", (*scenarioRun).submitConcurrently},
}

// FaultNames lists the fault names that an Event accepts.
func FaultNames() []string { return sortedKeys(faults) }

func checkEvents(events []Event) error {
	for _, ev := range events {
		if _, ok := faults[ev.Fault]; !ok {
			return &UnknownFaultError{Name: ev.Fault}
		}
	}
	return nil
}

// DefaultEvents returns the demo's standard scenario.
func DefaultEvents() []Event {
	return []Event{
		{4 * time.Second, "runners-reclaim"},
		{8 * time.Second, "kv-outage"},
		{10 * time.Second, "gateway-reclaim"},
	}
}

func (d *scenarioRun) domainRunners(domain ident.FailureDomain) []string {
	var out []string
	for _, vm := range d.env.standins.Cloud.VMs() {
		if vm.FailureDomain == domain && vm.Service == d.fleet.modelService() {
			out = append(out, vm.ID)
		}
	}
	return out
}

func (d *scenarioRun) reclaimRunners(context.Context) {
	for _, id := range d.domainRunners(d.fleet.Manifest.Fleet.FailureDomains[1]) {
		d.env.standins.Cloud.Reclaim(id, runnerNotice)
	}
}

func (d *scenarioRun) killRunners(context.Context) {
	for _, id := range d.domainRunners(d.fleet.Manifest.Fleet.FailureDomains[2]) {
		d.env.standins.Cloud.Kill(id)
	}
}

func (d *scenarioRun) reclaimGateway(context.Context) {
	last := d.env.daemons[gateways-1]
	last.reclaimed.Store(true)
	d.env.standins.Cloud.Reclaim(last.vm, gatewayNotice)
}

func (d *scenarioRun) killGateway(context.Context) {
	r := d.env.daemons[gateways-2]
	r.reclaimed.Store(true)
	r.Abort()
	d.env.standins.Cloud.Kill(r.vm)
}

// silencer is a network that can stop delivering data on the open connections of an
// address without closing them.
type silencer interface{ Silence(address string) int }

func (d *scenarioRun) silenceGateway(context.Context) {
	n, ok := d.options.Network.(silencer)
	if !ok {
		d.reportProgress("this network can't do that")
		return
	}
	self := d.env.daemons[1].Self()
	n.Silence(self.CallerAddress)
	n.Silence(self.PeerAddress)
}

func kvFault(f kvserver.Faults) func(*scenarioRun, context.Context) {
	return func(d *scenarioRun, ctx context.Context) {
		d.env.standins.KV.SetFaults(f)
		sleep(ctx, outageDuration)
		d.reportProgress("the key-value service is well again")
		d.env.standins.KV.SetFaults(kvserver.Faults{})
	}
}

func engineFault(kind engine.StreamFault) func(*scenarioRun, context.Context) {
	return func(d *scenarioRun, _ context.Context) {
		for _, r := range d.env.standins.Runners() {
			if r.Engine != nil {
				r.Engine.SetFaults(engine.Faults{Stream: kind, Streams: faultyStreams, AfterTokens: 5, LateLines: 2})
			}
		}
	}
}

func serviceFault(f service.Faults) func(*scenarioRun, context.Context) {
	return func(d *scenarioRun, _ context.Context) {
		for _, r := range d.env.standins.Runners() {
			if r.Service != nil {
				r.Service.SetFaults(f)
			}
		}
	}
}

// submitConcurrently submits two manifests at once that both expect to replace
// generation 1, so at most one of them may be accepted.
func (d *scenarioRun) submitConcurrently(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			changed := *d.fleet.Manifest
			changed.Workspaces = slices.Clone(changed.Workspaces)
			changed.Workspaces[i].Weight++
			if d.submit(ctx, i, &changed) {
				d.tally.update(func(s *Summary) { s.RaceWinners++ })
			}
		})
	}
	wg.Wait()
}

func (d *scenarioRun) submit(ctx context.Context, i int, m *manifest.Manifest) bool {
	data, err := json.Marshal(m)
	if err != nil {
		d.reportProgress("marshal manifest: %v", err)
		return false
	}
	client := adminv1connect.NewAdminServiceClient(newHTTPClient(d.options.Network), "http://"+d.env.daemons[i].AdminAddress())
	request := connect.NewRequest(&adminv1.ApplyRequest{
		Manifest: data, ExpectedGeneration: 1,
		SubmissionId: fmt.Sprintf("race-%d", i), WaitMs: applyTimeout.Milliseconds(),
	})
	request.Header().Set("Authorization", "Bearer "+operatorKey)
	_, err = client.Apply(ctx, request)
	return err == nil
}
