// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"sort"
	"time"
)

// State is what a dump shows of a cell.
type State struct {
	Key      Key            `json:"key"`
	Counts   Counts         `json:"counts"`
	Waiting  int            `json:"waiting"`
	Running  int            `json:"running"`
	Targets  []TargetState  `json:"targets"`
	Accounts []AccountState `json:"accounts"`
}

// TargetState is what a scheduler believes of a target.
type TargetState struct {
	ID      string        `json:"id"`
	Running int           `json:"running"`
	Backlog time.Duration `json:"backlog_ns"`
	Booked  time.Duration `json:"booked_ns"`
	Speed   float64       `json:"tokens_per_second"`
	Errors  float64       `json:"share_failed"`
	Usable  bool          `json:"usable"`
	Leaving bool          `json:"leaving"`
	// Evacuated tells that its data hall is evacuated, Cold that it gets little since
	// it has just started.
	Evacuated bool `json:"evacuated,omitempty"`
	Cold      bool `json:"cold,omitempty"`
}

// AccountState is an account's queue.
type AccountState struct {
	Name    string  `json:"name"`
	Level   float64 `json:"service_of_late"`
	Waiting int     `json:"waiting"`
}

// State returns what the cell believes.
func (c *Cell) State(now time.Time) State {
	s := State{Counts: c.counts, Waiting: len(c.waiting), Running: len(c.runs)}
	for _, t := range c.sorted {
		s.Targets = append(s.Targets, TargetState{
			ID: t.info.ID, Running: t.engine.Running(), Backlog: t.engine.Backlog(now), Booked: t.engine.Booked(now),
			Speed: t.engine.Speed(), Errors: t.engine.Errors(now), Usable: t.engine.Usable(now), Leaving: t.info.Leaving,
			Evacuated: t.info.Evacuated, Cold: c.isCold(now, t),
		})
	}
	for _, a := range c.accounts {
		a.fade(now)
		s.Accounts = append(s.Accounts, AccountState{Name: a.name, Level: a.level, Waiting: len(a.queue)})
	}
	sort.Slice(s.Accounts, func(i, j int) bool { return s.Accounts[i].Name < s.Accounts[j].Name })
	return s
}
