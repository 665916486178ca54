package configcheck

import (
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/state/route"
)

// checks are the checks of a single configuration.
var checks = []func(*report, *route.Config){
	checkNames,
	checkFieldsNotNegative,
	checkRouteKinds,
	checkTargets,
	checkWeights,
	checkRoutesExist,
	checkRoutesReachable,
	checkHiddenRoutes,
	checkUnusedServices,
	checkWorkspacesListed,
	checkMissingKeys,
	checkSharedKeys,
	checkRouteTimes,
	checkAttempts,
	checkScalingRange,
	checkQuotas,
	checkVersion,
}

// Check returns the mistakes in a configuration, sorted by location and each once. If inForce is not
// nil, the differences from that version are among the findings.
func Check(c, inForce *route.Config) []Finding {
	var r report
	for _, check := range checks {
		check(&r, c)
	}
	if inForce != nil {
		checkVersionIncreases(&r, c, inForce)
		compareConfigs(&r, inForce, c)
	}
	return r.sorted()
}

func checkNames(r *report, c *route.Config) {
	checkNamesOf(r, routes, c.Routes, routeName)
	checkNamesOf(r, services, c.Services, serviceName)
	checkNamesOf(r, workspaces, c.Workspaces, workspaceName)
}

func checkNamesOf[T any](r *report, list Location, entries []T, nameOf func(*T) string) {
	used := map[string]bool{}
	for i := range entries {
		name, at := nameOf(&entries[i]), list.element(i).field("Name")
		switch {
		case name == "":
			r.add(at, MissingName, "the name is missing")
		case used[name]:
			r.add(at, DuplicateName, "the name %q is used by an earlier entry", name)
		}
		used[name] = true
	}
}

// checkFieldsNotNegative reports negative values. A time that is too large for a time.Duration
// may be negative as well.
func checkFieldsNotNegative(r *report, c *route.Config) {
	for _, f := range allFields(c) {
		kind, negative := BadNumber, false
		switch v := f.value.(type) {
		case time.Duration:
			kind, negative = BadTime, v < 0
		case int:
			negative = v < 0
		case int64:
			negative = v < 0
		case tokenRate:
			negative = v < 0
		case float64:
			negative = v < 0
		}
		if negative {
			r.add(f.at, kind, "%s is negative or out of range", f.text())
		}
	}
}

func checkRouteKinds(r *report, c *route.Config) {
	for i := range c.Routes {
		if !knownKind(c.Routes[i].Kind) {
			r.add(routes.element(i).field("Kind"), UnknownKind, "the kind is missing or unknown")
		}
	}
}

func knownKind(k route.Kind) bool {
	return k == route.Idempotent || k == route.AtMostOnce || k == route.Stream
}

// checkTargets reports targets that name no service of the configuration.
func checkTargets(r *report, c *route.Config) {
	known := map[string]bool{}
	for i := range c.Services {
		known[c.Services[i].Name] = true
	}
	for i := range c.Routes {
		for j, target := range c.Routes[i].Targets {
			at := routes.element(i).field("Targets").element(j).field("Service")
			switch {
			case target.Service == "":
				r.add(at, MissingName, "the service is missing")
			case !known[target.Service]:
				r.add(at, UnknownService, "there is no service %q", target.Service)
			}
		}
	}
}

// checkWeights reports negative weights, and routes all of whose weights are zero.
func checkWeights(r *report, c *route.Config) {
	for i := range c.Routes {
		at := routes.element(i).field("Targets")
		allZero := true
		for j, target := range c.Routes[i].Targets {
			allZero = allZero && target.Weight == 0
			if target.Weight < 0 {
				r.add(at.element(j).field("Weight"), BadWeight, "%d is negative", target.Weight)
			}
		}
		if allZero {
			r.add(at, BadWeight, "no service has a weight above zero")
		}
	}
}

func checkRoutesExist(r *report, c *route.Config) {
	if len(c.Routes) == 0 {
		r.add(routes, NoRoutes, "there are no routes, so every request is refused")
	}
}

// checkRoutesReachable reports hosts and prefixes that no request has.
func checkRoutesReachable(r *report, c *route.Config) {
	for i := range c.Routes {
		at, prefix := routes.element(i), c.Routes[i].PathPrefix
		if c.Routes[i].Host == "" {
			r.add(at.field("Host"), UnreachableRoute, "the host is missing, so no request matches")
		}
		if !strings.HasPrefix(prefix, "/") {
			r.add(at.field("PathPrefix"), UnreachableRoute, "%q does not start with a slash, so no request matches", prefix)
		}
	}
}

// checkHiddenRoutes reports routes with the host and prefix of an earlier one, which
// route.Table.Lookup prefers.
func checkHiddenRoutes(r *report, c *route.Config) {
	type match struct{ host, prefix string }
	first := map[match]int{}
	for i := range c.Routes {
		m := match{strings.ToLower(c.Routes[i].Host), c.Routes[i].PathPrefix}
		if j, hidden := first[m]; hidden {
			r.add(routes.element(i).field("PathPrefix"), HiddenRoute,
				"hidden by route %q, which comes first and has the same host and prefix", c.Routes[j].Name)
			continue
		}
		first[m] = i
	}
}

