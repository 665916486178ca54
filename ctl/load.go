package ctl

import (
	"context"
	"flag"
	"net/http"
	"strings"
	"time"

	"github.com/google/subcommands"

	"geraniumstack.org/geraniumstack/demo"
	"geraniumstack.org/geraniumstack/transport/httpanswer"
)

const loadConnections = 64

type loadCmd struct {
	common
	fleet    string
	gateways string
	seed     uint64
	duration time.Duration
}

func (*loadCmd) Name() string     { return "load" }
func (*loadCmd) Synopsis() string { return "send an example fleet's mix to running gateways" }
func (*loadCmd) Usage() string {
	return "load [flags]\n  Expects stand-in engines behind the gateways. Status 1 if a promise was broken.\n"
}
func (p *loadCmd) SetFlags(f *flag.FlagSet) {
	p.setFlags(f)
	f.StringVar(&p.fleet, "fleet", demo.Fleets[0], "fleet: "+strings.Join(demo.Fleets, " or "))
	f.StringVar(&p.gateways, "callers", "http://127.0.0.1:7001", "callers' listeners' base URLs to begin with, separated by commas")
	f.Uint64Var(&p.seed, "seed", 1, "seed of the load")
	f.DurationVar(&p.duration, "for", 20*time.Second, "how long to send new work")
}

func (p *loadCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	summary, err := demo.Load(ctx, demo.LoadOptions{
		Fleet: p.fleet, Gateways: strings.Split(p.gateways, ","), Seed: p.seed, For: p.duration, Progress: p.errs,
		HTTP: &http.Client{Transport: httpanswer.NewTransport(&http.Transport{MaxIdleConnsPerHost: loadConnections})},
	})
	if err != nil {
		return p.reportError(err)
	}
	return p.printSummary(summary)
}
