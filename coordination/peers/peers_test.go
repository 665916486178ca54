package peers_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"geraniumstack.org/geraniumstack/coordination/peers"
	"geraniumstack.org/geraniumstack/coordination/view"
	"geraniumstack.org/geraniumstack/state/ident"
)

func member(id, startID string) peers.Member {
	return peers.Member{
		ID: ident.DaemonID(id), Incarnation: ident.Incarnation(id + "~" + startID), FailureDomain: "north",
		CallerAddress: id + ":80", PeerAddress: id + ":76", Phase: peers.Ready,
	}
}

func liveIDs(t *peers.Table, now time.Duration) []string {
	var daemonIDs []string
	for _, d := range t.Directory(now) {
		if d.State == view.Live {
			daemonIDs = append(daemonIDs, string(d.ID))
		}
	}
	return daemonIDs
}

func TestDirectoryListsHeardAndReadyDaemons(t *testing.T) {
	is := is.New(t)
	table := peers.New(member("a", "1"))
	table.Receive(0, member("b", "1"), 1)
	starting := member("c", "1")
	starting.Phase = peers.Starting
	table.Receive(0, starting, 1)
	is.Equal(liveIDs(table, 0), []string{"a", "b"})
	is.Equal(liveIDs(table, peers.AliveFor+1), []string{"a"})
	is.Equal(table.FleetSize(), 3) // the silent daemons may still be running
	is.Equal(table.Addresses(), []string{"b:76", "c:76"})
	is.Equal(len(table.Tick(peers.ForgetAfter+1)), 2)
	is.Equal(len(table.Addresses()), 2) // messages go on, so that daemons find each other after a network partition
	table.Tick(peers.AddressTTL + 1)
	is.Equal(len(table.Addresses()), 0)
}

// A daemon starts to drain. A datagram that it sent earlier arrives after the one that says
// so. Callers must not be sent to that daemon again.
func TestLateMessageDoesNotUndoDraining(t *testing.T) {
	is := is.New(t)
	table := peers.New(member("a", "1"))
	leaving := member("b", "1")
	leaving.Phase = peers.Draining
	table.Receive(0, leaving, 7)
	isNew, _ := table.Receive(0, member("b", "1"), 6)
	is.True(!isNew)
	is.Equal(liveIDs(table, 0), []string{"a"})
	table.SetPhase(peers.Draining)
	table.SetPhase(peers.Ready)
	is.Equal(len(liveIDs(table, 0)), 0)
}

// A daemon is killed and starts again at once. Its former incarnation must not keep a share
// of the quotas until it is forgotten.
func TestNewIncarnationEndsFormerOne(t *testing.T) {
	is := is.New(t)
	table := peers.New(member("a", "1"))
	table.Receive(0, member("b", "1"), 1)
	_, ended := table.Receive(0, member("b", "2"), 1)
	is.Equal(ended, []ident.Incarnation{"b~1"})
	is.Equal(table.FleetSize(), 2)
}

func rows(daemonIDs ...string) []peers.Row {
	var list []peers.Row
	for _, id := range daemonIDs {
		list = append(list, peers.Row{Member: member(id, "1"), Seq: 5})
	}
	return list
}

// Guards against a daemon that stays in the directory after its relay has ended.
func TestRosterIsValidWhileItsRelayIsHeard(t *testing.T) {
	is := is.New(t)
	table := peers.New(member("a", "1"))
	table.Receive(0, member("r", "1"), 1)
	table.ReceiveRoster(0, "r~1", rows("b", "c"), 7, 2)
	is.Equal(liveIDs(table, 0), []string{"a", "b", "c", "r"})
	is.Equal(table.FleetSize(), 7)
	is.Equal(table.Domains(0), 2)
	is.Equal(liveIDs(table, peers.AliveFor+1), []string{"a"})
	table.Receive(peers.AliveFor+1, member("r", "1"), 2)
	table.ReceiveRoster(peers.AliveFor+1, "r~1", rows("c"), 7, 2)
	is.Equal(liveIDs(table, peers.AliveFor+1), []string{"a", "c", "r"}) // the relay's new roster no longer lists b
}

