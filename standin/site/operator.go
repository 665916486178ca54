package site

import (
	"cmp"
	"fmt"
)

// Every route that PutConfig writes belongs to Host, and its API keys to Workspace.
const (
	Host      = "a.example"
	Workspace = "shelter"
)

// Values of Route.Kind.
const (
	Idempotent = "idempotent"
	AtMostOnce = "non_idempotent"
	Stream     = "streaming"
)

// Route is a route in the operator's configuration. Its path prefix is its name.
type Route struct {
	Name, Kind string
	// TimeoutMillis bounds the time of a response and TargetMillis is its target
	// latency. Attempts bounds the number of runners that are tried.
	TimeoutMillis, TargetMillis, Attempts int
	Resumable                             bool
	// Priority is the request's priority at model engines; 0 is the most urgent.
	Priority int
	// Public routes need no API key.
	Public bool
}

// Tenant is a workspace in the operator's configuration.
type Tenant struct {
	Name    string
	APIKeys []string
	// Unit is what the quota counts, UnitRequests or UnitTokens. PerSecond is its rate, and its burst.
	Unit      string
	PerSecond int
}

// Values of Tenant.Unit.
const (
	UnitRequests = "requests"
	UnitTokens   = "tokens"
)

// plainTokens is what a request costs that states no number of tokens, where the quota counts tokens.
const plainTokens = 20

// PutConfig writes a version of the operator's configuration. All routes lead to the
// service "app", to which RegisterRunner adds runners.
func (s *Store) PutConfig(version int, routes []Route, requestsPerSecond int, apiKeys ...string) error {
	return s.PutConfigOf(version, routes, 0, Tenant{Workspace, apiKeys, UnitRequests, requestsPerSecond})
}

// PutConfigOf writes a version with several workspaces. The runners of the service "app" are model engines with
// a number of slots; zero for no engines.
func (s *Store) PutConfigOf(version int, routes []Route, engineSlots int, tenants ...Tenant) error {
	var routeDocuments, tenantDocuments []map[string]any
	for _, r := range routes {
		routeDocuments = append(routeDocuments, map[string]any{
			"name": r.Name, "hostname": Host, "path_prefix": "/" + r.Name + "/", "route_type": r.Kind, "priority": r.Priority,
			"timeout_ms": r.TimeoutMillis, "target_latency_ms": r.TargetMillis, "max_attempts": r.Attempts,
			"resumable": r.Resumable, "public": r.Public, "gap_aim_ms": 250, "service": "app",
		})
	}
	for _, t := range tenants {
		tenantDocuments = append(tenantDocuments, map[string]any{
			"name": t.Name, "api_keys": t.APIKeys, "unit": t.Unit, "rate_per_s": t.PerSecond, "burst": t.PerSecond, "plain_tokens": plainTokens,
		})
	}
	service := map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 96}
	if engineSlots > 0 {
		service["engine"] = map[string]any{"slots": engineSlots, "kv_tokens": engineKVTokens}
	}
	return s.Put("op/config", map[string]any{
		"version": version, "routes": routeDocuments, "services": []map[string]any{service},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenantDocuments,
	})
}

// engineKVTokens is so large that the slots are the bound of an engine.
const engineKVTokens = 1_000_000

// States of a registered runner.
const (
	Ready    = "ready"
	Draining = "draining"
)

// Registration is what a runner writes about itself.
type Registration struct {
	Address, State, Version string
	// Zone is its failure domain; empty for DefaultZone.
	Zone string
	// Starts counts the former runners of the same name, of which each start makes another one.
	Starts int
	// Slots is the number of requests that it executes at once; zero for defaultSlots.
	Slots int
	// Stage is the part of a request that the runner works on, if it is an engine; empty otherwise.
	Stage string
}

// Report returns the report that an engine gives of itself; see Runner.SetReport.
func (r Registration) Report() string {
	return fmt.Sprintf(`{"stage":%q,"busy":false,"seq":1,"born":%d}`, r.Stage, firstStart+r.Starts)
}

const (
	// DefaultZone is the failure domain of daemons and runners for which none is stated.
	DefaultZone = "north"

	defaultSlots = 16
	// firstStart is when the first runner of each name started, in milliseconds of Unix time.
	firstStart = 1771390509100
)

// RegisterRunner writes a runner's registration, which on the real platform the runner
// writes itself. The daemons connect to address.
func (s *Store) RegisterRunner(runner, address, state string) error {
	return s.RegisterRunnerOfVersion(runner, address, state, "v1")
}

// RegisterRunnerOfVersion writes the registration of a runner with a software version.
func (s *Store) RegisterRunnerOfVersion(runner, address, state, version string) error {
	return s.Register(runner, Registration{Address: address, State: state, Version: version})
}

// Register writes a runner's registration.
func (s *Store) Register(runner string, r Registration) error {
	entry := map[string]any{
		"service": "app", "address": r.Address, "zone": cmp.Or(r.Zone, DefaultZone), "slots": cmp.Or(r.Slots, defaultSlots),
		"state": r.State, "version": r.Version, "born": firstStart + r.Starts, "seq": 1,
	}
	if r.Stage != "" {
		entry["stage"] = r.Stage
	}
	return s.Put("servers/"+runner, entry)
}

// DeregisterRunner removes a runner's registration.
func (s *Store) DeregisterRunner(runner string) error { return s.Remove("servers/" + runner) }
