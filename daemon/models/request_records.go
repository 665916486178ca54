package models

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"geraniumstack.org/geraniumstack/coordination/view"
	requestv1 "geraniumstack.org/geraniumstack/gen/geranium/request/v1"
	"geraniumstack.org/geraniumstack/protocol/call"
	"geraniumstack.org/geraniumstack/protocol/handoff"
	"geraniumstack.org/geraniumstack/protocol/request"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/manifest"
	"geraniumstack.org/geraniumstack/state/refusal"
)

const (
	// maxPutKeepers bounds the number of daemons that are asked to store the
	// record of a new request.
	maxPutKeepers = 3
	putRounds     = 2
	// maxBatchRecords bounds the number of records in one message. Complete
	// records contain prompts and are large, and when a keeper leaves, all of
	// its records must be stored elsewhere at once.
	maxBatchRecords = 64
	// maxLookupCandidates bounds the number of daemons that are asked for a
	// request.
	maxLookupCandidates = 8
	// minDeadlineRemaining is the remaining time that is sent for a deadline
	// that has passed: zero would mean that the request has no deadline.
	minDeadlineRemaining = time.Millisecond
)

func (m *Models) findDaemon(i ident.Incarnation) (view.Daemon, bool) {
	for _, d := range m.c.Directory.Daemons() {
		if d.Incarnation == i {
			return d, true
		}
	}
	return view.Daemon{}, false
}

