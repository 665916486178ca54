package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/coordination/membership"
	"geraniumstack.org/geraniumstack/coordination/view"
	_ "geraniumstack.org/geraniumstack/internal/fixedseed"
	"geraniumstack.org/geraniumstack/state/ident"
)

func member(i, startCount int) membership.Member {
	id := ident.DaemonID(fmt.Sprintf("entry-%d", i))
	return membership.Member{Daemon: view.Daemon{
		ID: id, Incarnation: ident.NewIncarnation(id, []byte{byte(startCount)}), FailureDomain: "lima-norte",
		CallerAddress: fmt.Sprintf("10.0.0.%d:8000", i), PeerAddress: fmt.Sprintf("10.0.0.%d:7000", i),
	}}
}

// cluster is a set of daemons' tables and the messages in flight between them.
type cluster struct {
	now    time.Time
	tables []*membership.Table
	// leaving holds, for each table, the incarnations that it has marked as leaving.
	leaving  []map[ident.Incarnation]view.State
	inFlight []delivery
}

type delivery struct {
	to int
	membership.Message
}

func newCluster(n int) *cluster {
	g := &cluster{now: time.Unix(100000, 0)}
	for i := range n {
		g.tables = append(g.tables, membership.New(g.now, member(i, 1)))
		g.leaving = append(g.leaving, map[ident.Incarnation]view.State{})
	}
	return g
}

func (g *cluster) incarnation(i int) ident.Incarnation { return g.tables[i].Self().Incarnation }

// drawPair draws two different daemons.
func (g *cluster) drawPair(t *rapid.T) (int, int) {
	a := rapid.IntRange(0, len(g.tables)-1).Draw(t, "a")
	b := rapid.IntRange(0, len(g.tables)-2).Draw(t, "b")
	if b >= a {
		b++
	}
	return a, b
}

func (g *cluster) exchange(a, b int) {
	askedAt := g.now
	g.tables[b].Receive(g.now, g.tables[a].Compose(g.incarnation(b)))
	g.tables[a].ReceiveAnswer(g.now, askedAt, g.tables[b].Compose(g.incarnation(a)))
}

func (g *cluster) send(t *rapid.T) {
	a, b := g.drawPair(t)
	g.inFlight = append(g.inFlight, delivery{b, g.tables[a].Compose(g.incarnation(b))})
}

// deliverOrLose delivers or loses a random message in flight.
func (g *cluster) deliverOrLose(t *rapid.T) {
	if len(g.inFlight) == 0 {
		t.Skip("no message is in flight")
	}
	i := rapid.IntRange(0, len(g.inFlight)-1).Draw(t, "message")
	d := g.inFlight[i]
	g.inFlight = append(g.inFlight[:i], g.inFlight[i+1:]...)
	if rapid.Bool().Draw(t, "arrives") {
		g.tables[d.to].Receive(g.now, d.Message)
	}
}

func (g *cluster) suspect(t *rapid.T) {
	a, b := g.drawPair(t)
	for range membership.ProbeFailures {
		g.tables[a].ProbeFailed(g.incarnation(b))
	}
	g.tables[a].MarkUnreachable(g.now, g.incarnation(b))
}

func (g *cluster) tick(t *rapid.T) {
	g.now = g.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
	for _, table := range g.tables {
		table.Tick(g.now)
	}
}

func (g *cluster) notice(t *rapid.T) {
	a, b := g.drawPair(t)
	if b == 0 {
		t.Skip("entry-0 never leaves")
	}
	g.tables[a].ApplyNotice(g.now, membership.Notice{
		VM: fmt.Sprintf("vm-%d", b), Address: fmt.Sprintf("10.0.0.%d", b), TimeLeft: time.Hour,
	})
}

func (g *cluster) check(t *rapid.T) {
	for i, table := range g.tables {
		states := map[ident.Incarnation]view.State{}
		for _, m := range table.Members() {
			states[m.Incarnation] = m.State
		}
		for incarnation := range g.leaving[i] {
			if s, listed := states[incarnation]; listed && s != view.Leaving {
				t.Fatalf("daemon %d changed the state of %s from leaving back to %s", i, incarnation, s)
			}
		}
		for incarnation, s := range states {
			if s == view.Leaving {
				g.leaving[i][incarnation] = s
			}
		}
		if self := table.Self().State; self != view.Live && self != view.Leaving {
			t.Fatalf("daemon %d reports its own state as %s", i, self)
		}
	}
}

