// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package clock

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minDrift is the change in drift between the wall clock and the monotonic clock that triggers
// a read of the kernel's clocks. It is above the drift that clock synchronization causes by
// slewing the wall clock.
const minDrift = 5 * time.Millisecond

// clockReading is a reading of the kernel's clocks.
type clockReading struct {
	monotonic time.Duration // CLOCK_MONOTONIC, stops during suspension
	boot      time.Duration // CLOCK_BOOTTIME, includes suspended time
}

// suspendTracker measures the time for which the machine was suspended, which the monotonic
// clock of package time does not count. The wall clock does, and time.Now reads both, so a
// change in their drift is a cheap hint. CLOCK_BOOTTIME then tells a suspension from a step of
// the wall clock.
type suspendTracker struct {
	read   func() (clockReading, error)
	report func(error)

	epoch  time.Time    // wall and monotonic time at the start
	drift  atomic.Int64 // nanoseconds that the wall clock was ahead at the last check
	total  atomic.Int64 // nanoseconds of suspension since epoch
	failed atomic.Bool  // a read of the clocks has failed

	mu       sync.Mutex
	baseline *clockReading       // first successful reading, nil before it
	timers   map[*timer]struct{} // timers that have not fired
}

// timer fires at its due time, which includes suspended time.
type timer struct {
	due   time.Time
	timer *time.Timer
	fire  func()
}

func newSuspendTracker(read func() (clockReading, error), report func(error)) *suspendTracker {
	s := &suspendTracker{read: read, report: report, epoch: time.Now(), timers: map[*timer]struct{}{}}
	s.check()
	return s
}

// systemTracker tracks the suspension of this machine for System.
var systemTracker = newSuspendTracker(readClocks, func(err error) {
	if report := onReadError.Load(); report != nil {
		(*report)(err)
	}
})

var errUnreadable = errors.New("cannot read the clocks that show suspended time")

var onReadError atomic.Pointer[func(error)]

// OnReadError sets a function to call, once, if the kernel's clocks cannot be read. Suspended time
// is not counted then.
func OnReadError(report func(error)) {
	onReadError.Store(&report)
	if systemTracker.failed.Load() {
		systemTracker.report(errUnreadable)
	}
}

const (
	// maxReadGap is the time between two reads of the clocks up to which they count as one. The
	// thread may be preempted between them.
	maxReadGap   = 100 * time.Microsecond
	readAttempts = 5
)

func readClocks() (clockReading, error) {
	return readTogether(func() (time.Duration, error) { return readClock(unix.CLOCK_MONOTONIC) }, func() (time.Duration, error) { return readClock(unix.CLOCK_BOOTTIME) })
}

func readClock(id int32) (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(id, &ts)
	return time.Duration(ts.Nano()), err
}

// readTogether reads the monotonic clock around a read of the boot time, and returns the closest of a
// few readings. The later monotonic time keeps a pause between the reads from counting as suspension.
func readTogether(monotonic, boot func() (time.Duration, error)) (clockReading, error) {
	var closest clockReading
	gap := time.Duration(math.MaxInt64)
	for range readAttempts {
		before, err := monotonic()
		if err != nil {
			return clockReading{}, err
		}
		b, err := boot()
		if err != nil {
			return clockReading{}, err
		}
		after, err := monotonic()
		if err != nil {
			return clockReading{}, err
		}
		if after-before < gap {
			gap, closest = after-before, clockReading{monotonic: after, boot: b}
		}
		if gap <= maxReadGap {
			break
		}
	}
	return closest, nil
}

func (s *suspendTracker) fail(err error) {
	if s.failed.CompareAndSwap(false, true) {
		s.report(err)
	}
}

// now returns the current time including suspended time.
func (s *suspendTracker) now() time.Time { return s.correct(time.Now()) }

// correct adds the suspended time to a result of time.Now. It checks for a suspension if the
// drift between wall clock and monotonic clock has changed.
func (s *suspendTracker) correct(now time.Time) time.Time {
	drift := int64(now.Round(0).Sub(s.epoch.Round(0)) - now.Sub(s.epoch))
	if time.Duration(drift-s.drift.Load()).Abs() > minDrift {
		s.drift.Store(drift)
		s.check()
	}
	return now.Add(time.Duration(s.total.Load()))
}

