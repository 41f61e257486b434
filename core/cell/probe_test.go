// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"testing"
	"time"

	"madderway/core/batch"
)

// Guards against requests that are refused beside a target which is idle because it was told to be slow.
func TestTargetToldToBeSlowIsProbed(t *testing.T) {
	for _, rules := range []Rules{{Handover: true}, {Forecast: true, Returns: true, Handover: true, Pace: true}} {
		s := newSim(3, 45_000, 570_000)
		s.rules, s.assumed = rules, 45_000
		s.sendTargets()
		s.step(HandoverSeen{Handover{Engines: []EngineEstimate{{Target: "t00", Estimate: batch.Estimate{TokensPerSecond: 5000}}}}})
		var used, idle time.Duration // at t00: its last placement, its longest time without one
		s.onPlace = func(_ RequestID, target string) bool {
			if at := s.now.Sub(epoch); target == "t00" {
				idle, used = max(idle, at-used), at
			}
			return true
		}
		s.run(20*time.Second, []*simAccount{{name: "a", perSecond: 12, prefixes: 400, shared: 13_000, own: 3700, base: 1}})
		idle = max(idle, s.now.Sub(epoch)-used)
		if runTime := 1500 * time.Millisecond; idle > startBound+runTime {
			t.Errorf("forecast %t: t00 was idle for %v while %d requests were refused, want at most %v", rules.Forecast, idle, s.total().refused, startBound+runTime)
		}
	}
}
