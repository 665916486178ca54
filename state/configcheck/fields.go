package configcheck

import (
	"fmt"
	"strings"

	"geraniumstack.org/geraniumstack/state/route"
)

// field is a single value of a configuration.
type field struct {
	at    Location
	value any
}

// tokenRate is a number of tokens per second.
type tokenRate float64

func (r tokenRate) String() string { return fmt.Sprintf("%.4g tokens per second", float64(r)) }

func quotaUnit(q *route.Quota) string {
	if q.InTokens {
		return "tokens"
	}
	return "requests"
}

// text returns the value as messages show it.
func (f *field) text() string {
	switch v := f.value.(type) {
	case string:
		return fmt.Sprintf("%q", v)
	case []route.Target:
		weights := make([]string, 0, len(v))
		for _, t := range v {
			weights = append(weights, fmt.Sprintf("%q:%d", t.Service, t.Weight))
		}
		return strings.Join(weights, ", ")
	default:
		return fmt.Sprint(v)
	}
}

// The functions below list the values of an entry except its name and its keys.

func routeFields(at Location, r *route.Route) []field {
	return []field{
		{at.field("Host"), r.Host},
		{at.field("PathPrefix"), r.PathPrefix},
		{at.field("Kind"), r.Kind},
		{at.field("Targets"), r.Targets},
		{at.field("Timeout"), r.Timeout},
		{at.field("TargetLatency"), r.TargetLatency},
		{at.field("MaxPause"), r.MaxPause},
		{at.field("MaxAttempts"), r.MaxAttempts},
		{at.field("Priority"), r.Priority},
		{at.field("Public"), r.Public},
		{at.field("Resumable"), r.Resumable},
	}
}

func serviceFields(at Location, s *route.Service) []field {
	fields := []field{{at.field("HealthPath"), s.HealthPath}}
	if e := s.Engine; e != nil {
		in := at.field("Engine")
		fields = append(fields,
			field{in.field("Slots"), e.Slots},
			field{in.field("KVTokens"), e.KVTokens},
			field{in.field("CacheFetchRate"), tokenRate(e.CacheFetchRate)},
		)
	}
	if s.Scaling != nil {
		fields = append(fields, scalingFields(at.field("Scaling"), s.Scaling)...)
	}
	return fields
}

func scalingFields(at Location, s *route.Scaling) []field {
	fields := []field{
		{at.field("Min"), s.Min},
		{at.field("Max"), s.Max},
		{at.field("BootTime"), s.BootTime},
		{at.field("ReclaimablePriceRatio"), s.ReclaimablePriceRatio},
	}
	for domain, price := range s.Prices {
		fields = append(fields, field{at.field("Prices").value(string(domain)), price})
	}
	return fields
}

func workspaceFields(at Location, w *route.Workspace) []field {
	quota := at.field("Quota")
	fields := []field{
		{quota.field("PerSecond"), w.Quota.PerSecond},
		{quota.field("Burst"), w.Quota.Burst},
		{quota.field("InTokens"), quotaUnit(&w.Quota)},
		{quota.field("PlainTokens"), w.Quota.PlainTokens},
	}
	if w.HasPriority {
		fields = append(fields, field{at.field("Priority"), w.Priority})
	}
	return fields
}

func limitFields(at Location, l *route.Limits) []field {
	return []field{
		{at.field("MaxHeaderBytes"), l.MaxHeaderBytes},
		{at.field("MaxBodyBytes"), l.MaxBodyBytes},
		{at.field("HeaderTimeout"), l.HeaderTimeout},
		{at.field("IdleTimeout"), l.IdleTimeout},
	}
}

// Locations of the parts of a configuration.
var (
	version    = Location{}.field("Version")
	routes     = Location{}.field("Routes")
	services   = Location{}.field("Services")
	workspaces = Location{}.field("Workspaces")
	limits     = Location{}.field("Limits")
)

// allFields lists the values of all entries.
func allFields(c *route.Config) []field {
	fields := limitFields(limits, &c.Limits)
	for i := range c.Routes {
		fields = append(fields, routeFields(routes.element(i), &c.Routes[i])...)
	}
	for i := range c.Services {
		fields = append(fields, serviceFields(services.element(i), &c.Services[i])...)
	}
	for i := range c.Workspaces {
		fields = append(fields, workspaceFields(workspaces.element(i), &c.Workspaces[i])...)
	}
	return fields
}

func routeName(r *route.Route) string         { return r.Name }
func serviceName(s *route.Service) string     { return s.Name }
func workspaceName(w *route.Workspace) string { return string(w.Name) }
