// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"sort"
	"time"

	"madderway/core/forecast"
	"madderway/core/promise"
)

// State is a cell in a state dump.
type State struct {
	Key      Key            `json:"key"`
	Counts   Counts         `json:"counts"`
	Waiting  int            `json:"waiting"`
	Running  int            `json:"running"`
	Targets  []TargetState  `json:"targets"`
	Accounts []AccountState `json:"accounts"`
	// Forecast is nil without Rules.Forecast.
	Forecast *ForecastState `json:"forecast,omitempty"`
	Returns  *ReturnState   `json:"returns,omitempty"` // nil if returns are not scheduled
}

// ForecastState holds the errors of a cell's forecasts.
type ForecastState struct {
	Margin    time.Duration `json:"margin_ns"`     // that forecasts are given for their error
	MeanError time.Duration `json:"mean_error_ns"` // actual less forecast begin
	// Tightest is the least time to spare of the requests asked lately, without rare ones.
	Tightest time.Duration `json:"tightest_slack_ns"`
	// Late counts the forecasts that were compared, by forecast.ErrorBounds.
	Late forecast.Stats `json:"late"`
}

// Forecast returns the state of the cell's forecasts, or nil if it makes none.
func (c *Cell) Forecast() *ForecastState {
	if !c.rules.Forecast {
		return nil
	}
	o := &c.forecaster
	return &ForecastState{Margin: o.margin.Get(), MeanError: o.margin.Mean(), Tightest: o.slack.Tightest(), Late: o.margin.Stats()}
}

// ReturnState is the state of the returns of refused requests.
type ReturnState struct {
	promise.Counts
	Outstanding int     `json:"outstanding"`
	NewWork     float64 `json:"new_tokens_per_second"` // prefilled for new requests of late
}

// TargetState is a scheduler's view of a target.
type TargetState struct {
	ID      string        `json:"id"`
	Running int           `json:"running"`
	Backlog time.Duration `json:"backlog_ns"`
	Booked  time.Duration `json:"booked_ns"`
	Speed   float64       `json:"tokens_per_second"`
	Errors  float64       `json:"share_failed"`
	Usable  bool          `json:"usable"`
	Leaving bool          `json:"leaving"`
	// Evacuated: its data hall is evacuated. Cold: it was started recently and is rate
	// limited.
	Evacuated bool `json:"evacuated,omitempty"`
	Cold      bool `json:"cold,omitempty"`
}

// AccountState is the queue of an account.
type AccountState struct {
	Name    string  `json:"name"`
	Level   float64 `json:"service_of_late"`
	Waiting int     `json:"waiting"`
}

// State returns the state of the cell for a dump.
func (c *Cell) State(now time.Time) State {
	s := State{Counts: c.counts, Waiting: len(c.waiting), Running: len(c.runs), Forecast: c.Forecast(), Returns: c.returnState(now)}
	for _, t := range c.sorted {
		s.Targets = append(s.Targets, TargetState{
			ID: t.info.ID, Running: t.engine.Running(), Backlog: t.engine.Backlog(now), Booked: t.engine.Booked(now),
			Speed: t.engine.PrefillSpeed(), Errors: t.engine.ErrorRate(now), Usable: t.engine.Usable(now), Leaving: t.info.Leaving,
			Evacuated: t.info.Evacuated, Cold: c.isCold(now, t),
		})
	}
	for _, a := range c.accounts {
		a.decay(now)
		s.Accounts = append(s.Accounts, AccountState{Name: a.name, Level: a.level, Waiting: len(a.queue)})
	}
	sort.Slice(s.Accounts, func(i, j int) bool { return s.Accounts[i].Name < s.Accounts[j].Name })
	return s
}
