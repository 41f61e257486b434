// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"math"
	"time"
)

const (
	// Half-life of observed demand: some uses of a prompt's beginning in one hall.
	demandHalfLife = 10 * time.Second
	// Bounds the memory of the table, some 100 bytes an entry.
	maxDemands = 8192
	// An entry is dropped below this count, about three half-lives after one request.
	minDemand = 0.1
)

type demandKey struct {
	affinity uint64
	hall     string
}

// decayedCount is a number of requests that halves every demandHalfLife.
type decayedCount struct {
	count float64
	at    time.Time
}

func (d decayedCount) value(now time.Time) float64 {
	return d.count * math.Exp2(-float64(max(now.Sub(d.at), 0))/float64(demandHalfLife))
}

// hallDemand observes how often prompt beginnings are asked for from each data hall.
type hallDemand struct {
	counts    map[demandKey]decayedCount
	evictedAt time.Time
}

// record counts a request.
func (d *hallDemand) record(now time.Time, ask *Ask) {
	key := demandKey{ask.Prompt.AffinityKey(), ask.DataHall}
	before, known := d.counts[key]
	if !known && len(d.counts) >= maxDemands {
		return
	}
	if d.counts == nil {
		d.counts = map[demandKey]decayedCount{}
	}
	d.counts[key] = decayedCount{before.value(now) + 1, now}
}

// rate returns the requests per second from the ask's hall for the beginning of its prompt.
func (d *hallDemand) rate(now time.Time, ask *Ask) float64 {
	count := d.counts[demandKey{ask.Prompt.AffinityKey(), ask.DataHall}].value(now)
	return count * math.Ln2 / demandHalfLife.Seconds()
}

// evict drops beginnings that are no longer asked for.
func (d *hallDemand) evict(now time.Time) {
	if now.Sub(d.evictedAt) < evictInterval {
		return
	}
	d.evictedAt = now
	for key, n := range d.counts {
		if n.value(now) < minDemand {
			delete(d.counts, key)
		}
	}
}
