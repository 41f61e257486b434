// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package clock provides the time and timers behind an interface, so that tests can
// replace them. Unlike package time, its System clock includes the time for which the
// machine was suspended.
package clock

import (
	"sync"
	"time"
)

// Clock provides the current time and timers.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
	// AfterFunc calls f once d has passed; System does so in a goroutine of its own.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a pending call of AfterFunc.
type Timer interface {
	// Stop cancels the call. It reports false if the call has started, or was canceled.
	Stop() bool
}

// System is the system clock, including suspended time.
type System struct{}

// Fake is a clock for tests that moves only by Advance.
type Fake struct {
	mu     sync.Mutex
	now    time.Time
	timers []fakeTimer
}

type fakeTimer struct {
	at   time.Time
	ch   chan time.Time // nil if call is set
	call *fakeFunc
}

// fakeFunc is a pending call of Fake.AfterFunc.
type fakeFunc struct {
	clock *Fake
	f     func()
	done  bool // called or canceled
}

// Stop implements Timer.
func (c *fakeFunc) Stop() bool {
	c.clock.mu.Lock()
	defer c.clock.mu.Unlock()
	wasDone := c.done
	c.done = true
	return !wasDone
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
	f.timers = append(f.timers, fakeTimer{at: f.now.Add(d), ch: ch})
	return ch
}

// AfterFunc implements Clock. Advance makes the call synchronously.
func (f *Fake) AfterFunc(d time.Duration, call func()) Timer {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &fakeFunc{clock: f, f: call}
	f.timers = append(f.timers, fakeTimer{at: f.now.Add(d), call: c})
	return c
}

// Advance moves the clock and fires the due timers.
func (f *Fake) Advance(d time.Duration) {
	for _, c := range f.advance(d) {
		c.f()
	}
}

// advance moves the clock, fires the due channels and returns the due calls.
func (f *Fake) advance(d time.Duration) []*fakeFunc {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	var due []*fakeFunc
	kept := f.timers[:0]
	for _, t := range f.timers {
		switch {
		case t.at.After(f.now):
			kept = append(kept, t)
		case t.call == nil:
			t.ch <- f.now
		case !t.call.done:
			t.call.done = true
			due = append(due, t.call)
		}
	}
	f.timers = kept
	return due
}

// PendingTimers returns the number of timers that have not fired yet.
func (f *Fake) PendingTimers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.timers)
}
