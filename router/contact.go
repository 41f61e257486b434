// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router

import "time"

const (
	// maxContactAge is the age of the list of targets up to which it is as new as that of other
	// gateways.
	maxContactAge = 3 * time.Second
	// lossDetection is longer than the time in which a gateway notices that it is cut off.
	lossDetection = 10 * time.Second
)

// inContact reports whether the list of targets is as new as that of the rest of the fleet.
func (g *Gateway) inContact() bool {
	freshAt, behind := g.follow.TargetsFreshAt()
	return !behind && g.followsTargets(freshAt)
}

// cutOff reports whether updates of the list of targets may have been missed since it was complete.
func (g *Gateway) cutOff() bool {
	freshAt, _ := g.follow.TargetsFreshAt()
	return !freshAt.IsZero() && !g.followsTargets(freshAt)
}

// followsTargets reports whether the list of targets was complete lately, or most gateways that
// were there then are still in contact.
func (g *Gateway) followsTargets(freshAt time.Time) bool {
	if g.clock.Now().Sub(freshAt) < maxContactAge {
		return true
	}
	return !freshAt.IsZero() && 2*g.loop.Members() > g.loop.MostMembersSince(freshAt.Add(-lossDetection))
}
