package spread_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/spread"
	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
)

// network passes messages between strategies in an order that a test chooses.
type network struct {
	strategies map[string]spread.Strategy
	ids        []string
	inFlight   []sent
	sentByKind map[spread.Kind]int
}

type sent struct {
	from string
	spread.Send
}

var anyTime time.Time

func newNetwork(n int, newStrategy func(self string, all []string) spread.Strategy) *network {
	w := &network{strategies: map[string]spread.Strategy{}, sentByKind: map[spread.Kind]int{}}
	for i := range n {
		w.ids = append(w.ids, fmt.Sprintf("m%02d", i))
	}
	for _, id := range w.ids {
		w.strategies[id] = newStrategy(id, w.ids)
	}
	for _, id := range w.ids {
		w.setMembers(id, nil)
	}
	return w
}

func (w *network) setMembers(at string, suspects map[string]bool) {
	var peers []spread.Peer
	for _, id := range w.ids {
		if id != at {
			peers = append(peers, spread.Peer{ID: id, Suspect: suspects[id]})
		}
	}
	w.enqueue(at, w.strategies[at].SetMembers(anyTime, peers))
}

func (w *network) enqueue(from string, sends []spread.Send) {
	for _, s := range sends {
		w.sentByKind[s.Message.Kind]++
		w.inFlight = append(w.inFlight, sent{from, s})
	}
}

// deliverAll delivers messages in the order chosen by draw until none is left. Messages to
// crashed members are lost.
func (w *network) deliverAll(crashed map[string]bool, draw func(n int) int) {
	for len(w.inFlight) > 0 {
		i := draw(len(w.inFlight))
		s := w.inFlight[i]
		w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
		if !crashed[s.To] {
			w.enqueue(s.To, w.strategies[s.To].Receive(anyTime, s.from, s.Message))
		}
	}
}

func (w *network) missing(crashed map[string]bool) []string {
	var missing []string
	for _, id := range w.ids {
		if !crashed[id] && w.strategies[id].Version() == 0 {
			missing = append(missing, id)
		}
	}
	return missing
}

func newTree(self string, all []string) spread.Strategy { return spread.NewVCubeTree(self, all) }

func firstIndex(int) int { return 0 }

func TestTreeSendsOneMessageToEachMember(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{2, 8, 13, 64} {
		w := newNetwork(n, newTree)
		w.enqueue("m00", w.strategies["m00"].Publish(anyTime, 1))
		w.deliverAll(nil, firstIndex)
		is.Equal(len(w.missing(nil)), 0)
		is.Equal(w.sentByKind[spread.Tree], n-1)
		is.Equal(w.sentByKind[spread.Ack], n-1)
		is.Equal(w.sentByKind[spread.Deliver], 0)
	}
}

// Some members crash while a version spreads and are suspected only later, others are
// suspected falsely. The version must still reach every running member.
func TestTreeReachesEveryCorrectMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "members")
		w := newNetwork(n, newTree)
		crashed, falselySuspected := map[string]bool{}, map[string]bool{}
		for _, id := range w.ids[1:] {
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				crashed[id] = true
			case 1:
				falselySuspected[id] = true
			}
		}
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "message") }
		for _, id := range w.ids {
			w.setMembers(id, falselySuspected)
		}
		w.enqueue("m00", w.strategies["m00"].Publish(anyTime, 1))
		w.deliverAll(crashed, draw)
		suspected := map[string]bool{}
		for id := range crashed {
			suspected[id] = true
		}
		for id := range falselySuspected {
			suspected[id] = true
		}
		for _, id := range w.ids {
			if !crashed[id] {
				w.setMembers(id, suspected)
			}
		}
		w.deliverAll(crashed, draw)
		if missing := w.missing(crashed); len(missing) > 0 {
			t.Fatalf("%v never received the version; crashed %v, falsely suspected %v", missing, crashed, falselySuspected)
		}
	})
}

// Pushes are lost. Later ticks must deliver what a lost push didn't, whichever links a
// member has.
func TestNeighboursRecoverLostPushes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(rapid.IntRange(2, 30).Draw(t, "members"), func(self string, _ []string) spread.Strategy {
			return spread.NewNeighbours(self)
		})
		w.enqueue("m00", w.strategies["m00"].Publish(anyTime, 1))
		for len(w.inFlight) > 0 && rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
			w.inFlight = w.inFlight[1:]
		}
		for range 12 {
			w.deliverAll(nil, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "message") })
			for _, id := range w.ids {
				w.enqueue(id, w.strategies[id].Tick(anyTime))
			}
		}
		w.deliverAll(nil, firstIndex)
		if missing := w.missing(nil); len(missing) > 0 {
			t.Fatalf("%v never received the version", missing)
		}
	})
}

// Two members suspect each other, so neither has a link to the other. If they never probed
// each other, the suspicion would last forever.
func TestSuspectsAreProbed(t *testing.T) {
	is := is.New(t)
	n := spread.NewNeighbours("a")
	n.SetMembers(anyTime, []spread.Peer{{ID: "b", Suspect: true}, {ID: "c", Suspect: true}})
	is.Equal(len(n.Links()), 0)
	probed := map[string]bool{}
	for range 2 {
		for _, s := range n.Tick(anyTime) {
			probed[s.To] = true
		}
	}
	is.Equal(len(probed), 2)
}

func TestNeighboursBoundLinks(t *testing.T) {
	is := is.New(t)
	var peers []spread.Peer
	for i := range 1799 {
		peers = append(peers, spread.Peer{ID: fmt.Sprint(i)})
	}
	n := spread.NewNeighbours("self")
	n.SetMembers(anyTime, peers)
	is.Equal(len(n.Links()), spread.OutDegree)
	is.Equal(n.Interval(), spread.HeartbeatInterval)
	n.SetMembers(anyTime, peers[:4])
	is.Equal(n.Interval(), spread.SmallFleetInterval)
}
