// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package forecast estimates when waiting requests begin at the engines of a cell. It
// answers load above the capacity: what cannot begin in time is better refused at once
// than after a wait. It does no I/O.
package forecast

import (
	"time"

	"madderway/modules/saturate"
)

// Engine describes an engine's capacity for prefill.
type Engine struct {
	Wait time.Duration // until the prefill of a request placed now starts
	// Share is the part of its time that the engine gives to prefill, 0 if it takes no
	// requests.
	Share        float64
	FreeSlots    int
	SlotInterval time.Duration // time in which a slot becomes free once all are taken
}

// Request is a waiting request.
type Request struct {
	Engine int           // index of the preferred engine, -1 for none
	Read   time.Duration // prefill time at the preferred engine
	// Elsewhere is the time from a placement at another engine to the end of the prefill,
	// 0 if the request should not run there.
	Elsewhere time.Duration
}

// Queue forecasts requests that are added in the order in which they will be placed.
type Queue struct {
	engines []Engine
}

// Reset drops the engines.
func (q *Queue) Reset() { q.engines = q.engines[:0] }

// AddEngine adds an engine. Requests refer to engines in the order of these calls.
func (q *Queue) AddEngine(e Engine) { q.engines = append(q.engines, e) }

// HasCapacity reports whether an engine takes requests.
func (q *Queue) HasCapacity() bool {
	for i := range q.engines {
		if q.engines[i].Share > 0 {
			return true
		}
	}
	return false
}

// Takes reports whether an engine takes requests.
func (q *Queue) Takes(engine int) bool { return q.engines[engine].Share > 0 }

// Begin returns the engine at which a request will probably run and the time to the end of
// its prefill there. The engine is -1 if none takes it.
func (q *Queue) Begin(r Request) (engine int, prefilled time.Duration) {
	engine = -1
	if r.Engine >= 0 && q.engines[r.Engine].Share > 0 {
		engine, prefilled = r.Engine, q.engines[r.Engine].Wait+r.Read
	}
	if r.Elsewhere <= 0 {
		return engine, prefilled
	}
	for i := range q.engines {
		e := &q.engines[i]
		if e.Share <= 0 || i == r.Engine {
			continue
		}
		if at := e.Wait + r.Elsewhere; engine < 0 || at < prefilled {
			engine, prefilled = i, at
		}
	}
	return engine, prefilled
}

// Book adds the prefill time of a request to an engine.
func (q *Queue) Book(engine int, r Request) {
	e := &q.engines[engine]
	read := r.Read
	if engine != r.Engine {
		read = r.Elsewhere
	}
	took := saturate.Duration(float64(read) / e.Share)
	if e.FreeSlots--; e.FreeSlots < 0 {
		took = max(took, e.SlotInterval)
	}
	e.Wait += took
}
