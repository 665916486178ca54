package handoff_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/view"
	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
	"geraniumstack.org/geraniumstack/protocol/handoff"
	"geraniumstack.org/geraniumstack/state/ident"
)

const id = ident.RequestID("r1")

func newDaemon(n int) view.Daemon {
	name := ident.DaemonID(fmt.Sprintf("gw-%d", n))
	return view.Daemon{
		ID: name, Incarnation: ident.NewIncarnation(name, []byte{byte(n)}),
		FailureDomain: ident.FailureDomain(fmt.Sprintf("d%d", n%4)), State: view.Live,
	}
}

func newDaemons(n int) []view.Daemon {
	var list []view.Daemon
	for i := range n {
		list = append(list, newDaemon(i))
	}
	return list
}

func startTime() time.Time { return time.Unix(1_000_000, 0) }

func TestKeepersPreferOtherFailureDomains(t *testing.T) {
	is := is.New(t)
	all := newDaemons(9)
	for i := range 50 {
		r := ident.RequestID(fmt.Sprintf("r%d", i))
		ranked := handoff.RankKeepers(r, all[0], all)
		is.Equal(len(ranked), 8)
		is.True(ranked[0].FailureDomain != all[0].FailureDomain)
		is.True(ranked[7].FailureDomain == all[0].FailureDomain)
	}
}

// Guards against the loss of tokens that a keeper already had, when renewals
// arrive late, twice or out of order.
func TestRenewalsMayArriveInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := handoff.NewKeeper(4)
		k.Put(startTime(), handoff.Record{ID: id, Owner: "a", Epoch: 1, Prompt: "p"})
		storedTokens := 0
		for range rapid.IntRange(0, 20).Draw(t, "renewals") {
			from := rapid.IntRange(1, 12).Draw(t, "from")
			to := rapid.IntRange(from, 12).Draw(t, "to")
			r := handoff.Record{ID: id, Owner: "a", Epoch: 1, EmittedFrom: from}
			for i := from; i < to; i++ {
				r.Emitted = append(r.Emitted, fmt.Sprint(i))
			}
			outcome, _ := k.Put(startTime(), r)
			if (outcome == handoff.Incomplete) != (from > storedTokens) {
				t.Fatalf("a renewal from offset %d of a record with %d tokens: outcome %v", from, storedTokens, outcome)
			}
			if outcome == handoff.Stored {
				storedTokens = max(storedTokens, to)
			}
			got, _ := k.Get(id)
			if len(got.Emitted) != storedTokens || got.Prompt != "p" {
				t.Fatalf("the record holds %d tokens, want %d, or its prompt changed", len(got.Emitted), storedTokens)
			}
			for i, token := range got.Emitted {
				if token != fmt.Sprint(i) {
					t.Fatalf("the record holds %[2]q at offset %[1]d", i, token)
				}
			}
		}
	})
}

// Guards against two daemons that both run a request permanently: the owner
// was considered gone, another daemon adopted the request, and the owner
// returns. Every keeper that knows the higher epoch must report it to the
// former owner.
func TestReturningOwnerIsSuperseded(t *testing.T) {
	is := is.New(t)
	k := handoff.NewKeeper(4)
	k.Put(startTime(), handoff.Record{ID: id, Owner: "a", Epoch: 1})
	later := startTime().Add(10 * time.Second)
	gone := func(ident.Incarnation) bool { return false }
	adopted := k.Adopt(later, "b", 5*time.Second, gone)
	is.Equal(len(adopted), 1)
	is.Equal(adopted[0].Epoch, uint64(2))
	outcome, claim := k.Put(later, handoff.Record{ID: id, Owner: "a", Epoch: 1})
	is.Equal(outcome, handoff.Superseded)
	is.Equal(claim, handoff.Claim{Owner: "b", Epoch: 2})
}

// Guards against a request that runs twice because the list of daemons wrongly
// lacks its owner. The owner's renewals still arrive, so the request must not
// be adopted.
func TestRenewingOwnerIsNotReplaced(t *testing.T) {
	is := is.New(t)
	k := handoff.NewKeeper(4)
	gone := func(ident.Incarnation) bool { return false }
	for s := range 20 {
		now := startTime().Add(time.Duration(s) * time.Second)
		k.Put(now, handoff.Record{ID: id, Owner: "a", Epoch: 1})
		is.Equal(len(k.Adopt(now, "b", 5*time.Second, gone)), 0)
	}
}

