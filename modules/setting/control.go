// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package setting

import (
	"fmt"
	"time"
)

// The values of Control.Dispatch.
const (
	DispatchFleet = "fleet"
	DispatchNaive = "naive"
)

// Control configures the coordination between routers.
type Control struct {
	Dispatch      string   `toml:"dispatch"`       // DispatchFleet, or DispatchNaive as a baseline without coordination
	TallyInterval Duration `toml:"tally_interval"` // minimum interval between exchanges of the service counters
	TallyBudget   float64  `toml:"tally_budget"`   // bytes per second for the service counters
	Heartbeat     Duration `toml:"heartbeat"`
	SuspectAfter  Duration `toml:"suspect_after"`
	DeadAfter     Duration `toml:"dead_after"`
	ReserveShare  float64  `toml:"reserve_share"` // fraction of slots reserved for short requests while some arrive
	RetryRatio    float64  `toml:"retry_ratio"`   // retries per first attempt
	RetryBurst    float64  `toml:"retry_burst"`   // burst of the retry budget
	TraceSize     int      `toml:"trace_size"`    // requests kept for the explain command
}

func defaultControl() Control {
	return Control{
		Dispatch:      DispatchFleet,
		TallyInterval: Duration{time.Second},
		TallyBudget:   1024,
		Heartbeat:     Duration{time.Second},
		SuspectAfter:  Duration{2500 * time.Millisecond},
		DeadAfter:     Duration{4 * time.Second},
		RetryRatio:    0.2,
		RetryBurst:    10,
		TraceSize:     4096,
	}
}

func (c Control) check() error {
	if c.Dispatch != DispatchFleet && c.Dispatch != DispatchNaive {
		return ErrSetting{"control.dispatch", fmt.Sprintf("%q is neither fleet nor naive", c.Dispatch)}
	}
	if c.SuspectAfter.Duration < 2*c.Heartbeat.Duration {
		return ErrSetting{"control.suspect_after", "is less than two heartbeats"}
	}
	return checkAll(
		checkDuration("control.tally_interval", c.TallyInterval, 10*time.Millisecond, time.Minute),
		checkRange("control.tally_budget", c.TallyBudget, 0, 1e9),
		checkDuration("control.heartbeat", c.Heartbeat, 10*time.Millisecond, time.Minute),
		checkDuration("control.dead_after", c.DeadAfter, 20*time.Millisecond, 10*time.Minute),
		checkRange("control.reserve_share", c.ReserveShare, 0, 0.9),
		checkRange("control.retry_ratio", c.RetryRatio, 0, 1),
		checkRange("control.retry_burst", c.RetryBurst, 0, 1e6),
		checkRange("control.trace_size", c.TraceSize, 1, 1<<20),
	)
}
