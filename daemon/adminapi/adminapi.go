// Package adminapi serves the operators' API: manifests, status, history,
// drains and usage. Calls are authenticated by bearer keys and authorized by
// role, and every requested change is written to an audit log.
package adminapi

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"geraniumstack.org/geraniumstack/coordination/config"
	"geraniumstack.org/geraniumstack/coordination/membership"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/control"
	adminv1 "geraniumstack.org/geraniumstack/gen/geranium/admin/v1"
	"geraniumstack.org/geraniumstack/gen/geranium/admin/v1/adminv1connect"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const (
	// DefaultWait is how long Apply and Rollback wait for the configuration to
	// be in force if the call does not specify it.
	DefaultWait = 12 * time.Second
	// defaultLimit is the number of entries History returns if the call does
	// not specify it.
	defaultLimit = 20
	maxLimit     = 500
	// maxManifestBytes bounds the size of a request.
	maxManifestBytes = 16 << 20
)

// Control is the part of the daemon's control plane that the API uses.
// *control.Control implements it.
type Control interface {
	Apply(ctx context.Context, s control.Submission) (control.Outcome, error)
	Current() (*manifest.Manifest, ident.Generation)
	Content(ctx context.Context, generation ident.Generation) (*manifest.Manifest, error)
	History(ctx context.Context) []config.Accepted
	Domains() []control.DomainStatus
	MembersNow() []membership.Member
	Runners(service string) []view.Runner
	DrainTarget(target string) error
	StoreUp() bool
}

// Usage holds one workspace's usage counters at this daemon.
type Usage struct {
	Workspace       string
	Accepted        int64
	Answered        int64
	GeneratedTokens int64
	// Refused holds the number of refusals by reason.
	Refused map[string]int64
}

// Config holds the dependencies of the API.
type Config struct {
	Control     Control
	Store       kv.Store
	Credentials []Credential
	// Usage returns the counters of all workspaces. If it is nil, the API
	// reports no usage.
	Usage func() []Usage
}

type service struct {
	cfg   Config
	audit *audit
}

var _ adminv1connect.AdminServiceHandler = (*service)(nil)

// NewHandler returns the path and the HTTP handler of the admin API.
func NewHandler(cfg Config) (string, http.Handler) {
	s := &service{cfg: cfg, audit: &audit{store: cfg.Store}}
	auth := newAuthenticator(cfg.Credentials)
	return adminv1connect.NewAdminServiceHandler(s,
		connect.WithInterceptors(connect.UnaryInterceptorFunc(auth.intercept)),
		connect.WithReadMaxBytes(maxManifestBytes))
}

// MissingSubmissionIDError reports that a call has no submission ID, without
// which a repeated call cannot be recognized.
type MissingSubmissionIDError struct{}

func (*MissingSubmissionIDError) Error() string { return "submission_id is required" }

