package site

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
	// Public routes need no API key.
	Public bool
}

// PutConfig writes a version of the operator's configuration. All routes lead to the
// service "app", to which RegisterRunner adds runners.
func (s *Store) PutConfig(version int, routes []Route, requestsPerSecond int, apiKeys ...string) error {
	var routeDocuments []map[string]any
	for _, r := range routes {
		routeDocuments = append(routeDocuments, map[string]any{
			"name": r.Name, "hostname": Host, "path_prefix": "/" + r.Name + "/", "route_type": r.Kind,
			"timeout_ms": r.TimeoutMillis, "target_latency_ms": r.TargetMillis, "max_attempts": r.Attempts,
			"resumable": r.Resumable, "public": r.Public, "gap_aim_ms": 250, "service": "app",
		})
	}
	return s.Put("op/config", map[string]any{
		"version": version, "routes": routeDocuments,
		"services": []map[string]any{{"name": "app", "health_path": "/healthz", "max_connections": 96}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": Workspace, "api_keys": apiKeys, "unit": "requests", "rate_per_s": requestsPerSecond, "burst": requestsPerSecond}},
	})
}

// States of a registered runner.
const (
	Ready    = "ready"
	Draining = "draining"
)

// RegisterRunner writes a runner's registration, which on the real platform the runner
// writes itself. The daemons connect to address.
func (s *Store) RegisterRunner(runner, address, state string) error {
	return s.RegisterRunnerOfVersion(runner, address, state, "v1")
}

// RegisterRunnerOfVersion writes the registration of a runner with a software version.
func (s *Store) RegisterRunnerOfVersion(runner, address, state, version string) error {
	return s.Put("servers/"+runner, map[string]any{
		"service": "app", "address": address, "zone": "north", "slots": 16, "state": state, "version": version, "born": 1771390509100, "seq": 1,
	})
}

// DeregisterRunner removes a runner's registration.
func (s *Store) DeregisterRunner(runner string) error { return s.Remove("servers/" + runner) }
