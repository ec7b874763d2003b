package testbed

// Key is the API key of the one organisation of Config, "org".
const Key = "key-of-org"

// Config returns a configuration with routes and services, and an organisation with a wide quota.
func Config(version int, routes, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []any{map[string]any{
			"name": "org", "api_keys": []string{Key}, "priority": 0, "rate_per_s": 1e6, "burst": 1e6, "unit": "token_stream", "plain_tokens": 200,
		}},
	}
}

// StreamRoute returns a streaming route.
func StreamRoute(name, prefix, service string, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "path_prefix": prefix, "route_kind": "streaming", "timeout_ms": 15000, "slo_ms": 400, "priority": 0,
		"service": service, "max_attempts": attempts, "public": false, "sticky": true, "resumable": resumable, "gap_target_ms": 300,
	}
}

// ModelService returns a service of model servers.
func ModelService(name string, adapters int, models ...string) map[string]any {
	list := []any{}
	for _, m := range models {
		list = append(list, map[string]any{
			"name": m, "weights_mb": 65100.0, "load_time_s": 3.8, "adapters": adapters, "adapter_size_mb": 12.0, "warmup_s": 0.45, "disk_s": 0.76,
		})
	}
	return map[string]any{
		"name": name, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kv_capacity": 149759, "weights_mb": 230000.0, "adapter_slots": 8, "loads_per_s": 2.1, "stride": 5, "models": list,
		},
	}
}