// Messages are lost, repeated and reordered, daemons suspect each other without cause, and
// notices arrive at any daemon. If the tables did not converge, daemons would go on using a
// VM that is about to end, or never again use a healthy one.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newCluster(rapid.IntRange(2, 5).Draw(t, "daemons"))
		t.Repeat(map[string]func(*rapid.T){
			"send": g.send, "deliver": g.deliverOrLose, "suspect": g.suspect,
			"tick": g.tick, "notice": g.notice, "": g.check,
		})
		g.checkConvergence(t)
	})
}

func (g *cluster) checkConvergence(t *rapid.T) {
	for range 6 {
		g.now = g.now.Add(time.Second)
		for a := range g.tables {
			for b := range g.tables {
				if a != b {
					g.exchange(a, b)
				}
			}
		}
	}
	g.check(t)
	for i, table := range g.tables {
		if table.Digest() != g.tables[0].Digest() {
			t.Fatalf("the table of daemon %d still differs from that of daemon 0:\n%v\n%v", i, table.Members(), g.tables[0].Members())
		}
		for _, m := range table.Members() {
			if m.State == view.Suspect {
				t.Fatalf("daemon %d still suspects %s, although it answers", i, m.Incarnation)
			}
		}
	}
}

// A notice is read late, when a new VM has already taken over the address that it names.
// The new daemon must not be drained in place of its predecessor.
func TestLateNoticeIgnoresReplacementVM(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100000, 0)
	self := member(0, 1)
	self.VM = "vm-new"
	table := membership.New(now, self)
	is.True(!table.ApplyNotice(now, membership.Notice{VM: "vm-old", Address: "10.0.0.0", TimeLeft: time.Minute}))
	is.Equal(table.Self().State, view.Live)

	// A daemon that doesn't know its own VM ID is matched by its address, but only until
	// the time of the notice is over.
	table = membership.New(now, member(0, 1))
	is.True(!table.ApplyNotice(now, membership.Notice{VM: "vm-old", Address: "10.0.0.0", TimeLeft: -time.Second}))
	is.True(table.ApplyNotice(now, membership.Notice{VM: "vm-0", Address: "10.0.0.0", TimeLeft: time.Minute}))
	is.Equal(table.Self().State, view.Leaving)
}

// The VM list lags: it shows a VM as live after its notice, or the notice arrives before
// the VM is listed at all. In both cases the VM must not get new work.
func TestListDoesNotUndoNotice(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100000, 0)
	table := membership.New(now, member(0, 1))
	listed := []membership.VM{{ID: "vm-1", Address: "10.1.0.1:9000", Service: "casos", State: membership.VMLive}}
	table.ApplyNotice(now, membership.Notice{VM: "vm-1", Address: "10.1.0.1", TimeLeft: 30 * time.Second})
	is.Equal(len(table.Runners("casos")), 0)
	table.ApplyVMList(now.Add(time.Second), listed)
	runners := table.Runners("casos")
	is.Equal(len(runners), 1)
	is.Equal(runners[0].State, view.Leaving)
	is.Equal(runners[0].LeavesAt, now.Add(30*time.Second))

	// A second VM at the same address is not affected by the notice.
	listed = append(listed, membership.VM{ID: "vm-2", Address: "10.1.0.1:9000", Service: "casos", State: membership.VMLive})
	table.ApplyVMList(now.Add(2*time.Second), listed)
	is.Equal(table.Runners("casos")[1].State, view.Live)

	// One list without the VM is not enough; after two in a row the VM is gone.
	table.ApplyVMList(now.Add(3*time.Second), listed[1:])
	is.Equal(len(table.Runners("casos")), 2)
	table.ApplyVMList(now.Add(4*time.Second), listed[1:])
	is.Equal(len(table.Runners("casos")), 1)
}

// The duty of reading the VM list moves between daemons, so the daemon that reads it now
// may know a VM only from its peers. If it counted only VMs that had been on a list of its
// own, a VM that is long gone would get work until this daemon reads the list again.
func TestVMKnownFromPeersIsGoneAfterTwoLists(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100000, 0)
	table, other := membership.New(now, member(0, 1)), membership.New(now, member(1, 1))
	other.ApplyVMList(now, []membership.VM{{ID: "vm-1", Service: "casos", State: membership.VMLive}})
	table.Receive(now, other.Compose(table.Self().Incarnation))
	is.Equal(len(table.Runners("casos")), 1)
	is.True(!table.ApplyVMList(now.Add(time.Second), nil)) // the list of table may lag behind the list of other
	is.True(table.ApplyVMList(now.Add(3*time.Minute), nil))
	is.Equal(len(table.Runners("casos")), 1)
	is.True(!table.ApplyVMList(now.Add(4*time.Minute), nil))
	is.Equal(len(table.Runners("casos")), 0)
}

