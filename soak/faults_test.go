package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/standin/site"
)

// fault is a fault that is injected at a given time after the start of the traffic.
// Several faults can be active at once.
type fault struct {
	at          time.Duration
	description string
	apply       func(f *fleet)
}

// drawFaults returns the faults for a seed. The same seed gives the same faults at the
// same times; the scheduling of the processes between faults is not reproducible.
func drawFaults(seed int64, length time.Duration, daemons int) []fault {
	rng := generator(seed, faultDraws)
	kinds := []func(*rand.Rand, int) fault{
		killOne, killOne, pauseOne, pauseOverRevocation, stopOne, stopOne, killAll, rollingRestart, reloadSettings,
		storeFault, storeFault, storeLink, storeLink, cloudLink, runnerLink, runnerLink,
		runnerFault, runnerFault, runnerFault, drainAndRemove, drainAndRemove, startRunner, rotateKey, rotateKey, newConfigVersion,
	}
	var faults []fault
	at := 300 * time.Millisecond
	for at < length {
		f := kinds[rng.IntN(len(kinds))](rng, daemons)
		f.at = at
		faults = append(faults, f)
		// One fault in three follows the previous one without a gap, so that faults
		// overlap.
		if rng.IntN(3) > 0 {
			at += time.Duration(rng.IntN(900)) * time.Millisecond
		}
	}
	return faults
}

// merge returns two lists of faults in the order of their times.
func merge(a, b []fault) []fault {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(x, y fault) int { return int(x.at - y.at) })
	return all
}

func describe(faults []fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = fmt.Sprintf("%6dms %s", f.at.Milliseconds(), f.description)
	}
	return strings.Join(lines, "\n")
}

