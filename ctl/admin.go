package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	adminv1 "geraniumstack.org/geraniumstack/gen/geranium/admin/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/admin/v1/adminv1connect"
	"geraniumstack.org/geraniumstack/state/document"
	"geraniumstack.org/geraniumstack/state/manifest"
)

const submissionIDBytes = 16

// readManifest reads and validates the manifest named on the command line
// before it is sent to a daemon.
func readManifest(f *flag.FlagSet) ([]byte, error) {
	if f.NArg() != 1 {
		return nil, &UsageError{Expected: "one manifest file, or - for standard input"}
	}
	data, err := readFile(f.Arg(0))
	if err != nil {
		return nil, err
	}
	var m manifest.Manifest
	if err := document.Decode(data, &m); err != nil {
		return nil, fmt.Errorf("manifest %s: %w", f.Arg(0), err)
	}
	return data, nil
}

// submission holds the flags of the commands that submit a configuration.
type submission struct {
	common
	expected int64
	id       string
	wait     time.Duration
}

func (s *submission) SetFlags(f *flag.FlagSet) {
	s.setAdminFlags(f)
	f.Int64Var(&s.expected, "expect", -1, "the generation that is to be replaced; -1 is any")
	f.StringVar(&s.id, "submission", "", "id that makes the call repeatable; random by default")
	f.DurationVar(&s.wait, "wait", 12*time.Second, "how long to wait until it is in force in every failure domain")
}

// fillDefaults sets a random submission ID if the flags give none, and extends
// the call timeout by the wait.
func (s *submission) fillDefaults() {
	if s.id == "" {
		s.id = newSubmissionID()
	}
	s.timeout += s.wait
}

type applyCmd struct{ submission }

func (*applyCmd) Name() string     { return "apply" }
func (*applyCmd) Synopsis() string { return "submit a manifest and wait until it is in force" }
func (*applyCmd) Usage() string {
	return "apply [flags] FILE\n  Submits a manifest. Status 3: another operator came first; 5: accepted, not yet in force everywhere.\n"
}
func (p *applyCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	data, err := readManifest(f)
	if err != nil {
		return p.reportError(err)
	}
	p.fillDefaults()
	resp, err := call(ctx, &p.common, adminv1connect.AdminServiceClient.Apply, &adminv1.ApplyRequest{
		Manifest: data, ExpectedGeneration: p.expected,
		SubmissionId: p.id, WaitMs: p.wait.Milliseconds(),
	})
	if err != nil {
		return p.reportError(err)
	}
	return p.printAcceptance(resp, resp)
}

// acceptance is the common part of the responses to Apply and Rollback.
type acceptance interface {
	GetGeneration() uint64
	GetInForceEverywhere() bool
	GetDomains() []*adminv1.DomainStatus
}

// printAcceptance prints a response, whose JSON form is v, and returns the exit
// status.
func (c *common) printAcceptance(v any, a acceptance) subcommands.ExitStatus {
	c.print(v, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as generation %d\n", a.GetGeneration())
		writeDomains(w, a.GetDomains())
	})
	if !a.GetInForceEverywhere() {
		return ExitNotInForce
	}
	return subcommands.ExitSuccess
}

func newSubmissionID() string {
	var b [submissionIDBytes]byte
	// crypto/rand.Read never returns an error; it aborts the program instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func writeDomains(w io.Writer, domains []*adminv1.DomainStatus) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "FAILURE DOMAIN\tGENERATION\tDAEMONS\tBEHIND\tNOT HEARD YET")
	for _, d := range domains {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\n", d.FailureDomain, d.Generation, d.Daemons, d.DaemonsBehind, d.DaemonsUnheard)
	}
	t.Flush()
}

type diffCmd struct{ common }

func (*diffCmd) Name() string               { return "diff" }
func (*diffCmd) Synopsis() string           { return "show what a manifest would change" }
func (*diffCmd) Usage() string              { return "diff [flags] FILE\n  Status 1 if there is a difference.\n" }
func (p *diffCmd) SetFlags(f *flag.FlagSet) { p.setAdminFlags(f) }

