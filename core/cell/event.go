// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package cell is the scheduler of a cell: a few engines of one service that
// are scheduled together, by one gateway at a time. It sees all that runs and
// waits there, keeps prompts where their beginning is already read, shares the
// engines fairly between accounts and tells at once what cannot be served in
// time. A Cell is a pure state machine: Step(now, event) returns actions.
package cell

import (
	"time"

	"madderway/core/batch"
	"madderway/models/routing"
)

// RequestID names a request inside one life of its entry gateway.
type RequestID uint64

// Ask is a request that wants an engine.
type Ask struct {
	ID      RequestID
	Account string
	Rank    int
	Prompt  *routing.Prompt
	Hold    time.Duration // Hold is how long it may wait before it is refused.
	// Objective is how long the first event may take from now on, 0 for any time.
	Objective time.Duration
	Deny      []string // Deny names targets that may not serve it.
}

// Held is a request that runs at a target, as its entry gateway tells it to a
// scheduler that did not place it.
type Held struct {
	ID      RequestID
	Account string
	Target  string
	Prompt  *routing.Prompt
	Begun   bool
}

// TargetInfo is a target of the cell.
type TargetInfo struct {
	ID          string
	Slots       int
	CacheTokens int
	DataHall    string
	Leaving     bool
	// Evacuated tells that nothing may be sent to the target; what it keeps may still
	// be copied from it.
	Evacuated bool
	ColdUntil time.Time // ColdUntil is when it bears more than a cold target does.
}

// Event is something that a Cell reacts to.
type Event interface{ isEvent() }

// AskSeen is an ask of an entry gateway.
type AskSeen struct {
	Entry string
	Ask   Ask
}

// WithdrawSeen takes an ask back.
type WithdrawSeen struct {
	Entry string
	ID    RequestID
}

// BeganSeen tells that the first event of an answer came.
type BeganSeen struct {
	Entry string
	ID    RequestID
}

// EndedSeen tells that a request is no longer at its target.
type EndedSeen struct {
	Entry   string
	ID      RequestID
	Outcome batch.Outcome
}

// InventorySeen tells all that an entry gateway runs in this cell.
type InventorySeen struct {
	Entry string
	Held  []Held
}

// EntryGone tells that an entry gateway has ended; what it ran is closed.
type EntryGone struct{ Entry string }

// TargetsSeen replaces the targets.
type TargetsSeen struct {
	Targets         []TargetInfo
	TokensPerSecond float64 // of one target, a first guess
	Siblings        int     // other cells of the service
	// FairWindow is the span over which accounts are compared, 0 for the default.
	FairWindow time.Duration
	// Transfer tells how the targets copy prompts from each other, nil where they
	// do not.
	Transfer *routing.Transfer
	// ColdRate is how many requests a second a cold target bears, 0 for any number,
	// ColdShare the part of them that this scheduler may place there.
	ColdRate  float64
	ColdShare float64
}

// ColdShareSeen changes the part of what a cold target bears that this scheduler may
// place there.
type ColdShareSeen struct{ Share float64 }

// TallySeen tells what each account has been given in the cells of the service that
// another gateway schedules, as sums since its start.
type TallySeen struct {
	Source      string // Source is the gateway.
	Incarnation uint64 // Incarnation is the gateway's life.
	Rows        []TallyRow
}

// SiblingTallySeen tells what each account has just been given in another cell of the service
// that this gateway schedules.
type SiblingTallySeen struct{ Rows []TallyRow }

// TallyRow is the service of one account.
type TallyRow struct {
	Account string
	Service float64
	Before  float64 // Before is the sum as it was told last, where Service is a sum.
}

// CachedPartsSeen tells which parts of prompts a target says it keeps.
type CachedPartsSeen struct {
	Target string
	At     time.Time // At is when it was asked.
	Parts  []routing.PromptPart
}

// Tick lets time pass.
type Tick struct{}

func (AskSeen) isEvent()          {}
func (WithdrawSeen) isEvent()     {}
func (BeganSeen) isEvent()        {}
func (EndedSeen) isEvent()        {}
func (InventorySeen) isEvent()    {}
func (EntryGone) isEvent()        {}
func (TargetsSeen) isEvent()      {}
func (ColdShareSeen) isEvent()    {}
func (TallySeen) isEvent()        {}
func (SiblingTallySeen) isEvent() {}
func (CachedPartsSeen) isEvent()  {}
func (Tick) isEvent()             {}

// Action is something that the owner of a Cell must do.
type Action interface{ isAction() }

// Place tells an entry gateway to send a request to a target.
type Place struct {
	Entry  string
	ID     RequestID
	Target string
	Source string // Source is the target from which the beginning of the prompt is copied, or empty.
	Waited time.Duration
	// What follows explains the decision.
	Account string
	Subject uint64 // Subject is the deepest shared part of the prompt.
	Anew    int    // Anew is how many tokens of shared parts the engine reads again.
	Copied  int    // Copied is how many tokens it copies from the source.
	Why     Reason
}

// Reason is why a request went to the engine that it went to.
type Reason uint8

// The reasons.
const (
	ReasonCheapest Reason = iota // the least wait, what is kept counted in
	ReasonUnseen                 // the same, but no engine of the cell keeps the shared parts
	ReasonSpilled                // the engines that keep them were busy for too long
	ReasonStarved                // the same, and the account was owed far more than others
	reasons        = 4
)

var reasonNames = [reasons]string{"cheapest", "unseen", "spilled", "starved"}

// String returns the reason as logs and metrics show it.
func (r Reason) String() string { return reasonNames[r] }

// Wait tells an entry gateway that its request waits.
type Wait struct {
	Entry string
	ID    RequestID
}

// Refuse tells an entry gateway that a request cannot be served in time.
type Refuse struct {
	Entry      string
	ID         RequestID
	RetryAfter time.Duration
	Elsewhere  bool // Elsewhere tells that another cell should be asked: the account is owed more than it gets here.
	Account    string
	Waited     time.Duration
	Ahead      float64       // Ahead is the service that the account has had beyond the least served one that waits.
	Booked     time.Duration // Booked is how long the least busy target's reading was given away.
	Waiting    int           // Waiting is how many other requests wait.
}

func (Place) isAction()  {}
func (Wait) isAction()   {}
func (Refuse) isAction() {}
