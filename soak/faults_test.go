package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"geraniumstack.org/geraniumstack/standin/kvserver"
	"geraniumstack.org/geraniumstack/standin/site"
)

// fault is one thing that is done to the fleet at a time after the start of traffic.
// Several go on at once.
type fault struct {
	at   time.Duration
	what string
	do   func(f *fleet)
}

// plan draws the faults of a seed. The same seed gives the same faults at the same
// times; what the processes do between them is theirs.
func plan(seed int64, length time.Duration, daemons int) []fault {
	rng := rand.New(rand.NewPCG(uint64(seed), 7))
	kinds := []func(*rand.Rand, int) fault{
		killOne, killOne, pauseOne, pauseOverRevocation, stopOne, stopOne, killAll, rolling, reload,
		storeFault, storeFault, storeLink, storeLink, cloudLink, runnerLink, runnerLink,
		runnerFault, runnerFault, runnerFault, leave, leave, arrive, rotate, rotate, newVersion,
	}
	var faults []fault
	at := 300 * time.Millisecond
	for at < length {
		f := kinds[rng.IntN(len(kinds))](rng, daemons)
		f.at = at
		faults = append(faults, f)
		// Often at once, so that they overlap and come in series.
		if rng.IntN(3) > 0 {
			at += time.Duration(rng.IntN(900)) * time.Millisecond
		}
	}
	return faults
}

func describe(faults []fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = fmt.Sprintf("%6dms %s", f.at.Milliseconds(), f.what)
	}
	return strings.Join(lines, "\n")
}

