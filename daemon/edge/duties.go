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
	// dutyEvery is the least time between two looks at the duties.
	dutyEvery = 200 * time.Millisecond
	// callTimeout bounds a call to the cloud; the holder's own lease has that
	// much left when it begins. It covers a cloud that answers fifty times more
	// slowly than usual.
	callTimeout = 500 * time.Millisecond
	// renewals in a lease's life, so that one or two may fail.
	renewals = 4
	// drift is the share by which clocks may run apart.
	drift = 0.01
	// rankDelay keeps the daemons from all writing for a responsibility that has
	// fallen free: each waits its place in the order of names times this.
	rankDelay = 150 * time.Millisecond
)

// duties are what this daemon does while it holds the responsibility.
type duties struct {
	holder *holder.Holder
	usage  usageDuty
	saved  savedCounts
	fleets map[string]*fleetScaler
	// token of the tenure that the duties were begun in.
	token uint64
	// due is told when it may be time to look at the duties.
	due chan struct{}
}

// wake has the duties looked at, unless that is still going on.
func (d *duties) wake() {
	select {
	case d.due <- struct{}{}:
	default:
	}
}

func (d *duties) init(e *Edge) {
	d.fleets = map[string]*fleetScaler{}
	d.due = make(chan struct{}, 1)
	ttl := e.settings.Bounds.LeaseTTL
	d.holder = holder.New(holder.Options{
		Name:  dutyName,
		Self:  string(e.self),
		Store: e.deps.Store,
		Timing: lease.Timing{
			TTL:      ttl,
			Renew:    ttl / renewals,
			MaxOrder: callTimeout,
			MaxPause: e.settings.Bounds.FreezeSlack,
			Drift:    drift,
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
	looked := -dutyEvery
	for {
		select {
		case <-e.duties.due:
			now := e.deps.Steady()
			if now-looked < dutyEvery {
				continue
			}
			looked = now
		case <-ctx.Done():
			stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			e.duties.holder.Stop(stopCtx)
			cancel()
			return
		}
		_, draining := e.timeSinceDrain()
		e.duties.holder.Tick(ctx, !draining && e.candidate())
		e.saveCounts(ctx)
		if e.duties.holder.Token() != 0 {
			e.perform(ctx)
		}
	}
}

// candidate tells whether this daemon should hold the duties: it does already, or
// they have been free for long enough that those before it in the order of names
// would have taken them. The watch tells who holds them, so standing by costs no
// call.
//
// Only relays hear all counts of usage and all work. One that no other counts takes itself
// for the first in the order, and would report its own counts as all; one that follows
// again hears those of others no more.
func (e *Edge) candidate() bool {
	if e.duties.holder.Token() != 0 {
		return e.relayMode.Load()
	}
	if !e.Ready() {
		return false
	}
	now := e.deps.Steady()
	e.mu.Lock()
	shares := e.shares(now)
	rank, _ := placeAmong(e.settings.ID, e.relayPlan.Others)
	e.mu.Unlock()
	e.dir.mu.Lock()
	defer e.dir.mu.Unlock()
	return shares && e.dir.dutyHolder == "" && e.dir.dutyFreeSince != 0 && now-e.dir.dutyFreeSince >= time.Duration(rank)*rankDelay
}

// perform does the duties of the present tenure.
func (e *Edge) perform(ctx context.Context) {
	if token := e.duties.holder.Token(); token != e.duties.token {
		e.duties.token = token
		e.duties.usage = usageDuty{}
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

// permit returns on whose behalf a call may go out right now; false if none may.
func (e *Edge) permit() (DutyLease, bool) {
	token, ok := e.duties.holder.Permit(false)
	return DutyLease{Holder: e.settings.ID, Token: token}, ok
}
