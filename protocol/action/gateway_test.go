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
	attempts     = 3
	attemptTime  = 1500 * time.Millisecond
	sealAttempts = 4
)

var silence = refusal.New(refusal.OwnerUnreachable, "no answer").Unknown()

// asking is one copy of a call at one gateway.
type asking struct {
	n       *node
	owner   ident.Incarnation
	request action.Request
	// readOnly asks for the outcome without running anything.
	readOnly bool
	done     func(action.Result)
	over     bool
}

func (a *asking) finish(r action.Result) {
	if !a.over {
		a.over = true
		a.done(r)
	}
}

// serve is what a gateway does with a call: run it, forward it, or speak for
// an owner that has ended.
func (n *node) serve(a *asking) {
	if n.answerHere(a, a.finish) {
		return
	}
	n.forward(a, attempts)
}

// answerHere answers from this incarnation's own tables.
func (n *node) answerHere(a *asking, done func(action.Result)) bool {
	if o, ok := n.owners[a.owner]; ok {
		if a.readOnly {
			if r, pending := o.Ask(a.request.ID); !pending {
				done(r)
			} else {
				done(refusedWith(silence))
			}
			return true
		}
		request := a.request
		n.waiters++
		request.Waiter = n.waiters
		n.waiting[request.Waiter] = done
		n.apply(o, o.Submit(n.clock(), request))
		return true
	}
	if r, ok := n.byAdopted(a); ok {
		done(r)
		return true
	}
	return false
}

func (n *node) byAdopted(a *asking) (action.Result, bool) {
	t, found := n.adopted[a.owner]
	if !found {
		return action.Result{}, false
	}
	r, ok := t.Answer(a.request.ID, a.request.BodyHash)
	if ok {
		n.w.reached.adopted++
	}
	if !ok && n.w.guard == guardPartialTable {
		return refusedWith(refusal.New(refusal.OwnerGone, "not in the table")), true
	}
	return r, ok
}

func daemonOf(owner ident.Incarnation) ident.Incarnation {
	name, _, _ := strings.Cut(string(owner), "+")
	return ident.Incarnation(name)
}

func (n *node) forward(a *asking, left int) {
	w := n.w
	name := daemonOf(a.owner)
	target := w.nodes[name]
	gone := target == nil || target.dead && w.places[target.place] != target
	if gone || n.mistaken[name].has(w.now) {
		n.speakFor(a)
		return
	}
	if left == 0 {
		a.finish(refusedWith(silence))
		return
	}
	answered := false
	w.message(n, target, func() {
		target.answerHere(a, func(r action.Result) {
			w.message(target, n, func() {
				answered = true
				a.finish(r)
			})
		})
	})
	w.after(attemptTime, n, func() {
		if !answered && !a.over {
			n.forward(a, left-1)
		}
	})
}

// speakFor answers from the ended owner's sealed log, or its successor.
func (n *node) speakFor(a *asking) {
	if log, ok := n.logs[a.owner]; ok {
		n.bySealedLog(a, log)
		return
	}
	n.seal(a.owner, "", sealAttempts, func(log *journal.Log) {
		if log == nil {
			a.finish(refusedWith(refusal.New(refusal.JournalUnavailable, "seal").Unknown()))
			return
		}
		n.logs[a.owner] = log
		n.bySealedLog(a, log)
	})
}

func (n *node) bySealedLog(a *asking, log *journal.Log) {
	verdict := action.FromVerdict(log.Verdict(n.clock(), a.request.ID, a.request.BodyHash))
	successor := n.w.nodes[log.Seal().Successor]
	if successor == nil || successor == n {
		a.finish(verdict)
		return
	}
	n.w.message(n, successor, func() {
		if r, ok := successor.byAdopted(a); ok {
			n.w.message(successor, n, func() { a.finish(r) })
		}
	})
	n.w.after(attemptTime, n, func() { a.finish(verdict) })
}

