package edge

import (
	"context"
	"time"

	"geraniumstack.org/geraniumstack/coordination/lease"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/daemon/holder"
)

const (
	// dutyName is the name of the single lease that covers all calls to the cloud.
	dutyName = "cloud"
	// dutyInterval is the least time between two runs of the duties.
	dutyInterval = 200 * time.Millisecond
	// callTimeout bounds a call to the cloud, and one to the key-value service on behalf of the
	// duties. The holder's lease is valid for at least that long when a call begins. The timeout
	// allows for a cloud that answers fifty times more slowly than usual.
	callTimeout = 500 * time.Millisecond
	// renewalsPerLease is the number of renewals during the life of a lease, so that one or
	// two may fail.
	renewalsPerLease = 4
	// clockDrift is the fraction by which the rates of two VMs' clocks may differ.
	clockDrift = 0.01
	// rankDelay is multiplied by a daemon's place in the order of IDs to get the time that it
	// waits before it takes over a free lease, so that the daemons don't all write at once.
	rankDelay = 150 * time.Millisecond
)

// duties holds the state of the work that one daemon of the fleet, the holder of the lease,
// does for all: the calls to the cloud, for usage reports and orders of runners, and the decisions
// about trials of software versions.
type duties struct {
	holder *holder.Holder
	usage  usageReportState
	saved  savedCounts
	fleets map[string]*fleetScaler
	// token is the fencing token of the tenure in which usage and fleets were created.
	token uint64
	// wakeup is signalled when it may be time to run the duties.
	wakeup wakeup
}

func (d *duties) init(e *Edge) {
	d.fleets = map[string]*fleetScaler{}
	d.wakeup = newWakeup()
	ttl := e.settings.Bounds.LeaseTTL
	d.holder = holder.New(holder.Options{
		Name:  dutyName,
		Self:  string(e.self),
		Store: e.deps.Store,
		Timing: lease.Timing{
			TTL:             ttl,
			Renew:           ttl / renewalsPerLease,
			MaxOrderLatency: callTimeout,
			MaxPause:        e.settings.Bounds.MaxHolderPause,
			Drift:           clockDrift,
			RetryDelay:      ttl / 10,
			ReadKey:         ttl / 2,
		},
		Clock: e.deps.Steady,
		Changed: func(held bool, token uint64) {
			e.log.Note("duties", decisions.F("held", held), decisions.F("token", token))
		},
	})
}

// runDuties tries to get the lease of the duties and performs the duties while this daemon holds
// it. tickLoop wakes it whenever this daemon is about to send messages, which a follower does
// less often than a relay.
func (e *Edge) runDuties(ctx context.Context) {
	lastRun := -dutyInterval
	for e.duties.wakeup.wait(ctx) {
		now := e.deps.Steady()
		if now-lastRun < dutyInterval {
			continue
		}
		lastRun = now
		_, draining := e.timeSinceDrain()
		e.duties.holder.Tick(ctx, !draining && e.shouldHoldDuties())
		e.saveCounts(ctx)
		if e.duties.holder.Token() != 0 {
			e.performDuties(ctx)
		}
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	e.duties.holder.Stop(stopCtx)
}

// shouldHoldDuties reports whether this daemon should hold the lease of the duties. A holder
// keeps the lease while it is a relay. Another relay takes a lease that has been free for so
// long that every relay before it in the order of IDs would have taken it. The watch of the
// key-value service shows the current holder, so waiting for the lease costs no calls.
//
// Only relays receive all usage counts and all work. A relay that no other relay elects ranks
// itself first and would report its own counts as those of the whole fleet; a daemon that has
// become a follower again no longer receives the counts of others.
func (e *Edge) shouldHoldDuties() bool {
	if e.duties.holder.Token() != 0 {
		return e.relayMode.Load()
	}
	if !e.Ready() {
		return false
	}
	now := e.deps.Steady()
	e.mu.Lock()
	confirmed := e.isConfirmedRelay(now)
	rank, _ := placeAmong(e.settings.ID, e.relayPlan.OtherRelays)
	e.mu.Unlock()
	e.dir.mu.Lock()
	defer e.dir.mu.Unlock()
	return confirmed && e.dir.dutyHolder == "" && e.dir.leaseFreeSince != 0 && now-e.dir.leaseFreeSince >= time.Duration(rank)*rankDelay
}

// performDuties does the work of the lease holder, with new state if the lease was acquired
// anew.
func (e *Edge) performDuties(ctx context.Context) {
	if token := e.duties.holder.Token(); token != e.duties.token {
		e.duties.token = token
		e.duties.usage = usageReportState{}
		clear(e.duties.fleets)
		e.trials.forgetControllers()
	}
	e.reportUsage(ctx)
	e.advanceTrials(ctx)
	t := e.table.Load()
	if t == nil {
		return
	}
	for i := range t.Config().Services {
		s := &t.Config().Services[i]
		if s.Scaling == nil {
			continue
		}
		f, ok := e.duties.fleets[s.Name]
		if !ok {
			f = newFleetScaler(e, s)
			e.duties.fleets[s.Name] = f
		}
		f.service = *s
		f.round(ctx)
	}
}

// permit returns the identity to use for a call to the cloud, or false if no call may start
// now. A service that has come back from a copy may have forgotten a holder that hasn't heard of
// it. That one's lease ends by its own clock, so its successor waits for the duration of a lease
// from when it has read the new history. A daemon that starts doesn't know how old the history is.
func (e *Edge) permit() (DutyLease, bool) {
	token, ok := e.duties.holder.Permit(false)
	formerLease := e.settings.Bounds.LeaseTTL + time.Duration(clockDrift*float64(e.settings.Bounds.LeaseTTL))
	ok = ok && e.dir.inHistoryFor(e.deps.Steady()) >= formerLease
	return DutyLease{Holder: e.settings.ID, Token: token}, ok
}
