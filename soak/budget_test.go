package soak_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

// The system sends a request to a runner again within a budget over all daemons and windows, at no more runners than its
// route says, and tells them no more time than its caller has left.

const (
	// mostBeyondAttempts is the number of requests that may run at more runners than their routes say.
	mostBeyondAttempts = 3
	// timeSlack is how much later than its caller's a deadline may be that runners are told. mostLateDeadlines of these
	// may be exceeded, and lateDeadlineShare of those that may be.
	timeSlack         = 500 * time.Millisecond
	mostLateDeadlines = 20
	lateDeadlineShare = 0.2
)

// arrivalsByRequest lists the arrivals of each request in their order.
func (f *fleet) arrivalsByRequest() map[string][]site.Arrival {
	arrivals := map[string][]site.Arrival{}
	for _, r := range f.allRunners() {
		for _, one := range r.Arrivals() {
			arrivals[one.ID] = append(arrivals[one.ID], one)
		}
	}
	for _, list := range arrivals {
		slices.SortFunc(list, func(a, b site.Arrival) int { return a.At.Compare(b.At) })
	}
	return arrivals
}

// checkBudget checks the repeats of requests. The caller must hold attemptLog.mu.
func (f *fleet) checkBudget(found *findings) {
	arrivals := f.arrivalsByRequest()
	if w := f.worstRepeatWindow(arrivals); float64(w.repeats) > w.allowed {
		found.add("repeats beyond the budget", "%v", w)
	}
	if beyond := f.beyondAttempts(); len(beyond) > mostBeyondAttempts {
		found.add("more runners than attempts", "%d requests, as %s", len(beyond), beyond[0])
	}
	if late, of := f.lateDeadlines(arrivals); late > mostLateDeadlines && float64(late) > lateDeadlineShare*float64(of) {
		found.add("runners told of more time than is left", "%d of %d arrivals", late, of)
	}
}

// repeatWindow is a window of the retry budget with the arrivals in it beyond the first of each request, and how many are
// allowed.
type repeatWindow struct {
	from    time.Time
	repeats int
	allowed float64
}

func (w repeatWindow) String() string {
	return fmt.Sprintf("%d repeats in %v, %.0f allowed", w.repeats, site.RetryWindow, w.allowed)
}

func (f *fleet) worstRepeatWindow(arrivals map[string][]site.Arrival) repeatWindow {
	var sent, repeated []time.Time
	for _, a := range f.attemptLog.byID {
		sent = append(sent, a.sent)
		for _, again := range arrivals[a.id][min(1, len(arrivals[a.id])):] {
			repeated = append(repeated, again.At)
		}
	}
	return worstWindow(sent, repeated)
}

// worstWindow returns the window with the most repeats beyond those that are allowed. One that begins or ends with a
// repeat is as bad as any.
func worstWindow(sent, repeated []time.Time) repeatWindow {
	slices.SortFunc(sent, time.Time.Compare)
	slices.SortFunc(repeated, time.Time.Compare)
	var worst repeatWindow
	for _, at := range repeated {
		for _, from := range []time.Time{at, at.Add(-site.RetryWindow)} {
			w := repeatWindow{from, countIn(repeated, from), allowedRepeats(sent, from)}
			if worst.from.IsZero() || float64(w.repeats)-w.allowed > float64(worst.repeats)-worst.allowed {
				worst = w
			}
		}
	}
	return worst
}

// allowedRepeats returns how many repeats the requests of a window, the one before it or the one half a window before it
// allow.
func allowedRepeats(sent []time.Time, from time.Time) float64 {
	most := max(countIn(sent, from), countIn(sent, from.Add(-site.RetryWindow)), countIn(sent, from.Add(-site.RetryWindow/2)))
	return site.RetryRatio*float64(most) + site.LeastRetries
}

// countIn returns how many of the sorted times are in the window from a time on.
func countIn(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(site.RetryWindow+1), time.Time.Compare)
	return end - first
}

// beyondAttempts describes the requests that ran at more runners than their routes allow. Runners that ended or were cut
// off meanwhile don't count.
func (f *fleet) beyondAttempts() []string {
	var beyond []string
	for id, runs := range f.runsByRequest() {
		a := f.attemptLog.byID[id]
		ran := map[*proxiedRunner]bool{}
		for _, run := range runs {
			if run.excuse != runnerEnded && run.excuse != runnerCutOff {
				ran[run.runner] = true
			}
		}
		if most := f.attemptsOf(a); len(ran) > most {
			beyond = append(beyond, fmt.Sprintf("%s %s at %s ran at %d runners, %d allowed", a.path, id, a.daemonAddress, len(ran), most))
		}
	}
	return beyond
}

func (f *fleet) attemptsOf(a *attempt) int {
	for _, r := range f.with.routes() {
		if strings.HasPrefix(a.path, "/"+r.Name+"/") {
			return r.Attempts
		}
	}
	return 1
}

// lateDeadlines counts the arrivals of plain requests by which runners were told of more time than their callers had left,
// and those by which they could have been. Requests during whose time a daemon was paused don't count.
func (f *fleet) lateDeadlines(arrivals map[string][]site.Arrival) (late, of int) {
	for _, a := range f.attemptLog.byID {
		if a.stream || f.anyPaused(a) {
			continue
		}
		for i, one := range arrivals[a.id] {
			first := arrivals[a.id][0]
			sentLateAgain := i > 0 && one.At.Sub(first.At) > timeSlack
			latest := a.sent.Add(a.timeout() + timeSlack)
			if end := first.At.Add(first.TimeLeft + timeSlack); end.After(latest) {
				latest = end
			}
			tooLong := one.TimeLeft == 0 || one.TimeLeft > a.timeout()+timeSlack
			tooLate := sentLateAgain && one.At.Add(one.TimeLeft).After(latest)
			if tooLong || tooLate {
				late++
			}
			if tooLong || sentLateAgain {
				of++
			}
		}
	}
	return late, of
}

func (f *fleet) anyPaused(a *attempt) bool {
	return slices.ContainsFunc(f.daemons, func(d *daemon) bool { return d.paused.overlap(a.sent, a.ended) })
}

// Guards against a check of the budget that passes over windows, or counts a window's requests wrongly.
func TestWorstWindowOfRepeats(t *testing.T) {
	start := time.Now()
	times := func(from, every time.Duration, n int) (list []time.Time) {
		for i := range n {
			list = append(list, start.Add(from+time.Duration(i)*every))
		}
		return list
	}
	const second = time.Second
	for _, c := range []struct {
		name             string
		sent, repeated   []time.Time
		repeats, allowed int
	}{
		{"no repeats", times(0, second, 10), nil, 0, 0},
		{"all in one window", times(0, second/100, 1000), times(second, second/100, 300), 300, 130},
		{"two windows", times(0, second/10, 300), times(0, second/10, 300), 101, 70},
		{"requests before the repeats", times(0, second/100, 1000), times(15*second, 0, 251), 251, 150},
		{"requests too long before", times(0, second/100, 500), times(25*second, 0, 51), 51, 50},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := worstWindow(c.sent, c.repeated)
			if w.repeats != c.repeats || int(w.allowed+0.5) != c.allowed {
				t.Errorf("worst window: %v, want %d repeats and %d allowed", w, c.repeats, c.allowed)
			}
		})
	}
}
