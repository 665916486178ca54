package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/google/subcommands"
)

// trialsCmd shows the course of trials of new software versions of a service:
// each step of a trial, with the counts on which the step was decided.
type trialsCmd struct{ common }

func (*trialsCmd) Name() string     { return "trials" }
func (*trialsCmd) Synopsis() string { return "show from daemons' logs how new software versions fared" }
func (*trialsCmd) Usage() string {
	return "trials [flags] [LOG...]\n  Reads standard input if no log is named.\n"
}

func (p *trialsCmd) SetFlags(f *flag.FlagSet) { p.setFlags(f) }

// trialStepEvent is the log event of a trial step.
const trialStepEvent = "trial_step"

// trialColumns lists the log fields of a step, in the order of the table's
// columns.
var trialColumns = []string{
	"service", "target", "order", "state", "reason", "route", "reserved", "sent", "answers", "failed", "old_runners", "new_runners", "outcome",
}

// TrialStep maps the names in trialColumns to their values in one step.
type TrialStep map[string]string

// TrialSteps holds the steps found in the logs, in the order of the log lines.
type TrialSteps struct {
	Steps []TrialStep `json:"steps"`
}

func (p *trialsCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	steps := TrialSteps{Steps: []TrialStep{}}
	if err := readLogs(f.Args(), steps.addLine); err != nil {
		return p.reportError(err)
	}
	p.print(steps, steps.write)
	return subcommands.ExitSuccess
}

func (s *TrialSteps) addLine(line string) {
	d := parseDecision(line)
	if d.Event != trialStepEvent {
		return
	}
	step := TrialStep{}
	for _, name := range trialColumns {
		step[name] = d.Fields[name]
	}
	s.Steps = append(s.Steps, step)
}

func (s TrialSteps) write(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, name := range trialColumns {
		fmt.Fprintf(table, "%s\t", name)
	}
	fmt.Fprintln(table)
	for _, step := range s.Steps {
		for _, name := range trialColumns {
			fmt.Fprintf(table, "%s\t", step[name])
		}
		fmt.Fprintln(table)
	}
	table.Flush()
}
