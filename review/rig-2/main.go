// Command rig-2 plays the scripted cases of the second review: it starts the project's programs
// on loopback addresses with stand-ins for minions and clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE FOLDER")
		os.Exit(failed)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(failed)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	result, err := play(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.linef("the case could not run: %v", err)
		result = failed
	}
	rec.linef("result %d (0 the rule held, 1 it was broken, 2 not run)", result)
	os.Exit(result)
}

var cases = map[string]func(rec *record, trouble bool) (int, error){}

const host = "noje8.example"

// config returns a configuration with one service and one queue for each prefix, the first with
// the highest priority.
func config(version int, tenants []map[string]any, prefixes ...string) map[string]any {
	var routes []map[string]any
	for i, p := range prefixes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": host, "path_prefix": p, "type": "non_idempotent", "timeout_ms": 3000,
			"slo_ms": 250, "priority": i, "service": "planner", "attempts": 4, "stretch": 1.5, "public": false,
		})
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "planner", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  tenants,
	}
}

func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys, "priority": 1, "weight": 10, "upper_bound": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}}
}
