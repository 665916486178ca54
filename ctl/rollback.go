package ctl

import (
	"context"
	"flag"
	"strconv"

	"github.com/google/subcommands"

	adminv1 "geraniumstack.org/geraniumstack/gen/geranium/admin/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/admin/v1/adminv1connect"
)

type rollbackCmd struct{ submission }

func (*rollbackCmd) Name() string { return "rollback" }
func (*rollbackCmd) Synopsis() string {
	return "submit the content of an earlier generation as a new one"
}
func (*rollbackCmd) Usage() string {
	return "rollback [flags] GENERATION\n  Takes one that history lists. Statuses are those of apply.\n"
}
func (p *rollbackCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	generation, err := strconv.ParseUint(f.Arg(0), 10, 64)
	if err != nil || f.NArg() != 1 {
		return p.reportError(&UsageError{Expected: "one generation, a number that history lists"})
	}
	p.fillDefaults()
	resp, err := call(ctx, &p.common, adminv1connect.AdminServiceClient.Rollback, &adminv1.RollbackRequest{
		ToGeneration: generation, ExpectedGeneration: p.expected,
		SubmissionId: p.id, WaitMs: p.wait.Milliseconds(),
	})
	if err != nil {
		return p.reportError(err)
	}
	return p.printAcceptance(resp, resp)
}
