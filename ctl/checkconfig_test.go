package ctl

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"
)

// The documents and outputs are files, since only package platform knows the names in documents.
func checkConfigFile(name string) string { return filepath.Join("testdata", "checkconfig", name) }

func checkConfig(t *testing.T, args ...string) (status subcommands.ExitStatus, out, errs string) {
	var outBuffer, errBuffer bytes.Buffer
	command := &checkConfigCmd{common: common{out: &outBuffer, errs: &errBuffer}}
	flags := flag.NewFlagSet("check-config", flag.ContinueOnError)
	command.SetFlags(flags)
	if err := flags.Parse(args); err != nil {
		t.Fatal(err)
	}
	status = command.Execute(t.Context(), flags)
	return status, outBuffer.String(), errBuffer.String()
}

// Scripts decide by the exit status whether a configuration is sent.
func TestCheckConfigStatus(t *testing.T) {
	base := checkConfigFile("base.json")
	for _, c := range []struct {
		file, against, output string
		status                subcommands.ExitStatus
	}{
		{file: "base.json", status: subcommands.ExitSuccess},
		{file: "newer.json", against: base, status: subcommands.ExitSuccess},
		{file: "changed.json", against: base, output: "changed.txt", status: subcommands.ExitSuccess},
		{file: "base.json", against: base, output: "same.txt", status: subcommands.ExitFailure},
		{file: "warning.json", output: "warning.txt", status: subcommands.ExitFailure},
		{file: "error.json", output: "error.txt", status: ExitInvalid},
	} {
		is := is.New(t)
		var want []byte
		if c.output != "" {
			var err error
			want, err = os.ReadFile(checkConfigFile(c.output))
			is.NoErr(err)
		}
		status, out, errs := checkConfig(t, checkConfigFile(c.file), "-against", c.against)
		is.Equal(out, string(want))
		is.Equal(status, c.status)
		is.Equal(errs, "")
	}
}

// A file that can't be checked must not pass, and its operator is told why.
func TestCheckConfigOfUnusableFiles(t *testing.T) {
	base, malformed := checkConfigFile("base.json"), checkConfigFile("malformed.json")
	for want, args := range map[string][]string{
		"usage: check-config":       {},
		"usage: check-config FILE":  {base, base},
		"no such file":              {base + "x"},
		"malformed.json: decode":    {malformed},
		"line 2: invalid character": {base, "-against", malformed},
	} {
		is := is.New(t)
		status, out, errs := checkConfig(t, args...)
		is.Equal(status, ExitInvalid)
		is.Equal(out, "")
		is.True(strings.HasPrefix(errs, "error: ") && strings.Contains(errs, want)) // the message names the reason
	}
}

func TestCheckConfigPrintsJSON(t *testing.T) {
	is := is.New(t)
	status, out, _ := checkConfig(t, "-o", "json", checkConfigFile("warning.json"))
	is.Equal(status, subcommands.ExitFailure)
	var findings []ConfigFinding
	is.NoErr(json.Unmarshal([]byte(out), &findings))
	is.Equal(len(findings), 1)
	is.Equal(findings[0].Severity, "warning")
	is.Equal(string(findings[0].Kind), "contradictory_limits")
}