// An answer of the former incarnation arrives after the new one is known. If the answer
// counted as evidence against the new incarnation, a healthy daemon would be marked as gone
// for good.
func TestDelayedAnswerKeepsNewIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100000, 0)
	table := membership.New(now, member(0, 1))
	former := membership.New(now, member(1, 1))
	replacement := membership.New(now, member(1, 2))
	askedAt := now.Add(time.Second)
	answer := former.Compose(table.Self().Incarnation)
	table.Receive(now.Add(1100*time.Millisecond), replacement.Compose(table.Self().Incarnation))
	table.ReceiveAnswer(now.Add(1200*time.Millisecond), askedAt, answer)
	is.Equal(len(table.Members()), 3)
	table.ReceiveAnswer(now.Add(3*time.Second), now.Add(2*time.Second), replacement.Compose(table.Self().Incarnation))
	is.Equal(len(table.Members()), 2)
}

func TestOldRecordsAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100000, 0)
	table := membership.New(now, member(0, 1))
	other := membership.New(now, member(1, 1))
	table.Receive(now, other.Compose(table.Self().Incarnation))
	for range membership.ProbeFailures {
		table.ProbeFailed(other.Self().Incarnation)
	}
	table.MarkUnreachable(now, other.Self().Incarnation)
	is.Equal(len(table.Members()), 2)
	table.Tick(now.Add(membership.ForgetAfter + time.Second))
	is.Equal(len(table.Members()), 1)
	is.Equal(table.Size(), 1)
}

func TestGatewaysPreferTheCallersDomain(t *testing.T) {
	is := is.New(t)
	var daemons []view.Daemon
	for i := range 40 {
		d := member(i, 1).Daemon
		d.State = view.Live
		if i >= 20 {
			d.FailureDomain = "lima-sur"
		}
		daemons = append(daemons, d)
	}
	daemons[3].State = view.Leaving
	daemons[4].State = view.Suspect
	for seed := range uint64(50) {
		gateways := membership.Gateways(daemons, "lima-norte", seed)
		is.Equal(len(gateways), membership.MaxGateways)
		sameDomain := 0
		for _, g := range gateways {
			is.True(g.Address != daemons[3].CallerAddress && g.Address != daemons[4].CallerAddress)
			if g.FailureDomain == "lima-norte" {
				sameDomain++
			}
		}
		is.Equal(sameDomain, 12)
		is.Equal(gateways[0].FailureDomain, ident.FailureDomain("lima-norte"))
	}
	is.Equal(len(membership.Gateways(daemons[3:5], "lima-norte", 1)), 1) // a suspect gateway is better than none
	is.Equal(len(membership.Gateways(daemons[3:4], "lima-norte", 1)), 0)
}

// A daemon becomes suspect just after it connected to a peer that has thousands of records
// to send. It must learn of the suspicion before those records, or it would stay out of
// service until it has received them all.
func TestSuspicionIsSentBeforeBacklog(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100000, 0)
	table, other := membership.New(now, member(0, 1)), membership.New(now, member(1, 1))
	var vms []membership.VM
	for i := range 3 * membership.MaxChanges {
		vms = append(vms, membership.VM{ID: fmt.Sprintf("vm-%d", i), Service: "casos", State: membership.VMLive})
	}
	table.ApplyVMList(now, vms)
	table.Receive(now, other.Compose(table.Self().Incarnation))
	for range membership.ProbeFailures {
		table.ProbeFailed(other.Self().Incarnation)
	}
	table.MarkUnreachable(now, other.Self().Incarnation)
	message := table.Compose(other.Self().Incarnation)
	is.True(len(message.Changes) <= membership.MaxChanges+1)
	other.Receive(now, message)
	is.Equal(int(other.Refuted()), 1)
	table.Receive(now, other.Compose(table.Self().Incarnation))
	is.Equal(table.Members()[1].State, view.Live)
}
