package actions

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"geraniumstack.org/geraniumstack/coordination/view"
	actionv1 "geraniumstack.org/geraniumstack/gen/geranium/action/v1"
	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

const (
	recordsPerPart    = 256
	maxAdoptedBytes   = 16 << 20
	drainPollInterval = 20 * time.Millisecond
	// idleWaitDivisor of the time is left for the seal and the hand-off.
	idleWaitDivisor = 3
)

// drainOnce makes all drains one: two operators may drain at once, and the
// table must go to one successor only.
type drainOnce struct {
	mu   sync.Mutex
	done chan struct{}
	err  error
}

func (d *drainOnce) started() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.done != nil
}

// start returns true to the first caller only.
func (d *drainOnce) start() (first bool, done chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.done != nil {
		return false, d.done
	}
	d.done = make(chan struct{})
	return true, d.done
}

// NoSuccessorError says that there is no daemon to pass the table to; the
// journal alone speaks for its keys.
type NoSuccessorError struct{}

func (e *NoSuccessorError) Error() string { return "no live daemon to hand actions off to" }

// HandOffRefusedError says that the successor has no room for the table.
type HandOffRefusedError struct{ Successor ident.Incarnation }

func (e *HandOffRefusedError) Error() string {
	return fmt.Sprintf("%s refused the hand-off", e.Successor)
}

// HandOffIncompleteError says that time ran out before the successor had
// acknowledged every part.
type HandOffIncompleteError struct {
	Successor ident.Incarnation
	Err       error
}

func (e *HandOffIncompleteError) Error() string {
	return fmt.Sprintf("hand-off to %s broke off: %v", e.Successor, e.Err)
}

// Unwrap returns the cause.
func (e *HandOffIncompleteError) Unwrap() error { return e.Err }

