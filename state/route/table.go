package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"geraniumstack.org/geraniumstack/state/ident"
)

// Table is a Config indexed for lookups. It is safe for concurrent use.
type Table struct {
	config          Config
	byHost          map[string][]*Route
	byKey           map[string]*Workspace
	workspaces      map[ident.Workspace]*Workspace
	services        map[string]*Service
	tightestLatency map[string]time.Duration
}

// NewTable builds the indexes for a configuration.
func NewTable(c Config) *Table {
	t := &Table{
		config:          c,
		byHost:          map[string][]*Route{},
		byKey:           map[string]*Workspace{},
		workspaces:      map[ident.Workspace]*Workspace{},
		services:        map[string]*Service{},
		tightestLatency: map[string]time.Duration{},
	}
	for i := range t.config.Routes {
		r := &t.config.Routes[i]
		if r.Host == "" || r.PathPrefix == "" {
			// An empty prefix begins every path.
			continue
		}
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		t.recordTargetLatency(r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for i := range t.config.Workspaces {
		w := &t.config.Workspaces[i]
		t.workspaces[w.Name] = w
		t.indexKeys(w)
	}
	for i := range t.config.Services {
		t.services[t.config.Services[i].Name] = &t.config.Services[i]
	}
	return t
}

// indexKeys makes the keys of a workspace valid. The empty key is that of requests without one, and those of a workspace
// without a name could not be told from requests of none.
func (t *Table) indexKeys(w *Workspace) {
	for _, key := range w.Keys {
		if key != "" && w.Name != "" {
			t.byKey[key] = w
		}
	}
}

// recordTargetLatency lowers the tightest target latency of the route's
// services to that of the route.
func (t *Table) recordTargetLatency(r *Route) {
	if r.TargetLatency <= 0 {
		return
	}
	for _, target := range r.Targets {
		known, ok := t.tightestLatency[target.Service]
		if !ok || r.TargetLatency < known {
			t.tightestLatency[target.Service] = r.TargetLatency
		}
	}
}

// TightestTargetLatency returns the lowest target latency of the routes to a
// service, or zero if none of them has one.
func (t *Table) TightestTargetLatency(service string) time.Duration {
	return t.tightestLatency[service]
}

// Config returns the configuration, which must not be modified.
func (t *Table) Config() *Config { return &t.config }

// Version returns the version of the configuration.
func (t *Table) Version() ident.Generation { return t.config.Version }

// Lookup returns the route of a request: among the routes of the host, the one
// with the longest matching path prefix.
func (t *Table) Lookup(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	routes, ok := t.byHost[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			routes = t.byHost[host[:i]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// KeyRequired reports whether a request on the route is served only with a workspace's key. key is the one that it
// presents, empty for none. A key that no workspace holds is refused also where none is needed.
func (t *Table) KeyRequired(r *Route, key string) bool {
	return !r.Public && (!t.config.Keyless || key != "")
}

// WorkspaceOf returns the workspace that a key belongs to. The empty key belongs to none.
func (t *Table) WorkspaceOf(key string) (*Workspace, bool) {
	w, ok := t.byKey[key]
	return w, ok
}

// Workspace returns the workspace with the name.
func (t *Table) Workspace(name ident.Workspace) (*Workspace, bool) {
	w, ok := t.workspaces[name]
	return w, ok
}

// Service returns the service with the name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Pick selects one of the route's targets by weight. point must be uniformly
// distributed in [0, 1).
func (r *Route) Pick(point float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := point * float64(total)
	for _, t := range r.Targets {
		left -= float64(t.Weight)
		if left < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
