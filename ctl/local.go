package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"

	"geraniumstack.org/geraniumstack/daemon/settings"
	"geraniumstack.org/geraniumstack/platform"
	"geraniumstack.org/geraniumstack/state/document"
	"geraniumstack.org/geraniumstack/state/manifest"
)

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

// checkFile checks a document of the kind that its content shows; the usage of
// checkCmd says how.
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
