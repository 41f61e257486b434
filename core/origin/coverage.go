// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import (
	"math"
	"time"
)

// Always is the age of a coverage that has no beginning.
const Always = time.Duration(math.MaxInt64)

// Coverage tells since when all versions are known at which streams began.
type Coverage struct {
	Since time.Time            // zero: always
	Later map[string]time.Time // services that are covered only since a later time
}

// CoverageAge is a coverage by its age, for other processes.
type CoverageAge struct {
	All   time.Duration
	Later map[string]time.Duration
}

// Of returns since when a service is covered.
func (c Coverage) Of(service string) time.Time {
	if since, ok := c.Later[service]; ok {
		return since
	}
	return c.Since
}

// Covers reports whether all versions are known of streams that began up to life ago.
func (c Coverage) Covers(now time.Time, service string, life time.Duration) bool {
	return now.Sub(c.Of(service)) >= life
}

// Join returns the coverage of somebody who knows what both know.
func (c Coverage) Join(other Coverage) Coverage {
	joined := Coverage{Since: earlier(c.Since, other.Since), Later: map[string]time.Time{}}
	for _, services := range []map[string]time.Time{c.Later, other.Later} {
		for service := range services {
			if since := earlier(c.Of(service), other.Of(service)); since.After(joined.Since) {
				joined.Later[service] = since
			}
		}
	}
	return joined
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Age returns the coverage as an age. Services that are covered for the given time count as covered
// for as long as the others.
func (c Coverage) Age(now time.Time, enough time.Duration) CoverageAge {
	age := CoverageAge{All: now.Sub(c.Since)}
	if c.Since.IsZero() {
		age.All = Always
	}
	for service, since := range c.Later {
		if covered := now.Sub(since); covered < enough {
			if age.Later == nil {
				age.Later = map[string]time.Duration{}
			}
			age.Later[service] = covered
		}
	}
	return age
}

func (a CoverageAge) of(service string) time.Duration {
	if age, ok := a.Later[service]; ok {
		return age
	}
	return a.All
}

// At returns the coverage that had an age at a time.
func (a CoverageAge) At(now time.Time) Coverage {
	c := Coverage{Later: map[string]time.Time{}}
	if a.All < Always {
		c.Since = now.Add(-a.All)
	}
	for service, age := range a.Later {
		c.Later[service] = now.Add(-age)
	}
	return c
}
