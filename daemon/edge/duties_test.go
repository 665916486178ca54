package edge_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/coordination/accounting"
	"geraniumstack.org/geraniumstack/state/ident"
)

// lastReporter returns the daemon that sent the latest usage report.
func (w *testFleet) lastReporter() *daemon {
	received := w.cloud.received()
	if len(received) == 0 {
		return nil
	}
	last := received[len(received)-1].duty.Holder
	for i, d := range w.daemons {
		if last == ident.DaemonID(fmt.Sprintf("d%d", i+1)) {
			return d
		}
	}
	return nil
}

// checkReports checks that the cloud never received usage reports with different counts for one
// usage window, with a lower fencing token after a higher one, or with the same fencing token from
// two daemons. It returns the counts of each window.
func (w *testFleet) checkReports() map[accounting.Window]string {
	counts := map[accounting.Window]string{}
	holders := map[uint64]ident.DaemonID{}
	token := uint64(0)
	for _, r := range w.cloud.received() {
		if former, ok := counts[r.window]; ok {
			w.Equal(former, r.counts)
		}
		counts[r.window] = r.counts
		w.True(r.duty.Token >= token)
		token = r.duty.Token
		if former, ok := holders[token]; ok {
			w.Equal(former, r.duty.Holder)
		}
		holders[token] = r.duty.Holder
	}
	return counts
}

// Guards against a successor that reports a window with other counts than its predecessor. The
// holder of the duties sends a report, the answer is lost, and the holder dies; more requests
// of the window become known meanwhile. The successor must repeat the same counts, and every
// window must be reported.
func TestHolderDiesBetweenReportAndAnswer(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		for i := 0; time.Since(w.start) < 40*time.Second; i++ {
			if i%50 == 20 {
				w.cloud.mu.Lock()
				w.cloud.lostAnswers = 1
				w.cloud.mu.Unlock()
			}
			if i == 150 {
				dead := w.lastReporter()
				w.cloud.mu.Lock()
				w.cloud.lostAnswers = 1
				w.cloud.mu.Unlock()
				before := len(w.cloud.received())
				for len(w.cloud.received()) == before {
					time.Sleep(10 * time.Millisecond)
				}
				dead.kill()
			}
			for _, d := range w.daemons {
				select {
				case <-d.done:
				default:
					w.ask(d, "/read/1", key)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		counts := w.checkReports()
		first, last := accounting.Window(1<<62), accounting.Window(0)
		for window := range counts {
			first, last = min(first, window), max(last, window)
		}
		w.Equal(int(last-first)+1, len(counts)) // no window is missing
		w.True(len(counts) >= 7)
	})
}

// Guards against the loss of a daemon's counts if it dies before its window ends.
func TestUsageOfDeadDaemonIsReported(t *testing.T) {
	withFleet(t, 2, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		// Wait for the start of a window, so that all requests fall into it.
		for time.Now().UnixMilli()%5000 > 200 {
			time.Sleep(50 * time.Millisecond)
		}
		window := accounting.Window(time.Now().UnixMilli() / 5000)
		for range 7 {
			w.Equal(w.ask(w.daemons[1], "/read/1", key).status, 200)
		}
		w.Equal(w.ask(w.daemons[0], "/read/1", key).status, 200)
		time.Sleep(300 * time.Millisecond)
		w.daemons[1].kill()
		time.Sleep(12 * time.Second)
		w.Equal(w.checkReports()[window], `{"shelter":8}`)
	})
}

// Guards against two daemons that act as the holder of the duties at once. The holder loses
// only the key-value service: it must stop acting before another daemon can take over.
func TestHolderLosesService(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		time.Sleep(12 * time.Second)
		cut := w.lastReporter()
		cut.store.setFaults(true, false)
		time.Sleep(15 * time.Second)
		w.True(w.lastReporter() != cut)
		cut.store.setFaults(false, false)
		time.Sleep(15 * time.Second)
		counts := w.checkReports()
		w.True(len(counts) >= 7)
	})
}

// Guards against the loss of counts that the next holder of the duties never received from the
// daemon that counted. One daemon counts requests and dies, and another is restarted and takes
// over the duties. It must get the counts from a third daemon.
func TestRestartedHolderKnowsDeadDaemonsCounts(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		for time.Now().UnixMilli()%5000 > 200 {
			time.Sleep(50 * time.Millisecond)
		}
		window := accounting.Window(time.Now().UnixMilli() / 5000)
		for range 7 {
			w.Equal(w.ask(w.daemons[1], "/read/1", key).status, 200)
		}
		time.Sleep(300 * time.Millisecond)
		w.daemons[1].kill()
		w.daemons[0].kill() // the holder of the duties; the third daemon has counted nothing itself
		time.Sleep(1500 * time.Millisecond)
		fresh := w.restart(0)
		w.daemons[2].Drain() // only the restarted daemon may take over the duties
		time.Sleep(10 * time.Second)
		w.Equal(w.checkReports()[window], `{"shelter":7}`)
		w.True(w.lastReporter() == fresh)
	})
}

// Guards against a second report with other counts for one window. A daemon that the others
// can't hear counts requests. The holder reports the window without them, the answer is lost,
// and the holder dies. After the daemon is heard again, the successor knows more requests than
// were reported, but must repeat the report unchanged.
func TestReportIsRepeatedThoughMoreIsKnown(t *testing.T) {
	withFleet(t, 3, config(1), func(w *testFleet) {
		w.addRunner("r1", "app")
		for time.Now().UnixMilli()%5000 > 200 {
			time.Sleep(50 * time.Millisecond)
		}
		window := accounting.Window(time.Now().UnixMilli() / 5000)
		w.network.isolate("10.0.0.3:7600", true)
		w.daemons[2].store.setFaults(true, false) // otherwise the daemon saves its counts, and the holder reads them
		for range 5 {
			w.Equal(w.ask(w.daemons[2], "/read/1", key).status, 200)
			w.Equal(w.ask(w.daemons[1], "/read/1", key).status, 200)
		}
		reported := func() bool {
			for _, r := range w.cloud.received() {
				if r.window == window {
					return true
				}
			}
			return false
		}
		w.cloud.mu.Lock()
		w.cloud.lostAnswers = 1000
		w.cloud.mu.Unlock()
		for !reported() {
			time.Sleep(20 * time.Millisecond)
		}
		first := w.lastReporter()
		first.kill()
		w.cloud.mu.Lock()
		w.cloud.lostAnswers = 0
		w.cloud.mu.Unlock()
		w.network.isolate("10.0.0.3:7600", false)
		w.daemons[2].store.setFaults(false, false)
		time.Sleep(8 * time.Second)
		w.True(w.lastReporter() != first)
		w.Equal(w.checkReports()[window], `{"shelter":5}`)
	})
}
