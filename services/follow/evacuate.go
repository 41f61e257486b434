// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"time"

	"madderway/models/routing"
)

// changeHalls puts evacuations, and their ends, in force. A hall that comes back while
// what is known of its targets is old comes back cold.
func (s *Service) changeHalls(from string, apply func(now time.Time) []HallChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	moved := apply(now)
	s.scheduleRelease(now)
	if len(moved) == 0 {
		return
	}
	unsure := s.watchTargets.Unsettled(now)
	for _, ch := range moved {
		s.log.Info("Evacuation changed.", "hall", ch.DataHall, "evacuated", ch.Evacuated, "revision", ch.Revision, "from", from,
			"targets_age", s.watchTargets.Age(now), "cold", !ch.Evacuated && unsure)
		if !ch.Evacuated && unsure {
			s.table.markCold(now, ch.DataHall, s.coldStart)
		}
	}
	s.publish(from)
}

// coldStart returns how long a target of a service stays cold after its start.
func (s *Service) coldStart(service string) time.Duration {
	x := s.index.Load()
	if x == nil || x.Service(service) == nil {
		return 0
	}
	return x.Service(service).ColdStart
}

// Evacuated returns the data halls that are evacuated, sorted by name.
func (s *Service) Evacuated() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, ch := range s.halls.all() {
		if ch.Evacuated {
			out = append(out, ch.DataHall)
		}
	}
	return out
}

// markEvacuated marks the targets of evacuated halls and returns how many there are.
func (s *Service) markEvacuated(set *routing.TargetSet) int {
	n := 0
	for i := range set.Targets {
		t := &set.Targets[i]
		if t.Evacuated = s.halls.evacuated(t.DataHall); t.Evacuated {
			n++
		}
	}
	return n
}
