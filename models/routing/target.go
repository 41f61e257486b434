// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package routing

import (
	"sort"
	"strconv"
	"time"
)

// Target is one worker of a service, as it was last listed.
type Target struct {
	// ID tells one life of a worker from all others: whatever is remembered of a target
	// under its ID is forgotten when the worker starts again.
	ID string `json:"id"`
	// Name is the worker's own, the same in all its lives; empty where that is the ID.
	Name string `json:"name,omitempty"`
	// Born is the start of this life as the worker tells it, in Unix milliseconds; 0 where
	// it does not.
	Born     int64  `json:"born,omitempty"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	DataHall string `json:"data_hall"`
	Slots    int    `json:"slots"`
	Leaving  bool   `json:"leaving"`
	// ColdFor is how much longer the target said it is cold, when that was read. It
	// goes between processes; inside one, ColdUntil says the same on its own clock.
	ColdFor   time.Duration `json:"cold_for,omitempty"`
	ColdUntil time.Time     `json:"-"`
	// Evacuated tells that the operator has emptied the target's data hall.
	Evacuated bool `json:"-"`
}

// TargetID returns the ID of a worker's life that began then, 0 for one that is not known.
func TargetID(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + "@" + strconv.FormatInt(born, 10)
}

// Worker returns the target's name among all lives of workers.
func (t *Target) Worker() string {
	if t.Name == "" {
		return t.ID
	}
	return t.Name
}

// TakesWork tells whether anything new may be sent to the target.
func (t *Target) TakesWork() bool { return !t.Leaving && !t.Evacuated }

// Cold tells whether the target bears only the few requests of one that has just
// started.
func (t *Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// TargetSet is the list of all targets at one revision of the platform's list.
type TargetSet struct {
	Revision Revision `json:"revision"`
	Targets  []Target `json:"targets"`

	byService map[string][]*Target
	byID      map[string]*Target
	byWorker  map[string]*Target
}

// Build makes the look-up tables; call it once after the targets are set.
func (s *TargetSet) Build() *TargetSet {
	sort.Slice(s.Targets, func(i, j int) bool { return s.Targets[i].ID < s.Targets[j].ID })
	s.byService, s.byID, s.byWorker = map[string][]*Target{}, map[string]*Target{}, map[string]*Target{}
	for i := range s.Targets {
		t := &s.Targets[i]
		s.byID[t.ID] = t
		s.byWorker[t.Worker()] = t
		s.byService[t.Service] = append(s.byService[t.Service], t)
	}
	return s
}

// ByService returns the targets of a service, sorted by ID, those included that take no work.
func (s *TargetSet) ByService(service string) []*Target { return s.byService[service] }

// LeavingIDs returns the IDs of the targets that leave.
func (s *TargetSet) LeavingIDs() []string {
	var out []string
	for i := range s.Targets {
		if s.Targets[i].Leaving {
			out = append(out, s.Targets[i].ID)
		}
	}
	return out
}

// FindWorker returns the target that is a worker's present life, or nil.
func (s *TargetSet) FindWorker(name string) *Target { return s.byWorker[name] }

// Find returns a target by its ID, or nil.
func (s *TargetSet) Find(id string) *Target { return s.byID[id] }
