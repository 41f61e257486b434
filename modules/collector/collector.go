// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package collector sets how often the garbage collector runs. Rare collections suit a small heap
// on a fraction of a core, where each one delays requests. With live data that grows with the fleet,
// the same percentage would let garbage take many times the memory of the data itself.
package collector

import (
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"time"

	"madderway/modules/saturate"
)

const (
	// maxPercent is the garbage allowed in percent of the live heap, if memory permits.
	maxPercent = 300
	// startPercent applies until the live heap is known.
	startPercent = 100
	// minPercent bounds the processor time of collections.
	minPercent = 50
	// garbageShare is the part of the memory that garbage may take.
	garbageShare = 0.05
	// interval is the time between adjustments.
	interval = time.Second
)

// Collector adjusts the garbage collector to the live heap. It is safe for concurrent use.
type Collector struct {
	maxGarbage float64 // bytes

	mu      sync.Mutex // guards the following fields
	percent int
	nextAt  time.Time
	sample  []metrics.Sample
}

// Start sets the collector up for a process with this memory.
func Start(memoryBytes int64) *Collector {
	c := &Collector{
		maxGarbage: garbageShare * float64(memoryBytes), percent: startPercent,
		sample: []metrics.Sample{{Name: "/gc/heap/live:bytes"}},
	}
	debug.SetGCPercent(c.percent)
	return c
}

// Adjust adapts the collector to the present live heap, at most once per interval.
func (c *Collector) Adjust(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.nextAt) {
		return
	}
	c.nextAt = now.Add(interval)
	metrics.Read(c.sample)
	if percent := percentFor(float64(c.sample[0].Value.Uint64()), c.maxGarbage); percent != c.percent {
		c.percent = percent
		debug.SetGCPercent(percent)
	}
}

// Release returns memory that is not in use to the system. It is meant for the end of rare work that
// takes many times the memory of its result, as it costs a whole collection.
func Release() { debug.FreeOSMemory() }

// percentStep is the granularity of the percentage, as each change stops the process for a moment.
const percentStep = 25

func percentFor(live, maxGarbage float64) int {
	if live <= 0 {
		return startPercent
	}
	percent := saturate.Int(100*maxGarbage/live) / percentStep * percentStep
	return min(max(percent, minPercent), maxPercent)
}
