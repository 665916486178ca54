// Package bench runs experiments whose arms are measured side by side in one
// run, and prints them as JSON, a table or a plot.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
)

// Arm is one way of doing the same work. Figures that were not measured are
// left out, never zero.
type Arm struct {
	Name    string
	Figures map[string]float64
}

// MarshalJSON writes the figures beside the name.
func (a Arm) MarshalJSON() ([]byte, error) {
	flat := map[string]any{"name": a.Name}
	for k, v := range a.Figures {
		flat[k] = v
	}
	return json.Marshal(flat)
}

// Report is the outcome of one experiment.
type Report struct {
	Experiment string   `json:"experiment"`
	Seeds      []uint64 `json:"seeds"`
	Arms       []Arm    `json:"arms"`
	// Notes say under which conditions the figures hold.
	Notes []string `json:"notes,omitempty"`
}

// Options are common to all experiments.
type Options struct {
	Seeds []uint64
	// Rounds repeats each seed's run; experiments in virtual time need one.
	Rounds int
	// Arms keeps only the named arms; empty is all.
	Arms []string
	// Progress gets a line now and then; never nil.
	Progress io.Writer
}

// Wants tells whether the arm is to be run.
func (o Options) Wants(arm string) bool {
	if len(o.Arms) == 0 {
		return true
	}
	for _, a := range o.Arms {
		if a == arm {
			return true
		}
	}
	return false
}

// Experiment is one named measurement.
type Experiment interface {
	Name() string
	// Synopsis is one line for the command's help.
	Synopsis() string
	Run(ctx context.Context, o Options) (Report, error)
}

// WriteTable prints the report for a person: a row a figure, a column an arm.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s\t", r.Experiment)
	for _, a := range r.Arms {
		fmt.Fprintf(t, "%s\t", a.Name)
	}
	fmt.Fprintln(t)
	for _, name := range r.figureNames() {
		fmt.Fprintf(t, "%s\t", name)
		for _, a := range r.Arms {
			fmt.Fprintf(t, "%s\t", cell(a, name))
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	for _, n := range r.Notes {
		if _, err := fmt.Fprintln(w, n); err != nil {
			return fmt.Errorf("write note: %w", err)
		}
	}
	return nil
}

func cell(a Arm, name string) string {
	v, ok := a.Figures[name]
	if !ok {
		return "-"
	}
	return fmt.Sprintf("%.6g", v)
}

func (r Report) figureNames() []string {
	seen := map[string]bool{}
	for _, a := range r.Arms {
		for name := range a.Figures {
			seen[name] = true
		}
	}
	names := make([]string, 0, len(seen))
	for name := range seen {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
