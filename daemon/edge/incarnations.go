package edge

import (
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/state/ident"
)

// A runner's entry describes one incarnation of it. A runner that has started again under the name and at the
// address that it had is described by its former entry until its new one has been read, so it is asked over each
// connection which incarnation it is.

// asksIncarnation reports whether the runner has to say which incarnation it is before the request is sent: its
// software version matters to streams that may be resumed.
func (a *attempt) asksIncarnation() bool {
	return a.entry.SaysIncarnation && a.s.exchange.Terms.Resumable
}

// onIdentified returns what is called with the runner's incarnation; nil if it need not say.
func (a *attempt) onIdentified() func(ident.RunnerID) {
	if !a.asksIncarnation() {
		return nil
	}
	return a.handleIdentified
}

// handleIdentified records which incarnation the runner at the other end of the connection says it is.
func (a *attempt) handleIdentified(says ident.RunnerID) {
	a.incarnation = says
	log := a.s.edge.log
	switch says {
	case a.choice.Runner:
		log.Count("incarnations.entered")
	case "":
		log.Count("incarnations.unknown")
	default:
		a.s.note("runner_restarted", decisions.F("runner", a.choice.Runner), decisions.F("says", says), decisions.F("version", a.entry.Version),
			decisions.F("list_age", a.s.pool.listAge()))
	}
}
