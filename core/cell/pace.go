// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import "time"

// Weight of the delay that prefill causes to a running stream. A stream that is delayed is
// not yet one that pauses for too long: most have time left.
const streamDelayWeight = 0.1

// delayCost returns the cost of prefilling tokens beside the streams of a target, as a
// preference: their tokens wait meanwhile. Under load it sends long prompts to fast targets
// and leaves short ones to slow targets, whose streams otherwise pause for too long.
func (c *Cell) delayCost(v *view, tokens int) time.Duration {
	if !c.rules.Pace {
		return 0
	}
	streams := float64(v.target.engine.Running())
	return seconds(streamDelayWeight * streams * float64(tokens) / v.speed)
}
