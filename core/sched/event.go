// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package sched grants free slots of targets to accounts, in proportion to their weights.
// Entry routers (core/admit) send it demands. A Scheduler is a pure state machine: Step
// takes an event and returns actions. Gateway processes use core/cell instead.
package sched

import (
	"time"

	"madderway/core/fair"
	"madderway/core/message"
	"madderway/core/place"
)

// Event is an input of a Scheduler.
type Event interface{ isEvent() }

// PoolSpec holds the settings of a pool.
type PoolSpec struct {
	Name         string
	HeadStart    float64 // advantage of interactive requests, in service units
	Quantum      float64 // service that a grant may use before its slot is given back, in service units
	MaxDebt      float64 // bounds an account's debt after a partition, in virtual units
	ReserveShare float64 // part of the slots kept for interactive requests while such requests arrive
	Peers        []fair.Reporter
}

// TargetSpec describes a target that this scheduler owns.
type TargetSpec struct {
	Name           string
	Pool           string
	DataHall       string
	Slots          int
	Leaving        bool
	FirstTokenGoal time.Duration
	TokenGapGoal   time.Duration
}

// Configured replaces the pools, owned targets and account weights.
type Configured struct {
	Pools          []PoolSpec
	Targets        []TargetSpec
	Weights        map[string]float64
	EntryDataHalls map[string]string // data hall of each entry router
}

// DemandSeen reports a demand of an entry router.
type DemandSeen struct {
	From   string
	Demand message.Demand
}

// ReportSeen reports the progress or end of a grant.
type ReportSeen struct {
	From   string
	Report message.Report
}

// InventorySeen lists the grants that an entry router holds.
type InventorySeen struct {
	From      string
	Inventory message.Inventory
}

// TallySeen delivers a tally of another scheduler.
type TallySeen struct {
	From  fair.Reporter
	Tally message.Tally
}

// LoadSeen is a delayed load report of an owned target.
type LoadSeen struct {
	Target  string
	Running int
	Healthy bool
	Leaving bool
}

// CacheSeen is a batch of cache events of an owned target. Batches may be late or missing.
type CacheSeen struct {
	Target string
	Events []place.CacheEvent
}

// EntryEnded reports that an entry router's incarnation has ended.
type EntryEnded struct{ ID string }

// Tick reports that time has passed.
type Tick struct{}

func (Configured) isEvent()    {}
func (DemandSeen) isEvent()    {}
func (ReportSeen) isEvent()    {}
func (InventorySeen) isEvent() {}
func (TallySeen) isEvent()     {}
func (LoadSeen) isEvent()      {}
func (CacheSeen) isEvent()     {}
func (EntryEnded) isEvent()    {}
func (Tick) isEvent()          {}

// Action is a task for the owner of a Scheduler.
type Action interface{ isAction() }

// GrantOut sends a grant to an entry router.
type GrantOut struct {
	To    string
	Grant message.Grant
}

// TallyOut sends a tally to another scheduler.
type TallyOut struct {
	To    string
	Tally message.Tally
}

func (GrantOut) isAction() {}
func (TallyOut) isAction() {}
