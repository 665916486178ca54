package soak_test

import (
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"geraniumstack.org/geraniumstack/standin/site"
)

// Guards against draws of a condition that shift the faults of a seed, or that don't come in the shortest soak.
func TestConditionsLeaveOtherFaultsAsTheyAre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 6 * time.Second
		seed := rapid.Int64().Draw(t, "seed")
		with := conditions{
			silences: rapid.Bool().Draw(t, "silences"), unequalRunners: rapid.Bool().Draw(t, "unequal"),
			surges: rapid.Bool().Draw(t, "surges"), domains: rapid.Bool().Draw(t, "domains"),
		}
		left := "\n" + describe(with.draw(seed, length, 4)) + "\n"
		for _, f := range drawFaults(seed, length, 4) {
			line := "\n" + describe([]fault{f}) + "\n"
			if !strings.Contains(left, line) {
				t.Fatalf("seed %d with %+v lost%s", seed, with, line)
			}
			left = strings.Replace(left, line, "\n", 1)
		}
		for _, c := range []struct {
			drawn bool
			text  string
		}{{with.silences, "s, from "}, {with.unequalRunners, "starts anew"}, {with.surges, "its usual"}, {with.domains, "from elsewhere"}} {
			if c.drawn != strings.Contains(left, c.text) {
				t.Errorf("seed %d with %+v plays %q: %v", seed, with, c.text, !c.drawn)
			}
		}
	})
}

// Guards against a CI run that leaves a condition out.
func TestFirstSeedsPlayAllConditions(t *testing.T) {
	one, two := drawConditions(1), drawConditions(2)
	both := conditions{
		silences: one.silences || two.silences, returns: one.returns || two.returns, unequalRunners: one.unequalRunners || two.unequalRunners,
		surges: one.surges || two.surges, domains: one.domains || two.domains,
	}
	is.New(t).Equal(both, conditions{silences: true, returns: true, unequalRunners: true, surges: true, domains: true})
}

// Guards against a runner that keeps its speed when it starts anew, and against runners that are all slow or all fast.
func TestRunnerHasAnotherSpeedWhenItStartsAnew(t *testing.T) {
	is := is.New(t)
	f := &fleet{seed: 3, with: conditions{unequalRunners: true}}
	is.Equal([]float64{f.timeFactor(1, 0), f.timeFactor(2, 0), f.timeFactor(1, 1), f.timeFactor(1, 2)}, []float64{fastRunnerFactor, 1, 1, fastRunnerFactor})
	f.with.unequalRunners = false
	is.Equal(f.timeFactor(1, 0), 1.0)
}

// Guards against a comparison of classes that finds a difference by chance, or misses one over the margin.
func TestClassesAreComparedWithAMargin(t *testing.T) {
	for _, c := range []struct {
		urgent, least servedCount
		want          bool
	}{
		{servedCount{0, 0}, servedCount{100, 100}, false},
		{servedCount{100, 100}, servedCount{100, 100}, false},
		{servedCount{100, 100}, servedCount{0, 100}, false},
		{servedCount{960, 1000}, servedCount{1000, 1000}, false},
		{servedCount{930, 1000}, servedCount{1000, 1000}, true},
		{servedCount{19, 20}, servedCount{20, 20}, false},
		{servedCount{50, 100}, servedCount{90, 100}, true},
	} {
		if got := c.urgent.isWorseThan(c.least); got != c.want {
			t.Errorf("%v urgent against %v: worse is %v, want %v", c.urgent, c.least, got, c.want)
		}
	}
}

// Guards against a comparison that leaves out requests that nobody answered, or counts those that their caller abandoned.
func TestUnansweredRequestsCountAsNotServed(t *testing.T) {
	is := is.New(t)
	r := &attemptLog{byID: map[string]*attempt{}}
	f := &fleet{attemptLog: r}
	begun := time.Now()
	f.calm.list = []period{{begun, begun.Add(calmSurge)}}
	for _, took := range []time.Duration{100 * time.Millisecond, classPatience, 30 * time.Millisecond} {
		a := r.add(urgentKind, "", "")
		a.workspace, a.sent, a.ended = steadyWorkspace, begun, begun.Add(took)
		a.left = took != 100*time.Millisecond
		if !a.left {
			a.status = http.StatusOK
		}
	}
	is.Equal(f.countServed(urgentKind), servedCount{served: 1, all: 2})
}

