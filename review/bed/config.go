package bed

// Route returns a route of the operator's config, whose prefix is its name.
func Route(name, kind, service string, timeoutMillis, targetMillis, attempts int, more map[string]any) map[string]any {
	route := map[string]any{
		"name": "r-" + name, "hostname": Host, "path_prefix": "/" + name + "/", "route_type": kind, "timeout_ms": timeoutMillis,
		"target_latency_ms": targetMillis, "priority": 1, "service": service, "max_attempts": attempts, "public": false,
	}
	for field, value := range more {
		route[field] = value
	}
	return route
}

// Tenant returns a tenant of the operator's config, whose quota counts tokens.
func Tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": QuotaPerSecond, "burst": QuotaBurst}
}

// QuotaPerSecond and QuotaBurst are the quota of each tenant, in tokens.
const (
	QuotaPerSecond = 284263
	QuotaBurst     = 284263
)

// KVTokens is the memory of each engine.
const KVTokens = 566565

// Config returns a version of the operator's config, with an engine service "llm" and a plain service "app".
func Config(version int, routes []map[string]any, tenants ...map[string]any) map[string]any {
	if tenants == nil {
		// An empty list, not none.
		tenants = []map[string]any{}
	}
	return map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{
			{"name": "llm", "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "engine": map[string]any{
				"slots": 64, "kv_tokens": KVTokens, "kv_bytes": 327680, "link_mbps": 1100000.0, "models": []map[string]any{{"name": "m"}}}},
			{"name": "app", "health_path": "/healthz", "max_connections": 96, "protocol": "h1"},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