func durationBetween(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

func killOne(rng *rand.Rand, daemons int) fault {
	i, down := rng.IntN(daemons), durationBetween(rng, 0, 1500*time.Millisecond)
	return fault{description: fmt.Sprintf("kill %d for %v", i, down), apply: func(f *fleet) { restartAfter(f.daemons[i], f.daemons[i].kill, down) }}
}

func stopOne(rng *rand.Rand, daemons int) fault {
	i, down := rng.IntN(daemons), durationBetween(rng, 0, time.Second)
	return fault{description: fmt.Sprintf("stop %d for %v", i, down), apply: func(f *fleet) { restartAfter(f.daemons[i], f.daemons[i].stop, down) }}
}

// restartAfter ends a process and starts it again. If another fault is already
// restarting the process, restartAfter kills it during that restart and restarts it
// once more afterwards.
func restartAfter(d *daemon, end func(), down time.Duration) {
	if !d.restartMu.TryLock() {
		d.signal(syscall.SIGKILL)
		d.restartMu.Lock()
	}
	defer d.restartMu.Unlock()
	end()
	time.Sleep(down)
	d.start()
}

func killAll(rng *rand.Rand, _ int) fault {
	down := durationBetween(rng, 0, time.Second)
	return fault{description: fmt.Sprintf("kill all for %v", down), apply: func(f *fleet) { f.killAll(down) }}
}

// killAll kills all daemons and starts them again after a while.
func (f *fleet) killAll(down time.Duration) {
	var all sync.WaitGroup
	for _, d := range f.daemons {
		all.Go(func() { restartAfter(d, d.kill, down) })
	}
	all.Wait()
}

func rollingRestart(rng *rand.Rand, _ int) fault {
	gap := durationBetween(rng, 100*time.Millisecond, time.Second)
	return fault{description: fmt.Sprintf("stop each, %v apart", gap), apply: func(f *fleet) {
		var all sync.WaitGroup
		for _, d := range f.daemons {
			all.Go(func() { restartAfter(d, d.stop, 0) })
			time.Sleep(gap)
		}
		all.Wait()
	}}
}

func pauseOne(rng *rand.Rand, daemons int) fault {
	i, span := rng.IntN(daemons), durationBetween(rng, 200*time.Millisecond, 8*time.Second)
	return fault{description: fmt.Sprintf("pause %d for %v", i, span), apply: func(f *fleet) { f.daemons[i].pauseFor(span) }}
}

// pauseOverRevocation revokes a key while a daemon is paused and sends that daemon
// requests with the revoked key after the revocation deadline. When the daemon
// resumes, its configuration is outdated and the new one has not reached it yet.
func pauseOverRevocation(rng *rand.Rand, daemons int) fault {
	i := rng.IntN(daemons)
	return fault{description: fmt.Sprintf("pause %d while a key is taken away", i), apply: func(f *fleet) {
		d := f.daemons[i]
		d.signal(syscall.SIGSTOP)
		old := f.rotateKey()
		time.Sleep(revokeWithin + 100*time.Millisecond)
		address := d.CallerAddress()
		for n := range 8 {
			c := newCaller(f, revokedCallerNumbers+n)
			go c.send(context.Background(), f.attemptLog.add(requestKinds[n%2], old, address))
		}
		time.Sleep(300 * time.Millisecond)
		d.resume()
	}}
}

func reloadSettings(rng *rand.Rand, daemons int) fault {
	i, hup := rng.IntN(daemons), rng.IntN(2) == 0
	return fault{description: fmt.Sprintf("settings of %d, signal %v", i, hup), apply: func(f *fleet) {
		d := f.daemons[i]
		if err := d.writeSettings(f.daemons[0].IP + ":1"); err != nil {
			f.t.Errorf("settings of %s: %v", d.Name(), err)
		}
		if hup {
			d.signal(syscall.SIGHUP)
		}
	}}
}

func storeFault(rng *rand.Rand, _ int) fault {
	faults := []kvserver.Faults{
		{Outage: true}, {DelayMillis: 120}, {DelayMillis: 300, LateEffects: true}, {LoseAnswers: 4}, {LoseAnswers: 2, LoseSilently: true}, {SilentWatches: true},
	}
	s, span := faults[rng.IntN(len(faults))], durationBetween(rng, 300*time.Millisecond, 6*time.Second)
	return fault{description: fmt.Sprintf("store %+v for %v", s, span), apply: func(f *fleet) {
		f.store.KV.SetFaults(s)
		time.Sleep(span)
		f.store.KV.SetFaults(kvserver.Faults{})
	}}
}

var links = []link{delayed, resetting, dropToServer, dropFromServer, blackhole}

func linkFault(rng *rand.Rand, description string, pick func(f *fleet) *proxy) fault {
	l, span := links[rng.IntN(len(links))], durationBetween(rng, 300*time.Millisecond, 6*time.Second)
	return fault{description: fmt.Sprintf("%s %v for %v", description, l, span), apply: func(f *fleet) {
		p := pick(f)
		p.set(l)
		time.Sleep(span)
		p.set(linkUp)
	}}
}

func storeLink(rng *rand.Rand, daemons int) fault {
	i := rng.IntN(daemons)
	return linkFault(rng, fmt.Sprintf("link of %d to the store", i), func(f *fleet) *proxy { return f.daemons[i].storeProxy })
}

func cloudLink(rng *rand.Rand, daemons int) fault {
	i := rng.IntN(daemons)
	return linkFault(rng, fmt.Sprintf("link of %d to the cloud", i), func(f *fleet) *proxy { return f.daemons[i].cloudProxy })
}

func runnerLink(rng *rand.Rand, _ int) fault {
	i := rng.IntN(1000)
	return linkFault(rng, fmt.Sprintf("link to runner %d", i), func(f *fleet) *proxy { return f.runner(i).proxy })
}

func runnerFault(rng *rand.Rand, _ int) fault {
	all := []site.Fault{
		site.DropResponse, site.TruncateBody, site.DuplicateResponse, site.MalformedResponse, site.QueueFull, site.InternalError, site.RespondBeforeBody, site.UnframedBody, site.TruncateStream, site.Hang,
	}
	i, n := rng.IntN(1000), 5+rng.IntN(40)
	var next []site.Fault
	for range n {
		next = append(next, all[rng.IntN(len(all))])
		// Up to two faultless answers follow each fault, so that the gateways keep
		// using the runner.
		next = append(next, make([]site.Fault, rng.IntN(3))...)
	}
	return fault{description: fmt.Sprintf("runner %d: %d faults", i, n), apply: func(f *fleet) { f.runner(i).SetNextFaults(next...) }}
}

func drainAndRemove(rng *rand.Rand, _ int) fault {
	i := rng.IntN(1000)
	return fault{description: fmt.Sprintf("runner %d leaves", i), apply: func(f *fleet) {
		if b := f.removeRunner(i); b != nil {
			f.drainAndRemove(b)
		}
	}}
}

func startRunner(*rand.Rand, int) fault {
	return fault{description: "a runner comes", apply: func(f *fleet) {
		if err := f.addRunner(); err != nil {
			f.t.Errorf("add a runner: %v", err)
		}
	}}
}

func rotateKey(*rand.Rand, int) fault {
	return fault{description: "a key is taken away", apply: func(f *fleet) { f.rotateKey() }}
}

func newConfigVersion(*rand.Rand, int) fault {
	return fault{description: "a new version", apply: (*fleet).configure}
}
