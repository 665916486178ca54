package soak_test

import (
	"fmt"
	"net"
	"slices"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

// proxiedRunner is a runner that daemons reach through a proxy.
type proxiedRunner struct {
	*site.Runner
	proxy *proxy
	zone  string
	// number and starts identify the runner; starts counts the former runners of its name.
	number, starts int
	// ended is the time since which the runner has ended, silent are its silences.
	ended, silent periods
}

// allRunners lists the runners, also those that have ended.
func (f *fleet) allRunners() []*proxiedRunner {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.allRunnersLocked()
}

func (f *fleet) allRunnersLocked() []*proxiedRunner {
	return slices.Concat(f.runners, f.removedRunners)
}

func (f *fleet) addRunner() error {
	f.mu.Lock()
	number := len(f.runners) + len(f.removedRunners) + 1
	f.mu.Unlock()
	return f.startRunner(number, 0)
}

// startRunner starts the runner of a number after a number of former ones of the same name.
func (f *fleet) startRunner(number, starts int) error {
	b, err := f.newRunner(number, starts)
	if err != nil {
		return err
	}
	var isFar func(net.Conn) bool
	if f.with.domains {
		isFar = func(c net.Conn) bool { return f.isFarClient(c, b.zone) }
	}
	if b.proxy, err = newProxy(b.Address, isFar); err != nil {
		return err
	}
	f.mu.Lock()
	f.runners = append(f.runners, b)
	b.proxy.far.set(f.farLinks[b.zone])
	f.mu.Unlock()
	f.announce(b, site.Ready)
	return nil
}

// newRunner starts a runner without a proxy.
func (f *fleet) newRunner(number, starts int) (*proxiedRunner, error) {
	r, err := site.NewRunner(fmt.Sprintf("i-%d", number))
	if err != nil {
		return nil, err
	}
	r.SetTimeFactor(f.timeFactor(number, starts))
	if f.with.surges {
		r.SetSlots(surgeSlots)
	}
	b := &proxiedRunner{Runner: r, zone: f.runnerZone(number), number: number, starts: starts}
	if f.with.upgrades {
		r.SetEventData(b.version())
		r.SetReport(b.registration().Report())
	}
	return b, nil
}

// version returns the runner's software version, which changes with each start under its name.
func (r *proxiedRunner) version() string { return fmt.Sprintf("v%d", 1+r.starts%2) }

func (r *proxiedRunner) registration() site.Registration {
	return site.Registration{Version: r.version(), Zone: r.zone, Starts: r.starts, Stage: "both"}
}

func (f *fleet) announce(b *proxiedRunner, state string) {
	r := site.Registration{Version: "v1", Zone: b.zone, Starts: b.starts}
	if f.with.upgrades {
		r = b.registration()
	}
	r.Address, r.State = b.proxy.address(), state
	if f.with.surges {
		r.Slots = surgeSlots
	}
	f.retryUntilAccepted(func() error { return f.store.Register(b.ID, r) })
}

// end ends a runner as a crash does.
func (r *proxiedRunner) end() {
	r.ended.begin()
	r.Close()
	r.proxy.set(resetting)
}

// drainAndRemove announces that a runner drains, keeps it serving for 3 s, and then
// removes it.
func (f *fleet) drainAndRemove(b *proxiedRunner) {
	f.announce(b, site.Draining)
	time.Sleep(3 * time.Second)
	f.retryUntilAccepted(func() error { return f.store.DeregisterRunner(b.ID) })
	b.end()
}

// removeRunner takes a runner out of the set that faults choose from. It returns nil
// if only two runners are left.
func (f *fleet) removeRunner(pick int) *proxiedRunner {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.runners) <= 2 {
		return nil
	}
	i := pick % len(f.runners)
	b := f.runners[i]
	f.runners = append(f.runners[:i:i], f.runners[i+1:]...)
	f.removedRunners = append(f.removedRunners, b)
	return b
}

func (f *fleet) runner(pick int) *proxiedRunner {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runners[pick%len(f.runners)]
}
