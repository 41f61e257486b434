// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package message defines the messages between entry routers and schedulers. Each carries
// full state or may be repeated: a lost, duplicate or late message costs efficiency, never
// correctness.
package message

import (
	"time"

	"madderway/core/fair"
)

// GrantID identifies a grant of one incarnation of a scheduler.
type GrantID uint64

// Demand is the number of an account's requests that wait at an entry router for a pool.
// It replaces the router's earlier demand for the account.
type Demand struct {
	Account     string
	Pool        string
	Count       int      // waiting requests
	Interactive int      // waiting requests of an interactive class
	Cost        float64  // estimate for one request, in service units
	Deny        []string // targets that may not serve the first request
	Prefix      string   // prompt prefix of the first request, or empty
}

// Grant allows an entry router to start one request at a target.
type Grant struct {
	ID              GrantID
	Account         string
	Pool            string
	Target          string
	InteractiveOnly bool
	Charged         float64 // already charged to the account, in service units
	Quantum         float64 // service that may be used before the slot is given back, in service units
	Free            int     // slots of the pool that are still free at the scheduler
	Waiting         bool    // accounts wait at the scheduler
}

// ReportKind is the progress of a grant.
type ReportKind uint8

// The kinds of report.
const (
	ReportProgress ReportKind = iota + 1 // the request costs more than was charged
	ReportDone                           // the slot is free again
	ReportUnused                         // no request was started; the charge is reversed
)

// Report tells a scheduler the progress of one of its grants. Cost is cumulative.
type Report struct {
	Grant      GrantID
	Kind       ReportKind
	Cost       float64
	FirstToken time.Duration
	TokenGap   time.Duration
	Failed     bool // the target could not be used
}

// Adoption tells the new scheduler of a target about a running request there.
type Adoption struct {
	Grant   GrantID
	Account string
	Pool    string
	Target  string
	Charged float64
}

// Inventory lists the grants of a scheduler that an entry router still holds.
type Inventory struct {
	Held  []GrantID
	Adopt []Adoption
}

// Tally carries the service counters of one scheduler for one pool.
type Tally struct {
	Pool    string
	Seq     uint64
	Waiting bool    // accounts wait at the sender
	Floor   float64 // least virtual service of a waiting account, or the last start tag
	Rows    []fair.Row
	Foreign []fair.ForeignRow // rows of other schedulers, sent to one that has just started
}
