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
	// AfterFunc calls a function in its own goroutine once d has passed.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a call that has been put off.
type Timer interface {
	// Stop takes the call back; it reports false where it has been made, or is being made.
	Stop() bool
}

// System is the machine's clock.
type System struct{}

// Fake is a clock that moves only when it is told to.
type Fake struct {
	mu     sync.Mutex
	now    time.Time
	timers []fakeTimer
}

type fakeTimer struct {
	at   time.Time
	ch   chan time.Time // ch is nil where there is a call.
	call *fakeCall
}

// fakeCall is a call that has been put off.
type fakeCall struct {
	clock *Fake
	f     func()
	done  bool // done tells that it was made or taken back.
}

// Stop implements Timer.
func (c *fakeCall) Stop() bool {
	c.clock.mu.Lock()
	defer c.clock.mu.Unlock()
	was := c.done
	c.done = true
	return !was
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

// AfterFunc implements Clock; the call is made by Advance.
func (f *Fake) AfterFunc(d time.Duration, call func()) Timer {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &fakeCall{clock: f, f: call}
	f.timers = append(f.timers, fakeTimer{at: f.now.Add(d), call: c})
	return c
}

// Advance moves the clock and fires the timers that are due.
func (f *Fake) Advance(d time.Duration) {
	for _, c := range f.advance(d) {
		c.f()
	}
}

// advance moves the clock and returns the calls that are due.
func (f *Fake) advance(d time.Duration) []*fakeCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	var due []*fakeCall
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

// PendingTimers returns how many timers have not fired yet.
func (f *Fake) PendingTimers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.timers)
}
