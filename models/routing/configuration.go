// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package routing defines the routing data of a gateway: the routes, services and
// client accounts of the current configuration, and the list of targets. It holds
// data and lookups only. Package conf is its counterpart for router processes.
package routing

import (
	"slices"
	"time"

	"madderway/modules/saturate"
)

// Repeat limits how often a request of a route may be executed.
type Repeat string

// The values of Repeat.
const (
	RepeatNever Repeat = "never" // at most one execution
	RepeatSafe  Repeat = "safe"  // any number of executions
)

// Configuration is one complete version of the operators' configuration.
type Configuration struct {
	Version  uint64          `json:"version"`
	Routes   []Route         `json:"routes"`
	Services []Service       `json:"services"`
	Accounts []ClientAccount `json:"accounts"`
	Limits   Limits          `json:"limits"`
	// RequireAccount makes requests need a client account's key, except on public routes.
	RequireAccount bool `json:"with_accounts"`
}

// Route assigns the requests for a host and path prefix to services and sets how
// they are handled.
type Route struct {
	Name        string        `json:"name"`
	Host        string        `json:"host"`
	PathPrefix  string        `json:"path_prefix"`
	Repeat      Repeat        `json:"repeat"`
	Stream      bool          `json:"stream"`    // responses are event streams
	Resumable   bool          `json:"resumable"` // a broken stream may continue on another target
	Public      bool          `json:"public"`    // no client account key needed
	Timeout     time.Duration `json:"timeout"`   // maximum total time of a request
	Objective   time.Duration `json:"objective"` // latency objective: time to the response, or to the first event of a stream
	Pause       time.Duration `json:"pause"`     // maximum gap between events of a stream that is on time
	Rank        int           `json:"rank"`      // priority; 0 is the most urgent
	MaxAttempts int           `json:"max_attempts"`
	Split       []Share       `json:"split"` // weighted services of the route
}

// Share is the fraction of a route's requests that one service takes; weights are
// relative to the sum over the route.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a group of targets that can serve the same requests.
type Service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"health_path"`
	MaxConnections int     `json:"max_connections"` // per target, over all gateways
	Engine         *Engine `json:"engine,omitempty"`
	// ColdStart is the time after its start for which a target counts as cold.
	ColdStart time.Duration `json:"cold_start,omitempty"`
	// ColdRate limits the requests per second to a cold target; 0 is unlimited.
	ColdRate float64 `json:"cold_rate,omitempty"`
}

// Engine describes the inference engines of a service whose targets run a model.
type Engine struct {
	Slots       int `json:"slots"`        // concurrent requests
	CacheTokens int `json:"cache_tokens"` // KV cache capacity, shared by running requests and cached prompts
	EventTokens int `json:"event_tokens"` // tokens per stream event
	// Transfer is nil if engines cannot copy cached prompt parts from each other.
	Transfer *Transfer `json:"transfer,omitempty"`
}

// HasCompactCache reports whether the service's engines can copy cached prompts from each other
// and a cached token takes at most this many bytes.
func (s *Service) HasCompactCache(maxTokenBytes float64) bool {
	return s.Engine != nil && s.Engine.Transfer != nil && s.Engine.Transfer.TokenBytes <= maxTokenBytes
}

// HasCompactCache reports whether a service of the configuration has a compact cache.
func (c *Configuration) HasCompactCache(maxTokenBytes float64) bool {
	return slices.ContainsFunc(c.Services, func(s Service) bool { return s.HasCompactCache(maxTokenBytes) })
}

// Transfer describes the links over which engines copy KV cache from each other.
type Transfer struct {
	TokenBytes     float64 `json:"token_bytes"`      // KV cache size per token
	BytesPerSecond float64 `json:"bytes_per_second"` // bandwidth of one engine's link
}

// Time returns the transfer time of the KV cache of this many tokens.
func (t *Transfer) Time(tokens int) time.Duration {
	return saturate.Seconds(float64(tokens) * t.TokenBytes / t.BytesPerSecond)
}

// ClientAccount is a tenant with its API keys.
type ClientAccount struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Rank overrides the route's rank if set.
	Rank *int `json:"rank,omitempty"`
}

// GetName returns the account's name, or "" for a nil account (a public route).
func (a *ClientAccount) GetName() string {
	if a == nil {
		return ""
	}
	return a.Name
}

// Limits bounds the requests of callers.
type Limits struct {
	MaxHeaderBytes  int           `json:"max_header_bytes"`
	MaxBodyBytes    int64         `json:"max_body_bytes"`
	HeaderTimeout   time.Duration `json:"header_timeout"`
	IdleTimeout     time.Duration `json:"idle_timeout"`
	TokensPerSecond float64       `json:"tokens_per_second"` // capacity of all targets together
}
