// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package measure

import (
	"math"
	"sync"
	"time"
)

// serviceCounter sums the serviceCounter units that targets gave to each account.
type serviceCounter struct {
	mu    sync.Mutex
	units map[string]float64
}

func newServiceCounter() *serviceCounter { return &serviceCounter{units: map[string]float64{}} }

func (s *serviceCounter) add(account string, units float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.units[account] += units
}

func (s *serviceCounter) snapshot() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]float64, len(s.units))
	for k, v := range s.units {
		out[k] = v
	}
	return out
}

// backloggedPair holds the range of the service difference of two accounts since both became
// backlogged.
type backloggedPair struct {
	low, high float64
	since     time.Time
}

// gapMeter finds the fairness gap: the largest change of the weighted service difference of two
// accounts over any period in which both were backlogged throughout.
type gapMeter struct {
	names      []string
	weight     map[string]float64
	backlogged map[[2]int]backloggedPair
	gap        float64
	worst      [2]string
	at         time.Duration
}

func newGapMeter(accounts []Account) *gapMeter {
	g := &gapMeter{backlogged: map[[2]int]backloggedPair{}, weight: map[string]float64{}}
	for _, a := range accounts {
		g.names = append(g.names, a.Name)
		g.weight[a.Name] = 1
		if a.Weight > 0 {
			g.weight[a.Name] = a.Weight
		}
	}
	return g
}

// sample updates the gap with each account's service so far and whether it is backlogged.
func (g *gapMeter) sample(now time.Time, since time.Duration, units map[string]float64, waits func(account string) bool) {
	for i := range g.names {
		for k := i + 1; k < len(g.names); k++ {
			key := [2]int{i, k}
			a, b := g.names[i], g.names[k]
			if !waits(a) || !waits(b) {
				delete(g.backlogged, key)
				continue
			}
			d := units[a]/g.weight[a] - units[b]/g.weight[b]
			p, ok := g.backlogged[key]
			if !ok {
				p = backloggedPair{d, d, now}
			}
			p.low, p.high = math.Min(p.low, d), math.Max(p.high, d)
			g.backlogged[key] = p
			if p.high-p.low > g.gap {
				g.gap, g.worst, g.at = p.high-p.low, [2]string{a, b}, since
			}
		}
	}
}
