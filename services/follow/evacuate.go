// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"time"

	"madderway/models/routing"
)

// changeHalls applies changes of evacuations and publishes the result. While the target list
// may be incomplete, the targets of a hall whose evacuation ends become cold.
func (s *Service) changeHalls(from string, apply func(now time.Time) []HallChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	changed := apply(now)
	s.scheduleRelease(now)
	if len(changed) == 0 {
		return
	}
	unsettled := s.watchTargets.Unsettled(now)
	for _, ch := range changed {
		s.log.Info("Evacuation changed.", "hall", ch.DataHall, "evacuated", ch.Evacuated, "revision", ch.Revision, "from", from,
			"targets_age", s.watchTargets.Age(now), "cold", !ch.Evacuated && unsettled)
		if !ch.Evacuated && unsettled {
			s.table.markCold(now, ch.DataHall, s.coldStart)
		}
	}
	s.publish(from)
}

// coldStart returns the cold period of a service's targets, 0 if the service is unknown.
func (s *Service) coldStart(service string) time.Duration {
	x := s.index.Load()
	if x == nil || x.Service(service) == nil {
		return 0
	}
	return x.Service(service).ColdStart
}

// Evacuated returns the evacuated data halls, sorted by name.
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

// markEvacuated sets Evacuated on all targets and returns the number of evacuated ones.
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
