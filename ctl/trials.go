package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/google/subcommands"
)

// trialsCmd shows how orders to move a service to another software version went: each step
// that the holder of the duties took, with the counts that it rests on.
type trialsCmd struct{ common }

func (*trialsCmd) Name() string     { return "trials" }
func (*trialsCmd) Synopsis() string { return "show from daemons' logs how new software versions fared" }
func (*trialsCmd) Usage() string {
	return "trials [flags] [LOG...]\n  Reads standard input if no log is named.\n"
}

func (p *trialsCmd) SetFlags(f *flag.FlagSet) { p.setFlags(f) }

// trialStepEvent is the event of a step.
const trialStepEvent = "trial_step"

// trialColumns are a step's fields as the log names them.
var trialColumns = []string{
	"service", "target", "order", "state", "reason", "route", "reserved", "sent", "answers", "failed", "old_runners", "new_runners", "outcome",
}

// TrialStep is one step, by the names of trialColumns.
type TrialStep map[string]string

// TrialSteps are the steps of some logs in the order in which they stand there.
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
