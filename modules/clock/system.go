// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package clock

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// jumpLeast is by how much the time of day must run away from the steady clock before the
// machine's clock is read for time in suspension. What keeps the time of day right moves it
// by a thousandth at most.
const jumpLeast = 5 * time.Millisecond

// reading is one look at the clocks of the machine.
type reading struct {
	steady time.Duration // steady does not count the time in suspension.
	boot   time.Duration // boot does.
}

// suspension keeps how much time of the machine the steady clock of the runtime has left
// out. The time of day counts it, too, and is read with each steady time: where they run
// apart, the machine's clock since its start tells whether that was a suspension or a step
// of the time of day.
type suspension struct {
	read   func() (reading, error)
	report func(error)

	epoch  time.Time    // epoch is a reading of both clocks at the start.
	drift  atomic.Int64 // drift is by how much the time of day was ahead at the last check.
	total  atomic.Int64 // total is the time in suspension since epoch.
	failed atomic.Bool

	mu     sync.Mutex
	first  *reading            // first is the reading that others are compared with; nil where none could be had.
	timers map[*timer]struct{} // timers are those that have not fired.
}

// timer fires when a span has passed, the time in suspension included.
type timer struct {
	due   time.Time
	timer *time.Timer
	fire  func()
}

func newSuspension(read func() (reading, error), report func(error)) *suspension {
	s := &suspension{read: read, report: report, epoch: time.Now(), timers: map[*timer]struct{}{}}
	s.check()
	return s
}

// machine is the suspension of the machine that this process runs on.
var machine = newSuspension(readMachine, func(err error) {
	if report := onError.Load(); report != nil {
		(*report)(err)
	}
})

var errUnreadable = errors.New("the clock that counts time in suspension cannot be read")

var onError atomic.Pointer[func(error)]

// OnReadError has it reported, once, where the machine's clock cannot be read: time in suspension
// is not counted then.
func OnReadError(report func(error)) {
	onError.Store(&report)
	if machine.failed.Load() {
		machine.report(errUnreadable)
	}
}

func readMachine() (reading, error) {
	var steady, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return reading{}, err
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return reading{}, err
	}
	return reading{time.Duration(steady.Nano()), time.Duration(boot.Nano())}, nil
}

func (s *suspension) fail(err error) {
	if s.failed.CompareAndSwap(false, true) {
		s.report(err)
	}
}

// now returns the time with that in suspension counted.
func (s *suspension) now() time.Time { return s.correct(time.Now()) }

// correct adds the time in suspension to a reading of the runtime's clocks.
func (s *suspension) correct(now time.Time) time.Time {
	drift := int64(now.Round(0).Sub(s.epoch.Round(0)) - now.Sub(s.epoch))
	if time.Duration(drift-s.drift.Load()).Abs() > jumpLeast {
		s.drift.Store(drift)
		s.check()
	}
	return now.Add(time.Duration(s.total.Load()))
}

// check reads the machine's clock and counts what was left out. A clock that goes back, or
// cannot be read, takes nothing away: time has passed.
func (s *suspension) check() {
	r, err := s.read()
	if err != nil {
		s.fail(err)
		return
	}
	s.mu.Lock()
	if s.first == nil {
		s.first = &r
	}
	total := (r.boot - s.first.boot) - (r.steady - s.first.steady)
	if total <= time.Duration(s.total.Load())+jumpLeast/2 {
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

// afterFunc calls a function in its own goroutine when a span has passed.
func (s *suspension) afterFunc(d time.Duration, f func()) *timer {
	t := &timer{due: s.now().Add(d)}
	t.fire = func() {
		if s.forget(t) {
			f()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.timer = time.AfterFunc(d, t.fire)
	s.timers[t] = struct{}{}
	return t
}

// forget takes a timer out and reports whether it was there: a timer that is set anew while
// it fires must not fire twice.
func (s *suspension) forget(t *timer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, there := s.timers[t]
	delete(s.timers, t)
	return there
}

// Suspended returns how long the machine has been suspended since the start of the process,
// as far as that has shown.
func Suspended() time.Duration { return time.Duration(machine.total.Load()) }

// Now implements Clock. The time in which the machine was suspended counts: leases, deadlines
// and ages would otherwise be believed as if nobody had gone on meanwhile.
func (System) Now() time.Time { return machine.now() }

// After implements Clock.
func (System) After(d time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	machine.afterFunc(d, func() { ch <- machine.now() })
	return ch
}

// AfterFunc implements Clock.
func (System) AfterFunc(d time.Duration, f func()) Timer {
	return stopper{machine, machine.afterFunc(d, f)}
}

// Check reads the machine's clock for time in suspension that a step of the time of day may
// hide from Now; whoever watches for standstills calls it.
func (System) Check() { machine.check() }

type stopper struct {
	s *suspension
	t *timer
}

// Stop implements Timer.
func (s stopper) Stop() bool {
	s.t.timer.Stop()
	return s.s.forget(s.t)
}

// WithDeadline returns a context that ends at a time of the clock, with the error of a
// deadline that has passed.
func WithDeadline(parent context.Context, c Clock, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	d := &deadline{Context: ctx, at: at}
	t := c.AfterFunc(at.Sub(c.Now()), func() {
		d.passed.Store(true)
		cancel()
	})
	return d, func() {
		t.Stop()
		cancel()
	}
}

type deadline struct {
	context.Context
	at     time.Time
	passed atomic.Bool
}

// Err implements context.Context.
func (d *deadline) Err() error {
	err := d.Context.Err()
	if err != nil && d.passed.Load() {
		return context.DeadlineExceeded
	}
	return err
}
