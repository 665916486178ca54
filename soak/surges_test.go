package soak_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/standin/site"
)

// Workspaces of fleets with surges, beside site.Workspace.
const (
	// surgingWorkspace sends several times its usual for a while.
	surgingWorkspace = "clinic"
	// steadyWorkspace sends as much at all times, of the most and of the least urgent class. The classes are
	// compared by its requests.
	steadyWorkspace = "library"
)

// keyOf returns the key of a workspace that is part of every configuration.
func keyOf(workspace string) string {
	if workspace == site.Workspace {
		return stableKey
	}
	return stableKey + "-" + workspace
}

const (
	promptTokens = 200
	streamEvents = 5
	// classEventTime is the time between the events of classKinds' streams.
	classEventTime = 40 * time.Millisecond
	// classPatience leaves time for several returns.
	classPatience = 5 * time.Second

	surgingCallers = 4
	steadyCallers  = 8
	// Callers of these workspaces send some five requests a second each. The surging workspace's quota is about
	// 1.8 times its usual, that of the others is out of reach.
	surgingQuota = 18 * surgingCallers / 10 * 5 * (promptTokens + streamEvents)
	ampleQuota   = 200_000
	// A workspace that surges sends leastSurge to mostSurge times its usual.
	leastSurge = 4
	mostSurge  = 7
	// surgeSlots is the number of slots of an engine, so few that a surge fills all engines.
	surgeSlots = 12
)

// tenants returns the workspaces of a fleet with surges. keys are those of site.Workspace.
func tenants(keys []string) []site.Tenant {
	return []site.Tenant{
		{Name: site.Workspace, APIKeys: keys, Unit: site.UnitTokens, PerSecond: ampleQuota},
		{Name: surgingWorkspace, APIKeys: []string{keyOf(surgingWorkspace)}, Unit: site.UnitTokens, PerSecond: surgingQuota},
		{Name: steadyWorkspace, APIKeys: []string{keyOf(steadyWorkspace)}, Unit: site.UnitTokens, PerSecond: ampleQuota},
	}
}

// The routes of the most and of the least urgent class; those of the other routes lie between.
const (
	urgentPriority = 0
	middlePriority = 2
	leastPriority  = 5
)

var classRoutes = []site.Route{
	{Name: "ask", Kind: site.Stream, TimeoutMillis: 7000, TargetMillis: 200, Attempts: 2, Priority: urgentPriority},
	{Name: "batch", Kind: site.Stream, TimeoutMillis: 7000, TargetMillis: 200, Attempts: 2, Priority: leastPriority},
}

// routesWithClasses returns the routes of a fleet with surges.
func routesWithClasses() []site.Route {
	all := slices.Clone(classRoutes)
	for _, r := range routes {
		r.Priority = middlePriority
		all = append(all, r)
	}
	return all
}

func classKind(route string) requestKind {
	return requestKind{
		path: fmt.Sprintf("/%s/stream/1?event_ms=%d", route, classEventTime.Milliseconds()), method: http.MethodPost, stream: true,
		patience: classPatience, promptTokens: promptTokens,
	}
}

// urgentKind and leastUrgentKind are requests that differ by their class only.
var urgentKind, leastUrgentKind = classKind("ask"), classKind("batch")

// surge multiplies the requests of surgingWorkspace at all daemons.
func surge(rng *rand.Rand) fault {
	factor, span := leastSurge+rng.IntN(mostSurge-leastSurge+1), durationBetween(rng, time.Second, 3*time.Second)
	kind := []requestKind{urgentKind, leastUrgentKind}[rng.IntN(2)]
	return fault{description: fmt.Sprintf("%s sends %d times its usual for %v, the rest to %s", surgingWorkspace, factor, span, kind.path), apply: func(f *fleet) {
		f.surge(factor, kind, span)
	}}
}

// surge returns when the surge is over; refused callers may still come back then.
func (f *fleet) surge(factor int, kind requestKind, span time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	for n := range (factor - 1) * surgingCallers {
		c := f.workspaceCaller(surgingWorkspace, surgeCallerNumbers+n, kind)
		c.pinned = f.daemons[n%len(f.daemons)]
		f.calling.Go(func() { c.run(ctx, context.Background()) })
	}
	<-ctx.Done()
}

// workspaceCaller returns a caller of a workspace that is never denied.
func (f *fleet) workspaceCaller(workspace string, number int, kinds ...requestKind) *caller {
	c := newCaller(f, number)
	c.workspace, c.kinds = workspace, kinds
	return c
}

