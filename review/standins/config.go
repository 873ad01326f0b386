package main

import "fmt"

// resource is an entry of the configuration's list.
func resource(kind, name string, spec map[string]any) map[string]any {
	metadata := map[string]any{}
	if name != "" {
		metadata["name"] = name
	}
	return map[string]any{"resource-type": kind, "metadata": metadata, "spec": spec}
}

func route(name, host, prefix, kind, service string, priority int) map[string]any {
	return resource("routes", name, map[string]any{
		"hostname": host, "prefix": prefix, "type": kind, "timeout-s": 2, "target-latency-s": 1,
		"priority": priority, "service": service, "max-attempts": 2, "allow-anonymous": false,
	})
}

func service(name string) map[string]any {
	return resource("services", name, map[string]any{
		"health-path": healthPath, "max-connections": 120, "protocol": "h1", "tls": false, "warmup-s": 3.0, "warmup-per-s": 32.0,
	})
}

func tenant(name string, keys ...string) map[string]any {
	return resource("tenants", name, map[string]any{"api-keys": keys, "priority": 1, "rate-per-s": 0, "burst": 0})
}

func limits() map[string]any {
	return resource("limits", "", map[string]any{
		"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15,
	})
}

func configuration(version int, resources ...map[string]any) map[string]any {
	return map[string]any{"config-version": fmt.Sprintf("%08x", version), "resources": append(resources, limits())}
}
