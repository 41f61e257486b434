// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forecast

import (
	"time"

	"madderway/modules/saturate"
)

const (
	// errorGain is the weight of a new error. Some tens of requests after a stall the margin
	// is small again.
	errorGain = 1.0 / 16
	// maxError bounds one error: beyond it nobody is in time, however late.
	maxError = 2 * time.Second
)

// Margin is the time to add to forecasts for their measured error.
type Margin struct {
	mean      time.Duration // of actual less forecast
	deviation time.Duration // mean absolute deviation of it
	stats     Stats
}

// Stats are totals of forecasts that were compared with what came.
type Stats struct {
	Forecasts uint64 `json:"forecasts"`
	// Errors counts forecasts by how much later than forecast the response began, with the
	// upper bounds of ErrorBounds.
	Errors [len(ErrorBounds) + 1]uint64 `json:"errors"`
}

// ErrorBounds are the upper bounds of Stats.Errors but the last one, which has none.
var ErrorBounds = [...]time.Duration{
	-100 * time.Millisecond, -30 * time.Millisecond, 0, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second,
}

// Observe records how much later than forecast a response began.
func (m *Margin) Observe(late time.Duration) {
	m.count(late)
	late = min(max(late, -maxError), maxError)
	m.mean += saturate.Duration(errorGain * float64(late-m.mean))
	m.deviation += saturate.Duration(errorGain * float64((late-m.mean).Abs()-m.deviation))
}

// ObserveAtLeast records a response that had not begun this long after its forecast and
// will not begin. Errors below the margin say nothing.
func (m *Margin) ObserveAtLeast(late time.Duration) {
	if late > m.Get() {
		m.Observe(late)
	}
}

func (m *Margin) count(late time.Duration) {
	m.stats.Forecasts++
	i := 0
	for i < len(ErrorBounds) && late > ErrorBounds[i] {
		i++
	}
	m.stats.Errors[i]++
}

// Get returns the margin, 0 without samples.
func (m *Margin) Get() time.Duration { return max(m.mean+m.deviation, 0) }

// Mean returns the mean error.
func (m *Margin) Mean() time.Duration { return m.mean }

// Stats returns the totals.
func (m *Margin) Stats() Stats { return m.stats }
