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

// Death is the death of a target while it served a request. A death is forgiven, and no
// longer counts against the request, once an attempt of the request succeeds.
type Death struct {
	Target   string
	At       time.Time
	Forgiven bool
}

// Record holds the deaths under one request. Forgiven deaths stay in it, so that they do not
// count again when the record of a gateway that has not heard of the success is merged.
type Record struct {
	Request Fingerprint
	Outline uint64 // Identity.Outline of the request
	Account string
	Deaths  []Death // sorted by target and time
}

const (
	// QuarantineThreshold is the number of unforgiven deaths at which a request is refused.
	// One or two may be a coincidence: a target that dies takes all its requests with it.
	QuarantineThreshold = 3
	// ShareThreshold is the number of deaths at which all gateways receive the record, so
	// that any success clears the request and each gateway sends it once at a time only. A
	// single death is not shared with all, as the loss of a data hall causes one for each
	// request in flight there.
	ShareThreshold = 2
	// retention is the time for which a death is kept, and the shortest time for which a
	// request is refused. Each death beyond QuarantineThreshold doubles the latter, up to
	// maxRetention, so that a poison request that is retried kills targets ever less often.
	// It is longer than callers retry, and short enough to wait for after the targets were
	// fixed.
	retention    = 15 * time.Minute
	maxRetention = 24 * time.Hour
	// minLifetime is the shortest time between two deaths of targets with the same ID.
	// Deaths reported closer together are the same one, as reported times are imprecise.
	minLifetime = time.Second
	// maxDeaths bounds a record to its newest deaths. With so many the request is refused
	// for maxRetention in any case.
	maxDeaths = 16
)

// unforgiven returns the number of deaths since the request last succeeded.
func (r *Record) unforgiven() int {
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

// refusalTime returns for how long after the last death the request is refused.
func (r *Record) refusalTime() time.Duration {
	d := retention
	for n := QuarantineThreshold; n < r.unforgiven() && d < maxRetention; n++ {
		d *= 2
	}
	return min(d, maxRetention)
}

func (r *Record) refusedUntil() time.Time { return r.lastDeath().Add(r.refusalTime()) }

// expires returns the time at which the record is deleted. That of a refused request is
// kept for twice refusalTime, so that one more death is enough to refuse it again.
func (r *Record) expires() time.Time {
	if r.unforgiven() < QuarantineThreshold {
		return r.lastDeath().Add(retention)
	}
	return r.lastDeath().Add(2 * r.refusalTime())
}

// IsShared reports whether all gateways are to have the record.
func (r *Record) IsShared() bool { return len(r.Deaths) >= ShareThreshold }

// add merges a death into the record and reports whether it added information.
func (r *Record) add(d Death) bool {
	for i := range r.Deaths {
		known := &r.Deaths[i]
		if known.Target != d.Target || d.At.Sub(known.At).Abs() >= minLifetime {
			continue
		}
		changed := d.Forgiven && !known.Forgiven
		known.Forgiven = known.Forgiven || d.Forgiven
		if d.At.Before(known.At) {
			known.At = d.At
		}
		return changed
	}
	if !d.Forgiven && r.unforgiven() >= QuarantineThreshold && d.At.Before(r.refusedUntil()) {
		return false // sent before the request was refused
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

// dropOldest removes the oldest death and returns it.
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

// forgiveAll forgives all deaths and reports whether any was not yet forgiven.
func (r *Record) forgiveAll() bool {
	changed := r.unforgiven() > 0
	for i := range r.Deaths {
		r.Deaths[i].Forgiven = true
	}
	return changed
}

func (r *Record) clone() Record {
	out := *r
	out.Deaths = slices.Clone(r.Deaths)
	return out
}

// digest hashes the parts of the record on which gateways converge. Times are left out, as
// they differ by message delays. For a refused request only the number of deaths counts,
// since gateways may have seen different ones.
func (r *Record) digest() uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(r.unforgiven()))
	_, _ = d.Write(r.Request[:])
	if r.unforgiven() >= QuarantineThreshold {
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
