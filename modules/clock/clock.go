// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package clock gives the time to the parts that run around the core, so that
// tests can replace it.
package clock

import (
	"sync"
	"time"
)

// Clock tells the time and makes timers.
type Clock interface {
	Now() time.Time
	// After returns a channel that gets the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the machine's clock.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// After implements Clock.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Fake is a clock that moves only when it is told to.
type Fake struct {
	mu     sync.Mutex
	now    time.Time
	timers []fakeTimer
}

type fakeTimer struct {
	at time.Time
	ch chan time.Time
}

// NewFake returns a fake clock at a fixed time.
func NewFake() *Fake { return &Fake{now: time.Unix(1_700_000_000, 0)} }

// Now implements Clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// After implements Clock.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- f.now
		return ch
	}
	f.timers = append(f.timers, fakeTimer{f.now.Add(d), ch})
	return ch
}

// Advance moves the clock and fires the timers that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	kept := f.timers[:0]
	for _, t := range f.timers {
		if t.at.After(f.now) {
			kept = append(kept, t)
			continue
		}
		t.ch <- f.now
	}
	f.timers = kept
}

// Waiting returns how many timers have not fired yet.
func (f *Fake) Waiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.timers)
}