// seal reads the log and creates its end; done gets nil if that fails.
func (n *node) seal(owner, successor ident.Incarnation, left int, done func(*journal.Log)) {
	n.read(owner, func(log *journal.Log, ok bool) {
		switch {
		case !ok || left == 0:
			done(nil)
		case log.Seal() != nil:
			n.w.reached.sealed++
			done(log)
		case n.w.guard == guardSeal:
			log.Add(log.Next(), journal.Entry{Seal: &journal.Seal{By: n.name}})
			done(log)
		default:
			value, _ := journal.Encode(journal.Entry{
				Nonce: "seal/" + string(n.name),
				Seal:  &journal.Seal{By: n.name, Successor: successor},
			})
			n.create(journal.EntryKey(owner, log.Next()), value, func(s journal.Status, _ []byte) {
				if s == journal.Doubtful {
					done(nil)
					return
				}
				n.seal(owner, successor, left-1, done)
			})
		}
	})
}

func (n *node) read(owner ident.Incarnation, done func(*journal.Log, bool)) {
	w := n.w
	if w.down() || n.cutOff.has(w.now) || w.chance(w.doubt) {
		w.after(storeAnswer, n, func() { done(nil, false) })
		return
	}
	w.after(w.upTo(4*time.Millisecond), nil, func() {
		log := w.logNow(owner)
		w.after(w.upTo(4*time.Millisecond), n, func() { done(log, true) })
	})
}

func (w *world) logNow(owner ident.Incarnation) *journal.Log {
	var keys []string
	for key := range w.entries {
		if strings.HasPrefix(key, journal.Prefix(owner)) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	log := journal.NewLog(owner)
	for _, key := range keys {
		index, _ := journal.Index(owner, key)
		entry, _ := journal.Decode(key, w.entries[key])
		log.Add(index, entry)
	}
	return log
}

// drain is a planned stop: two operators may ask for it at once.
func (n *node) drain() {
	if n.draining {
		return
	}
	n.draining = true
	successor := n.w.places[(n.place+1+n.w.rng.IntN(len(n.w.places)-1))%len(n.w.places)]
	for _, o := range n.ownersInOrder() {
		o.Close()
		n.w.after(n.w.upTo(second), n, func() { n.apply(o, o.End(n.clock(), successor.name)) })
		n.w.after(second+n.w.upTo(2*second), n, func() {
			n.apply(o, o.Quit(n.clock()))
			n.handOff(o, successor)
		})
	}
}

func (n *node) ownersInOrder() []*action.Owner {
	var owners []*action.Owner
	for _, o := range n.owners {
		owners = append(owners, o)
	}
	sort.Slice(owners, func(i, j int) bool { return owners[i].Incarnation() < owners[j].Incarnation() })
	return owners
}

// handOff sends a record a part, each until it is acknowledged.
func (n *node) handOff(o *action.Owner, successor *node) {
	records, complete, _ := o.Export(n.clock())
	sort.Slice(records, func(i, j int) bool { return records[i].ID.Key < records[j].ID.Key })
	for i := range len(records) + 1 {
		part := action.Part{Number: uint32(i)}
		if i < len(records) {
			part.Records = records[i : i+1]
		} else {
			part.Last = true
			part.Complete = complete
		}
		n.w.after(n.w.upTo(second), n, func() { n.sendPart(o.Incarnation(), successor, part, attempts) })
	}
}

func (n *node) sendPart(owner ident.Incarnation, successor *node, part action.Part, left int) {
	if left == 0 {
		return
	}
	acknowledged := false
	n.w.message(n, successor, func() {
		successor.adopt(owner, part)
		n.w.message(successor, n, func() { acknowledged = true })
	})
	n.w.after(200*time.Millisecond, n, func() {
		if !acknowledged {
			n.sendPart(owner, successor, part, left-1)
		}
	})
}

func (n *node) adopt(owner ident.Incarnation, part action.Part) {
	t, ok := n.adopted[owner]
	if !ok {
		t = action.NewAdopted(owner)
		n.adopted[owner] = t
	}
	t.Add(part)
	if t.Complete() {
		n.seal(owner, n.name, sealAttempts, func(log *journal.Log) {
			if log != nil {
				n.logs[owner] = log
			}
		})
	}
}

// crash ends an incarnation; another takes its place and address.
func (w *world) crash(place int) {
	w.places[place].dead = true
	w.after(w.upTo(2*second), nil, func() { w.boot(place) })
}

// idOf names an action of the histories' one workspace.
func idOf(key string) actionkey.ID { return actionkey.ID{Workspace: "huaman", Key: key} }
