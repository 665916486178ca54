package ctl

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"
)

type explainCmd struct{ common }

func (*explainCmd) Name() string     { return "explain" }
func (*explainCmd) Synopsis() string { return "find what was decided on a request in daemons' logs" }
func (*explainCmd) Usage() string {
	return "explain [flags] REQUEST-ID [LOG...]\n  Reads standard input if no log is named. Status 1 if the request is in none.\n"
}

func (p *explainCmd) SetFlags(f *flag.FlagSet) { p.setFlags(f) }

// Decision is one parsed log line.
type Decision struct {
	// Source is the text before the event: the time and code location, and the
	// daemon's name in merged logs.
	Source string            `json:"source"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields"`
}

// Explanation holds what the logs contain about one request.
type Explanation struct {
	Request   string     `json:"request"`
	Decisions []Decision `json:"decisions"`
	// Summary describes in one sentence how the request ended.
	Summary string `json:"summary"`
}

func (p *explainCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return p.reportError(&UsageError{Expected: "a request's id"})
	}
	e := Explanation{Request: f.Arg(0)}
	requestField := fmt.Sprintf("request=%q", e.Request)
	err := readLogs(f.Args()[1:], func(line string) {
		if strings.Contains(line, requestField) {
			e.Decisions = append(e.Decisions, parseDecision(line))
		}
	})
	if err != nil {
		return p.reportError(err)
	}
	e.Summary = e.summary()
	p.print(e, e.write)
	if len(e.Decisions) == 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// maxLogLine bounds the length of a log line; lines about decisions have a few
// hundred bytes.
const maxLogLine = 1 << 20

// readLogs passes each line of the files, or of standard input if no file is
// named, to handleLine.
func readLogs(names []string, handleLine func(line string)) error {
	if len(names) == 0 {
		return readLines(os.Stdin, handleLine)
	}
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		err = readLines(file, handleLine)
		file.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

func readLines(r io.Reader, handleLine func(line string)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		handleLine(lines.Text())
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

var (
	eventPattern = regexp.MustCompile(`^(.*?)\] "([a-z_]+)" (.*)$`)
	fieldPattern = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// parseDecision parses a structured log line of klog. The whole text of any other
// line is its source.
func parseDecision(line string) Decision {
	d := Decision{Fields: map[string]string{}}
	m := eventPattern.FindStringSubmatch(line)
	if m == nil {
		d.Source = line
		return d
	}
	d.Source, d.Event = m[1], m[2]
	for _, f := range fieldPattern.FindAllStringSubmatch(m[3], -1) {
		d.Fields[f[1]] = strings.Trim(f[2], `"`)
	}
	return d
}

// endings are the events that end a request at a daemon.
var endings = []string{"answered", "refused", "broken_off", "caller_left", "panicked", "request_unread"}

// summary describes how the request ended and why.
func (e *Explanation) summary() string {
	if len(e.Decisions) == 0 {
		return "no line about this request: it reached none of these daemons, or lines were dropped (see log_dropped_lines)"
	}
	end := e.ending()
	if end == nil {
		last := e.Decisions[len(e.Decisions)-1]
		return fmt.Sprintf("last seen: %s; the daemon was killed before the request ended, or lines were dropped", last.Event) + e.lastFailure()
	}
	f := end.Fields
	switch end.Event {
	case "answered":
		return fmt.Sprintf("answered by %s after %s", f["runner"], f["age"])
	case "refused":
		return fmt.Sprintf("refused after %s: %s (%s); executed: %s; come back after %s", f["age"], f["reason"], f["detail"], f["executed"], f["retry_after"]) + e.lastFailure()
	case "broken_off":
		return fmt.Sprintf("broken off after %s and %s events: %s (%s)", f["age"], f["events"], f["reason"], f["detail"]) + e.lastFailure()
	case "panicked":
		return fmt.Sprintf("cut after %s and %s events by a panic: %s", f["age"], f["events"], f["error"])
	case "request_unread":
		return fmt.Sprintf("never read: its connection ended after %s bytes of a malformed, too long or incomplete header", f["bytes"])
	}
	return fmt.Sprintf("its caller left after %s", f["age"]) + e.lastFailure()
}

// ending returns the decision that ended the request; nil if there is none. Of a request that was delegated, which
// several daemons have ended, it is the oldest's, since the logs may come in any order.
func (e *Explanation) ending() *Decision {
	var end *Decision
	delegated := slices.ContainsFunc(e.Decisions, func(d Decision) bool { return d.Event == "delegated" || d.Event == "accepted_for" })
	for i := range e.Decisions {
		d := &e.Decisions[i]
		if !slices.Contains(endings, d.Event) {
			continue
		}
		if end == nil || !delegated || d.age() >= end.age() {
			end = d
		}
	}
	return end
}

// age returns the request's age at the decision; zero if the line doesn't tell.
func (d *Decision) age() time.Duration {
	age, err := time.ParseDuration(d.Fields["age"])
	if err != nil {
		return 0
	}
	return age
}

// lastFailure describes the last runner that failed the request or fell silent under it; empty if none did.
func (e *Explanation) lastFailure() string {
	for _, d := range slices.Backward(e.Decisions) {
		f := d.Fields
		switch {
		case d.Event == "attempt_failed" && f["runner"] != "":
			return fmt.Sprintf("; last failure: %s at %s after %s", f["reason"], f["runner"], f["age"])
		case d.Event == "attempt_failed":
			return fmt.Sprintf("; last failure: %s at a helper after %s", f["reason"], f["age"])
		case d.Event == "hedged":
			return fmt.Sprintf("; runner %s was silent: %s", f["runner"], f["why"])
		}
	}
	return ""
}

// explainedFields lists the log fields that are shown of a decision, in this
// order.
var explainedFields = []string{
	"age", "route", "workspace", "config", "runner", "attempt", "estimate", "uncached",
	"reason", "why", "by", "heard", "helper", "kept", "begun", "may_have_run",
	"again", "executed", "detail", "error", "events", "bytes", "status",
}

func (e Explanation) write(w io.Writer) {
	for _, d := range e.Decisions {
		fmt.Fprintf(w, "%s\n  %s", d.Source, d.Event)
		for _, name := range explainedFields {
			if v, ok := d.Fields[name]; ok && v != "" {
				fmt.Fprintf(w, " %s=%s", name, v)
			}
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, e.Summary)
}
