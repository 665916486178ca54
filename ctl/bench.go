package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"geraniumstack.org/geraniumstack/bench"
	"geraniumstack.org/geraniumstack/bench/plot"
)

type benchCmd struct {
	common
	seeds  string
	arms   string
	rounds int
	plots  string
	format string
}

func (*benchCmd) Name() string     { return "bench" }
func (*benchCmd) Synopsis() string { return "run an experiment, its arms side by side" }
func (*benchCmd) Usage() string {
	text := "bench [flags] EXPERIMENT\n  Experiments:\n"
	for _, e := range experiments() {
		text += fmt.Sprintf("    %-10s %s\n", e.Name(), e.Synopsis())
	}
	return text
}

func (p *benchCmd) SetFlags(f *flag.FlagSet) {
	p.setFlags(f)
	f.StringVar(&p.seeds, "seeds", "1,2,3", "seeds, separated by commas; A-B is a range")
	f.StringVar(&p.arms, "arms", "", "arms to run, separated by commas; all by default")
	f.IntVar(&p.rounds, "rounds", 1, "rounds of each seed")
	f.StringVar(&p.plots, "plots", "", "directory to draw the figures into")
	f.StringVar(&p.format, "plot_format", "svg", "svg or png")
}

func (p *benchCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	experiment, err := findExperiment(f)
	if err != nil {
		return p.reportUsageError(err)
	}
	// Flags may also follow the experiment's name.
	if !parseFlagsAfterArgument(f) {
		return p.reportUsageError(&UsageError{Expected: "one experiment and flags before or behind it"})
	}
	options, err := p.options()
	if err != nil {
		return p.reportUsageError(err)
	}
	report, err := experiment.Run(ctx, options)
	if err != nil {
		return p.reportError(fmt.Errorf("experiment %s: %w", experiment.Name(), err))
	}
	p.print(report, func(w io.Writer) {
		if err := report.WriteTable(w); err != nil {
			fmt.Fprintln(p.errs, err)
		}
	})
	return p.writePlots(report)
}

func (p *benchCmd) reportUsageError(err error) subcommands.ExitStatus {
	fmt.Fprintln(p.errs, err)
	return subcommands.ExitUsageError
}

func (p *benchCmd) writePlots(report bench.Report) subcommands.ExitStatus {
	if p.plots == "" {
		return subcommands.ExitSuccess
	}
	files, err := plot.Write(report, p.plots, p.format)
	if err != nil {
		return p.reportError(err)
	}
	fmt.Fprintf(p.errs, "%d plots in %s\n", len(files), p.plots)
	return subcommands.ExitSuccess
}

func findExperiment(f *flag.FlagSet) (bench.Experiment, error) {
	for _, e := range experiments() {
		if f.NArg() > 0 && e.Name() == f.Arg(0) {
			return e, nil
		}
	}
	return nil, &UsageError{Expected: "the name of one experiment; see help bench"}
}

func (p *benchCmd) options() (bench.Options, error) {
	seeds, err := parseSeeds(p.seeds)
	if err != nil {
		return bench.Options{}, err
	}
	options := bench.Options{Seeds: seeds, Rounds: p.rounds, Progress: p.errs}
	if p.arms != "" {
		options.Arms = strings.Split(p.arms, ",")
	}
	return options, nil
}

// parseSeeds parses a list of seeds and ranges of seeds, such as 1,2,5-9.
func parseSeeds(text string) ([]uint64, error) {
	usage := &UsageError{Expected: "seeds like 1,2,5-9"}
	var seeds []uint64
	for _, part := range strings.Split(text, ",") {
		low, high, isRange := strings.Cut(part, "-")
		if !isRange {
			high = low
		}
		first, err := strconv.ParseUint(low, 10, 64)
		if err != nil {
			return nil, usage
		}
		last, err := strconv.ParseUint(high, 10, 64)
		if err != nil || last < first {
			return nil, usage
		}
		for s := first; s <= last; s++ {
			seeds = append(seeds, s)
		}
	}
	return seeds, nil
}