// Guards against a check that misses a caller who is refused at each return, or counts refusals of before.
func TestCallerRefusedAtEachReturnIsFound(t *testing.T) {
	is := is.New(t)
	quiet := time.Now()
	for _, c := range []struct {
		returns, found int
		sent           time.Time
		status         int
	}{
		{mostReturns, 0, quiet.Add(time.Millisecond), http.StatusServiceUnavailable},
		{mostReturns + 1, 1, quiet.Add(time.Millisecond), http.StatusServiceUnavailable},
		{mostReturns + 1, 1, quiet.Add(time.Millisecond), http.StatusTooManyRequests},
		{mostReturns + 1, 0, quiet.Add(-time.Millisecond), http.StatusServiceUnavailable},
		{mostReturns + 1, 0, quiet.Add(time.Millisecond), http.StatusBadGateway},
	} {
		r := &attemptLog{byID: map[string]*attempt{}}
		f := &fleet{quietSince: quiet, attemptLog: r}
		a := r.add(urgentKind, stableKey, "")
		a.status = c.status
		for range c.returns {
			a = r.addReturn(a, "", time.Second)
			a.sent, a.status = c.sent, c.status
		}
		is.Equal(len(f.checkReturns()), c.found)
	}
}

// Guards against an answer that says that a request has not run although it has, by its status or by its body.
func TestNotRunIsCheckedAgainstTheRunners(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		status      int
		body        string
		runs, found int
	}{
		{http.StatusServiceUnavailable, "", 1, 1},
		{http.StatusTooManyRequests, "", 1, 1},
		{http.StatusServiceUnavailable, "", 0, 0},
		{http.StatusBadGateway, `{"executed":"no"}`, 1, 1},
		{http.StatusBadGateway, `{"executed":"unknown"}`, 1, 0},
	} {
		b := &findings{}
		a := &attempt{requestKind: requestKinds[0], status: c.status, answer: c.body}
		a.check(b, c.runs)
		is.Equal(len(b.list), c.found)
	}
}

// Guards against a cut between domains that excuses answers within one.
func TestLinkBetweenDomainsExcusesOnlyWhatCrossesIt(t *testing.T) {
	for _, zone := range zones {
		sent := time.Now()
		d := &daemon{Daemon: site.Daemon{IP: "127.0.0.1", Zone: zone}}
		b := &proxiedRunner{Runner: &site.Runner{}, proxy: &proxy{}, zone: zones[0]}
		b.proxy.far.cutOff.list = []period{{after(sent, 100), after(sent, 400)}}
		f := &fleet{daemons: []*daemon{d}, runners: []*proxiedRunner{b}}
		a := &attempt{daemonAddress: d.CallerAddress(), sent: sent, ended: sent.Add(cutAt)}
		got := f.excuseOfRun(b, &site.Execution{Received: after(sent, 1)}, a)
		if crosses := zone != zones[0]; crosses != (got == runnerCutOff) {
			t.Errorf("daemon in %s: excuse %q", zone, got)
		}
	}
}

// Guards against cuts between domains that meet connections within one, or that miss those between them.
func TestProxyKnowsWhichConnectionsAreFar(t *testing.T) {
	is := is.New(t)
	runner, err := site.NewRunner("i-1")
	is.NoErr(err)
	defer runner.Close()
	self := &daemon{cmd: &exec.Cmd{Process: &os.Process{Pid: os.Getpid()}}}
	f := &fleet{daemons: []*daemon{self}}
	for _, zone := range zones {
		self.Zone = zone
		p, err := newProxy(runner.Address, func(c net.Conn) bool { return f.isFarClient(c, zones[0]) })
		is.NoErr(err)
		defer p.close()
		p.far.set(resetting)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Get("http://" + p.address() + "/healthz")
		if err == nil {
			response.Body.Close()
		}
		is.Equal(err != nil, zone != zones[0]) // only the other domain's daemon is cut off
	}
}
