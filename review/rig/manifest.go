package rig

import "encoding/json"

// Service is what a manifest says of the plain service.
type Service struct {
	MaxConns   int
	WarmupS    float64
	WarmupPerS float64
}

// Oficina is the plain service of the site.
var Oficina = Service{MaxConns: 100}

// Manifest returns a manifest with one route to the plain service.
func Manifest(version int, kind string, timeoutMS int, service Service) string {
	raw, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-lookup", "host": "shop.example", "path_prefix": "/lookup/", "route_type": kind, "timeout_ms": timeoutMS,
			"latency_goal_ms": 150, "priority": 2, "service": "oficina", "max_attempts": 2, "public": false,
			"resumable": kind == "streaming", "itl_target_ms": 300,
		}},
		"services": []map[string]any{{"name": "oficina", "health_path": "/healthz", "max_conns": service.MaxConns, "protocol": "h1", "tls": false, "warmup_s": service.WarmupS, "warmup_per_s": service.WarmupPerS}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{Key}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return string(raw)
}
