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

// markEvacuated returns the set with Evacuated set on the targets of evacuated halls, and their
// number.
func (s *Service) markEvacuated(set, before *routing.TargetSet) (*routing.TargetSet, int) {
	if !s.halls.anyEvacuated() {
		return set, 0
	}
	n, e := 0, set.Edit()
	for t := range set.All() {
		if s.halls.evacuated(t.DataHall) {
			marked := *t
			marked.Evacuated = true
			e.Put(sharedWith(before, &marked))
			n++
		}
	}
	return e.Done(set.Revision), n
}

// sharedWith returns the target of an older set if it equals the given one, so that the sets do not
// differ in it.
func sharedWith(older *routing.TargetSet, t *routing.Target) *routing.Target {
	if same := older.FindWorker(t.WorkerName()); same != nil && *same == *t {
		return same
	}
	return t
}
