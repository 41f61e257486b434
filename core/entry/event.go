// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package entry is the entry gateway's side of scheduling: it asks the
// scheduler of a cell for a target, notices when that scheduler is silent and
// goes on with the next one, at last with itself. A Machine is a pure state
// machine: Step(now, event) returns actions.
package entry

import (
	"time"

	"madderway/core/batch"
	"madderway/core/cell"
)

// Event is something that a Machine reacts to.
type Event interface{ isEvent() }

// Submitted is a request that wants a target.
type Submitted struct {
	Service string
	Ask     cell.Ask
}

// Withdrawn takes a request back whose caller has gone or whose time is over.
type Withdrawn struct{ ID cell.RequestID }

// Began tells that the first event of an answer came.
type Began struct{ ID cell.RequestID }

// Ended tells that a request is no longer at its target.
type Ended struct {
	ID      cell.RequestID
	Outcome batch.Outcome
}

// PlacementSeen is a scheduler's word where a request goes.
type PlacementSeen struct {
	From   string
	Cell   cell.Key
	ID     cell.RequestID
	Target string
	Source string // Source is the target to copy the beginning of the prompt from, or empty.
}

// WaitSeen is a scheduler's word that a request waits.
type WaitSeen struct {
	From string
	ID   cell.RequestID
}

// RefusalSeen is a scheduler's word that a request cannot be served in time.
type RefusalSeen struct {
	From       string
	ID         cell.RequestID
	RetryAfter time.Duration
	Elsewhere  bool // Elsewhere tells that another cell should be asked.
}

// LayoutSeen replaces the cells.
type LayoutSeen struct{ Layout *cell.Layout }

// PeerHeard tells that a gateway has sent anything.
type PeerHeard struct{ ID string }

// PeerRestarted tells that a gateway has ended or begun a new life.
type PeerRestarted struct{ ID string }

// LinkStateSeen tells whether this gateway's link is full, so that what schedulers answer
// is late here. A short processor is told by the lag of ticks.
type LinkStateSeen struct{ Strained bool }

// Tick lets time pass. Lag is how late it comes: in that time the gateway did
// not hear what it was sent.
type Tick struct{ Lag time.Duration }

func (Submitted) isEvent()     {}
func (Withdrawn) isEvent()     {}
func (Began) isEvent()         {}
func (Ended) isEvent()         {}
func (PlacementSeen) isEvent() {}
func (WaitSeen) isEvent()      {}
func (RefusalSeen) isEvent()   {}
func (LayoutSeen) isEvent()    {}
func (PeerHeard) isEvent()     {}
func (PeerRestarted) isEvent() {}
func (LinkStateSeen) isEvent() {}
func (Tick) isEvent()          {}

// Action is something that the owner of a Machine must do.
type Action interface{ isAction() }

// AskOut sends an ask to a scheduler.
type AskOut struct {
	To   string
	Cell cell.Key
	Ask  cell.Ask
}

// ProgressOut tells a scheduler what became of a request.
type ProgressOut struct {
	To      string
	Cell    cell.Key
	ID      cell.RequestID
	Step    Step
	Outcome batch.Outcome
}

// Step is a step of a request at its target.
type Step uint8

// The steps.
const (
	StepBegan Step = iota + 1
	StepEnded
	StepWithdrawn
)

// InventoryOut tells a scheduler all that runs here in its cell.
type InventoryOut struct {
	To   string
	Cell cell.Key
	Held []cell.Held
}

// Start tells that a request goes to a target.
type Start struct {
	ID        cell.RequestID
	Target    string
	Source    string // Source is the target to copy the beginning of the prompt from, or empty.
	Scheduler string
	Waited    time.Duration
}

// Refuse tells that a request is not served.
type Refuse struct {
	ID         cell.RequestID
	Scheduler  string
	RetryAfter time.Duration
}

// Suspect tells that a scheduler has been silent.
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
