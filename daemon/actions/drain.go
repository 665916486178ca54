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
	// idleWaitDivisor limits the wait for actions in progress to a part of the
	// time until the drain's deadline: one third if it is 3. The rest is left for
	// sealing the logs and for handing the tables to the successor.
	idleWaitDivisor = 3
)

// drainOnce makes concurrent drains share one: two operators may drain the same
// daemon at the same time, and its tables must go to only one successor.
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

// start returns first as true only for the first caller. The channel is closed
// at the end of the drain.
func (d *drainOnce) start() (first bool, done chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.done != nil {
		return false, d.done
	}
	d.done = make(chan struct{})
	return true, d.done
}

// NoSuccessorError means that no daemon can take over the tables. Later queries
// are answered from the journal alone.
type NoSuccessorError struct{}

func (e *NoSuccessorError) Error() string { return "no live daemon to hand actions off to" }

// HandOffRefusedError means that the successor has refused a part of a table,
// because its memory limit for adopted tables is reached or the part was
// addressed to another incarnation.
type HandOffRefusedError struct{ Successor ident.Incarnation }

func (e *HandOffRefusedError) Error() string {
	return fmt.Sprintf("successor %s refused the hand-off", e.Successor)
}

// HandOffIncompleteError means that the drain's time ran out before the
// successor had acknowledged every part.
type HandOffIncompleteError struct {
	Successor ident.Incarnation
	Err       error
}

func (e *HandOffIncompleteError) Error() string {
	return fmt.Sprintf("hand-off to %s not completed in time: %v", e.Successor, e.Err)
}

// Unwrap returns the cause.
func (e *HandOffIncompleteError) Unwrap() error { return e.Err }

// Drain stops accepting new actions, waits for those in progress, seals the logs
// and transfers the owners' tables to one successor. Later calls wait for the
// first one and return its error.
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
	successor, found := s.successor()
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

// waitIdle waits until no action is in progress, at most for the share of the
// remaining time that idleWaitDivisor gives.
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

// endOwners seals the logs and ends the owners. If the key-value service is down,
// the owners end without a seal, and the successor seals the logs later.
func (s *Service) endOwners(ctx context.Context, successor ident.Incarnation) {
	s.forEachOwner(func(o *action.Owner) { s.applyEffects(o, o.End(s.now(), successor)) })
	sealCtx, cancel := context.WithTimeout(ctx, s.cfg.Times.Seal)
	defer cancel()
	s.waitForOwners(sealCtx, (*action.Owner).Ended)
	s.forEachOwner(func(o *action.Owner) { s.applyEffects(o, o.EndUnsealed(s.now())) })
}

// successor returns the live daemon that ranks highest by rendezvous hash
// for this incarnation. Daemons in other failure domains rank before those in
// the same one.
func (s *Service) successor() (view.Daemon, bool) {
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

// handOff sends an owner's table in parts. A part that is not acknowledged is
// sent to the same successor again until ctx ends; from then on queries are
// answered from the journal.
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

// adoptPart stores a part of another owner's table. It returns false if the part
// is for another successor or the memory limit for adopted tables is reached.
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

// sealAdopted seals the log of an owner whose table was adopted, in case the
// owner couldn't reach the key-value service. The seal names this daemon as the
// successor, so that other daemons query it.
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
	part := action.TablePart{Number: m.GetPart(), Last: m.GetLast(), ExportedAt: time.UnixMilli(m.GetCompleteUnixMs())}
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