func (p *diffCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	data, err := readManifest(f)
	if err != nil {
		return p.reportError(err)
	}
	resp, err := call(ctx, &p.common, adminv1connect.AdminServiceClient.Diff, &adminv1.DiffRequest{Manifest: data})
	if err != nil {
		return p.reportError(err)
	}
	p.print(resp, func(w io.Writer) {
		fmt.Fprintf(w, "against generation %d\n", resp.Generation)
		for _, ch := range resp.Changes {
			fmt.Fprintf(w, "%s: %s -> %s\n", ch.Path, ch.Before, ch.After)
		}
	})
	if len(resp.Changes) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

type statusCmd struct{ common }

func (*statusCmd) Name() string { return "status" }
func (*statusCmd) Synopsis() string {
	return "show the configuration in force, the daemons and the runners"
}
func (*statusCmd) Usage() string              { return "status [flags]\n" }
func (p *statusCmd) SetFlags(f *flag.FlagSet) { p.setAdminFlags(f) }

func (p *statusCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	resp, err := call(ctx, &p.common, adminv1connect.AdminServiceClient.Status, &adminv1.StatusRequest{})
	if err != nil {
		return p.reportError(err)
	}
	p.print(resp, func(w io.Writer) { writeStatus(w, resp) })
	return subcommands.ExitSuccess
}

func writeStatus(w io.Writer, s *adminv1.StatusResponse) {
	reachability := "reachable"
	if !s.KeyValueServiceUp {
		reachability = "not reachable; going on with what is known"
	}
	fmt.Fprintf(w, "generation %d; key-value service %s\n\n", s.Generation, reachability)
	writeDomains(w, s.Domains)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "\nDAEMON\tFAILURE DOMAIN\tADDRESS\tSTATE\tGENERATION\tHEARD DIRECTLY")
	for _, d := range s.Daemons {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\n", d.Id, d.FailureDomain, d.CallerAddress, d.State, d.Generation, lastHeardText(d.HeardMsAgo))
	}
	fmt.Fprintln(t, "\nRUNNER\tSERVICE\tFAILURE DOMAIN\tADDRESS\tSTATE\tDETAIL")
	for _, r := range s.Runners {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", r.Id, r.Service, r.FailureDomain, r.Address, r.State, r.Detail)
	}
	t.Flush()
}

// lastHeardText describes when the answering daemon last heard directly from
// another daemon.
func lastHeardText(millisAgo int64) string {
	if millisAgo < 0 {
		return "never; by others' word"
	}
	return (time.Duration(millisAgo) * time.Millisecond).String() + " ago"
}

type historyCmd struct {
	common
	limit int
}

func (*historyCmd) Name() string     { return "history" }
func (*historyCmd) Synopsis() string { return "list accepted configurations, newest first" }
func (*historyCmd) Usage() string    { return "history [flags]\n" }
func (p *historyCmd) SetFlags(f *flag.FlagSet) {
	p.setAdminFlags(f)
	f.IntVar(&p.limit, "n", 20, "how many")
}

func (p *historyCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	resp, err := call(ctx, &p.common, adminv1connect.AdminServiceClient.History, &adminv1.HistoryRequest{Limit: int32(p.limit)})
	if err != nil {
		return p.reportError(err)
	}
	p.print(resp, func(w io.Writer) {
		t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
		fmt.Fprintln(t, "GENERATION\tACCEPTED\tBY\tSUBMISSION")
		for _, e := range resp.Entries {
			fmt.Fprintf(t, "%d\t%s\t%s\t%s\n", e.Generation, time.UnixMilli(e.AcceptedUnixMs).UTC().Format(time.RFC3339), e.Author, e.SubmissionId)
		}
		t.Flush()
	})
	return subcommands.ExitSuccess
}

type usageCmd struct{ common }

func (*usageCmd) Name() string               { return "usage" }
func (*usageCmd) Synopsis() string           { return "show each workspace's use and refusals at one daemon" }
func (*usageCmd) Usage() string              { return "usage [flags]\n" }
func (p *usageCmd) SetFlags(f *flag.FlagSet) { p.setAdminFlags(f) }

func (p *usageCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	resp, err := call(ctx, &p.common, adminv1connect.AdminServiceClient.Usage, &adminv1.UsageRequest{})
	if err != nil {
		return p.reportError(err)
	}
	p.print(resp, func(w io.Writer) { writeUsage(w, resp.Workspaces) })
	return subcommands.ExitSuccess
}

func writeUsage(w io.Writer, list []*adminv1.WorkspaceUsage) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "WORKSPACE\tACCEPTED\tANSWERED\tTOKENS\tREFUSED")
	for _, u := range list {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\n", u.Workspace, u.Accepted, u.Answered, u.GeneratedTokens, joinCounts(u.Refused))
	}
	t.Flush()
}

// joinCounts lists the counts by name, each followed by a space.
func joinCounts(counts map[string]int64) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		text += fmt.Sprintf("%s=%d ", name, counts[name])
	}
	return text
}

type drainCmd struct{ common }

func (*drainCmd) Name() string               { return "drain" }
func (*drainCmd) Synopsis() string           { return "make a daemon or a runner take no new work" }
func (*drainCmd) Usage() string              { return "drain [flags] ID\n" }
func (p *drainCmd) SetFlags(f *flag.FlagSet) { p.setAdminFlags(f) }

func (p *drainCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return p.reportError(&UsageError{Expected: "the id of a daemon or a runner"})
	}
	resp, err := call(ctx, &p.common, adminv1connect.AdminServiceClient.Drain, &adminv1.DrainRequest{Target: f.Arg(0)})
	if err != nil {
		return p.reportError(err)
	}
	p.print(resp, func(w io.Writer) { fmt.Fprintln(w, "draining") })
	return subcommands.ExitSuccess
}