// checkUnusedServices reports services that no route names. A target of weight zero counts as a
// route, since operators keep a service ready that way.
func checkUnusedServices(r *report, c *route.Config) {
	used := map[string]bool{}
	for i := range c.Routes {
		for _, target := range c.Routes[i].Targets {
			used[target.Service] = true
		}
	}
	for i := range c.Services {
		if name := c.Services[i].Name; name != "" && !used[name] {
			r.add(services.element(i), UnusedService, "no route leads to service %q", name)
		}
	}
}

// checkWorkspacesListed reports a configuration with which requests need no key, and one with which none is valid. A list that
// is missing and an empty one look alike to its writer.
func checkWorkspacesListed(r *report, c *route.Config) {
	switch {
	case c.Keyless:
		r.add(workspaces, NoKey, "the list is missing, so requests need no key; with an empty list none would be valid")
	case len(c.Workspaces) == 0:
		r.add(workspaces, NoKey, "the list is empty, so every request is refused but those on public routes")
	}
}

func checkMissingKeys(r *report, c *route.Config) {
	for i := range c.Workspaces {
		w, at := &c.Workspaces[i], workspaces.element(i).field("Keys")
		if len(w.Keys) == 0 {
			r.add(at, NoKey, "workspace %q has no key, so no request belongs to it", w.Name)
		}
		for j, key := range w.Keys {
			if key == "" {
				r.add(at.element(j), NoKey, "the key is empty, so no request is taken for one with it")
			}
		}
	}
}

// checkSharedKeys reports keys that a later workspace holds too. route.Table takes requests with
// such a key as the last workspace's.
func checkSharedKeys(r *report, c *route.Config) {
	last := map[string]int{}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			last[key] = i
		}
	}
	for i := range c.Workspaces {
		for j, key := range c.Workspaces[i].Keys {
			if holder := last[key]; key != "" && holder != i {
				r.add(workspaces.element(i).field("Keys").element(j), SharedKey,
					"workspace %q holds the same key, and requests with it count as its requests", c.Workspaces[holder].Name)
			}
		}
	}
}

// checkRouteTimes reports times that a request can't take because its timeout ends it before.
func checkRouteTimes(r *report, c *route.Config) {
	for i := range c.Routes {
		at, route := routes.element(i), &c.Routes[i]
		if route.Timeout <= 0 {
			continue
		}
		if route.TargetLatency > route.Timeout {
			r.add(at.field("TargetLatency"), ContradictoryLimits, "the target latency %v exceeds the timeout %v", route.TargetLatency, route.Timeout)
		}
		if route.MaxPause > route.Timeout {
			r.add(at.field("MaxPause"), ContradictoryLimits, "the longest pause %v exceeds the timeout %v", route.MaxPause, route.Timeout)
		}
	}
}

// maxAttemptsUnrepeatable is the highest sensible number of attempts for requests that may not be
// repeated. They are sent again only if they have certainly not run, for which the retry policy's own
// number of attempts suffices (protocol/retry, Default).
const maxAttemptsUnrepeatable = 4

func checkAttempts(r *report, c *route.Config) {
	for i := range c.Routes {
		route := &c.Routes[i]
		if knownKind(route.Kind) && !route.Repeatable() && route.MaxAttempts > maxAttemptsUnrepeatable {
			r.add(routes.element(i).field("MaxAttempts"), ContradictoryLimits,
				"%d attempts for requests that may not be repeated; more than %d don't make sense", route.MaxAttempts, maxAttemptsUnrepeatable)
		}
	}
}

// checkScalingRange reports a maximum below the minimum. A maximum of zero means no limit.
func checkScalingRange(r *report, c *route.Config) {
	for i := range c.Services {
		if s := c.Services[i].Scaling; s != nil && s.Max > 0 && s.Max < s.Min {
			r.add(services.element(i).field("Scaling").field("Max"), ContradictoryLimits, "the maximum %d is below the minimum %d", s.Max, s.Min)
		}
	}
}

func checkQuotas(r *report, c *route.Config) {
	for i := range c.Workspaces {
		checkQuota(r, workspaces.element(i).field("Quota"), &c.Workspaces[i].Quota)
	}
}

func checkQuota(r *report, at Location, q *route.Quota) {
	if q.PerSecond <= 0 {
		if q.Burst > 0 {
			r.add(at.field("Burst"), ContradictoryLimits, "the burst has no effect, since a rate of zero means no limit")
		}
		return
	}
	cost := 1.0
	if q.InTokens && q.PlainTokens > 0 {
		cost = q.PlainTokens
	}
	if q.Burst < cost {
		r.add(at.field("Burst"), ContradictoryLimits, "the burst %g is smaller than one request, which costs at least %g", q.Burst, cost)
	}
	if q.InTokens && q.PerSecond < q.PlainTokens {
		r.add(at.field("PerSecond"), ContradictoryLimits, "%g tokens per second are less than one plain request costs, %g", q.PerSecond, q.PlainTokens)
	}
}

func checkVersion(r *report, c *route.Config) {
	if c.Version == 0 {
		r.add(version, StaleVersion, "the version is missing or zero, so no daemon replaces another version by it")
	}
}

func checkVersionIncreases(r *report, c, inForce *route.Config) {
	if c.Version > 0 && c.Version <= inForce.Version {
		r.add(version, StaleVersion, "the version %d does not increase from %d, so daemons ignore it", c.Version, inForce.Version)
	}
}
