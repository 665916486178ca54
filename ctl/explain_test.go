package ctl

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"
)

const logLines = `I0305 15:48:57.100000 1 decisions.go:131] "dispatched" request="aa" route="draft" workspace="shelter" config=6 age="2ms" runner="i-1~5" estimate="30ms" uncached=120 attempt=1
I0305 15:48:57.100001 1 decisions.go:131] "dispatched" request="bb" route="draft" workspace="shelter" config=6 age="2ms" runner="i-1~5" estimate="30ms" uncached=120 attempt=1
I0305 15:49:00.453914 1 decisions.go:131] "attempt_failed" request="aa" route="draft" workspace="shelter" config=6 age="3.416s" runner="i-1~5" reason="silent" may_have_run=true attempts=1 again=false wait="0s"
I0305 15:49:00.453936 1 decisions.go:131] "broken_off" request="aa" route="draft" workspace="shelter" config=6 age="3.416s" reason="runner_failed" detail="answer broke off: silent" events=95
`

func execute(t *testing.T, command subcommands.Command, args ...string) subcommands.ExitStatus {
	t.Helper()
	flags := flag.NewFlagSet(command.Name(), flag.ContinueOnError)
	command.SetFlags(flags)
	is.New(t).NoErr(flags.Parse(args))
	return command.Execute(context.Background(), flags)
}

func TestExplain(t *testing.T) {
	is := is.New(t)
	log := filepath.Join(t.TempDir(), "log")
	is.NoErr(os.WriteFile(log, []byte(logLines), 0o600))
	var out bytes.Buffer
	is.Equal(execute(t, &explainCmd{common{out: &out, errs: &out}}, "aa", log), subcommands.ExitSuccess)
	is.True(strings.Contains(out.String(), "broken off after 3.416s and 95 events: runner_failed (answer broke off: silent)"))
	is.True(!strings.Contains(out.String(), "bb"))
	out.Reset()
	is.Equal(execute(t, &explainCmd{common{out: &out, errs: &out}}, "-o", "json", "bb", log), subcommands.ExitSuccess)
	is.True(strings.Contains(out.String(), `"uncached": "120"`))
	is.Equal(execute(t, &explainCmd{common{out: &out, errs: &out}}, "cc", log), subcommands.ExitFailure)
}

// explained returns the summary of a request in logs with the given lines.
func explained(t *testing.T, request string, logs ...string) string {
	t.Helper()
	is := is.New(t)
	args := []string{request}
	for _, lines := range logs {
		log := filepath.Join(t.TempDir(), "log")
		is.NoErr(os.WriteFile(log, []byte(lines), 0o600))
		args = append(args, log)
	}
	var out bytes.Buffer
	is.Equal(execute(t, &explainCmd{common{out: &out, errs: &out}}, args...), subcommands.ExitSuccess)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	return lines[len(lines)-1]
}

// Guards against a summary that doesn't lead from a cut answer to the runner that failed it.
func TestExplainNamesRunnerOfCutAnswer(t *testing.T) {
	is := is.New(t)
	is.True(strings.HasSuffix(explained(t, "aa", logLines), "(answer broke off: silent); last failure: silent at i-1~5 after 3.416s"))
}

// Guards against taking a helper's part in a request for its end.
func TestExplainTakesEndAtCallersDaemon(t *testing.T) {
	is := is.New(t)
	const caller = `I0305 15:48:57.100000 1 decisions.go:131] "delegated" request="aa" age="2ms" helper="d2"
I0305 15:48:59.100000 1 decisions.go:131] "attempt_failed" request="aa" age="2.002s" runner="" reason="broken"
I0305 15:48:59.100000 1 decisions.go:131] "broken_off" request="aa" age="2.002s" reason="runner_failed" detail="answer broke off: broken" events=4
`
	const helper = `I0305 15:48:57.100000 1 decisions.go:131] "accepted_for" request="aa" age="3ms" daemon="10.0.0.1:2"
I0305 15:48:59.100000 1 decisions.go:131] "answered" request="aa" age="2.001s" runner="i-1"
`
	const summary = "broken off after 2.002s and 4 events: runner_failed (answer broke off: broken); last failure: broken at a helper after 2.002s"
	is.Equal(explained(t, "aa", caller, helper), summary)
	is.Equal(explained(t, "aa", helper, caller), summary)
}

