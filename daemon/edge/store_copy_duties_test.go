package edge_test

import (
	"testing"
	"time"
)

// Guards against two holders of the duties, against fencing tokens that go back, and against a window that is reported
// with two counts, after the store has lost what its daemons wrote.
func TestDutiesAfterReturnFromCopy(t *testing.T) {
	for name, c := range map[string]dutyCase{
		"no_holder_in_copy":            {age: 9 * time.Second},
		"no_holder_in_copy_cut_off":    {age: 9 * time.Second, cutOff: true},
		"no_holder_in_copy_holder_end": {age: 9 * time.Second, holderEnds: true},
		"young_copy":                   {age: 500 * time.Millisecond, every: true},
		"young_copy_cut_off":           {age: 500 * time.Millisecond, every: true, cutOff: true},
		"old_copy":                     {age: 7 * time.Second, every: true},
		"old_copy_cut_off":             {age: 7 * time.Second, every: true, cutOff: true},
		"old_copy_holder_end":          {age: 7 * time.Second, every: true, holderEnds: true},
	} {
		t.Run(name, func(t *testing.T) { checkDutiesAfterReturn(t, c) })
	}
}

// dutyCase describes the returns of the store from a copy of an age: one, of a copy in which there was no holder, or
// several. At the return the holder ends, or is cut off from the store for a while.
type dutyCase struct {
	age                       time.Duration
	every, cutOff, holderEnds bool
}

func checkDutiesAfterReturn(t *testing.T, c dutyCase) {
	withFleet(t, 0, config(1), func(w *testFleet) {
		copied := w.store.Copy()
		for range 4 {
			w.addDaemon()
		}
		w.addRunner("r1", "app")
		returns := 1
		if c.every {
			w.watchDuties(6 * time.Second)
			returns = 4
		}
		for range returns {
			if c.every {
				copied = w.store.Copy()
			}
			w.watchDuties(c.age)
			holder := w.dutyHolder()
			w.store.Restore(copied)
			w.configure(config(1))
			w.put(runnerPrefix+"r1", runnerEntry("r1", "r1"))
			switch {
			case c.holderEnds && holder != nil:
				i := w.indexOf(holder)
				holder.kill()
				w.watchDuties(time.Second)
				w.restart(i)
			case c.cutOff && holder != nil:
				holder.store.setFaults(true, false)
				w.watchDuties(5 * time.Second)
				holder.store.setFaults(false, false)
			}
			w.watchDuties(6 * time.Second)
		}
		w.watchDuties(6 * time.Second)
		due := w.served
		// A window of 5 s is due 10 s after its end at the latest.
		w.watchDuties(15 * time.Second)
		reported := w.checkReports()
		t.Logf("%d windows with %d requests reported in %v, %d requests served", len(reported), w.totalReported(), time.Since(w.start), w.served)
		w.True(len(reported) >= int(time.Since(w.start)/(5*time.Second))-4)
		const usageTolerance = 0.05
		w.True(w.totalReported() <= w.served)
		w.True(float64(w.totalReported()) >= (1-usageTolerance)*float64(due))
	})
}

// watchDuties sends requests to the running daemons for some time, and checks that at most one daemon at a time may
// perform the duties, with a fencing token that never goes back.
func (w *testFleet) watchDuties(span time.Duration) {
	for start := time.Now(); time.Since(start) < span; time.Sleep(50 * time.Millisecond) {
		actors := 0
		for _, d := range w.daemons {
			if !d.isRunning() {
				continue
			}
			if w.ask(d, "/read/1", key).status == 200 {
				w.served++
			}
			if token, ok := d.MayAct(); ok {
				actors++
				w.True(token >= w.lastToken)
				w.lastToken = max(w.lastToken, token)
			}
		}
		w.True(actors <= 1)
	}
}

// dutyHolder returns the running daemon that holds the duties, nil if none does.
func (w *testFleet) dutyHolder() *daemon {
	for _, d := range w.daemons {
		if d.isRunning() && d.HoldsDuties() {
			return d
		}
	}
	return nil
}

func (d *daemon) isRunning() bool {
	select {
	case <-d.done:
		return false
	default:
		return true
	}
}

func (w *testFleet) indexOf(d *daemon) int {
	for i := range w.daemons {
		if w.daemons[i] == d {
			return i
		}
	}
	w.t.Fatal("no such daemon")
	return 0
}

// Guards against a window that another holder reports again with other counts: the store has lost the note of the first
// report, and the counts of a daemon that was cut off have arrived since.
func TestWindowIsReportedOnceAfterReturn(t *testing.T) {
	withFleet(t, 4, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		w.watchDuties(12 * time.Second)
		holder := w.dutyHolder()
		late := w.daemons[(w.indexOf(holder)+1)%len(w.daemons)]
		w.network.isolate(late.address, true)
		copied := w.store.Copy()
		before := len(w.cloud.received())
		for len(w.cloud.received()) < before+2 {
			w.watchDuties(100 * time.Millisecond)
		}
		w.network.isolate(late.address, false)
		w.watchDuties(300 * time.Millisecond)
		holder.kill()
		w.store.Restore(copied)
		w.watchDuties(15 * time.Second)
		w.checkReports()
	})
}

// Guards against two holders of the duties, and against fencing tokens that go back, when all daemons are lost together
// with what the store held: none of them knows of the former holder.
func TestDutiesAfterLossOfAllAndReturnFromCopy(t *testing.T) {
	for _, age := range []time.Duration{500 * time.Millisecond, 7 * time.Second} {
		withFleet(t, 4, config(1), func(w *testFleet) {
			w.addRunner("r1", "app")
			for range 3 {
				w.watchDuties(6 * time.Second)
				copied := w.store.Copy()
				w.watchDuties(age)
				for _, d := range w.daemons {
					w.isolateAndKill(d)
				}
				w.store.Restore(copied)
				w.configure(config(1))
				w.put(runnerPrefix+"r1", runnerEntry("r1", "r1"))
				for i := range w.daemons {
					w.restart(i)
				}
				w.watchDuties(9 * time.Second)
				w.True(w.dutyHolder() != nil)
			}
			w.checkReports()
		})
	}
}
