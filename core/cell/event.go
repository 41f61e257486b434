// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package cell schedules the requests of a cell, a few targets of one service. It
// prefers targets with the prompt's prefix in their cache, shares capacity fairly
// between accounts and refuses requests that cannot be served in time.
//
// One gateway schedules a cell at a time, and the gateways where requests arrive ask it
// (core/entry). Router processes use core/sched instead. A Cell is a pure state machine:
// Step returns actions. In the prefill a target computes the prompt tokens that are not in
// its cache; those of shared parts are called reread. Prefill time committed to placed
// requests is called booked. Service is counted in tokens, with outputWeight for output
// tokens.
package cell

import (
	"slices"
	"time"

	"madderway/core/batch"
	"madderway/models/routing"
)

// RequestID identifies a request within one incarnation of its entry gateway.
type RequestID uint64

// Ask is a request that needs a target.
type Ask struct {
	ID      RequestID
	Account string
	Rank    int
	Prompt  *routing.Prompt
	Hold    time.Duration // longest wait before it is refused
	// Longest time from now to the first event, 0 for no limit.
	Objective time.Duration
	Deny      []string // targets that may not serve it
	DataHall  string   // of the entry gateway
	BodyBytes int
	Remaining time.Duration // time to the caller's deadline, 0 if unknown
	// Bound restricts the request to targets of one software version: it continues a stream.
	Bound    bool
	Software string
}

// mayUse reports whether a target may serve the request, as far as the request decides that.
func (a *Ask) mayUse(t *TargetInfo) bool {
	return !slices.Contains(a.Deny, t.ID) && (!a.Bound || a.Software == t.Software)
}

// Held is a running request in an entry gateway's inventory.
type Held struct {
	ID      RequestID
	Account string
	Target  string
	Prompt  *routing.Prompt
	Begun   bool // its first event has come
}

// TargetInfo describes a target of the cell.
type TargetInfo struct {
	ID          string
	Slots       int
	CacheTokens int
	DataHall    string
	Leaving     bool
	// The target gets no requests, but its cached parts may be copied.
	Evacuated bool
	ColdUntil time.Time // until then the target gets at most TargetsSeen.ColdRate
	Software  string    // version
}

// Event is an input of a Cell.
type Event interface{ isEvent() }

// AskSeen reports a request of an entry gateway.
type AskSeen struct {
	Entry string
	Ask   Ask
}

// WithdrawSeen cancels a request.
type WithdrawSeen struct {
	Entry string
	ID    RequestID
}

// BeganSeen reports the first event of a response.
type BeganSeen struct {
	Entry string
	ID    RequestID
}

// EndedSeen reports that a request is no longer at its target.
type EndedSeen struct {
	Entry   string
	ID      RequestID
	Outcome batch.Outcome
}

// InventorySeen lists all requests that an entry gateway runs in this cell.
type InventorySeen struct {
	Entry string
	Held  []Held
}

// EntryEnded reports that an entry gateway's incarnation has ended, and its requests with it.
type EntryEnded struct{ Entry string }

// TargetsSeen replaces the list of targets and the settings of the cell.
type TargetsSeen struct {
	Targets         []TargetInfo
	TokensPerSecond float64 // initial estimate for one target
	Siblings        int     // number of the service's other cells
	// Span over which accounts are compared, 0 for the default.
	FairWindow time.Duration
	// Links over which targets copy cached prompts, nil if they do not copy.
	Transfer *routing.Transfer
	// Requests per second that a cold target can serve, 0 for no limit, and the part of
	// them that this scheduler may place.
	ColdRate  float64
	ColdShare float64
	Rules     Rules
}

// ColdShareSeen changes the part of TargetsSeen.ColdRate that this scheduler may place.
type ColdShareSeen struct{ Share float64 }

// TallySeen reports the service of each account in the cells of the service that another
// gateway schedules, as totals since that gateway's start.
type TallySeen struct {
	Source      string // gateway ID
	Incarnation uint64
	Rows        []TallyRow
}

// SiblingTallySeen reports the service that accounts newly got in another cell of the
// service scheduled by this gateway.
type SiblingTallySeen struct{ Rows []TallyRow }

// TallyRow is the service of one account, in tokens.
type TallyRow struct {
	Account string
	Service float64
	Before  float64 // total in the previous report, if Service is a total
}

// CachedPartsSeen reports the prompt parts in a target's cache.
type CachedPartsSeen struct {
	Target string
	At     time.Time // time of the query
	Parts  []routing.PromptPart
}

// CachedPartsAsked reports that all targets were asked for the prompt parts in their caches,
// after the scheduler has taken over. Until then no shared part is prefilled that a target
// may have.
type CachedPartsAsked struct{ Until time.Time }

// StandstillEnded reports that this process stood still until now. What happened to running requests
// meanwhile is heard late and says nothing on their targets' speed.
type StandstillEnded struct{}

// Tick reports that time has passed.
type Tick struct{}

func (AskSeen) isEvent()          {}
func (WithdrawSeen) isEvent()     {}
func (BeganSeen) isEvent()        {}
func (EndedSeen) isEvent()        {}
func (InventorySeen) isEvent()    {}
func (EntryEnded) isEvent()       {}
func (TargetsSeen) isEvent()      {}
func (ColdShareSeen) isEvent()    {}
func (TallySeen) isEvent()        {}
func (SiblingTallySeen) isEvent() {}
func (CachedPartsSeen) isEvent()  {}
func (CachedPartsAsked) isEvent() {}
func (StandstillEnded) isEvent()  {}
func (Tick) isEvent()             {}

// Action is a task for the owner of a Cell.
type Action interface{ isAction() }

// Place makes an entry gateway send a request to a target.
type Place struct {
	Entry  string
	ID     RequestID
	Target string
	Source string // target from which the prompt's prefix is copied, or empty
	Waited time.Duration
	// The remaining fields explain the decision.
	Account      string
	Affinity     uint64 // ID of the deepest shared part of the prompt
	RereadTokens int    // tokens of shared parts that the target prefills again
	CopiedTokens int    // tokens copied from Source
	Reason       Reason
	Crosses      bool // the target is in another data hall than the entry
}

// Reason explains the choice of a target.
type Reason uint8

// Reasons for the choice of a target.
const (
	ReasonCheapest Reason = iota // lowest cost, cached parts included
	ReasonUnseen                 // lowest cost, but no target has the shared parts in its cache
	ReasonSpilled                // the targets with the shared parts were too busy
	ReasonStarved                // as ReasonSpilled, for an account that was starved
	ReasonProbe                  // instead of a refusal, at a target that had long been idle
	reasonCount    = 5
)

var reasonNames = [reasonCount]string{"cheapest", "unseen", "spilled", "starved", "probe"}

// String returns the reason as used in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Wait acknowledges a request that waits.
type Wait struct {
	Entry string
	ID    RequestID
}

// Refuse reports that a request cannot be served in time.
type Refuse struct {
	Entry      string
	ID         RequestID
	RetryAfter time.Duration
	Elsewhere  bool // the request should be tried in another cell of the service
	Cell       Key  // the cell to try it in, or empty if none is known to have room
	Account    string
	Waited     time.Duration
	Ahead      float64       // service beyond that of the least served waiting account
	Booked     time.Duration // prefill time booked at the least busy target, -1 if none is usable
	Waiting    int           // number of other waiting requests
	Return     Return        // how RetryAfter came about
	SinceFirst time.Duration // since the first attempt
}

func (Place) isAction()  {}
func (Wait) isAction()   {}
func (Refuse) isAction() {}
