// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package entry implements the entry gateway's side of scheduling. It asks the
// scheduler of a cell (core/cell) for a target and fails over to the next scheduler when
// there is no answer in time; the last resort is the gateway's own scheduler.
// Router processes use core/admit instead.
//
// A Machine does no I/O and reads no clock: Step takes an event and returns
// the actions that the caller must perform.
package entry

import (
	"time"

	"madderway/core/batch"
	"madderway/core/cell"
)

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// Submitted is a new request that needs a target.
type Submitted struct {
	Service string
	Ask     cell.Ask
	// Settle holds the request back until the gateway knows the others; see SettleSeen.
	Settle bool
}

// Withdrawn cancels a request whose caller disconnected or whose deadline passed.
type Withdrawn struct{ ID cell.RequestID }

// Began reports the first event of a response.
type Began struct{ ID cell.RequestID }

// Ended reports that a request is no longer at its target.
type Ended struct {
	ID      cell.RequestID
	Outcome batch.Outcome
}

// PlacementSeen is a scheduler's decision which target serves a request.
type PlacementSeen struct {
	From   string
	Cell   cell.Key
	ID     cell.RequestID
	Target string
	Source string // target to copy the beginning of the prompt from, or empty
}

// WaitSeen is a scheduler's notice that it has queued a request.
type WaitSeen struct {
	From string
	ID   cell.RequestID
}

// RefusalSeen is a scheduler's notice that it cannot serve a request in time.
type RefusalSeen struct {
	From       string
	ID         cell.RequestID
	RetryAfter time.Duration
	Elsewhere  bool     // another cell may have capacity
	Cell       cell.Key // the cell that has room, or empty if none is known
}

// LayoutSeen replaces the assignment of targets and schedulers to cells.
type LayoutSeen struct{ Layout *cell.Layout }

// SettleSeen reports until when a gateway that has just started is still learning of the
// others. Its layout names wrong schedulers meanwhile, which know nothing of the load.
type SettleSeen struct{ Until time.Time }

// PeerHeard reports that any message arrived from a gateway.
type PeerHeard struct{ ID string }

// PeerEnded reports that a gateway's incarnation has ended: it is dead or has restarted.
type PeerEnded struct{ ID string }

// LinkStateSeen reports whether this gateway's network link is saturated, so that
// answers of schedulers arrive late. A lack of processor time shows as Tick.Lag instead.
type LinkStateSeen struct{ Saturated bool }

// Tick drives timeouts and must come regularly. Lag is its delay, during which the
// gateway did not process incoming messages.
type Tick struct{ Lag time.Duration }

func (Submitted) isEvent()     {}
func (Withdrawn) isEvent()     {}
func (Began) isEvent()         {}
func (Ended) isEvent()         {}
func (PlacementSeen) isEvent() {}
func (WaitSeen) isEvent()      {}
func (RefusalSeen) isEvent()   {}
func (LayoutSeen) isEvent()    {}
func (SettleSeen) isEvent()    {}
func (PeerHeard) isEvent()     {}
func (PeerEnded) isEvent()     {}
func (LinkStateSeen) isEvent() {}
func (Tick) isEvent()          {}

// Action is an output of Machine.Step that the caller must perform.
type Action interface{ isAction() }

// AskOut asks a scheduler to place a request.
type AskOut struct {
	To   string
	Cell cell.Key
	Ask  cell.Ask
}

// ProgressOut reports a request's progress to a scheduler.
type ProgressOut struct {
	To      string
	Cell    cell.Key
	ID      cell.RequestID
	Step    Step
	Outcome batch.Outcome
}

// Step is a stage of a request.
type Step uint8

// Steps of a request.
const (
	StepBegan Step = iota + 1
	StepEnded
	StepWithdrawn
)

// InventoryOut lists for a scheduler all requests of its cell that this gateway runs.
type InventoryOut struct {
	To   string
	Cell cell.Key
	Held []cell.Held
}

// Start sends a request to a target.
type Start struct {
	ID        cell.RequestID
	Target    string
	Source    string // target to copy the beginning of the prompt from, or empty
	Scheduler string
	Waited    time.Duration
}

// Refuse rejects a request.
type Refuse struct {
	ID         cell.RequestID
	Scheduler  string
	RetryAfter time.Duration
}

// Suspect reports that a scheduler did not answer and is avoided for a while.
type Suspect struct {
	ID   string
	Cell cell.Key
	For  time.Duration
}

func (AskOut) isAction()       {}
func (ProgressOut) isAction()  {}
func (InventoryOut) isAction() {}
func (Start) isAction()        {}
func (Refuse) isAction()       {}
func (Suspect) isAction()      {}
