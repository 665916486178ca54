package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/google/subcommands"
	"k8s.io/klog/v2"

	"geraniumstack.org/geraniumstack/daemon"
	"geraniumstack.org/geraniumstack/demo"
)

type demoCmd struct {
	common
	fleet  string
	seed   uint64
	logs   bool
	faults string
}

func (*demoCmd) Name() string { return "demo" }
func (*demoCmd) Synopsis() string {
	return "run the whole system on loopback through reclaims and an outage"
}
func (*demoCmd) Usage() string {
	return "demo [flags]\n  Status 1 if a promise was broken.\n"
}
func (p *demoCmd) SetFlags(f *flag.FlagSet) {
	p.setFlags(f)
	f.StringVar(&p.fleet, "fleet", demo.Fleets[0], "fleet: "+strings.Join(demo.Fleets, " or "))
	f.Uint64Var(&p.seed, "seed", 1, "seed of the load")
	f.StringVar(&p.faults, "faults", "", "faults instead of the scenario's, one every 3 s, separated by commas: "+strings.Join(demo.FaultNames(), " "))
	f.BoolVar(&p.logs, "logs", false, "show the gateways' logs")
}

func (p *demoCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !p.logs {
		klog.LogToStderr(false)
		klog.SetOutput(io.Discard)
	}
	summary, err := demo.Run(ctx, demo.Options{Fleet: p.fleet, Seed: p.seed, Progress: p.errs, Network: daemon.TCP{}, Events: p.events()})
	if err != nil {
		return p.reportError(err)
	}
	return p.printSummary(summary)
}

// printSummary prints what a run showed, and returns the exit status.
func (c *common) printSummary(summary demo.Summary) subcommands.ExitStatus {
	c.print(summary, func(w io.Writer) {
		if err := summary.Write(w); err != nil {
			fmt.Fprintln(c.errs, err)
		}
	})
	if !summary.PromisesKept {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

const faultInterval = 3 * time.Second

func (p *demoCmd) events() []demo.Event {
	if p.faults == "" {
		return nil
	}
	var events []demo.Event
	for i, name := range strings.Split(p.faults, ",") {
		events = append(events, demo.Event{At: time.Duration(i+1) * faultInterval, Fault: name})
	}
	return events
}
