// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package promise

import (
	"time"

	"madderway/modules/saturate"
)

const (
	maxRetryTimes = 4096 // accounts; an old one gives way
	// retryTimeLife is the time for which a retry time is repeated: the load that it answers changes within seconds.
	retryTimeLife = 4 * time.Second
	// retryTimeSpread is the part of a retry time over which repeated ones are spread.
	retryTimeSpread = 0.5
)

// RetryTimes holds the last retry time that a scheduler gave each account of a service to wait. A gateway
// that refuses requests without asking a scheduler repeats it. The zero value is empty. RetryTimes
// is not safe for concurrent use.
type RetryTimes struct{ last map[subject]retryTime }

type subject struct{ service, account string }

type retryTime struct {
	wait time.Duration
	at   time.Time
}

// Record records what a scheduler told an account.
func (w *RetryTimes) Record(now time.Time, service, account string, wait time.Duration) {
	if w.last == nil {
		w.last = map[subject]retryTime{}
	}
	s := subject{service, account}
	if _, known := w.last[s]; !known && len(w.last) >= maxRetryTimes {
		w.makeRoom(now)
	}
	w.last[s] = retryTime{wait, now}
}

// Get returns how long a request of the account should wait that no scheduler was asked for,
// or the given time if none is known. Draw is a random number between 0 and 1: requests that
// are refused together do not return together, and none before that time.
func (w *RetryTimes) Get(now time.Time, service, account string, unknown time.Duration, draw float64) time.Duration {
	last, known := w.last[subject{service, account}]
	if !known || now.Sub(last.at) >= retryTimeLife {
		return unknown
	}
	return saturate.Duration((1 + retryTimeSpread*draw) * float64(last.wait))
}

// makeRoom drops the retry times that are too old, or else the oldest one.
func (w *RetryTimes) makeRoom(now time.Time) {
	var oldest subject
	first := true
	for s, last := range w.last {
		if now.Sub(last.at) >= retryTimeLife {
			delete(w.last, s)
			continue
		}
		if first || last.at.Before(w.last[oldest].at) {
			oldest, first = s, false
		}
	}
	if len(w.last) >= maxRetryTimes {
		delete(w.last, oldest)
	}
}
