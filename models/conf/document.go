// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package conf defines the configuration document that operators submit: client
// accounts, pools, targets and policies. A document is versioned as a whole and
// stored as chunks that are addressed by their hash. Router processes use it; package
// routing is its counterpart for gateway processes.
package conf

import (
	"crypto/sha256"
	"encoding/hex"
)

// PoolKind selects the protocol of a pool's targets.
type PoolKind string

// The kinds of pool.
const (
	KindModel   PoolKind = "model"
	KindService PoolKind = "service"
)

// Document is the whole configuration. It is not changed in place once checked.
type Document struct {
	Accounts []ClientAccount `toml:"account" json:"account"`
	Pools    []Pool          `toml:"pool" json:"pool"`
	Targets  []Target        `toml:"target" json:"target"`
	Policies []Policy        `toml:"policy" json:"policy"`
}

// ClientAccount is one customer of the fleet.
type ClientAccount struct {
	Name           string   `toml:"name" json:"name"`
	KeySHA256      []string `toml:"key_sha256" json:"key_sha256"`             // hex
	Weight         float64  `toml:"weight" json:"weight"`                     // fair share relative to other accounts; default 1
	MaxQueued      int      `toml:"max_queued" json:"max_queued"`             // queued requests per router
	MaxQueuedBytes int64    `toml:"max_queued_bytes" json:"max_queued_bytes"` // queued bytes per router
	Policy         string   `toml:"policy" json:"policy"`
	KeepAnswers    int      `toml:"keep_answers" json:"keep_answers"`           // number of recorded responses kept in the object store
	KeepBytes      int64    `toml:"keep_answer_bytes" json:"keep_answer_bytes"` // bytes of recorded responses kept in the object store
}

// Pool is a set of interchangeable targets for the same models or plain service.
// Accounts share the capacity of each pool separately; weights convert requests to
// cost units.
type Pool struct {
	Name         string   `toml:"name" json:"name"`
	Kind         PoolKind `toml:"kind" json:"kind"`
	Models       []string `toml:"models" json:"models,omitempty"`
	PromptWeight float64  `toml:"prompt_weight" json:"prompt_weight"` // cost units per uncached prompt token
	OutputWeight float64  `toml:"output_weight" json:"output_weight"` // cost units per output token
	MilliWeight  float64  `toml:"milli_weight" json:"milli_weight"`   // cost units per millisecond of a plain call
	MaxCost      float64  `toml:"max_cost" json:"max_cost"`           // maximum cost of one request
	Quantum      float64  `toml:"quantum" json:"quantum"`             // cost units that one grant gives to an account
	HeadStart    float64  `toml:"head_start" json:"head_start"`       // cost units of advantage for interactive requests
	TimeoutMS    int      `toml:"timeout_ms" json:"timeout_ms"`       // queueing and execution together
}

// Target is a worker that serves requests of a pool.
type Target struct {
	Name         string `toml:"name" json:"name"`
	Pool         string `toml:"pool" json:"pool"`
	Address      string `toml:"address" json:"address"` // IP address and port
	DataHall     string `toml:"data_hall" json:"data_hall"`
	Region       string `toml:"region" json:"region"`
	Slots        int    `toml:"slots" json:"slots"`                 // maximum concurrent requests
	ChecksOrders bool   `toml:"checks_orders" json:"checks_orders"` // rejects orders with an outdated epoch
	Leaving      bool   `toml:"leaving" json:"leaving"`
}

// Policy is a Starlark program that accounts refer to by name.
type Policy struct {
	Name   string `toml:"name" json:"name"`
	File   string `toml:"file" json:"-"` // loaded into Source on submission; relative to the document
	Source string `toml:"source" json:"source"`
}

// Hash returns the SHA-256 of content in hex.
func Hash(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
