// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import "fmt"

// PutConfig writes the next version of the configuration.
func (s *Site) PutConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + s.rng.IntN(3)
	var routes []map[string]any
	for _, k := range s.kinds() {
		timeout := k.Deadline
		if s.opts.RouteTimeout > 0 {
			timeout = s.opts.RouteTimeout
		}
		route := map[string]any{
			"name": k.Name, "host": host, "pathPrefix": k.Path, "timeoutMs": timeout.Milliseconds(), "targetLatencyMs": k.Objective.Milliseconds(),
			"priority": 1, "maxAttempts": k.Attempts, "public": false, "kind": "unsafe", "service": plainService,
		}
		switch {
		case k.Stream:
			route["kind"], route["service"], route["canResume"], route["gapAimMs"], route["sticky"] = "streaming", modelService, k.Resumable, 400, true
		case k.Repeatable:
			route["kind"] = "safe"
		case k.Keyed:
			route["kind"] = "keyed"
		}
		routes = append(routes, route)
	}
	for i := range s.extraRoutes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("more-", i), "host": host, "pathPrefix": fmt.Sprintf("/more/%d/", i), "timeoutMs": 1000, "targetLatencyMs": 200,
			"maxAttempts": 1, "kind": "unsafe", "service": plainService,
		})
	}
	var tenants []map[string]any
	for name, keys := range s.keys {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": keys})
	}
	headerTimeout := s.opts.HeaderTimeout
	if headerTimeout == 0 {
		headerTimeout = defaultHeaderTimeout
	}
	s.config = map[string]any{
		"version": s.version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{
			{"name": modelService, "healthPath": "/health", "maxConnections": 200, "engine": map[string]any{"slots": max(modelSlots, s.opts.Slots), "kvTokens": 40_000, "stride": 1, "moves": true, "kvTokenBytes": tokenBytes, "bandwidthMbps": copyRate * tokenBytes * 8 / 1e6}},
			{"name": plainService, "healthPath": "/health", "maxConnections": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": s.opts.MaxBody, "headerTimeoutMs": headerTimeout.Milliseconds(), "idleTimeoutMs": 15000, "tokensPerS": 120_000},
	}
	s.store.Put("op", "config", s.config)
}