// Guards against a request that runs at two peers because the acknowledgement
// of its transfer was lost. The transfer must be repeated to the same peer
// with the same epoch, and may go to another peer only with a higher epoch.
func TestDrainTransfersToOnePeerAtATime(t *testing.T) {
	is := is.New(t)
	all := newDaemons(5)
	d := handoff.NewDrain(all[0], startTime())
	d.Add(id, 1)
	first := d.NextTransfers(all)
	is.Equal(len(d.NextTransfers(all)), 0) // the transfer is in flight
	d.TransferFailed(id)
	for n := range 20 { // some of these rank before the first peer
		all = append(all, newDaemon(100+n))
	}
	is.True(handoff.RankKeepers(id, all[0], all)[0].Incarnation != first[0].Peer.Incarnation)
	is.Equal(d.NextTransfers(all), first)
	d.TransferFailed(id)
	for i := range all {
		if all[i].Incarnation == first[0].Peer.Incarnation {
			all[i].State = view.Leaving
		}
	}
	second := d.NextTransfers(all)
	is.True(second[0].Peer.Incarnation != first[0].Peer.Incarnation)
	is.Equal(second[0].Epoch, first[0].Epoch+1)
	d.TransferRefused(id, all)
	third := d.NextTransfers(all)
	is.True(third[0].Epoch > second[0].Epoch)
}

// cluster simulates a few daemons with their keepers, of which one at a time
// may fail.
type cluster struct {
	daemons []view.Daemon
	keepers map[ident.Incarnation]*handoff.Keeper
	// owned is the record of the request at each daemon that runs it.
	owned    map[ident.Incarnation]handoff.Record
	trackers map[ident.Incarnation]*handoff.RecordTracker
	now      time.Time
	started  int
}

func (g *cluster) addDaemon() {
	d := newDaemon(g.started)
	g.started++
	g.daemons = append(g.daemons, d)
	g.keepers[d.Incarnation] = handoff.NewKeeper(8)
	g.trackers[d.Incarnation] = handoff.NewRecordTracker()
}

func (g *cluster) setOwner(d view.Daemon, r handoff.Record) {
	g.owned[d.Incarnation] = r
	g.trackers[d.Incarnation] = handoff.NewRecordTracker()
	g.trackers[d.Incarnation].Track(r.ID)
}

func (g *cluster) isListed(i ident.Incarnation) bool {
	for _, d := range g.daemons {
		if d.Incarnation == i {
			return true
		}
	}
	return false
}

// runRenewalRound lets every daemon send its renewals once and adopt the
// records of owners that are gone.
func (g *cluster) runRenewalRound() {
	for _, d := range g.daemons {
		r, ok := g.owned[d.Incarnation]
		if !ok {
			continue
		}
		due := g.trackers[d.Incarnation].DueRenewals(d, g.daemons, func(ident.RequestID) handoff.Progress {
			return handoff.Progress{Offset: len(r.Emitted)}
		})
		for _, renewal := range due {
			sent := r
			sent.EmittedFrom = renewal.From
			sent.Emitted = r.Emitted[renewal.From:]
			switch outcome, _ := g.keepers[renewal.Keeper.Incarnation].Put(g.now, sent); outcome {
			case handoff.Stored:
				g.trackers[d.Incarnation].Stored(id, renewal.Keeper.Incarnation, handoff.Progress{Offset: len(r.Emitted)})
			case handoff.Superseded:
				delete(g.owned, d.Incarnation)
			case handoff.Incomplete:
				g.trackers[d.Incarnation].Lost(id)
			}
		}
	}
	for _, d := range g.daemons {
		for _, r := range g.keepers[d.Incarnation].Adopt(g.now, d.Incarnation, 5*time.Second, g.isListed) {
			g.setOwner(d, r)
		}
	}
}

func (g *cluster) runRenewalRounds() {
	for range 20 {
		g.now = g.now.Add(time.Second)
		g.runRenewalRound()
	}
}

// A request must survive any number of daemons that fail without notice, as
// long as there is time for a renewal between two failures, and exactly one
// daemon must run it in the end.
func TestRecordSurvivesSuccessiveDaemonDeaths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &cluster{
			keepers: map[ident.Incarnation]*handoff.Keeper{}, owned: map[ident.Incarnation]handoff.Record{},
			trackers: map[ident.Incarnation]*handoff.RecordTracker{}, now: startTime(),
		}
		for range rapid.IntRange(2, 6).Draw(t, "daemons") {
			g.addDaemon()
		}
		g.setOwner(g.daemons[0], handoff.Record{ID: id, Owner: g.daemons[0].Incarnation, Epoch: 1, Prompt: "p"})
		g.runRenewalRound()
		for range rapid.IntRange(0, 12).Draw(t, "deaths") {
			for i, r := range g.owned {
				r.Emitted = append(r.Emitted, "w")
				g.owned[i] = r
			}
			i := rapid.IntRange(0, len(g.daemons)-1).Draw(t, "victim")
			delete(g.owned, g.daemons[i].Incarnation)
			g.daemons = append(g.daemons[:i:i], g.daemons[i+1:]...)
			g.addDaemon()
			g.runRenewalRounds()
			if len(g.owned) != 1 {
				t.Fatalf("%d daemons run the request", len(g.owned))
			}
			for _, r := range g.owned {
				if r.Prompt != "p" {
					t.Fatal("the request was adopted without its prompt")
				}
			}
		}
	})
}
