package edge

import (
	"context"
	"time"

	"geraniumstack.org/geraniumstack/coordination/lease"
	"geraniumstack.org/geraniumstack/daemon/decisions"
	"geraniumstack.org/geraniumstack/daemon/holder"
)

const (
	// dutyName is the one responsibility that covers all calls to the cloud.
	dutyName = "cloud"
	// dutyInterval is the least time between two looks at the duties.
	dutyInterval = 200 * time.Millisecond
	// callTimeout bounds a call to the cloud; the holder's own lease has that
	// much left when it begins. It covers a cloud that answers fifty times more
	// slowly than usual.
	callTimeout = 500 * time.Millisecond
	// renewalsPerLease in a lease's life, so that one or two may fail.
	renewalsPerLease = 4
	// clockDrift is the share by which clocks may run apart.
	clockDrift = 0.01
	// rankDelay keeps the daemons from all writing for a responsibility that has
	// fallen free: each waits its place in the order of names times this.
	rankDelay = 150 * time.Millisecond
)

// duties are what this daemon does while it holds the responsibility.
type duties struct {
	holder *holder.Holder
	usage  usageReportState
	saved  savedCounts
	fleets map[string]*fleetDuty
	// tenureToken of the tenure that the duties were begun in.
	tenureToken uint64
	// wakeup is told when it may be time to look at the duties.
	wakeup chan struct{}
}

// wake has the duties looked at, unless that is still going on.
func (d *duties) wake() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

func (d *duties) init(e *Edge) {
	d.fleets = map[string]*fleetDuty{}
	d.wakeup = make(chan struct{}, 1)
	ttl := e.set.Bounds.LeaseTTL
	d.holder = holder.New(holder.Options{
		Name:  dutyName,
		Self:  string(e.self),
		Store: e.deps.Store,
		Timing: lease.Timing{
			TTL:      ttl,
			Renew:    ttl / renewalsPerLease,
			MaxOrder: callTimeout,
			MaxPause: e.set.Bounds.FreezeSlack,
			Drift:    clockDrift,
			Retry:    ttl / 10,
			Look:     ttl / 2,
		},
		Clock: e.deps.Steady,
		Changed: func(held bool, token uint64) {
			e.log.Note("duties", decisions.F("held", held), decisions.F("token", token))
		},
	})
}

// runDuties stands for the responsibility and does what it asks for. It looks when tickLoop
// does, so a daemon that is no candidate looks less often.
func (e *Edge) runDuties(ctx context.Context) {
	lastRun := -dutyInterval
	for {
		select {
		case <-e.duties.wakeup:
			now := e.deps.Steady()
			if now-lastRun < dutyInterval {
				continue
			}
			lastRun = now
		case <-ctx.Done():
			stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			e.duties.holder.Stop(stopCtx)
			cancel()
			return
		}
		_, draining := e.drainedFor()
		e.duties.holder.Tick(ctx, !draining && e.shouldHoldDuties())
		e.saveCounts(ctx)
		if e.duties.holder.Token() != 0 {
			e.performDuties(ctx)
		}
	}
}

// shouldHoldDuties tells whether this daemon should hold the duties: it does already, or
// they have been free for long enough that those before it in the order of names
// would have taken them. The watch tells who holds them, so standing by costs no
// call.
//
// Only relays hear all counts of usage and all work. One that no other counts takes itself
// for the first in the order, and would report its own counts as all; one that follows
// again hears those of others no more.
func (e *Edge) shouldHoldDuties() bool {
	if e.duties.holder.Token() != 0 {
		return e.relaying.Load()
	}
	if !e.Ready() {
		return false
	}
	now := e.deps.Steady()
	e.mu.Lock()
	shares := e.sharesQuotas(now)
	rank, _ := placeAmong(e.set.ID, e.plan.OtherRelays)
	e.mu.Unlock()
	e.dir.mu.Lock()
	defer e.dir.mu.Unlock()
	return shares && e.dir.dutyHolder == "" && e.dir.dutyFree != 0 && now-e.dir.dutyFree >= time.Duration(rank)*rankDelay
}

// performDuties does the duties of the present tenure.
func (e *Edge) performDuties(ctx context.Context) {
	if token := e.duties.holder.Token(); token != e.duties.tenureToken {
		e.duties.tenureToken = token
		e.duties.usage = usageReportState{}
		clear(e.duties.fleets)
		e.trials.forgetDuties()
	}
	e.reportUsage(ctx)
	e.decideTrials(ctx)
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
			f = newFleetDuty(e, s)
			e.duties.fleets[s.Name] = f
		}
		f.service = *s
		f.round(ctx)
	}
}

// permit returns on whose behalf a call may go out right now; false if none may.
func (e *Edge) permit() (Duty, bool) {
	token, ok := e.duties.holder.Permit(false)
	return Duty{Holder: e.set.ID, Token: token}, ok
}
