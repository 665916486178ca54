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
	r, err := site.NewRunner(fmt.Sprintf("i-%d", number))
	if err != nil {
		return err
	}
	r.SetTimeFactor(f.timeFactor(number, starts))
	b := &proxiedRunner{Runner: r, zone: f.runnerZone(number), number: number, starts: starts}
	var isFar func(net.Conn) bool
	if f.with.domains {
		isFar = func(c net.Conn) bool { return f.isFarClient(c, b.zone) }
	}
	if b.proxy, err = newProxy(r.Address, isFar); err != nil {
		return err
	}
	if f.with.surges {
		r.SetSlots(surgeSlots)
	}
	f.mu.Lock()
	f.runners = append(f.runners, b)
	b.proxy.far.set(f.farLinks[b.zone])
	f.mu.Unlock()
	f.announce(b, site.Ready)
	return nil
}

func (f *fleet) announce(b *proxiedRunner, state string) {
	r := site.Registration{Address: b.proxy.address(), State: state, Version: "v1", Zone: b.zone, Starts: b.starts}
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
