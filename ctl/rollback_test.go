package ctl

import (
	"bytes"
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/google/subcommands"
	"github.com/matryer/is"

	adminv1 "geraniumstack.org/geraniumstack/gen/geranium/admin/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/admin/v1/adminv1connect"
)

// fakeAdmin answers rollbacks with a prepared response and records the request.
type fakeAdmin struct {
	adminv1connect.UnimplementedAdminServiceHandler
	request  *adminv1.RollbackRequest
	response *adminv1.RollbackResponse
}

func (a *fakeAdmin) Rollback(_ context.Context, r *connect.Request[adminv1.RollbackRequest]) (*connect.Response[adminv1.RollbackResponse], error) {
	a.request = r.Msg
	return connect.NewResponse(a.response), nil
}

func rollback(t *testing.T, a *fakeAdmin, args ...string) (subcommands.ExitStatus, string) {
	mux := http.NewServeMux()
	mux.Handle(adminv1connect.NewAdminServiceHandler(a))
	server := httptest.NewServer(mux)
	defer server.Close()
	var out bytes.Buffer
	command := &rollbackCmd{submission{common: common{out: &out, errs: &out}}}
	flags := flag.NewFlagSet("rollback", flag.ContinueOnError)
	command.SetFlags(flags)
	if err := flags.Parse(append([]string{"-admin", server.URL}, args...)); err != nil {
		t.Fatal(err)
	}
	return command.Execute(t.Context(), flags), out.String()
}

func TestRollback(t *testing.T) {
	is := is.New(t)
	a := &fakeAdmin{response: &adminv1.RollbackResponse{
		Generation: 9, InForceEverywhere: true,
		Domains: []*adminv1.DomainStatus{{FailureDomain: "lima-sur", Generation: 9, Daemons: 3, DaemonsUnheard: 2}},
	}}
	status, out := rollback(t, a, "-expect", "8", "4")
	is.Equal(status, subcommands.ExitSuccess)
	is.Equal(a.request.GetToGeneration(), uint64(4))
	is.Equal(a.request.GetExpectedGeneration(), int64(8))
	is.True(a.request.GetSubmissionId() != "")
	is.True(strings.Contains(out, "accepted as generation 9"))
	is.True(strings.Contains(out, "NOT HEARD YET"))
	a.response.InForceEverywhere = false
	status, _ = rollback(t, a, "4")
	is.Equal(status, ExitNotInForce)
	status, _ = rollback(t, a, "last")
	is.Equal(status, subcommands.ExitFailure)
}
