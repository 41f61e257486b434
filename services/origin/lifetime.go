// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import (
	"time"

	coreorigin "madderway/core/origin"
	"madderway/models/routing"
)

const (
	// Life of records and memory of versions: timeoutFactor times the longest timeout of a stream,
	// since a caller may come back several times, and the time to come back.
	timeoutFactor = 2
	returnTime    = 10 * time.Second
	maxLife       = coreorigin.MaxMemory
)

// lifetime holds the time for which a stream may continue after it has begun. When it becomes shorter,
// streams that began before keep the longer one.
type lifetime struct {
	current, previous time.Duration
	previousUntil     time.Time
}

func (l *lifetime) set(now time.Time, life time.Duration) {
	if before := l.at(now); before > life {
		l.previous, l.previousUntil = before, now.Add(before)
	}
	l.current = life
}

func (l *lifetime) at(now time.Time) time.Duration {
	if now.Before(l.previousUntil) {
		return max(l.current, l.previous)
	}
	return l.current
}

// lifeOf returns how long a stream may continue after it has begun.
func lifeOf(c *routing.Configuration) time.Duration {
	life := returnTime
	for i := range c.Routes {
		r := &c.Routes[i]
		switch {
		case !r.Stream || !r.Resumable:
		case r.Timeout <= 0:
			return maxLife
		default:
			life = max(life, timeoutFactor*r.Timeout+returnTime)
		}
	}
	return min(life, maxLife)
}