func (m *Models) movedTo(id ident.RequestID) ident.Incarnation {
	rs := m.find(id)
	if rs == nil {
		return ""
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.movedTo
}

// lookupCandidates returns the daemons that may run a request, most likely
// first: the most recently reported owner, the daemon that accepted the
// request, and the daemons that may store its record.
func (m *Models) lookupCandidates(id ident.RequestID, hint ident.Incarnation) []view.Daemon {
	var list []view.Daemon
	seen := map[ident.Incarnation]bool{m.c.Self: true}
	add := func(d view.Daemon) {
		if !seen[d.Incarnation] && len(list) < maxLookupCandidates {
			seen[d.Incarnation] = true
			list = append(list, d)
		}
	}
	owner, _ := id.Owner()
	for _, i := range []ident.Incarnation{hint, owner} {
		if d, ok := m.findDaemon(i); ok {
			add(d)
		}
	}
	for _, d := range handoff.RankKeepers(id, view.Daemon{}, m.c.Directory.Daemons()) {
		add(d)
	}
	return list
}

// record returns the record of the request with the tokens from an offset on.
// With offset zero the record is complete; otherwise it leaves out the fields
// that do not change.
func (rs *requestState) record(from int) *requestv1.Record {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	answer := rs.machine.Answer()
	r := &requestv1.Record{
		RequestId:    string(rs.req.ID),
		Owner:        string(rs.m.c.Self),
		Epoch:        rs.spec.Epoch,
		EmittedFrom:  int32(from),
		Emitted:      answer.TokensFrom(from),
		Runner:       string(rs.machine.LastRunner()),
		MayHaveRun:   rs.machine.MayHaveRun(),
		Done:         answer.Done(),
		FinishReason: answer.FinishReason(),
	}
	if from > 0 {
		return r
	}
	r.Workspace = string(rs.req.Workspace)
	r.Class = rs.req.Class
	r.Model = rs.req.Model
	r.Adapter = rs.req.Adapter
	r.Prompt = rs.req.Prompt
	r.MaxTokens = int32(rs.req.MaxTokens)
	r.Async = rs.req.Async
	if d := rs.req.Deadline; !d.IsZero() {
		r.DeadlineLeftMs = max(time.Until(d), minDeadlineRemaining).Milliseconds()
	}
	return r
}

func (rs *requestState) progress() handoff.Progress {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	answer := rs.machine.Answer()
	return handoff.Progress{Offset: answer.Offset(), Done: answer.Done()}
}

// storeFirstRecord stores the record of a deferrable or asynchronous request
// that is being accepted at another daemon, its keeper. Other requests have no
// record. If no other daemon is live, storeFirstRecord returns nil, so that the
// request is accepted without a stored record.
func (m *Models) storeFirstRecord(ctx context.Context, rs *requestState) error {
	self := m.c.Directory.Self()
	keepers := handoff.RankKeepers(rs.req.ID, self, m.c.Directory.Daemons())
	if len(keepers) == 0 {
		m.count("records.no_keeper")
		return nil
	}
	// Pooled connections may have gone silent. Each of them costs one timeout
	// and is then closed, so the second round uses new connections.
	for range putRounds {
		for _, k := range keepers[:min(maxPutKeepers, len(keepers))] {
			if m.putRecords(ctx, k, []handoff.Renewal{{ID: rs.req.ID, Keeper: k}}) == nil {
				return nil
			}
			m.count("records.put_failed")
		}
	}
	return refusal.New(refusal.NotReady, "no other gateway could be reached to keep the request's record").After(notReadyRetryAfter)
}

// putRecords sends renewals to one keeper and processes its response.
func (m *Models) putRecords(ctx context.Context, keeper view.Daemon, renewals []handoff.Renewal) error {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	req := &requestv1.PutRequest{}
	sent := map[ident.RequestID]handoff.Progress{}
	for _, r := range renewals {
		rs := m.find(r.ID)
		if rs == nil {
			continue
		}
		p := rs.record(r.From)
		sent[r.ID] = handoff.Progress{Offset: r.From + len(p.Emitted), Done: p.Done}
		req.Records = append(req.Records, p)
	}
	resp, err := m.c.Peers.Requests(keeper.PeerAddress).Put(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	m.handlePutResponse(keeper.Incarnation, sent, resp.Msg)
	return nil
}

func (m *Models) handlePutResponse(keeper ident.Incarnation, sent map[ident.RequestID]handoff.Progress, resp *requestv1.PutResponse) {
	m.mu.Lock()
	for id, p := range sent {
		m.outbox.Stored(id, keeper, p)
	}
	for _, id := range resp.IncompleteIds {
		m.outbox.Lost(ident.RequestID(id))
	}
	m.mu.Unlock()
	for _, s := range resp.Superseded {
		if rs := m.find(ident.RequestID(s.RequestId)); rs != nil {
			m.count("requests.superseded")
			rs.markMoved(ident.Incarnation(s.Owner))
		}
	}
}

// markMoved ends the request at this daemon because owner now runs it.
func (rs *requestState) markMoved(owner ident.Incarnation) {
	rs.mu.Lock()
	rs.movedTo = owner
	rs.notifyReaders()
	rs.mu.Unlock()
	rs.step(request.Superseded{})
}

// housekeep renews records, adopts requests whose owner is gone, and removes
// expired requests.
func (m *Models) housekeep() {
	m.renewRecords()
	m.adoptOrphans(m.c.Limits.OwnerTimeout)
	m.forgetExpired()
}

func (m *Models) renewRecords() {
	m.mu.Lock()
	if time.Since(m.lastRenewal) < m.c.Limits.RenewInterval {
		m.mu.Unlock()
		return
	}
	m.lastRenewal = time.Now()
	due := m.outbox.DueRenewals(m.c.Directory.Self(), m.c.Directory.Daemons(), func(id ident.RequestID) handoff.Progress {
		if rs := m.requestState[id]; rs != nil {
			return rs.progress()
		}
		return handoff.Progress{}
	})
	batches := map[ident.Incarnation][]handoff.Renewal{}
	for _, r := range due {
		if !m.renewing[r.Keeper.Incarnation] {
			batches[r.Keeper.Incarnation] = append(batches[r.Keeper.Incarnation], r)
		}
	}
	for k := range batches {
		m.renewing[k] = true
	}
	m.mu.Unlock()
	for _, batch := range batches {
		m.spawn(func() { m.renewRecordsAt(batch[0].Keeper, batch) })
	}
}

func (m *Models) renewRecordsAt(keeper view.Daemon, all []handoff.Renewal) {
	for batch := range slices.Chunk(all, maxBatchRecords) {
		if err := m.putRecords(m.ctx, keeper, batch); err != nil {
			m.count("records.renewal_failed")
			break
		}
	}
	m.mu.Lock()
	delete(m.renewing, keeper.Incarnation)
	m.mu.Unlock()
}

// adoptOrphans makes this daemon the owner of requests whose records it keeps,
// if their owner is missing from the directory and has not renewed the records
// for ownerTimeout. While no configuration is in force, the requests cannot run,
// and adoptOrphans leaves their records as they are.
func (m *Models) adoptOrphans(ownerTimeout time.Duration) {
	if conf, _ := m.c.Config.Current(); conf == nil {
		return
	}
	listed := map[ident.Incarnation]bool{}
	for _, d := range m.c.Directory.Daemons() {
		listed[d.Incarnation] = true
	}
	m.mu.Lock()
	orphans := m.keeper.Adopt(time.Now(), m.c.Self, ownerTimeout, func(i ident.Incarnation) bool {
		return listed[i]
	})
	m.mu.Unlock()
	for _, r := range orphans {
		m.count("requests.adopted.owner_gone")
		m.adopt(r)
	}
}

// adopt makes this daemon the owner of a request of another daemon and runs it.
// A request that is done does not run again; it is only kept for late readers.
// adopt returns false if no configuration is in force yet or if this daemon
// knows the request with a later epoch. If this daemon already knows the request
// with the same epoch, adopt has no effect and returns true.
func (m *Models) adopt(r handoff.Record) bool {
	conf, _ := m.c.Config.Current()
	if conf == nil {
		return false
	}
	rs := m.requestStateFromRecord(conf, r)
	m.mu.Lock()
	if old := m.requestState[r.ID]; old != nil && old.spec.Epoch >= r.Epoch {
		m.mu.Unlock()
		return old.spec.Epoch == r.Epoch
	}
	m.requestState[r.ID] = rs
	m.keeper.Forget(r.ID)
	m.keeper.Claim(r.ID, handoff.Claim{Owner: m.c.Self, Epoch: r.Epoch})
	m.outbox.Untrack(r.ID)
	m.outbox.Track(r.ID)
	m.lastRenewal = time.Time{} // the next housekeeping then stores the record at a keeper
	m.mu.Unlock()
	if r.Done {
		rs.ended = time.Now()
		m.retain(rs)
		return true
	}
	m.start(rs)
	return true
}

func (m *Models) requestStateFromRecord(conf *manifest.Manifest, r handoff.Record) *requestState {
	model, _ := findModel(conf, r.Model)
	class, _ := findClass(conf, r.Class)
	rs := m.newRequestState(call.ModelRequest{
		ID:        r.ID,
		Workspace: r.Workspace,
		Class:     r.Class,
		Model:     r.Model,
		Adapter:   r.Adapter,
		Prompt:    r.Prompt,
		MaxTokens: r.MaxTokens,
		Deadline:  r.Deadline,
		Async:     r.Async,
	}, model.Service, class)
	rs.needsRecord = true
	rs.spec.Epoch = r.Epoch
	rs.spec.Emitted = r.Emitted
	rs.spec.MayHaveRun = r.MayHaveRun
	rs.spec.Runner = r.Runner
	rs.machine = request.New(rs.spec, m.c.Limits.Request)
	if r.Done {
		rs.machine = request.NewFinished(rs.spec, r.FinishReason)
	}
	return rs
}

// retain keeps an ended request for late readers and removes the oldest ended
// requests beyond the limit.
func (m *Models) retain(rs *requestState) {
	rs.mu.Lock()
	refused, moved := rs.machine.Refusal() != nil, rs.movedTo != ""
	rs.mu.Unlock()
	m.mu.Lock()
	m.ended = append(m.ended, rs)
	var evicted []*requestState
	for len(m.ended) > m.c.Limits.MaxFinished {
		evicted = append(evicted, m.ended[0])
		m.ended = m.ended[1:]
	}
	m.mu.Unlock()
	if moved {
		m.spawn(func() { m.deleteRecordLater(rs) })
	}
	if refused {
		m.dropRecord(rs, true)
	}
	for _, evictedRequest := range evicted {
		m.forget(evictedRequest)
	}
}

// deleteRecordLater deletes the record of a request that moved to another
// daemon, after the new owner has had time to store its own record. If a keeper
// still had the old record when this daemon is gone, the keeper would run the
// request a second time.
func (m *Models) deleteRecordLater(rs *requestState) {
	select {
	case <-m.ctx.Done():
	case <-time.After(m.c.Limits.RenewInterval):
		m.dropRecord(rs, true)
	}
}

func (m *Models) forgetExpired() {
	var expired []*requestState
	m.mu.Lock()
	for len(m.ended) > 0 && time.Since(m.ended[0].ended) > m.c.Limits.Retention {
		expired = append(expired, m.ended[0])
		m.ended = m.ended[1:]
	}
	m.mu.Unlock()
	for _, rs := range expired {
		m.forget(rs)
	}
}

func (m *Models) forget(rs *requestState) {
	m.dropRecord(rs, true)
	m.remove(rs)
}

// dropRecord stops renewing the record of a request. With deleteAtKeeper it
// also deletes the record at its keeper, so that no daemon adopts a request
// that has its final answer.
func (m *Models) dropRecord(rs *requestState, deleteAtKeeper bool) {
	m.mu.Lock()
	if m.requestState[rs.req.ID] != rs {
		m.mu.Unlock()
		return
	}
	keeper := m.outbox.Untrack(rs.req.ID)
	m.mu.Unlock()
	d, ok := m.findDaemon(keeper)
	if !ok || !deleteAtKeeper {
		return
	}
	m.spawn(func() {
		ctx, cancel := context.WithTimeout(m.ctx, putTimeout)
		defer cancel()
		_, err := m.c.Peers.Requests(d.PeerAddress).Delete(ctx, connect.NewRequest(&requestv1.DeleteRequest{
			RequestIds: []string{string(rs.req.ID)},
			Owner:      string(m.c.Self),
		}))
		if err != nil {
			m.count("records.delete_failed")
		}
	})
}