// Guards against a summary that doesn't say that requests were cut by a panic, never read, or had no end.
func TestExplainOtherEnds(t *testing.T) {
	is := is.New(t)
	is.Equal(explained(t, "aa", `I0305 15:48:57.100000 1 decisions.go:131] "panicked" request="aa" age="2ms" error="nil map" events=3`),
		"cut after 2ms and 3 events by a panic: nil map")
	is.True(strings.HasPrefix(explained(t, "aa", `I0305 15:48:57.100000 1 decisions.go:131] "request_unread" request="aa" bytes=70`), "never read"))
	is.True(strings.HasPrefix(explained(t, "aa", `I0305 15:48:57.100000 1 decisions.go:131] "hedged" request="aa" runner="i-1" why="paths_lost"`),
		"last seen: hedged; the daemon was killed"))
}

// When many requests fail within seconds, an operator must be able to find out
// from the merged logs of all daemons which ones failed, at which runner and
// why. Lines that report no failure must not be counted.
func TestCauses(t *testing.T) {
	is := is.New(t)
	log := filepath.Join(t.TempDir(), "log")
	lines := ""
	for _, line := range strings.SplitAfter(strings.Repeat(logLines, 3), "\n") {
		if line != "" {
			lines += "  4.1 edge-b-1 " + line
		}
	}
	is.NoErr(os.WriteFile(log, []byte(lines), 0o600))
	var out bytes.Buffer
	is.Equal(execute(t, &causesCmd{common: common{out: &out, errs: &out}}, "-by", "reason,runner,second,daemon", log), subcommands.ExitSuccess)
	fields := strings.Fields(strings.Split(out.String(), "\n")[1])
	is.Equal(fields, []string{"3", "attempt_failed", "silent", "i-1~5", "15:49:00", "edge-b-1"})
	is.True(strings.Contains(out.String(), "6 in all"))
	out.Reset()
	is.Equal(execute(t, &causesCmd{common: common{out: &out, errs: &out}}, "-o", "json", "-most", "1", log), subcommands.ExitSuccess)
	is.True(strings.Contains(out.String(), `"total": 6`))
	is.Equal(strings.Count(out.String(), `"event"`), 1)
	is.True(execute(t, &causesCmd{common: common{out: &out, errs: &out}}, "-by", "guess", log) != subcommands.ExitSuccess)
}

// check must recognize a file of the platform's settings and validate it as
// such.
func TestCheckPlatformSettings(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "boot.conf")
	is.NoErr(os.WriteFile(file, []byte("node_name=a\nzone=north\nip=10.0.0.1\nport_range=1,2\nlisten.front=10.0.0.1:1\nlisten.readiness=10.0.0.1:2\nplatform.address=10.0.0.9:1\n"), 0o600))
	var out bytes.Buffer
	is.Equal(execute(t, &checkCmd{common{out: &out, errs: &out}}, file), subcommands.ExitSuccess)
	is.NoErr(os.WriteFile(file, []byte("node_name=a\n"), 0o600))
	is.Equal(execute(t, &checkCmd{common{out: &out, errs: &out}}, file), ExitInvalid)
	is.True(strings.Contains(out.String(), "platform.address"))
}

// The bench command must accept flags on both sides of the experiment's name.
func TestBenchAcceptsFlagsAfterName(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.Equal(execute(t, &benchCmd{common: common{out: &out, errs: &out}}, "fleet", "-o", "json", "-seeds", "1"), subcommands.ExitSuccess)
	is.True(strings.Contains(out.String(), `"experiment"`))
	is.Equal(execute(t, &benchCmd{common: common{out: &out, errs: &out}}, "fleet", "more"), subcommands.ExitUsageError)
}
