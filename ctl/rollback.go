package ctl

import (
	"context"
	"flag"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	adminv1 "geraniumstack.org/geraniumstack/gen/geranium/admin/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/admin/v1/adminv1connect"
)

type rollbackCmd struct {
	common
	expected   int64
	submission string
	wait       time.Duration
}

func (*rollbackCmd) Name() string { return "rollback" }
func (*rollbackCmd) Synopsis() string {
	return "submit the content of an earlier generation as a new one"
}
func (*rollbackCmd) Usage() string {
	return "rollback [flags] GENERATION\n  Takes one that history lists. Statuses are those of apply.\n"
}
func (p *rollbackCmd) SetFlags(f *flag.FlagSet) {
	p.setAdminFlags(f)
	f.Int64Var(&p.expected, "expect", -1, "the generation that is to be replaced; -1 is any")
	f.StringVar(&p.submission, "submission", "", "id that makes the call repeatable; random by default")
	f.DurationVar(&p.wait, "wait", 12*time.Second, "how long to wait until it is in force in every failure domain")
}

func (p *rollbackCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	generation, err := strconv.ParseUint(f.Arg(0), 10, 64)
	if err != nil || f.NArg() != 1 {
		return p.fail(&UsageError{Want: "one generation, a number that history lists"})
	}
	if p.submission == "" {
		p.submission = newSubmissionID()
	}
	p.timeout += p.wait
	resp, err := call(ctx, &p.common, func(ctx context.Context, c adminv1connect.AdminServiceClient) (*connect.Response[adminv1.RollbackResponse], error) {
		return c.Rollback(ctx, connect.NewRequest(&adminv1.RollbackRequest{
			ToGeneration: generation, ExpectedGeneration: p.expected,
			SubmissionId: p.submission, WaitMs: p.wait.Milliseconds(),
		}))
	})
	if err != nil {
		return p.fail(err)
	}
	return p.accepted(resp, resp)
}
