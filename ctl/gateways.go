package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/google/subcommands"

	"geraniumstack.org/geraniumstack/transport/gateway"
	"geraniumstack.org/geraniumstack/transport/httpanswer"
)

type gatewaysCmd struct {
	common
	caller string
	domain string
}

func (*gatewaysCmd) Name() string     { return "gateways" }
func (*gatewaysCmd) Synopsis() string { return "ask, as a caller does, which gateways to use" }
func (*gatewaysCmd) Usage() string    { return "gateways [flags]\n" }
func (p *gatewaysCmd) SetFlags(f *flag.FlagSet) {
	p.setAdminFlags(f)
	f.StringVar(&p.caller, "callers", "http://127.0.0.1:7001", "a callers' listener's base URL")
	f.StringVar(&p.domain, "failure_domain", "", "the caller's failure domain")
}

func (p *gatewaysCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	list, err := fetchGateways(ctx, p.caller, p.domain)
	if err != nil {
		fmt.Fprintln(p.errs, "error:", err)
		return ExitUnavailable
	}
	p.print(list, func(w io.Writer) { writeGateways(w, list) })
	return subcommands.ExitSuccess
}

func fetchGateways(ctx context.Context, base, domain string) (gateway.GatewayList, error) {
	var list gateway.GatewayList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/gateways?failure_domain="+domain, nil)
	if err != nil {
		return list, fmt.Errorf("make request: %w", err)
	}
	resp, err := httpanswer.NewClient().Do(req)
	if err != nil {
		return list, fmt.Errorf("ask for gateways: %w", err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return list, fmt.Errorf("read gateways: %w", err)
	}
	return list, nil
}

func writeGateways(w io.Writer, list gateway.GatewayList) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "GATEWAY\tADDRESS\tFAILURE DOMAIN\tWEIGHT")
	for _, e := range list.Gateways {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\n", e.ID, e.Address, e.FailureDomain, e.Weight)
	}
	t.Flush()
	fmt.Fprintf(w, "good for %d ms; key token %s\n", list.LifetimeMillis, list.KeyToken)
}
