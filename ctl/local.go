package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"geraniumstack.org/geraniumstack/daemon/settings"
	"geraniumstack.org/geraniumstack/platform"
	"geraniumstack.org/geraniumstack/state/document"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/gateway"
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
	resp, err := http.DefaultClient.Do(req)
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

type checkCmd struct{ common }

func (*checkCmd) Name() string     { return "check" }
func (*checkCmd) Synopsis() string { return "check settings and manifests without a daemon" }
func (*checkCmd) Usage() string {
	return "check [flags] FILE...\n  A JSON file with \"format\" is a manifest, any other JSON file is settings, and a file\n" +
		"  that is no JSON is the platform's settings. Status 2 if one is at fault.\n"
}
func (p *checkCmd) SetFlags(f *flag.FlagSet) { p.setFlags(f) }

func (p *checkCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return p.reportError(&UsageError{Expected: "files to check"})
	}
	status := subcommands.ExitSuccess
	for _, name := range f.Args() {
		if err := checkFile(name); err != nil {
			fmt.Fprintf(p.errs, "%s:\n", name)
			status = max(status, p.reportError(err))
			continue
		}
		fmt.Fprintf(p.errs, "%s: good\n", name)
	}
	return status
}

func checkFile(name string) error {
	data, err := readFile(name)
	if err != nil {
		return err
	}
	if isManifest(data) {
		return document.Decode(data, &manifest.Manifest{})
	}
	if !bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		_, err := platform.ParseSettings(data)
		return err
	}
	_, err = settings.Parse(data)
	return err
}

func isManifest(data []byte) bool {
	var probe struct {
		Format *string `json:"format"`
	}
	// Invalid JSON is reported by the parser that reads the document next.
	_ = json.Unmarshal(data, &probe)
	return probe.Format != nil
}

type schemaCmd struct{ common }

func (*schemaCmd) Name() string             { return "schema" }
func (*schemaCmd) Synopsis() string         { return "print the JSON Schema of manifests or settings" }
func (*schemaCmd) Usage() string            { return "schema manifest|settings\n" }
func (p *schemaCmd) SetFlags(*flag.FlagSet) {}

func (p *schemaCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	kinds := map[string]any{"manifest": &manifest.Manifest{}, "settings": &settings.Settings{}}
	v, ok := kinds[strings.ToLower(f.Arg(0))]
	if !ok {
		return p.reportError(&UsageError{Expected: "manifest or settings"})
	}
	data, err := document.Schema(v)
	if err != nil {
		return p.reportError(err)
	}
	fmt.Fprintln(p.out, string(data))
	return subcommands.ExitSuccess
}
