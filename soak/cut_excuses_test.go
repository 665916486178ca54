package soak_test

import (
	"fmt"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

// cutAt is when the answers of these tests are cut, after their requests were sent.
const cutAt = 2 * time.Second

// after returns the time that is a number of milliseconds after a request of these tests was sent.
func after(sent time.Time, millis int) time.Time {
	return sent.Add(time.Duration(millis) * time.Millisecond)
}

// testRun returns a run that the runner received and last sent an event of at the given milliseconds; 0 for no event.
func testRun(sent time.Time, received, lastSent int, why excuse) runnerRun {
	run := runnerRun{Execution: site.Execution{Received: after(sent, received)}, runner: &proxiedRunner{}, excuse: why}
	if lastSent > 0 {
		run.LastSent = after(sent, lastSent)
	}
	return run
}

// Guards against a check that lets a cut pass because of some other run of the same request.
func TestCutOfALiveRunIsFound(t *testing.T) {
	sent := time.Now()
	for _, c := range []struct {
		name string
		runs []runnerRun
		want excuse
	}{
		{"no run", nil, ""},
		{"live", []runnerRun{testRun(sent, 1, 900, "")}, ""},
		{"live, nothing sent yet", []runnerRun{testRun(sent, 1, 0, "")}, ""},
		{"failed", []runnerRun{testRun(sent, 1, 900, runnerToldToFail)}, runnerToldToFail},
		{"both failed", []runnerRun{testRun(sent, 1, 900, runnerToldToFail), testRun(sent, 950, 1200, runnerEnded)}, runnerEnded},
		{"live after a failed one", []runnerRun{testRun(sent, 1, 900, runnerToldToFail), testRun(sent, 1200, 0, "")}, ""},
		{"live beside a failed one that sent nothing", []runnerRun{testRun(sent, 1, 500, ""), testRun(sent, 1200, 0, runnerCutOff)}, ""},
		{"taken over by a failed one", []runnerRun{testRun(sent, 1, 500, ""), testRun(sent, 1200, 1500, runnerToldToFail)}, runnerToldToFail},
		{"taken over by a live one", []runnerRun{testRun(sent, 1, 500, ""), testRun(sent, 1200, 1500, "")}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := runsExcuse(c.runs); got != c.want {
				t.Errorf("runsExcuse = %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against excuses from another time or of another process than that of the cut answer.
func TestCutIsExcusedByWhatHappenedMeanwhile(t *testing.T) {
	const address = "127.0.0.1:18221"
	for _, c := range []struct {
		name    string
		disturb func(sent time.Time, a *attempt, d *daemon)
		want    excuse
	}{
		{"nothing", func(time.Time, *attempt, *daemon) {}, ""},
		{"caller left", func(_ time.Time, a *attempt, _ *daemon) { a.left = true }, callerLeft},
		{"deadline", func(_ time.Time, a *attempt, _ *daemon) {
			a.patience, a.ended = callerTimeout, a.sent.Add(callerTimeout)
		}, deadlinePassed},
		{"deadline far", func(_ time.Time, a *attempt, _ *daemon) {
			a.patience, a.ended = longStreamPatience, a.sent.Add(callerTimeout)
		}, ""},
		{"killed", func(sent time.Time, _ *attempt, d *daemon) { d.killedAt = []time.Time{after(sent, 1990)} }, daemonKilled},
		{"killed before", func(sent time.Time, _ *attempt, d *daemon) { d.killedAt = []time.Time{after(sent, -300)} }, ""},
		{"killed after", func(sent time.Time, _ *attempt, d *daemon) { d.killedAt = []time.Time{after(sent, 2010)} }, ""},
		{"stopped within the grace", func(sent time.Time, _ *attempt, d *daemon) { d.termAt = []time.Time{after(sent, 100)} }, ""},
		{"stopped past the grace", func(sent time.Time, _ *attempt, d *daemon) { d.termAt = []time.Time{after(sent, -1700)} }, graceOver},
		{"former process stopped", func(sent time.Time, _ *attempt, d *daemon) { d.termAt = []time.Time{after(sent, -4100)} }, ""},
		{"paused", func(sent time.Time, _ *attempt, d *daemon) { d.paused.list = []period{{sent, after(sent, 2450)}} }, ""},
		{"paused while helped", func(sent time.Time, _ *attempt, d *daemon) {
			logHelper(d, "s1-1")
			d.paused.list = []period{{sent, after(sent, 2450)}}
		}, callPaused},
		{"helper paused", func(sent time.Time, _ *attempt, d *daemon) {
			logHelper(d, "s1-1")
			d.fleet.daemons[1].paused.list = []period{{sent, after(sent, 2450)}}
		}, callPaused},
		{"helper paused for a moment", func(sent time.Time, _ *attempt, d *daemon) {
			logHelper(d, "s1-1")
			d.fleet.daemons[1].paused.list = []period{{sent, after(sent, 2300)}}
		}, ""},
		{"helper paused before", func(sent time.Time, _ *attempt, d *daemon) {
			logHelper(d, "s1-1")
			d.fleet.daemons[1].paused.list = []period{{after(sent, -2500), after(sent, -100)}}
		}, ""},
		{"helper of another request killed", func(sent time.Time, _ *attempt, d *daemon) {
			logHelper(d, "s1-2")
			d.fleet.daemons[1].killedAt = []time.Time{after(sent, 1000)}
		}, ""},
		{"helper killed", func(sent time.Time, _ *attempt, d *daemon) {
			logHelper(d, "s1-1")
			d.fleet.daemons[1].killedAt = []time.Time{after(sent, 1000)}
		}, helperFailed},
		{"helper alive", func(_ time.Time, _ *attempt, d *daemon) { logHelper(d, "s1-1") }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fleet{}
			for _, ip := range []string{"127.0.0.1", "127.0.0.2"} {
				f.daemons = append(f.daemons, &daemon{Daemon: site.Daemon{IP: ip}, fleet: f, output: &syncBuffer{}})
			}
			sent := time.Now()
			a := &attempt{requestKind: longStreamKinds[0], id: "s1-1", daemonAddress: address, sent: sent, ended: sent.Add(cutAt), status: 200, truncated: true}
			c.disturb(sent, a, f.daemons[0])
			if got := f.excuseOf(a, []runnerRun{testRun(sent, 1, 900, "")}); got != c.want {
				t.Errorf("excuseOf = %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against plain answers that a daemon cuts because of their runner: it has read them to their end before.
func TestRunnersFailureIsNoExcuseForAPlainAnswer(t *testing.T) {
	d := &daemon{Daemon: site.Daemon{IP: "127.0.0.1"}}
	f := &fleet{daemons: []*daemon{d}}
	sent := time.Now()
	a := &attempt{requestKind: requestKinds[0], daemonAddress: d.CallerAddress(), sent: sent, ended: sent.Add(cutAt), status: 200, truncated: true}
	if got := f.excuseOf(a, []runnerRun{testRun(sent, 1, 0, runnerToldToFail)}); got != "" {
		t.Errorf("excuseOf = %q, want none", got)
	}
}

// logHelper lets a daemon's log say that the second daemon served a request.
func logHelper(d *daemon, request string) {
	fmt.Fprintf(d.output, `I0101 00:00:00.0 1 x.go:1] "delegated" request=%q route="draft" helper=%q attempts=1`+"\n", request, d.fleet.daemons[1].Name())
}

// Guards against excuses of a runner from another time than that of its run, and for a silence or a slow link.
func TestRunIsExcusedByWhatHappenedMeanwhile(t *testing.T) {
	for _, c := range []struct {
		name    string
		disturb func(sent time.Time, e *site.Execution, b *proxiedRunner)
		want    excuse
	}{
		{"silent", func(sent time.Time, _ *site.Execution, b *proxiedRunner) {
			b.silent.list = []period{{began: after(sent, 100)}}
		}, ""},
		{"link delayed", func(_ time.Time, _ *site.Execution, b *proxiedRunner) { b.proxy.set(delayed) }, ""},
		{"told", func(sent time.Time, e *site.Execution, _ *proxiedRunner) {
			e.Fault, e.LastSent = site.TruncateStream, after(sent, 1990)
		}, runnerToldToFail},
		{"told after", func(sent time.Time, e *site.Execution, _ *proxiedRunner) {
			e.Fault, e.LastSent = site.TruncateStream, after(sent, 2010)
		}, ""},
		{"ended", func(sent time.Time, _ *site.Execution, b *proxiedRunner) {
			b.ended.list = []period{{began: after(sent, 1990)}}
		}, runnerEnded},
		{"ended after", func(sent time.Time, _ *site.Execution, b *proxiedRunner) {
			b.ended.list = []period{{began: after(sent, 2010)}}
		}, ""},
		{"cut off", func(sent time.Time, _ *site.Execution, b *proxiedRunner) {
			b.proxy.cutOff.list = []period{{after(sent, 100), after(sent, 400)}}
		}, runnerCutOff},
		{"cut off before", func(sent time.Time, _ *site.Execution, b *proxiedRunner) {
			b.proxy.cutOff.list = []period{{after(sent, -900), after(sent, -400)}}
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			sent := time.Now()
			a := &attempt{sent: sent, ended: sent.Add(cutAt)}
			e := &site.Execution{Received: after(sent, 1)}
			b := &proxiedRunner{proxy: &proxy{}}
			c.disturb(sent, e, b)
			if got := b.excuseOf(e, a); got != c.want {
				t.Errorf("excuseOf = %q, want %q", got, c.want)
			}
		})
	}
}
