// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package vm defines the entries of the platform's VM list: the machines on which
// routers and targets run.
package vm

// State is the lifecycle state of a VM in the platform's list.
type State string

// The values of State.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Role is the kind of process that runs on a VM.
type Role string

// The values of Role.
const (
	RoleRouter Role = "router"
	RoleTarget Role = "target"
)

// VM is an entry of the platform's list. The list lags behind the actual state.
type VM struct {
	ID       string `json:"id"`
	Role     Role   `json:"role"`
	Address  string `json:"address"` // IP address and port of the peer listener
	DataHall string `json:"data_hall"`
	Region   string `json:"region"`
	State    State  `json:"state"`
}