func upTo(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

func killOne(rng *rand.Rand, daemons int) fault {
	i, down := rng.IntN(daemons), upTo(rng, 0, 1500*time.Millisecond)
	return fault{what: fmt.Sprintf("kill %d for %v", i, down), do: func(f *fleet) { restartAfter(f.daemons[i], f.daemons[i].kill, down) }}
}

func stopOne(rng *rand.Rand, daemons int) fault {
	i, down := rng.IntN(daemons), upTo(rng, 0, time.Second)
	return fault{what: fmt.Sprintf("stop %d for %v", i, down), do: func(f *fleet) { restartAfter(f.daemons[i], f.daemons[i].stop, down) }}
}

// restartAfter ends a process and starts it again. Where another fault is at that, the
// process is killed in the middle of it, and ended once more afterwards.
func restartAfter(d *daemon, end func(), down time.Duration) {
	if !d.restarting.TryLock() {
		d.signal(syscall.SIGKILL)
		d.restarting.Lock()
	}
	defer d.restarting.Unlock()
	end()
	time.Sleep(down)
	d.start()
}

func killAll(rng *rand.Rand, _ int) fault {
	down := upTo(rng, 0, time.Second)
	return fault{what: fmt.Sprintf("kill all for %v", down), do: func(f *fleet) {
		var all sync.WaitGroup
		for _, d := range f.daemons {
			all.Go(func() { restartAfter(d, d.kill, down) })
		}
		all.Wait()
	}}
}

func rolling(rng *rand.Rand, _ int) fault {
	gap := upTo(rng, 100*time.Millisecond, time.Second)
	return fault{what: fmt.Sprintf("stop each, %v apart", gap), do: func(f *fleet) {
		var all sync.WaitGroup
		for _, d := range f.daemons {
			all.Go(func() { restartAfter(d, d.stop, 0) })
			time.Sleep(gap)
		}
		all.Wait()
	}}
}

func pauseOne(rng *rand.Rand, daemons int) fault {
	i, span := rng.IntN(daemons), upTo(rng, 200*time.Millisecond, 8*time.Second)
	return fault{what: fmt.Sprintf("pause %d for %v", i, span), do: func(f *fleet) {
		d := f.daemons[i]
		d.signal(syscall.SIGSTOP)
		time.Sleep(span)
		d.thaw()
	}}
}

// pauseOverRevocation takes a key away while a daemon is paused, and asks that daemon
// with the key later than any daemon may still accept it: when it goes on, what it
// believes is too old, and nobody has told it yet.
func pauseOverRevocation(rng *rand.Rand, daemons int) fault {
	i := rng.IntN(daemons)
	return fault{what: fmt.Sprintf("pause %d while a key is taken away", i), do: func(f *fleet) {
		d := f.daemons[i]
		d.signal(syscall.SIGSTOP)
		old := f.rotate()
		time.Sleep(revokeWithin + 100*time.Millisecond)
		address := d.CallerAddress()
		for n := range 8 {
			c := newCaller(f, f.record, f.seed, 1000+n)
			go c.ask(context.Background(), f.record.next(f.seed, requestKinds[n%2], old, address))
		}
		time.Sleep(300 * time.Millisecond)
		d.thaw()
	}}
}

func reload(rng *rand.Rand, daemons int) fault {
	i, hup := rng.IntN(daemons), rng.IntN(2) == 0
	return fault{what: fmt.Sprintf("settings of %d, signal %v", i, hup), do: func(f *fleet) {
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
	s, span := faults[rng.IntN(len(faults))], upTo(rng, 300*time.Millisecond, 6*time.Second)
	return fault{what: fmt.Sprintf("store %+v for %v", s, span), do: func(f *fleet) {
		f.store.KV.SetFaults(s)
		time.Sleep(span)
		f.store.KV.SetFaults(kvserver.Faults{})
	}}
}

var links = []link{delayed, resetting, deaf, mute, silent}

func throughLink(rng *rand.Rand, what string, pick func(f *fleet) *proxy) fault {
	l, span := links[rng.IntN(len(links))], upTo(rng, 300*time.Millisecond, 6*time.Second)
	return fault{what: fmt.Sprintf("%s %v for %v", what, l, span), do: func(f *fleet) {
		p := pick(f)
		p.set(l)
		time.Sleep(span)
		p.set(whole)
	}}
}

func storeLink(rng *rand.Rand, daemons int) fault {
	i := rng.IntN(daemons)
	return throughLink(rng, fmt.Sprintf("link of %d to the store", i), func(f *fleet) *proxy { return f.daemons[i].storeProxy })
}

func cloudLink(rng *rand.Rand, daemons int) fault {
	i := rng.IntN(daemons)
	return throughLink(rng, fmt.Sprintf("link of %d to the cloud", i), func(f *fleet) *proxy { return f.daemons[i].cloudProxy })
}

func runnerLink(rng *rand.Rand, _ int) fault {
	i := rng.IntN(1000)
	return throughLink(rng, fmt.Sprintf("link to runner %d", i), func(f *fleet) *proxy { return f.runner(i).proxy })
}

func runnerFault(rng *rand.Rand, _ int) fault {
	all := []site.Fault{
		site.DropResponse, site.TruncateBody, site.DuplicateResponse, site.MalformedResponse, site.QueueFull, site.InternalError, site.RespondBeforeBody, site.UnframedBody, site.TruncateStream, site.Hang,
	}
	i, n := rng.IntN(1000), 5+rng.IntN(40)
	var next []site.Fault
	for range n {
		next = append(next, all[rng.IntN(len(all))])
		// Between them the runner answers well now and then, and stays in use.
		next = append(next, make([]site.Fault, rng.IntN(3))...)
	}
	return fault{what: fmt.Sprintf("runner %d: %d faults", i, n), do: func(f *fleet) { f.runner(i).SetNextFaults(next...) }}
}

func leave(rng *rand.Rand, _ int) fault {
	i := rng.IntN(1000)
	return fault{what: fmt.Sprintf("runner %d leaves", i), do: func(f *fleet) {
		if b := f.takeRunner(i); b != nil {
			f.leave(b)
		}
	}}
}

func arrive(*rand.Rand, int) fault {
	return fault{what: "a runner comes", do: func(f *fleet) {
		if err := f.addRunner(); err != nil {
			f.t.Errorf("add a runner: %v", err)
		}
	}}
}

func rotate(*rand.Rand, int) fault {
	return fault{what: "a key is taken away", do: func(f *fleet) { f.rotate() }}
}

func newVersion(*rand.Rand, int) fault {
	return fault{what: "a new version", do: (*fleet).configure}
}