// check reads the kernel's clocks, updates the suspended time and resets the timers if it has
// grown. The suspended time never shrinks, so that Now does not go back if a clock does or
// cannot be read.
func (s *suspendTracker) check() {
	r, err := s.read()
	if err != nil {
		s.fail(err)
		return
	}
	s.mu.Lock()
	if s.baseline == nil {
		s.baseline = &r
	}
	total := (r.boot - s.baseline.boot) - (r.monotonic - s.baseline.monotonic)
	if total <= time.Duration(s.total.Load())+minDrift/2 {
		s.mu.Unlock()
		return
	}
	s.total.Store(int64(total))
	timers := make([]*timer, 0, len(s.timers))
	for t := range s.timers {
		timers = append(timers, t)
	}
	s.mu.Unlock()
	now := time.Now().Add(total)
	for _, t := range timers {
		t.timer.Reset(max(t.due.Sub(now), 0))
	}
}

// afterFunc calls f in its own goroutine once d has passed, including suspended time.
func (s *suspendTracker) afterFunc(d time.Duration, f func()) *timer {
	t := &timer{due: s.now().Add(d)}
	t.fire = func() {
		if s.remove(t) {
			f()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.timer = time.AfterFunc(d, t.fire)
	s.timers[t] = struct{}{}
	return t
}

// remove removes a pending timer and reports whether it was pending. This keeps a timer that
// check resets while it fires from firing twice.
func (s *suspendTracker) remove(t *timer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, pending := s.timers[t]
	delete(s.timers, t)
	return pending
}

// Suspended returns the detected time of suspension since the start of the process.
func Suspended() time.Duration { return time.Duration(systemTracker.total.Load()) }

// Now implements Clock. It includes suspended time, so that leases and deadlines that passed
// during a suspension count as expired.
func (System) Now() time.Time { return systemTracker.now() }

// After implements Clock.
func (System) After(d time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	systemTracker.afterFunc(d, func() { ch <- systemTracker.now() })
	return ch
}

// AfterFunc implements Clock.
func (System) AfterFunc(d time.Duration, f func()) Timer {
	return systemTimer{systemTracker, systemTracker.afterFunc(d, f)}
}

// CheckSuspension reads the kernel's clocks for suspended time that a step of the wall clock may
// hide from Now. Call it regularly where that matters.
func (System) CheckSuspension() { systemTracker.check() }

type systemTimer struct {
	s *suspendTracker
	t *timer
}

// Stop implements Timer.
func (s systemTimer) Stop() bool {
	s.t.timer.Stop()
	return s.s.remove(s.t)
}

// WithDeadline is context.WithDeadline with a Clock: the context ends with
// context.DeadlineExceeded at the given time of c. Its Deadline method is the parent's.
func WithDeadline(parent context.Context, c Clock, at time.Time) (context.Context, context.CancelFunc) {
	d, cancel := withDeadline(parent, c, at)
	return d, cancel
}

// WithDeadlineOrEnd is WithDeadline for a context that also ends with context.DeadlineExceeded when another
// one ends.
func WithDeadlineOrEnd(parent context.Context, c Clock, at time.Time, end context.Context) (context.Context, context.CancelFunc) {
	d, cancel := withDeadline(parent, c, at)
	stop := context.AfterFunc(end, d.pass)
	return d, func() {
		stop()
		cancel()
	}
}

func withDeadline(parent context.Context, c Clock, at time.Time) (*deadlineContext, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	d := &deadlineContext{Context: ctx, at: at, cancel: cancel}
	t := c.AfterFunc(at.Sub(c.Now()), d.pass)
	return d, func() {
		t.Stop()
		cancel()
	}
}

type deadlineContext struct {
	context.Context
	at     time.Time
	passed atomic.Bool
	cancel context.CancelFunc
}

// pass ends the context as if its time had come.
func (d *deadlineContext) pass() {
	d.passed.Store(true)
	d.cancel()
}

// Err implements context.Context.
func (d *deadlineContext) Err() error {
	err := d.Context.Err()
	if err != nil && d.passed.Load() {
		return context.DeadlineExceeded
	}
	return err
}
