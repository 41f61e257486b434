// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package measure

import (
	"math"
	"sync"
	"time"
)

// service sums the service units that targets gave to each account.
type service struct {
	mu    sync.Mutex
	units map[string]float64
}

func newService() *service { return &service{units: map[string]float64{}} }

func (s *service) add(account string, units float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.units[account] += units
}

func (s *service) snapshot() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]float64, len(s.units))
	for k, v := range s.units {
		out[k] = v
	}
	return out
}

// pair holds the range of the service difference of two accounts since both became backlogged.
type pair struct {
	low, high float64
	since     time.Time
}

// gapMeter finds the fairness gap: the largest change of the weighted service difference of two
// accounts over any period in which both were backlogged throughout.
type gapMeter struct {
	names  []string
	weight map[string]float64
	open   map[[2]int]pair
	gap    float64
	worst  [2]string
	at     time.Duration
}

func newGapMeter(accounts []Account) *gapMeter {
	g := &gapMeter{open: map[[2]int]pair{}, weight: map[string]float64{}}
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
				delete(g.open, key)
				continue
			}
			d := units[a]/g.weight[a] - units[b]/g.weight[b]
			p, ok := g.open[key]
			if !ok {
				p = pair{d, d, now}
			}
			p.low, p.high = math.Min(p.low, d), math.Max(p.high, d)
			g.open[key] = p
			if p.high-p.low > g.gap {
				g.gap, g.worst, g.at = p.high-p.low, [2]string{a, b}, since
			}
		}
	}
}
