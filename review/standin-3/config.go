package main

// This file makes configurations.

// host is the host of all routes.
const host = "ficu95.example"

// tenant is an entry of the tenants of a configuration.
func tenant(name string, keys ...string) any {
	return map[string]any{"name": name, "keys": keys, "priority": 0}
}

// configuration returns a configuration with a route to each of two services.
func configuration(version int, public bool, tenants ...any) map[string]any {
	if tenants == nil {
		tenants = []any{}
	}
	route := func(name, prefix, kind, service string, timeout, objective, attempts int, resume bool) any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "objectiveMs": objective, "priority": 0, "service": service,
			"attempts": attempts, "public": public, "sessionAffinity": kind == "stream", "resumeStreams": resume, "gapObjectiveMs": 400,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-chat", "/chat/", "stream", "assist", 12000, 1200, 2, true),
			route("r-book", "/book/", "unsafe", "dispatch", 1500, 100, 1, false),
		},
		"services": []any{
			map[string]any{
				"name": "assist", "healthPath": "/health", "connectionLimit": 380, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kvTokens": 482985, "kvBytes": 35136.0, "linkMbps": 550000.0, "moves": true, "backups": true, "stride": 6, "most": 2,
					"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": "dispatch", "healthPath": "/health", "connectionLimit": 120, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000},
		"tenants": tenants,
	}
}