// Apply submits a manifest and waits until it is in force.
func (s *service) Apply(ctx context.Context, r *connect.Request[adminv1.ApplyRequest]) (*connect.Response[adminv1.ApplyResponse], error) {
	m, err := manifest.Decode(r.Msg.GetManifest())
	if err != nil {
		return nil, asConnectError(err)
	}
	outcome, err := s.submit(ctx, "apply", control.Submission{
		Manifest: m, ID: r.Msg.GetSubmissionId(),
		Expected: r.Msg.GetExpectedGeneration(), Wait: waitDuration(r.Msg.GetWaitMs()),
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&adminv1.ApplyResponse{
		Generation:        uint64(outcome.Accepted.Generation),
		InForceEverywhere: outcome.InForceEverywhere,
		Domains:           encodeDomains(outcome.Domains),
	}), nil
}

// Rollback submits the manifest of an earlier generation as a new generation.
func (s *service) Rollback(ctx context.Context, r *connect.Request[adminv1.RollbackRequest]) (*connect.Response[adminv1.RollbackResponse], error) {
	m, err := s.cfg.Control.Content(ctx, ident.Generation(r.Msg.GetToGeneration()))
	if err != nil {
		return nil, asConnectError(err)
	}
	action := fmt.Sprintf("rollback to %d", r.Msg.GetToGeneration())
	outcome, err := s.submit(ctx, action, control.Submission{
		Manifest: m, ID: r.Msg.GetSubmissionId(),
		Expected: r.Msg.GetExpectedGeneration(), Wait: waitDuration(r.Msg.GetWaitMs()),
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&adminv1.RollbackResponse{
		Generation:        uint64(outcome.Accepted.Generation),
		InForceEverywhere: outcome.InForceEverywhere,
		Domains:           encodeDomains(outcome.Domains),
	}), nil
}

// submit applies a submission and writes an audit record. Its errors are
// connect errors.
func (s *service) submit(ctx context.Context, action string, submission control.Submission) (control.Outcome, error) {
	if submission.ID == "" {
		return control.Outcome{}, connect.NewError(connect.CodeInvalidArgument, &MissingSubmissionIDError{})
	}
	submission.Author = operatorOf(ctx)
	outcome, err := s.cfg.Control.Apply(ctx, submission)
	detail := fmt.Sprintf("submission %s, expected %d", submission.ID, submission.Expected)
	if err == nil {
		detail = fmt.Sprintf("%s, generation %d", detail, outcome.Accepted.Generation)
	}
	s.record(ctx, action, detail, err)
	if err != nil {
		return control.Outcome{}, asConnectError(err)
	}
	return outcome, nil
}

func (s *service) record(ctx context.Context, action, detail string, err error) {
	r := Record{
		UnixMillis: time.Now().UnixMilli(), Operator: operatorOf(ctx), Action: action, Detail: detail,
	}
	if err != nil {
		r.Failure = err.Error()
	}
	s.audit.record(ctx, r)
}

func waitDuration(millis int64) time.Duration {
	switch {
	case millis == 0:
		return DefaultWait
	case millis < 0:
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

// Diff returns the changes between the configuration in force at this daemon
// and a manifest.
func (s *service) Diff(_ context.Context, r *connect.Request[adminv1.DiffRequest]) (*connect.Response[adminv1.DiffResponse], error) {
	m, err := manifest.Decode(r.Msg.GetManifest())
	if err != nil {
		return nil, asConnectError(err)
	}
	current, generation := s.cfg.Control.Current()
	changes, err := manifest.Diff(current, m)
	if err != nil {
		return nil, asConnectError(err)
	}
	response := &adminv1.DiffResponse{Generation: uint64(generation)}
	for _, c := range changes {
		response.Changes = append(response.Changes, &adminv1.Change{Path: c.Path, Before: c.Before, After: c.After})
	}
	return connect.NewResponse(response), nil
}

// Status returns this daemon's view of the configuration, the daemons and the
// runners.
func (s *service) Status(context.Context, *connect.Request[adminv1.StatusRequest]) (*connect.Response[adminv1.StatusResponse], error) {
	m, generation := s.cfg.Control.Current()
	response := &adminv1.StatusResponse{
		Generation:        uint64(generation),
		Domains:           encodeDomains(s.cfg.Control.Domains()),
		Daemons:           encodeDaemons(time.Now(), s.cfg.Control.MembersNow()),
		KeyValueServiceUp: s.cfg.Control.StoreUp(),
	}
	if m != nil {
		for _, svc := range m.Services {
			response.Runners = append(response.Runners, encodeRunners(s.cfg.Control.Runners(svc.Name))...)
		}
	}
	return connect.NewResponse(response), nil
}

// History returns the accepted configurations and the audit records, newest
// first.
func (s *service) History(ctx context.Context, r *connect.Request[adminv1.HistoryRequest]) (*connect.Response[adminv1.HistoryResponse], error) {
	limit := int(r.Msg.GetLimit())
	if limit <= 0 {
		limit = defaultLimit
	}
	limit = min(limit, maxLimit)
	accepted := s.cfg.Control.History(ctx)
	response := &adminv1.HistoryResponse{}
	for _, a := range accepted[:min(limit, len(accepted))] {
		response.Entries = append(response.Entries, encodeAccepted(a))
	}
	records, err := s.audit.list(ctx, limit)
	if err != nil {
		response.AuditUnavailable = true
		return connect.NewResponse(response), nil
	}
	for _, record := range records {
		response.Audit = append(response.Audit, &adminv1.AuditEntry{
			UnixMs: record.UnixMillis, Operator: record.Operator,
			Action: record.Action, Detail: record.Detail, Error: record.Failure,
		})
	}
	return connect.NewResponse(response), nil
}

// Drain makes a daemon or runner stop taking new work.
func (s *service) Drain(ctx context.Context, r *connect.Request[adminv1.DrainRequest]) (*connect.Response[adminv1.DrainResponse], error) {
	err := s.cfg.Control.DrainTarget(r.Msg.GetTarget())
	s.record(ctx, "drain", r.Msg.GetTarget(), err)
	if err != nil {
		return nil, asConnectError(err)
	}
	return connect.NewResponse(&adminv1.DrainResponse{}), nil
}

// Usage returns the workspaces' usage counters at this daemon.
func (s *service) Usage(context.Context, *connect.Request[adminv1.UsageRequest]) (*connect.Response[adminv1.UsageResponse], error) {
	response := &adminv1.UsageResponse{}
	if s.cfg.Usage == nil {
		return connect.NewResponse(response), nil
	}
	for _, u := range s.cfg.Usage() {
		response.Workspaces = append(response.Workspaces, &adminv1.WorkspaceUsage{
			Workspace: u.Workspace, Accepted: u.Accepted, Answered: u.Answered,
			GeneratedTokens: u.GeneratedTokens, Refused: u.Refused,
		})
	}
	return connect.NewResponse(response), nil
}
