// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package admit is the entry router's side of scheduling: it queues requests by account and
// pool, sends demands to schedulers (core/sched) and decides which request uses a grant. A
// Queuer is a pure state machine: Step takes the time and an event and returns actions.
// Gateway processes use core/entry and core/cell instead.
package admit

import (
	"time"

	"madderway/core/fair"
	"madderway/core/message"
	"madderway/models/result"
)

// RequestID identifies a request within one router process.
type RequestID uint64

// Request is a request to be queued, with the limits of its account.
type Request struct {
	ID          RequestID
	Account     string
	Pool        string
	Rank        int  // lowest goes first within the account
	Interactive bool // gets the pool's head start
	Cost        float64
	Bytes       int64
	Deadline    time.Time
	Deny        []string           // targets that may not serve it
	Prefer      map[string]float64 // affinity score by target
	Prefix      string             // ID of the prompt prefix, or empty
	Weight      float64            // fair share of the account
	MaxQueued   int
	MaxBytes    int64
}

// GrantKey identifies a grant across schedulers.
type GrantKey struct {
	Scheduler string
	ID        message.GrantID
}

// Event is an input of a Dispatcher.
type Event interface{ isEvent() }

// Arrived queues a request.
type Arrived struct{ Request Request }

// Canceled removes a waiting request whose caller has disconnected.
type Canceled struct{ ID RequestID }

// GrantSeen delivers a grant from a scheduler.
type GrantSeen struct {
	From  string
	Grant message.Grant
}

// Progressed reports the cost of a running request so far, in service units.
type Progressed struct {
	ID   RequestID
	Cost float64
}

// Finished reports that a started request no longer uses its target.
type Finished struct {
	ID         RequestID
	Cost       float64
	FirstToken time.Duration
	TokenGap   time.Duration
	Failed     bool
}

// Route is a target with the scheduler that owns it.
type Route struct {
	Target    string
	Scheduler fair.Reporter
	Distance  int // 0 in the same data hall, 1 in the same region, 2 elsewhere
}

// Routed replaces the routes of all pools.
type Routed struct{ Pools map[string][]Route }

// LoadSeen delivers a delayed load report; only the naive dispatcher uses it.
type LoadSeen struct {
	Target  string
	Running int
	Slots   int
}

// Tick triggers what is due by time.
type Tick struct{}

func (Arrived) isEvent()    {}
func (Canceled) isEvent()   {}
func (GrantSeen) isEvent()  {}
func (Progressed) isEvent() {}
func (Finished) isEvent()   {}
func (Routed) isEvent()     {}
func (LoadSeen) isEvent()   {}
func (Tick) isEvent()       {}

// Action is an output that the caller of Step must carry out.
type Action interface{ isAction() }

// DemandOut sends a demand to a scheduler.
type DemandOut struct {
	To     string
	Demand message.Demand
	Lazy   bool // may be batched with other messages to the same router
}

// ReportOut sends a report to a scheduler.
type ReportOut struct {
	To     string
	Report message.Report
	Lazy   bool
}

// InventoryOut sends an inventory to a scheduler.
type InventoryOut struct {
	To        string
	Inventory message.Inventory
}

// Start starts a request at a target.
type Start struct {
	ID        RequestID
	Target    string
	Scheduler string
	Grant     message.GrantID
	Waited    time.Duration
}

// Refuse ends a request that did not start.
type Refuse struct {
	ID         RequestID
	Code       result.Code
	RetryAfter time.Duration
}

func (DemandOut) isAction()    {}
func (ReportOut) isAction()    {}
func (InventoryOut) isAction() {}
func (Start) isAction()        {}
func (Refuse) isAction()       {}

// Dispatcher decides when and where requests start.
type Dispatcher interface {
	// Step handles one event and returns the actions to carry out.
	Step(now time.Time, ev Event) []Action
	// State returns the contents of a state dump.
	State() State
	// Queued returns the number of waiting requests.
	Queued() int
}

// State is the state dump of a Dispatcher.
type State struct {
	Queues  []QueueState `json:"queues"`
	Running int          `json:"running"`
	Unused  uint64       `json:"grants_unused_total"`
}

// QueueState is the state dump of one queue.
type QueueState struct {
	Account string   `json:"account"`
	Pool    string   `json:"pool"`
	Length  int      `json:"length"`
	Bytes   int64    `json:"bytes"`
	Asked   []string `json:"asked_schedulers"`
}
