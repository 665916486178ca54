package adminapi

import (
	"errors"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"geraniumstack.org/geraniumstack/coordination/config"
	"geraniumstack.org/geraniumstack/coordination/membership"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/daemon/control"
	adminv1 "geraniumstack.org/geraniumstack/gen/geranium/admin/v1"
	"geraniumstack.org/geraniumstack/state/document"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/transport/kv"
)

func encodeDomains(domains []control.DomainStatus) []*adminv1.DomainStatus {
	encoded := make([]*adminv1.DomainStatus, 0, len(domains))
	for _, d := range domains {
		encoded = append(encoded, &adminv1.DomainStatus{
			FailureDomain: string(d.FailureDomain), Generation: uint64(d.Generation),
			Daemons: int32(d.Daemons), DaemonsBehind: int32(d.DaemonsBehind),
			DaemonsUnheard: int32(d.DaemonsUnheard),
		})
	}
	return encoded
}

// neverHeard is the heartbeat age of a daemon that is known only through
// others' reports.
const neverHeard = -1

func encodeDaemons(now time.Time, members []membership.Member) []*adminv1.DaemonStatus {
	encoded := make([]*adminv1.DaemonStatus, 0, len(members))
	for _, m := range members {
		heard := int64(neverHeard)
		if !m.LastHeard.IsZero() {
			// The daemon may have been heard after now was read, so the age is
			// not allowed to become negative.
			heard = max(0, now.Sub(m.LastHeard).Milliseconds())
		}
		encoded = append(encoded, &adminv1.DaemonStatus{
			Id: string(m.ID), Incarnation: string(m.Incarnation), FailureDomain: string(m.FailureDomain),
			CallerAddress: m.CallerAddress, State: string(m.State),
			Generation: uint64(m.Generation), HeardMsAgo: heard,
		})
	}
	return encoded
}

func encodeRunners(runners []view.Runner) []*adminv1.RunnerStatus {
	encoded := make([]*adminv1.RunnerStatus, 0, len(runners))
	for _, r := range runners {
		encoded = append(encoded, &adminv1.RunnerStatus{
			Id: string(r.ID), Address: r.Address, Service: r.Service,
			FailureDomain: string(r.FailureDomain), State: string(r.State), Detail: r.VMClass,
		})
	}
	return encoded
}

func encodeAccepted(a config.Accepted) *adminv1.HistoryEntry {
	return &adminv1.HistoryEntry{
		Generation: uint64(a.Generation), Author: a.Author,
		AcceptedUnixMs: a.AcceptedUnixMillis, SubmissionId: a.SubmissionID,
	}
}

// asConnectError maps each typed error to its connect code. It adds the
// problems of a document, or the conflicting generation, as error details.
func asConnectError(err error) error {
	var (
		invalid     *document.InvalidError
		unsupported *manifest.UnsupportedFormatError
		conflict    *config.ConflictError
		unknown     *config.OutcomeUnknownError
		notAccepted *config.NotAcceptedError
		large       *kv.TooLargeError
		generation  *control.UnknownGenerationError
		target      *control.UnknownTargetError
		missing     *manifest.MissingSectionError
		down        *kv.UnavailableError
	)
	switch {
	case errors.As(err, &invalid):
		return withDetails(connect.CodeInvalidArgument, err, encodeProblems(invalid.Problems)...)
	case errors.As(err, &unsupported):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.As(err, &conflict):
		return withDetails(connect.CodeAborted, err, encodeAccepted(conflict.Current))
	case errors.As(err, &unknown):
		return connect.NewError(connect.CodeUnknown, err)
	case errors.As(err, &notAccepted), errors.As(err, &down):
		return connect.NewError(connect.CodeUnavailable, err)
	case errors.As(err, &large):
		return connect.NewError(connect.CodeResourceExhausted, err)
	case errors.As(err, &generation), errors.As(err, &target), errors.As(err, &missing):
		return connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewError(connect.CodeInternal, err)
}

func encodeProblems(problems []document.Problem) []proto.Message {
	encoded := make([]proto.Message, 0, len(problems))
	for _, p := range problems {
		encoded = append(encoded, &adminv1.Problem{Path: p.Path, Reason: p.Reason})
	}
	return encoded
}

func withDetails(code connect.Code, err error, details ...proto.Message) error {
	e := connect.NewError(code, err)
	for _, d := range details {
		detail, detailErr := connect.NewErrorDetail(d)
		if detailErr != nil {
			continue
		}
		e.AddDetail(detail)
	}
	return e
}