// Drain takes no new actions, lets those in progress end, seals the log and
// passes the whole table to one successor. Later calls wait for the first.
func (s *Service) Drain(ctx context.Context) error {
	first, done := s.draining.start()
	if !first {
		select {
		case <-done:
			return s.draining.err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	defer close(done)
	s.draining.err = s.drain(ctx)
	return s.draining.err
}

func (s *Service) drain(ctx context.Context) error {
	s.forEachOwner(func(o *action.Owner) { o.StopAccepting() })
	s.waitIdle(ctx)
	successor, found := s.chooseSuccessor()
	s.endOwners(ctx, successor.Incarnation)
	if !found {
		return &NoSuccessorError{}
	}
	for _, o := range s.listOwners() {
		if err := s.handOff(ctx, o, successor); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) forEachOwner(f func(*action.Owner)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.owners {
		f(o)
	}
}

func (s *Service) listOwners() []*action.Owner {
	var owners []*action.Owner
	s.forEachOwner(func(o *action.Owner) { owners = append(owners, o) })
	return owners
}

// waitIdle waits until nothing is in progress, but keeps a share of the time.
func (s *Service) waitIdle(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/idleWaitDivisor)
		defer cancel()
	}
	s.waitForOwners(ctx, func(o *action.Owner) bool { return o.DispatchedCount() == 0 })
}

// waitForOwners polls until all owners satisfy done.
func (s *Service) waitForOwners(ctx context.Context, done func(*action.Owner) bool) {
	for ctx.Err() == nil {
		all := true
		s.forEachOwner(func(o *action.Owner) { all = all && done(o) })
		if all {
			return
		}
		s.pause(ctx, drainPollInterval)
	}
}

// endOwners seals the logs, and stops the owners in any case: with the service
// down the seal comes later, from the successor.
func (s *Service) endOwners(ctx context.Context, successor ident.Incarnation) {
	s.forEachOwner(func(o *action.Owner) { s.applyEffects(o, o.End(s.now(), successor)) })
	sealCtx, cancel := context.WithTimeout(ctx, s.cfg.Times.Seal)
	defer cancel()
	s.waitForOwners(sealCtx, (*action.Owner).Ended)
	s.forEachOwner(func(o *action.Owner) { s.applyEffects(o, o.EndUnsealed(s.now())) })
}

// chooseSuccessor is the same for every attempt: the live daemon in another failure
// domain, if there is one, that ranks highest for this incarnation.
func (s *Service) chooseSuccessor() (view.Daemon, bool) {
	var best view.Daemon
	var bestRank uint64
	found := false
	ownDomain := s.cfg.Directory.Self().FailureDomain
	for _, d := range s.cfg.Directory.Daemons() {
		if d.Incarnation == s.cfg.Self || d.State != view.Live {
			continue
		}
		rank := xxhash.Sum64String(string(s.cfg.Self)+string(d.Incarnation)) >> 1
		if d.FailureDomain != ownDomain {
			rank |= 1 << 63
		}
		if !found || rank > bestRank {
			best, bestRank, found = d, rank, true
		}
	}
	return best, found
}

// handOff sends the table in parts. A part without an acknowledgement goes to
// the same successor again until time is over; then the journal speaks.
func (s *Service) handOff(ctx context.Context, o *action.Owner, successor view.Daemon) error {
	s.mu.Lock()
	records, complete, ok := o.Export(s.now())
	s.mu.Unlock()
	if !ok {
		return &HandOffIncompleteError{Successor: successor.Incarnation, Err: context.Cause(ctx)}
	}
	for number := uint32(0); ; number++ {
		n := min(recordsPerPart, len(records))
		last := n == len(records)
		req := encodePart(o.Incarnation(), successor.Incarnation, number, records[:n])
		if last {
			req.Last = true
			req.CompleteUnixMs = complete.UnixMilli()
		}
		if err := s.sendPart(ctx, successor, req); err != nil {
			return err
		}
		if last {
			return nil
		}
		records = records[n:]
	}
}

func (s *Service) sendPart(ctx context.Context, successor view.Daemon, req *actionv1.HandOffRequest) error {
	for {
		s.counters.inc(handOffParts)
		callCtx, cancel := context.WithTimeout(ctx, s.cfg.Times.Poll)
		resp, err := s.peer(successor).HandOff(callCtx, connect.NewRequest(req))
		cancel()
		if err == nil && resp.Msg.GetAccepted() {
			return nil
		}
		if err == nil {
			return &HandOffRefusedError{Successor: successor.Incarnation}
		}
		if ctx.Err() != nil {
			return &HandOffIncompleteError{Successor: successor.Incarnation, Err: err}
		}
		s.counters.inc(handOffRetried)
		s.prepareRetry(ctx)
	}
}

func encodePart(owner, successor ident.Incarnation, number uint32, records []action.Record) *actionv1.HandOffRequest {
	req := &actionv1.HandOffRequest{Owner: string(owner), Successor: string(successor), Part: number}
	for _, r := range records {
		req.Records = append(req.Records, &actionv1.Record{
			Workspace: string(r.ID.Workspace),
			Key:       r.ID.Key,
			BodyHash:  r.BodyHash,
			State:     string(r.State),
			Outcome:   encodeResult(r.Result),
		})
	}
	return req
}

// adoptPart takes a part in, or refuses it if it is for another or there is no room.
func (s *Service) adoptPart(m *actionv1.HandOffRequest) bool {
	owner := ident.Incarnation(m.GetOwner())
	s.mu.Lock()
	defer s.mu.Unlock()
	if ident.Incarnation(m.GetSuccessor()) != s.cfg.Self || s.adoptedBytes() > maxAdoptedBytes {
		s.counters.inc(handOffRefused)
		return false
	}
	a, ok := s.adopted[owner]
	if !ok {
		a = action.NewAdoptedTable(owner)
		s.adopted[owner] = a
	}
	before := a.Complete()
	a.AddPart(decodePart(m))
	if a.Complete() && !before {
		s.counters.inc(handOffAdopted)
		s.spawn(func() { s.sealAdopted(owner) })
	}
	return true
}

func (s *Service) adoptedBytes() int {
	total := 0
	for _, a := range s.adopted {
		total += a.SizeBytes()
	}
	return total
}

// sealAdopted makes sure that the log names this daemon as the successor, also
// when the owner could not reach the service.
func (s *Service) sealAdopted(owner ident.Incarnation) {
	ctx, cancel := context.WithTimeout(s.ctx, s.cfg.Owner(owner).TokenLifetime)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := s.readSealedLog(ctx, owner, s.cfg.Self); err == nil {
			return
		}
		s.pause(ctx, s.cfg.Times.Seal)
	}
}

func decodePart(m *actionv1.HandOffRequest) action.TablePart {
	part := action.TablePart{Number: m.GetPart(), Last: m.GetLast(), Complete: time.UnixMilli(m.GetCompleteUnixMs())}
	for _, r := range m.GetRecords() {
		result := decodeResult(r.GetOutcome())
		if r.GetOutcome() == nil {
			result = refused(refusal.New(refusal.OutcomeUnknown, "no outcome").Unknown())
		}
		part.Records = append(part.Records, action.Record{
			ID:       actionkey.ID{Workspace: ident.Workspace(r.GetWorkspace()), Key: r.GetKey()},
			BodyHash: r.GetBodyHash(),
			State:    action.State(r.GetState()),
			Result:   result,
		})
	}
	return part
}
