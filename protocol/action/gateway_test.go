package action_test

import (
	"sort"
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/coordination/journal"
	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

const (
	maxForwardAttempts = 3
	attemptTimeout     = 1500 * time.Millisecond
	sealAttempts       = 4
)

var unreachableRefusal = refusal.New(refusal.OwnerUnreachable, "no answer").Unknown()

// gatewayCall is one copy of a caller's request at one gateway.
type gatewayCall struct {
	n       *node
	owner   ident.Incarnation
	request action.Request
	// readOnly asks for the outcome without running anything.
	readOnly bool
	done     func(action.Result)
	finished bool
}

func (gc *gatewayCall) finish(r action.Result) {
	if !gc.finished {
		gc.finished = true
		gc.done(r)
	}
}

// serve handles a call at a gateway: it runs the call, forwards it to the owner,
// or answers for an owner that has ended.
func (n *node) serve(gc *gatewayCall) {
	if n.answerLocally(gc, gc.finish) {
		return
	}
	n.forward(gc, maxForwardAttempts)
}

// answerLocally answers the call if this incarnation owns it or has adopted the
// table of its owner. It returns false otherwise.
func (n *node) answerLocally(gc *gatewayCall, done func(action.Result)) bool {
	if o, ok := n.owners[gc.owner]; ok {
		if gc.readOnly {
			if r, pending := o.Lookup(gc.request.ID); !pending {
				done(r)
			} else {
				done(refusedWith(unreachableRefusal))
			}
			return true
		}
		request := gc.request
		n.lastWaiter++
		request.Waiter = n.lastWaiter
		n.replyHandlers[request.Waiter] = done
		n.apply(o, o.Submit(n.clock(), request))
		return true
	}
	if r, ok := n.answerFromAdopted(gc); ok {
		done(r)
		return true
	}
	return false
}

func (n *node) answerFromAdopted(gc *gatewayCall) (action.Result, bool) {
	t, found := n.adopted[gc.owner]
	if !found {
		return action.Result{}, false
	}
	r, ok := t.ResultFor(gc.request.ID, gc.request.BodyHash)
	if ok {
		n.sim.eventCounts.adopted++
	}
	if !ok && n.sim.brokenGuard == guardCompleteTable {
		return refusedWith(refusal.New(refusal.OwnerGone, "not in the table")), true
	}
	return r, ok
}

func daemonIncarnation(owner ident.Incarnation) ident.Incarnation {
	name, _, _ := strings.Cut(string(owner), "+")
	return ident.Incarnation(name)
}

func (n *node) forward(gc *gatewayCall, attemptsLeft int) {
	sim := n.sim
	name := daemonIncarnation(gc.owner)
	target := sim.nodes[name]
	gone := target == nil || target.dead && sim.currentNodes[target.index] != target
	if gone || n.mistakenlyDown[name].contains(sim.now) {
		n.answerForEndedOwner(gc)
		return
	}
	if attemptsLeft == 0 {
		gc.finish(refusedWith(unreachableRefusal))
		return
	}
	answered := false
	sim.sendMessage(n, target, func() {
		target.answerLocally(gc, func(r action.Result) {
			sim.sendMessage(target, n, func() {
				answered = true
				gc.finish(r)
			})
		})
	})
	sim.after(attemptTimeout, n, func() {
		if !answered && !gc.finished {
			n.forward(gc, attemptsLeft-1)
		}
	})
}

// answerForEndedOwner seals the journal of the ended owner, if that hasn't been
// done, and answers from it or from the successor's table.
func (n *node) answerForEndedOwner(gc *gatewayCall) {
	if log, ok := n.logs[gc.owner]; ok {
		n.answerFromSealedLog(gc, log)
		return
	}
	n.seal(gc.owner, "", sealAttempts, func(log *journal.Log) {
		if log == nil {
			gc.finish(refusedWith(refusal.New(refusal.JournalUnavailable, "seal").Unknown()))
			return
		}
		n.logs[gc.owner] = log
		n.answerFromSealedLog(gc, log)
	})
}

func (n *node) answerFromSealedLog(gc *gatewayCall, log *journal.Log) {
	verdict := action.ResultFromVerdict(log.Verdict(n.clock(), gc.request.ID, gc.request.BodyHash))
	successor := n.sim.nodes[log.Seal().Successor]
	if successor == nil || successor == n {
		gc.finish(verdict)
		return
	}
	n.sim.sendMessage(n, successor, func() {
		if r, ok := successor.answerFromAdopted(gc); ok {
			n.sim.sendMessage(successor, n, func() { gc.finish(r) })
		}
	})
	n.sim.after(attemptTimeout, n, func() { gc.finish(verdict) })
}

// seal reads the journal and creates its seal unless it has one. It passes the
// sealed journal to done, or nil if that fails.
func (n *node) seal(owner, successor ident.Incarnation, attemptsLeft int, done func(*journal.Log)) {
	n.readLog(owner, func(log *journal.Log, ok bool) {
		switch {
		case !ok || attemptsLeft == 0:
			done(nil)
		case log.Seal() != nil:
			n.sim.eventCounts.sealed++
			done(log)
		case n.sim.brokenGuard == guardSealBeforeAnswer:
			log.Add(log.Next(), journal.Entry{Seal: &journal.Seal{By: n.name}})
			done(log)
		default:
			value, _ := journal.Encode(journal.Entry{
				Nonce: "seal/" + string(n.name),
				Seal:  &journal.Seal{By: n.name, Successor: successor},
			})
			n.create(journal.EntryKey(owner, log.Next()), value, func(s journal.Status, _ []byte) {
				if s == journal.Unknown {
					done(nil)
					return
				}
				n.seal(owner, successor, attemptsLeft-1, done)
			})
		}
	})
}

func (n *node) readLog(owner ident.Incarnation, done func(*journal.Log, bool)) {
	sim := n.sim
	if sim.storeDown() || n.cutOff.contains(sim.now) || sim.chance(sim.unknownOutcomeProbability) {
		sim.after(storeTimeout, n, func() { done(nil, false) })
		return
	}
	sim.after(sim.randomDuration(4*time.Millisecond), nil, func() {
		log := sim.storedLog(owner)
		sim.after(sim.randomDuration(4*time.Millisecond), n, func() { done(log, true) })
	})
}

func (sim *simulation) storedLog(owner ident.Incarnation) *journal.Log {
	var keys []string
	for key := range sim.entries {
		if strings.HasPrefix(key, journal.Prefix(owner)) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	log := journal.NewLog(owner)
	for _, key := range keys {
		index, _ := journal.Index(owner, key)
		entry, _ := journal.Decode(key, sim.entries[key])
		log.Add(index, entry)
	}
	return log
}

// drain stops the daemon as planned and hands its tables to a successor. Two
// operators may request it at once; the second request has no effect.
func (n *node) drain() {
	if n.draining {
		return
	}
	n.draining = true
	successor := n.sim.currentNodes[(n.index+1+n.sim.rng.IntN(len(n.sim.currentNodes)-1))%len(n.sim.currentNodes)]
	for _, o := range n.sortedOwners() {
		o.StopAccepting()
		n.sim.after(n.sim.randomDuration(second), n, func() { n.apply(o, o.End(n.clock(), successor.name)) })
		n.sim.after(second+n.sim.randomDuration(2*second), n, func() {
			n.apply(o, o.EndUnsealed(n.clock()))
			n.handOff(o, successor)
		})
	}
}

func (n *node) sortedOwners() []*action.Owner {
	var owners []*action.Owner
	for _, o := range n.owners {
		owners = append(owners, o)
	}
	sort.Slice(owners, func(i, j int) bool { return owners[i].Incarnation() < owners[j].Incarnation() })
	return owners
}

// handOff sends the table to the successor with one record per part, and repeats
// each part until it is acknowledged or the attempts are used up.
func (n *node) handOff(o *action.Owner, successor *node) {
	records, exportedAt, _ := o.Export(n.clock())
	sort.Slice(records, func(i, j int) bool { return records[i].ID.Key < records[j].ID.Key })
	for i := range len(records) + 1 {
		part := action.TablePart{Number: uint32(i)}
		if i < len(records) {
			part.Records = records[i : i+1]
		} else {
			part.Last = true
			part.ExportedAt = exportedAt
		}
		n.sim.after(n.sim.randomDuration(second), n, func() { n.sendPart(o.Incarnation(), successor, part, maxForwardAttempts) })
	}
}

func (n *node) sendPart(owner ident.Incarnation, successor *node, part action.TablePart, attemptsLeft int) {
	if attemptsLeft == 0 {
		return
	}
	acknowledged := false
	n.sim.sendMessage(n, successor, func() {
		successor.adopt(owner, part)
		n.sim.sendMessage(successor, n, func() { acknowledged = true })
	})
	n.sim.after(200*time.Millisecond, n, func() {
		if !acknowledged {
			n.sendPart(owner, successor, part, attemptsLeft-1)
		}
	})
}

func (n *node) adopt(owner ident.Incarnation, part action.TablePart) {
	t, ok := n.adopted[owner]
	if !ok {
		t = action.NewAdoptedTable(owner)
		n.adopted[owner] = t
	}
	t.AddPart(part)
	if t.Complete() {
		n.seal(owner, n.name, sealAttempts, func(log *journal.Log) {
			if log != nil {
				n.logs[owner] = log
			}
		})
	}
}

// crash kills the current incarnation of a daemon. A new incarnation starts soon
// after with the same index and address.
func (sim *simulation) crash(index int) {
	sim.currentNodes[index].dead = true
	sim.after(sim.randomDuration(2*second), nil, func() { sim.boot(index) })
}

// actionID returns the ID of an action in the only workspace of the histories.
func actionID(key string) actionkey.ID { return actionkey.ID{Workspace: "huaman", Key: key} }
