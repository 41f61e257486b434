// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package fair

import (
	"math"
	"time"
)

// BoundParams are the parameters of the fairness bound. Costs are in service units.
type BoundParams struct {
	Slots      int           // concurrent requests of the pool
	MaxCost    float64       // highest cost of a request
	MaxCharge  float64       // highest estimate that is charged at the start
	Rate       float64       // service units per second of the whole pool
	CounterAge time.Duration // age of the other schedulers' counters
	Lag        time.Duration // delay of reports from entry routers
	HeadStart  float64       // head start of interactive requests
}

// Bound returns the largest difference in service, over any period, between two accounts of
// equal weight that have requests waiting throughout. docs/design/fairness.md derives it:
//
//	2 × (HeadStart + Slots × max(MaxCost, MaxCharge) + Rate × (CounterAge + Lag))
func Bound(p BoundParams) float64 {
	inFlight := float64(p.Slots) * math.Max(p.MaxCost, p.MaxCharge)
	stale := p.Rate * (p.CounterAge + p.Lag).Seconds()
	return 2 * (p.HeadStart + inFlight + stale)
}
