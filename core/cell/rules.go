// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"time"

	"madderway/models/routing"
)

// Rules switches on how a cell schedules under hard load. The zero value is the fixed
// window of Ask.Hold, without regard to data halls or other cells' room.
type Rules struct {
	// Forecast decides by the expected wait whether a request waits or is refused.
	Forecast bool
	// Returns schedules the times at which refused requests may return.
	Returns bool
	// Room makes cells tell each other how soon they could begin one more request.
	Room bool
	// Handover tells the next scheduler in line what this one has learned.
	Handover bool
	// Pace weighs what prefill does to the streams that run beside it.
	Pace bool
	// CrossingCost is the wait that keeping 1 KiB inside a data hall is worth.
	CrossingCost time.Duration
}

// Scheduling selects the rules of each service.
type Scheduling struct {
	Rules Rules
	// CompactTokenBytes is the largest size of a cached token for which Rules apply.
	CompactTokenBytes float64
}

// RulesFor returns the rules of a service: the zero value unless its engines copy cached
// prompts from each other and need few bytes for a cached token.
func (s Scheduling) RulesFor(service *routing.Service) Rules {
	if service == nil || !service.HasCompactCache(s.CompactTokenBytes) {
		return Rules{}
	}
	return s.Rules
}
