package actions

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math/rand/v2"
	"strings"

	"geraniumstack.org/geraniumstack/coordination/journal"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
	"geraniumstack.org/geraniumstack/transport/kv"
)

const (
	hashBytes         = 16
	maxRunnerAttempts = 3
)

// bodyHash returns a hash that distinguishes different calls with the same key.
// It doesn't include headers, since proxies on the callers' side may change them.
func bodyHash(c call.ServiceCall) string {
	h := sha256.New()
	for _, part := range []string{c.Service, c.Method, c.Path} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part)))
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil)[:hashBytes])
}

// findRoute returns the outage policy of the call's route, or a refusal if there
// is no such route.
func (s *Service) findRoute(c call.ServiceCall) (manifest.OutagePolicy, *refusal.Refusal) {
	m, _ := s.cfg.Config.Current()
	if m == nil {
		return "", refusal.New(refusal.NotReady, "no configuration yet").After(s.cfg.Times.StartupGrace)
	}
	svc := m.ServiceNamed(c.Service)
	if svc == nil {
		return "", refusal.New(refusal.UnknownService, "no service %q", c.Service)
	}
	path, _, _ := strings.Cut(c.Path, "?")
	route := svc.RouteFor(c.Method, path)
	if route == nil {
		return "", refusal.New(refusal.UnknownRoute, "no route %s %s", c.Method, path)
	}
	return route.OutagePolicy, nil
}

// sendToRunners sends an action to a runner. It tries another runner, up to
// maxRunnerAttempts, only if it is certain that the action has not run.
func (s *Service) sendToRunners(ctx context.Context, d *action.Dispatch) action.Result {
	result := refused(refusal.New(refusal.NoRunner, "no runner of %q takes work", d.Call.Service).After(s.cfg.Times.RetryPause))
	for i, r := range s.runners(d.Call.Service) {
		if i == maxRunnerAttempts || ctx.Err() != nil {
			return result
		}
		if i > 0 {
			s.counters.inc(dispatchNextRunner)
		}
		result = s.cfg.Dispatcher.Send(ctx, r.Address, d.ID, d.Call)
		if result.Executed() != refusal.ExecutedNo {
			return result
		}
	}
	return result
}

// runners returns a service's runners in the order in which to try them: live
// runners in this failure domain, live runners in others, then suspect ones, each
// group in random order. Leaving runners are left out.
func (s *Service) runners(service string) []view.Runner {
	domain := s.cfg.Directory.Self().FailureDomain
	var local, remote, suspect []view.Runner
	for _, r := range s.cfg.Directory.Runners(service) {
		switch {
		case r.State == view.Suspect:
			suspect = append(suspect, r)
		case r.State != view.Live:
		case r.FailureDomain == domain:
			local = append(local, r)
		default:
			remote = append(remote, r)
		}
	}
	for _, list := range [][]view.Runner{local, remote, suspect} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return append(append(local, remote...), suspect...)
}

// classifyWriteError converts an error of a journal write to the result that the
// journal writer expects.
func (s *Service) classifyWriteError(w journal.Write, err error) journal.Written {
	var conflict *kv.ConflictError
	if !errors.As(err, &conflict) {
		s.counters.inc(journalUncertain)
		return journal.Written{Index: w.Index, Status: journal.Unknown}
	}
	s.counters.inc(journalConflict)
	existing, decodeErr := journal.Decode(conflict.Current.Key, conflict.Current.Value)
	if decodeErr != nil {
		// A value that can't be decoded isn't this owner's entry. The empty
		// entry makes the writer treat the log as ended.
		existing = journal.Entry{}
	}
	return journal.Written{
		Index:    w.Index,
		Status:   journal.Conflict,
		Existing: existing,
		Revision: uint64(conflict.Current.Revision),
	}
}
