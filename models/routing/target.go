// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package routing

import (
	"strconv"
	"time"
)

// Target is one worker of a service, as the platform last listed it.
type Target struct {
	// ID identifies one incarnation of a worker. State that is kept by ID does not carry
	// over a restart of the worker.
	ID string `json:"id"`
	// Name is the worker's name, the same for all incarnations; empty if equal to ID.
	Name string `json:"name,omitempty"`
	// Born is the start time of this incarnation in Unix milliseconds, as the worker reports
	// it; 0 if unknown.
	Born     int64  `json:"born,omitempty"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	DataHall string `json:"data_hall"`
	// Software is the version of the worker's software. A stream may continue only at targets of
	// the version that began it.
	Software string `json:"software,omitempty"`
	Slots    int    `json:"slots"`
	Leaving  bool   `json:"leaving"`
	// ColdFor is the remaining time as a cold target when the entry was read. It is sent
	// between processes; each process converts it to ColdUntil on its own clock.
	ColdFor   time.Duration `json:"cold_for,omitempty"`
	ColdUntil time.Time     `json:"-"`
	// Evacuated is set while the operator evacuates the target's data hall.
	Evacuated bool `json:"-"`
}

// TargetID returns the ID of the worker's incarnation with this start time in Unix
// milliseconds; 0 means unknown.
func TargetID(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + "@" + strconv.FormatInt(born, 10)
}

// WorkerName returns the worker's name, which survives restarts.
func (t *Target) WorkerName() string {
	if t.Name == "" {
		return t.ID
	}
	return t.Name
}

// AcceptsWork reports whether the target may get new requests.
func (t *Target) AcceptsWork() bool { return !t.Leaving && !t.Evacuated }

// Cold reports whether the target has started recently, which limits it to its service's
// ColdRate.
func (t *Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }
