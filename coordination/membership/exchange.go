package membership

import (
	"time"

	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

// NoPeer is used as the receiver of a message if its incarnation is not known yet.
const NoPeer ident.Incarnation = ""

func (t *Table) peer(i ident.Incarnation) *peerState {
	p, ok := t.peers[i]
	if !ok {
		p = &peerState{}
		t.peers[i] = p
	}
	return p
}

// Compose returns the message for one peer, with the records that changed since the
// position in this daemon's log that the peer last acknowledged. A message to NoPeer
// carries no changes.
func (t *Table) Compose(to ident.Incarnation) Message {
	m := Message{From: *t.self, Last: t.log.seq, Digest: t.log.digest, InForce: t.InForce()}
	if to == NoPeer {
		return m
	}
	p := t.peer(to)
	records, completeThrough := t.log.changedAfter(p.ackedByPeer, to, MaxChanges)
	m.Ack = p.receivedFromPeer
	m.Seq = completeThrough
	for _, r := range records {
		m.Changes = append(m.Changes, r.toChange())
	}
	m.Changes = t.appendSuspicion(m.Changes, to)
	return m
}

// appendSuspicion adds the receiver's own record if the receiver is suspect here.
// Otherwise, if thousands of other changes come first in the log, the receiver would learn
// of the suspicion only many messages later and could not refute it until then.
func (t *Table) appendSuspicion(changes []Change, to ident.Incarnation) []Change {
	r, ok := t.log.records[memberKey(to)]
	if !ok || r.member.State != view.Suspect {
		return changes
	}
	return append(changes, r.toChange())
}

// toChange returns a copy of the record for a message.
func (r *record) toChange() Change {
	if r.member != nil {
		m := *r.member
		return Change{Member: &m}
	}
	vm := *r.vm
	return Change{VM: &vm}
}

// Receive applies a peer's call and reports whether it changed anything.
func (t *Table) Receive(now time.Time, m Message) bool {
	before := t.revision
	t.apply(now, m)
	return t.revision != before
}

// ReceiveAnswer applies the answer to a call made at askedAt and reports whether it changed
// anything.
func (t *Table) ReceiveAnswer(now, askedAt time.Time, m Message) bool {
	before := t.revision
	t.apply(now, m)
	t.retireReplaced(now, askedAt, m.From)
	return t.revision != before
}

// apply merges the sender's own record, the changes, the generations in force and the
// positions of a message.
func (t *Table) apply(now time.Time, m Message) {
	if m.From.Incarnation == t.self.Incarnation {
		return
	}
	t.recordContact(now, m.From)
	for _, c := range m.Changes {
		switch {
		case c.Member != nil:
			t.mergeMember(now, *c.Member, m.From.Incarnation)
		case c.VM != nil:
			t.mergeVM(now, *c.VM, m.From.Incarnation)
		}
	}
	for domain, g := range m.InForce {
		t.raiseInForce(domain, g)
	}
	t.acknowledge(now, m)
}

// acknowledge updates the positions up to which each side has the changes of the other.
// The new positions are taken over even if they are lower: if messages cross, a position
// may fall, which only causes changes to be sent again.
func (t *Table) acknowledge(now time.Time, m Message) {
	p := t.peer(m.From.Incarnation)
	p.ackedByPeer = m.Ack
	p.receivedFromPeer = m.Seq
	if m.Digest == t.log.digest {
		p.ackedByPeer = t.log.seq
		p.receivedFromPeer = m.Last
		p.differSince = time.Time{}
		return
	}
	t.resync(now, p)
}

// resync starts to send all records to the peer again if the tables still differ for
// resyncAfter although the peer has acknowledged every change. Otherwise records that one
// side dropped or never logged would keep the tables different forever.
func (t *Table) resync(now time.Time, p *peerState) {
	if p.ackedByPeer < t.log.seq {
		p.differSince = time.Time{}
		return
	}
	if p.differSince.IsZero() {
		p.differSince = now
		return
	}
	if now.Sub(p.differSince) > resyncAfter {
		p.ackedByPeer = 0
		p.differSince = time.Time{}
	}
}
