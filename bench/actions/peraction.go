package actions

import (
	"geraniumstack.org/geraniumstack/protocol/action"
	"geraniumstack.org/geraniumstack/state/actionkey"
	"geraniumstack.org/geraniumstack/state/ident"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// perAction is the baseline: it creates a record per action in the key-value service
// before the dispatch and replaces the record by the outcome afterwards.
type perAction struct {
	r       *run
	gateway int
	name    ident.Incarnation
	done    map[actionkey.ID]*record
}

type record struct {
	waiting []func(action.Result)
	result  *action.Result
}

const (
	recordIntent  = "intent"
	recordOutcome = "outcome"
)

func (p *perAction) token() string {
	return actionkey.Token{Owner: p.name, Issued: p.r.wall(), Lifetime: p.r.grace, Journaled: true}.String()
}

func (p *perAction) submit(id actionkey.ID, done func(action.Result)) {
	rec, ok := p.done[id]
	if ok && rec.result != nil {
		done(*rec.result)
		return
	}
	if ok {
		rec.waiting = append(rec.waiting, done)
		return
	}
	rec = &record{waiting: []func(action.Result){done}}
	p.done[id] = rec
	p.put(id, recordIntent, func(ok bool) { p.created(id, rec, ok) })
}

func (p *perAction) created(id actionkey.ID, rec *record, ok bool) {
	if p.r.crashed == p.gateway {
		return
	}
	if !ok {
		refused := refusal.New(refusal.JournalUnavailable, "no record").After(storeTimeout)
		p.settle(rec, action.Result{Refusal: refused})
		return
	}
	p.r.dispatchToRunner(id, func(res action.Result) {
		p.put(id, recordOutcome, func(bool) {})
		p.settle(rec, res)
	})
}

func (p *perAction) settle(rec *record, res action.Result) {
	rec.result = &res
	for _, done := range rec.waiting {
		done(res)
	}
	rec.waiting = nil
}

func (p *perAction) put(id actionkey.ID, value string, done func(bool)) {
	p.r.service.call(func() { p.r.service.entries[id.Key] = []byte(value) }, done)
}

// verdict treats an absent record as not executed. A real gateway would create the
// record itself, so that a gateway that was only paused fails to create it later.
func (p *perAction) verdict(id actionkey.ID) refusal.Executed {
	switch string(p.r.service.entries[id.Key]) {
	case recordOutcome:
		return refusal.ExecutedYes
	case recordIntent:
		return refusal.ExecutedUnknown
	default:
		return refusal.ExecutedNo
	}
}