// Guards against an old roster that overrides what a daemon reported about itself.
func TestRosterDoesNotUndoDraining(t *testing.T) {
	is := is.New(t)
	table := peers.New(member("a", "1"))
	table.Receive(0, member("r", "1"), 1)
	leaving := member("b", "1")
	leaving.Phase = peers.Draining
	table.Receive(0, leaving, 6)
	table.ReceiveRoster(0, "r~1", rows("b"), 3, 2)
	is.Equal(liveIDs(table, 0), []string{"a", "r"})
}

// A daemon's registration stays in the key-value service for a while after the daemon has
// ended. Guards against the daemon counting as alive again each time that the registration
// is read, and against a registration of a former incarnation adding that incarnation to
// the fleet.
func TestIntroductionExpires(t *testing.T) {
	is := is.New(t)
	table := peers.New(member("a", "1"))
	table.Introduce(0, peers.Row{Member: member("b", "1")})
	is.Equal(liveIDs(table, 0), []string{"a", "b"})
	table.Introduce(peers.IntroductionTTL+1, peers.Row{Member: member("b", "1")})
	is.Equal(liveIDs(table, peers.IntroductionTTL+1), []string{"a"})
	table.Receive(peers.IntroductionTTL+1, member("b", "2"), 1)
	table.Introduce(peers.IntroductionTTL+1, peers.Row{Member: member("b", "0")})
	is.Equal(table.FleetSize(), 2)
}

// Guards against the first message of a daemon being treated as a duplicate because a
// relay's roster already mentioned it.
func TestFirstMessageOfDaemonKnownFromRoster(t *testing.T) {
	is := is.New(t)
	table := peers.New(member("a", "1"))
	table.Receive(0, member("r", "1"), 1)
	table.ReceiveRoster(0, "r~1", rows("b"), 3, 2)
	isNew, _ := table.Receive(0, member("b", "1"), 5)
	is.True(isNew)
}

// Guards against a daemon that keeps following a daemon that has ended, because an old
// roster adds that daemon again beside its successor.
func TestRosterDoesNotRestoreFormerIncarnation(t *testing.T) {
	is := is.New(t)
	table := peers.New(member("a", "1"))
	table.Receive(0, member("r", "1"), 1)
	table.ReceiveRoster(0, "r~1", rows("b"), 3, 2)
	table.Receive(0, member("b", "2"), 1)
	table.ReceiveRoster(0, "r~1", rows("b"), 3, 2)
	is.Equal(len(table.Alive(0)), 2) // r and the second incarnation of b
	newest := member("b", "3")
	newest.Started = 5
	table.ReceiveRoster(peers.AliveFor+1, "r~1", []peers.Row{{Member: newest, Seq: 1}}, 3, 2)
	table.Receive(peers.AliveFor+1, member("r", "1"), 2)
	table.ReceiveRoster(peers.AliveFor+1, "r~1", rows("b"), 3, 2)
	for _, m := range table.Alive(peers.AliveFor + 1) {
		is.True(m.Incarnation != "b~1")
	}
}

// Guards against a daemon that never learns of its relays because they were introduced only
// once, when it could not reach them, and against a daemon that keeps waiting for daemons
// that it can't reach.
func TestReferenceCountsAgainFromTimeToTime(t *testing.T) {
	is := is.New(t)
	table := peers.New(member("a", "1"))
	row := peers.Row{Member: member("b", "1")}
	table.Introduce(0, row)
	table.Reintroduce(peers.IntroductionTTL+1, row)
	is.Equal(liveIDs(table, peers.IntroductionTTL+1), []string{"a"})
	table.Reintroduce(peers.ReintroduceAfter, row)
	is.Equal(liveIDs(table, peers.ReintroduceAfter), []string{"a", "b"})
	is.Equal(liveIDs(table, peers.ReintroduceAfter+peers.IntroductionTTL+1), []string{"a"})
}

// Guards against daemons that elect too many relays because the last roster came from a
// relay that knows few failure domains.
func TestDomainCountIsHighestOfAllRosters(t *testing.T) {
	is := is.New(t)
	table := peers.New(member("a", "1"))
	table.ReceiveRoster(0, "r~1", rows("b"), 119, 6)
	table.ReceiveRoster(1, "mistaken~1", rows("c"), 119, 3)
	is.Equal(table.Domains(1), 6)
	is.Equal(table.Domains(peers.RosterTTL+2), 0)
}
