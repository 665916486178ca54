package forward_test

import (
	"testing"

	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/protocol/forward"
	"geraniumstack.org/geraniumstack/protocol/retry"
	"geraniumstack.org/geraniumstack/state/refusal"
)

// orders is a request whose sends, proofs, failures and refusal come in any order. A send without a proof may
// run at any time, also after the refusal.
type orders struct {
	exchange forward.Exchange
	policy   *retry.Policy
	// open are the handovers without a proof.
	open    []*forward.Handover
	final   *refusal.Refusal
	refused *refusal.Refusal
}

// handOn hands the request on, to a runner, to a helper, or beside an attempt that is silent.
func (o *orders) handOn(t *rapid.T) {
	h := o.exchange.Executions.Begin()
	if promised := o.final != nil && o.final.Executed == refusal.ExecutedNo; promised != (h == nil) {
		t.Fatalf("handed on: %v, though the refusal is %v", h != nil, o.final)
	}
	if h != nil {
		o.open = append(o.open, h)
	}
}

// prove gives the proof of one of the handovers, maybe twice.
func (o *orders) prove(t *rapid.T) {
	if len(o.open) == 0 {
		t.Skip("nothing was handed on")
	}
	i := rapid.IntRange(0, len(o.open)-1).Draw(t, "proved")
	o.open[i].ProveNotRun()
	if rapid.Bool().Draw(t, "twice") {
		o.open[i].ProveNotRun()
	}
	o.open = append(o.open[:i], o.open[i+1:]...)
}

// failAttempt lets an attempt fail, of which nothing more is heard unless it was proved before.
func (o *orders) failAttempt(t *rapid.T) {
	reasons := []retry.Reason{retry.Busy, retry.Broken, retry.Silent, retry.ConnectFailed, retry.Leaving, retry.ServerError}
	a := forward.FailedAttempt{Reason: rapid.SampledFrom(reasons).Draw(t, "reason"), Sent: rapid.Bool().Draw(t, "sent")}
	before := o.exchange.Sent()
	_, r := o.exchange.HandleFailure(start, o.policy, a)
	if r != nil {
		o.refused = r
	}
	if o.exchange.Sent() < before {
		t.Fatal("fewer sends than before")
	}
}

// refuse gives the final refusal: for an attempt's failure, for the end of the time, or for that of the daemon.
func (o *orders) refuse(t *rapid.T) {
	if o.final != nil {
		t.Skip("refused already")
	}
	r := rapid.SampledFrom([]*refusal.Refusal{forward.DeadlineRefusal(), refusal.New(refusal.Draining, "this daemon ends"), o.refused}).Draw(t, "refusal")
	if r == nil {
		t.Skip("no attempt has failed")
	}
	o.final = o.exchange.Final(r)
	want := refusal.ExecutedNo
	if len(o.open) > 0 {
		want = refusal.ExecutedUnknown
	}
	if o.final.Executed != want {
		t.Fatalf("refused as executed %q with %d unproven handovers", o.final.Executed, len(o.open))
	}
}

// Guards against a refusal that says "not run" of a request that runs or will run, or "maybe" of one that can't, in any
// order of sends, proofs, failures and ends.
func TestRefusalIsTrueInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &orders{policy: retry.New(retry.Default())}
		o.exchange.Terms = newTerms(rapid.Bool().Draw(t, "repeatable"), rapid.IntRange(1, 2).Draw(t, "attempts"))
		t.Repeat(map[string]func(*rapid.T){"hand on": o.handOn, "prove": o.prove, "fail": o.failAttempt, "refuse": o.refuse})
	})
}

// Guards against a helper that says "maybe" of its own part because the daemon that asked it has sent the request before.
func TestHelperSpeaksOfItsOwnSends(t *testing.T) {
	x := forward.Exchange{Terms: newTerms(true, 2)}
	x.Continue(1, true)
	if r := x.Final(forward.DeadlineRefusal()); !x.MayHaveRun() || r.Executed != refusal.ExecutedNo {
		t.Fatalf("may have run: %v, refused as executed %q", x.MayHaveRun(), r.Executed)
	}
}
