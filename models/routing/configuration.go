// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package routing holds what a gateway knows of its surroundings: routes,
// services and client accounts of the configuration in force, and the targets
// that are there. It holds data and look-ups only.
package routing

import "time"

// Repeat says how often a request of a route may be executed.
type Repeat string

// The values of Repeat.
const (
	RepeatNever Repeat = "never" // at most one execution
	RepeatSafe  Repeat = "safe"  // any number of executions
)

// Configuration is one whole version of what operators have set.
type Configuration struct {
	Version  uint64          `json:"version"`
	Routes   []Route         `json:"routes"`
	Services []Service       `json:"services"`
	Accounts []ClientAccount `json:"accounts"`
	Limits   Limits          `json:"limits"`
	// RequireAccount tells that requests need the key of a client account.
	RequireAccount bool `json:"with_accounts"`
}

// Route says where the requests below a path of a host go and how they are
// treated.
type Route struct {
	Name        string        `json:"name"`
	Host        string        `json:"host"`
	PathPrefix  string        `json:"path_prefix"`
	Repeat      Repeat        `json:"repeat"`
	Stream      bool          `json:"stream"`    // Stream marks answers that are series of events.
	Resumable   bool          `json:"resumable"` // Resumable streams may go on at another target.
	Public      bool          `json:"public"`    // Public routes need no key.
	Timeout     time.Duration `json:"timeout"`   // Timeout is the longest time a request is held.
	Objective   time.Duration `json:"objective"` // Objective is the time to the (first) answer.
	Pause       time.Duration `json:"pause"`     // Pause is the longest time between events of a timely stream.
	Rank        int           `json:"rank"`      // Rank 0 is the most urgent.
	MaxAttempts int           `json:"max_attempts"`
	Split       []Share       `json:"split"` // Split names the services that take the requests.
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a group of targets that can serve the same requests.
type Service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"health_path"`
	MaxConnections int     `json:"max_connections"` // of one target, over the whole fleet
	Engine         *Engine `json:"engine,omitempty"`
	// ColdStart is how long a target stays cold after it has started.
	ColdStart time.Duration `json:"cold_start,omitempty"`
	// ColdRate is how many requests a second a cold target bears, 0 for any number.
	ColdRate float64 `json:"cold_rate,omitempty"`
}

// Engine describes the targets of a service that run a model.
type Engine struct {
	Slots       int `json:"slots"`        // requests that run at once
	CacheTokens int `json:"cache_tokens"` // tokens in memory, of running requests and kept prompts
	EventTokens int `json:"event_tokens"` // tokens in one event of a stream
	// Transfer tells how engines copy kept parts of prompts from each other, nil
	// where they do not.
	Transfer *Transfer `json:"transfer,omitempty"`
}

// Transfer describes the links over which engines copy the memory of prompts.
type Transfer struct {
	TokenBytes     float64 `json:"token_bytes"`      // bytes of memory of one token
	BytesPerSecond float64 `json:"bytes_per_second"` // bytes a second of an engine's link
}

// Time returns how long a link carries so many tokens.
func (t *Transfer) Time(tokens int) time.Duration {
	return time.Duration(float64(tokens) * t.TokenBytes / t.BytesPerSecond * float64(time.Second))
}

// ClientAccount is a tenant with its keys.
type ClientAccount struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Rank replaces the rank of the route where it is set.
	Rank *int `json:"rank,omitempty"`
}

// GetName returns the account's name, "" for requests that need no account.
func (a *ClientAccount) GetName() string {
	if a == nil {
		return ""
	}
	return a.Name
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes  int           `json:"max_header_bytes"`
	MaxBodyBytes    int64         `json:"max_body_bytes"`
	HeaderTimeout   time.Duration `json:"header_timeout"`
	IdleTimeout     time.Duration `json:"idle_timeout"`
	TokensPerSecond float64       `json:"tokens_per_second"` // of all targets together
}