// Checks of the time without faults.
const (
	// calmSurge is how long one workspace surges while there are no faults.
	calmSurge = 4 * time.Second
	// quietTime is how long callers send new requests after all faults and surges.
	quietTime = time.Second
	// servedWithin is when a request of classKinds counts as served in time: the target latency, the time of the
	// stream, and some for a busy machine.
	servedWithin = time.Second
	// classMargin is by how much less often the most urgent class may be served in time than the least urgent. The
	// platform's targets count 5 of 100 late requests as kept.
	classMargin = 0.05
	// mostReturns bounds the refusals of a request that returns when it is told to. Callers wait a third of their
	// remaining time at most for a return, so after six such waits they have under a tenth of their time left: less
	// is no attempt.
	mostReturns = 6
)

// playCalm plays the part of a run without faults.
func (f *fleet) playCalm() {
	if f.with.surges {
		f.calm.begin()
		kind := []requestKind{urgentKind, leastUrgentKind}[f.seed%2]
		f.surge(mostSurge, kind, calmSurge)
		f.calm.end()
	}
	f.quietSince = time.Now()
	if f.with.returns {
		time.Sleep(quietTime)
	}
}

// checkClasses checks that the most urgent class is served in time as often as the least urgent one.
func (f *fleet) checkClasses(found *findings) {
	urgent, least := f.countServed(urgentKind), f.countServed(leastUrgentKind)
	if urgent.isWorseThan(least) {
		found.add("urgent served worse", "in time: %v of the most urgent class, %v of the least urgent one", urgent, least)
	}
}

// countServed counts the requests of a kind that steadyWorkspace sent or waited for in the calm part. Returns are left
// out, and requests that their caller abandoned before its time was over.
func (f *fleet) countServed(kind requestKind) servedCount {
	var n servedCount
	for _, a := range f.attemptLog.byID {
		abandoned := a.left && a.ended.Sub(a.sent) < a.timeout()
		if a.workspace != steadyWorkspace || a.path != kind.path || abandoned || a.returns > 0 || !f.calm.overlap(a.sent, a.ended) {
			continue
		}
		n.all++
		if a.status == http.StatusOK && !a.truncated && a.ended.Sub(a.sent) <= servedWithin {
			n.served++
		}
	}
	return n
}

// servedCount counts requests and those that were served in time.
type servedCount struct{ served, all int }

func (s servedCount) String() string { return fmt.Sprintf("%d of %d", s.served, s.all) }

func (s servedCount) share() float64 { return float64(s.served) / float64(max(1, s.all)) }

// standardErrors is how many standard errors two shares differ by at least where the difference is not by chance.
const standardErrors = 3

// isWorseThan reports whether the share is smaller by more than classMargin, and not by chance.
func (s servedCount) isWorseThan(other servedCount) bool {
	variance := func(c servedCount) float64 { return c.share() * (1 - c.share()) / float64(max(1, c.all)) }
	difference := other.share() - s.share()
	return s.all > 0 && difference > classMargin && difference > standardErrors*math.Sqrt(variance(s)+variance(other))
}

// checkReturns lists requests that were refused again and again without faults, although they returned as told.
func (f *fleet) checkReturns() []string {
	f.attemptLog.mu.Lock()
	defer f.attemptLog.mu.Unlock()
	refused := map[string][]*attempt{}
	for _, a := range f.attemptLog.byID {
		if a.returns > 0 && a.isRefused() && a.sent.After(f.quietSince) {
			refused[a.first] = append(refused[a.first], a)
		}
	}
	found := &findings{}
	for first, returns := range refused {
		if len(returns) <= mostReturns {
			continue
		}
		slices.SortFunc(returns, func(x, y *attempt) int { return x.sent.Compare(y.sent) })
		var lines []string
		for _, a := range returns {
			lines = append(lines, fmt.Sprintf("%d at %v by %s, after %v", a.status, a.sent.Sub(f.quietSince), a.daemonAddress, a.retryAfter))
		}
		found.add("refused for ever", "%s of %s was refused at %d returns after all faults: %s", first, returns[0].workspace, len(returns), strings.Join(lines, "; "))
	}
	return found.list
}

// summarizeLoad says how callers were served under the conditions.
func (f *fleet) summarizeLoad() string {
	f.attemptLog.mu.Lock()
	defer f.attemptLog.mu.Unlock()
	refused, returns, most := 0, 0, 0
	for _, a := range f.attemptLog.byID {
		if a.isRefused() {
			refused++
		}
		returns, most = returns+min(1, a.returns), max(most, a.returns)
	}
	crossed, cut := f.countCrossings(f.runsByRequest())
	return fmt.Sprintf("%d refused, %d returns, at most %d of a request; %d runs in another domain than the daemon, %d of them cut off; in time in the calm part: %v urgent, %v least urgent",
		refused, returns, most, crossed, cut, f.countServed(urgentKind), f.countServed(leastUrgentKind))
}
