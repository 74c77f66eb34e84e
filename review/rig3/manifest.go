package rig3

// Key is the API key of the only tenant.
const Key = "n2ctnfzs989anu6wsjnb"

// Host is the host of all routes.
const Host = "ficu95.example"

// Route is a route of a manifest.
type Route struct {
	Prefix, Kind string
	TimeoutMS    int
	MaxAttempts  int
	Resumable    bool
}

// Manifest returns a manifest with routes to one plain service, whose runners bear a number of requests a second while
// they are cold.
func Manifest(version int64, service string, warmupPerSecond float64, routes ...Route) map[string]any {
	var rs []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": "r" + r.Prefix, "host": Host, "path_prefix": r.Prefix, "route_type": r.Kind, "timeout_ms": r.TimeoutMS,
			"latency_goal_ms": 300, "priority": 2, "service": service, "max_attempts": r.MaxAttempts, "public": false, "resumable": r.Resumable,
		})
	}
	warmup := 0.0
	if warmupPerSecond > 0 {
		warmup = 3
	}
	return map[string]any{
		"version": version, "routes": rs,
		"services": []map[string]any{{
			"name": service, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false,
			"warmup_s": warmup, "warmup_per_s": warmupPerSecond,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{Key}, "priority": 1}},
	}
}
