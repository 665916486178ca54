package edge_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/daemon/edge"
	"geraniumstack.org/geraniumstack/state/ident"
)

var leavingSeeds = flag.Uint64("leaving-seeds", 2, "seeds of TestLargeFleetLeavesLeavingRunnersAlone")

// Guards against requests to runners that have given notice, in a fleet with relays of which the key-value service
// turns away a third right then: at a daemon that an answer has told, and at any daemon once all are in contact.
func TestLargeFleetLeavesLeavingRunnersAlone(t *testing.T) {
	for seed := range *leavingSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playLeavingRunners(t, seed) })
	}
}

func playLeavingRunners(t *testing.T, seed uint64) {
	const runners, outage, contact = 300, 9 * time.Second, 6 * time.Second
	withRelayFleet(t, largeFleet, config(1), func(w *testFleet) {
		random := rand.New(rand.NewPCG(seed, 53))
		l := w.addLeavingRunners(runners)
		time.Sleep(2 * time.Second)
		w.network.setLossRate(random.Float64()/20, rand.New(rand.NewPCG(seed, 54)))
		everyDaemon := random.Perm(len(w.daemons))
		turnedAway := everyDaemon[:len(w.daemons)*35/100]
		// The outage begins before the notices, or up to 600 ms after them.
		early := random.IntN(3) == 0
		w.turnAway(early, turnedAway)
		left := random.Perm(runners)[:runners/50+random.IntN(runners/2)]
		for _, i := range left {
			l.goAway(fmt.Sprintf("r%d", i+1), random.IntN(3) > 0)
		}
		l.play("/read/1", time.Duration(random.IntN(600))*time.Millisecond, everyDaemon...)
		w.turnAway(true, turnedAway)
		if random.IntN(2) == 0 {
			w.restartSome(random.Perm(len(w.daemons))[:len(w.daemons)/20])
		}
		l.play("/read/1", outage, everyDaemon...)
		w.turnAway(false, turnedAway)
		late, lateToAny := l.counts()
		l.play("/read/1", contact, everyDaemon...)
		stillUsed := w.countUses(left)
		before := l.sentToLeaving()
		asked, served := l.play("/read/1", 2*time.Second, everyDaemon...)
		inContact := l.sentToLeaving() - before
		t.Logf("%d leave: %d late, %d later than any was told, %d in contact, %d in use; %d of %d served", len(left), late, lateToAny, inContact, stillUsed, served, asked)
		w.Equal(late, 0)
		w.Equal(inContact, 0)
		w.Equal(stillUsed, 0)
		w.Equal(served, asked)
	})
}

// goAway lets a runner leave, of which its answers tell: with a notice in its entry, or without one by the end of the
// entry.
func (l *leavingRunners) goAway(id string, withNotice bool) {
	l.leave(id)
	if withNotice {
		l.w.leaving(id, "app")
		return
	}
	l.w.deleteEntry(id)
}

// turnAway lets the key-value service turn daemons away, or serve them again.
func (w *testFleet) turnAway(turnedAway bool, daemons []int) {
	for _, i := range daemons {
		w.daemons[i].store.setFaults(turnedAway, false)
	}
}

// restartSome ends daemons and starts them again, with the access to the key-value service that they had.
func (w *testFleet) restartSome(daemons []int) {
	for _, i := range daemons {
		d := w.daemons[i]
		d.kill()
		w.storeUnavailable = d.store.unavailableError() != nil
		w.restart(i)
	}
	w.storeUnavailable = false
}

// countUses returns how often a daemon uses one of the runners.
func (w *testFleet) countUses(runners []int) int {
	n := 0
	for _, i := range runners {
		id := ident.RunnerID(fmt.Sprintf("r%d", i+1))
		n += w.countDaemons(func(d *daemon) bool { return d.UsesRunner("app", id) != edge.Use{} })
	}
	return n
}

// sentToLeaving returns how many requests leaving runners have received.
func (l *leavingRunners) sentToLeaving() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for id := range l.leaving {
		n += l.w.runners.byID[id].count()
	}
	return n
}
