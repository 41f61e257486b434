// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package routing

import (
	"sort"
	"strconv"
	"time"
)

// Target is one worker of a service, as the platform last listed it.
type Target struct {
	// ID identifies one incarnation of a worker. State that is kept by ID does not carry
	// over a restart of the worker.
	ID string `json:"id"`
	// Name is the worker's name, the same for all incarnations; empty if equal to ID.
	Name string `json:"name,omitempty"`
	// Born is the start time of this incarnation in Unix milliseconds, as the worker reports
	// it; 0 if unknown.
	Born     int64  `json:"born,omitempty"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	DataHall string `json:"data_hall"`
	Slots    int    `json:"slots"`
	Leaving  bool   `json:"leaving"`
	// ColdFor is the remaining time as a cold target when the entry was read. It is sent
	// between processes; each process converts it to ColdUntil on its own clock.
	ColdFor   time.Duration `json:"cold_for,omitempty"`
	ColdUntil time.Time     `json:"-"`
	// Evacuated is set while the operator evacuates the target's data hall.
	Evacuated bool `json:"-"`
}

// TargetID returns the ID of the worker's incarnation with this start time in Unix
// milliseconds; 0 means unknown.
func TargetID(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + "@" + strconv.FormatInt(born, 10)
}

// WorkerName returns the worker's name, which survives restarts.
func (t *Target) WorkerName() string {
	if t.Name == "" {
		return t.ID
	}
	return t.Name
}

// AcceptsWork reports whether the target may get new requests.
func (t *Target) AcceptsWork() bool { return !t.Leaving && !t.Evacuated }

// Cold reports whether the target has started recently, which limits it to its service's
// ColdRate.
func (t *Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// TargetSet is the platform's list of targets at one revision. Call BuildIndex before
// any lookup.
type TargetSet struct {
	Revision Revision `json:"revision"`
	Targets  []Target `json:"targets"`

	byService map[string][]*Target
	byID      map[string]*Target
	byWorker  map[string]*Target
}

// BuildIndex sorts the targets and builds the lookup tables; call it once after the
// targets are set.
func (s *TargetSet) BuildIndex() *TargetSet {
	sort.Slice(s.Targets, func(i, j int) bool { return s.Targets[i].ID < s.Targets[j].ID })
	s.byService, s.byID, s.byWorker = map[string][]*Target{}, map[string]*Target{}, map[string]*Target{}
	for i := range s.Targets {
		t := &s.Targets[i]
		s.byID[t.ID] = t
		s.byWorker[t.WorkerName()] = t
		s.byService[t.Service] = append(s.byService[t.Service], t)
	}
	return s
}

// ByService returns the targets of a service, sorted by ID, including those that do
// not accept work.
func (s *TargetSet) ByService(service string) []*Target { return s.byService[service] }

// LeavingIDs returns the IDs of the targets that are shutting down.
func (s *TargetSet) LeavingIDs() []string {
	var out []string
	for i := range s.Targets {
		if s.Targets[i].Leaving {
			out = append(out, s.Targets[i].ID)
		}
	}
	return out
}

// FindWorker returns the current incarnation of the worker with this name, or nil.
func (s *TargetSet) FindWorker(name string) *Target { return s.byWorker[name] }

// Find returns the target with this ID, or nil.
func (s *TargetSet) Find(id string) *Target { return s.byID[id] }
