// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Death is the end of a target under a request.
type Death struct {
	Target string
	At     time.Time
	// Forgiven tells that the request has gone through at a target since, or beside it.
	Forgiven bool
}

// Record is what is remembered of a request.
type Record struct {
	Request Fingerprint
	Outline uint64
	Account string
	Deaths  []Death // Deaths are sorted by target and time.
}

const (
	// QuarantineThreshold is how many targets must have ended under a request to refuse it. One or two
	// can end beside an innocent one: a target takes all its runs with it. Over the days
	// with crashes that were counted (docs/incidents/inc-budget.md) no request but those
	// that end targets lost more than one.
	QuarantineThreshold = 3
	// ShareThreshold is under how many ends all gateways are told of a request, so that any run
	// that goes through clears it, and each gateway has one run of it at a time. After the
	// first end only two gateways are told: the loss of a data hall makes a record of each
	// of some thousand requests.
	ShareThreshold = 2
	// retention is how long an end is remembered, and the least time for which a request is
	// refused. Callers of today come back for two minutes at most; an operator who has
	// repaired the targets waits for no longer than this. Each end beyond Enough doubles
	// it, up to keptMost, so that a request that is tried again after its time costs a
	// target ever less often.
	retention    = 15 * time.Minute
	maxRetention = 24 * time.Hour
	// minLifetime is how far apart two ends of a target of the same ID are at least. Ends
	// that are told as nearer are the same: ages are late by the way of a message.
	minLifetime = time.Second
	// maxDeaths bounds the ends of one record to the newest: with so many it is refused for
	// keptMost in any case.
	maxDeaths = 16
)

// count returns how many targets have ended under the request since it went through last.
func (r *Record) count() int {
	n := 0
	for _, d := range r.Deaths {
		if !d.Forgiven {
			n++
		}
	}
	return n
}

func (r *Record) lastDeath() time.Time {
	var last time.Time
	for _, d := range r.Deaths {
		if d.At.After(last) {
			last = d.At
		}
	}
	return last
}

// holdTime returns for how long after the last end the request is refused.
func (r *Record) holdTime() time.Duration {
	d := retention
	for n := QuarantineThreshold; n < r.count() && d < maxRetention; n++ {
		d *= 2
	}
	return min(d, maxRetention)
}

// heldUntil returns heldUntil when the request is refused.
func (r *Record) heldUntil() time.Time { return r.lastDeath().Add(r.holdTime()) }

// expires returns when the record is forgotten. One whose request was refused is kept for
// as long again, so that one more end is enough to refuse it anew.
func (r *Record) expires() time.Time {
	if r.count() < QuarantineThreshold {
		return r.lastDeath().Add(retention)
	}
	return r.lastDeath().Add(2 * r.holdTime())
}

// IsShared tells whether all gateways are to know the record.
func (r *Record) IsShared() bool { return len(r.Deaths) >= ShareThreshold }

// add takes an end, and reports whether it tells anything new.
func (r *Record) add(d Death) bool {
	for i := range r.Deaths {
		known := &r.Deaths[i]
		if known.Target != d.Target || d.At.Sub(known.At).Abs() >= minLifetime {
			continue
		}
		news := d.Forgiven && !known.Forgiven
		known.Forgiven = known.Forgiven || d.Forgiven
		if d.At.Before(known.At) {
			known.At = d.At
		}
		return news
	}
	if !d.Forgiven && r.count() >= QuarantineThreshold && d.At.Before(r.heldUntil()) {
		return false // a run that was on its way when the request was refused
	}
	r.Deaths = append(r.Deaths, d)
	if len(r.Deaths) > maxDeaths && r.dropOldest() == d {
		return false
	}
	slices.SortFunc(r.Deaths, func(a, b Death) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), a.At.Compare(b.At))
	})
	return true
}

// dropOldest takes the oldest end out and returns it.
func (r *Record) dropOldest() Death {
	oldest := 0
	for i, d := range r.Deaths {
		if d.At.Before(r.Deaths[oldest].At) {
			oldest = i
		}
	}
	d := r.Deaths[oldest]
	r.Deaths = slices.Delete(r.Deaths, oldest, oldest+1)
	return d
}

// forgiveAll forgives all ends; it reports whether any was not forgiven yet.
func (r *Record) forgiveAll() bool {
	news := r.count() > 0
	for i := range r.Deaths {
		r.Deaths[i].Forgiven = true
	}
	return news
}

func (r *Record) clone() Record {
	out := *r
	out.Deaths = slices.Clone(r.Deaths)
	return out
}

// digest sums up what the record tells. Times are not in it: they differ by the way. Of a
// request that is refused the number of ends is enough: gateways hear of different ones.
func (r *Record) digest() uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(r.count()))
	_, _ = d.Write(r.Request[:])
	if r.count() >= QuarantineThreshold {
		return d.Sum64()
	}
	for _, death := range r.Deaths {
		var size [9]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(death.Target)))
		if death.Forgiven {
			size[8] = 1
		}
		_, _ = d.Write(size[:])
		_, _ = d.WriteString(death.Target)
	}
	return d.Sum64()
}
