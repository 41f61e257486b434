// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package clock

import (
	"context"
	"errors"
	"testing"
	"time"
)

// fakeClocks simulates the kernel's clocks.
type fakeClocks struct {
	r   clockReading
	err error
}

func (m *fakeClocks) read() (clockReading, error) { return m.r, m.err }

func newFakeMachine(t *testing.T) (*fakeClocks, *suspendTracker) {
	t.Helper()
	m := &fakeClocks{r: clockReading{monotonic: time.Hour, boot: 2 * time.Hour}}
	return m, newSuspendTracker(m.read, func(error) {})
}

// suspend advances CLOCK_BOOTTIME only, as a suspension does.
func (m *fakeClocks) suspend(d time.Duration) { m.r.boot += d }

// Guards against a clock that leaves out suspended time.
func TestNowCountsSuspension(t *testing.T) {
	m, s := newFakeMachine(t)
	before := s.epoch
	m.suspend(5 * time.Second)
	// The monotonic clock advances by one second, without the suspension.
	after := before.Add(time.Second)
	if got := s.correct(after).Sub(before); got != time.Second {
		t.Errorf("before the check: got %v, want 1s", got)
	}
	s.check()
	if got := s.correct(after).Sub(before); got != 6*time.Second {
		t.Errorf("after the check: got %v, want 6s", got)
	}
}

// Guards against a time that goes back when a clock goes back or cannot be read.
func TestClockErrorsNeverMoveTimeBack(t *testing.T) {
	m, s := newFakeMachine(t)
	m.suspend(3 * time.Second)
	s.check()
	now := s.epoch.Add(time.Second)
	want := s.correct(now)
	m.r.boot -= time.Hour
	s.check()
	m.err = errors.New("no such clock")
	s.check()
	if got := s.correct(now); !got.Equal(want) || !s.failed.Load() {
		t.Errorf("got %v, want %v; failure recorded: %t", got, want, s.failed.Load())
	}
	m.err, m.r.boot = nil, m.r.boot+20*time.Hour
	s.check()
	if got := s.correct(now).Sub(want); got != 19*time.Hour {
		t.Errorf("suspension of 19h: got %v", got)
	}
}

// Guards against a thread that is preempted between two reads of the clocks, whose pause counts as
// suspension for good.
func TestPauseBetweenClockReadsIsNoSuspension(t *testing.T) {
	const pause = 60 * time.Millisecond
	for name, paused := range map[string][]bool{
		"before the boot time":    {true, false},
		"after the boot time":     {false, true},
		"on both sides":           {true, true},
		"between neither of them": {false, false},
	} {
		now, pauses := time.Hour, 0
		step := func(sleeps bool) time.Duration {
			if sleeps && pauses > 0 {
				pauses--
				now += pause
			}
			now += time.Microsecond
			return now
		}
		var second bool
		read := func() (clockReading, error) {
			return readTogether(func() (time.Duration, error) {
				if second = !second; second {
					return step(false), nil
				}
				return step(paused[1]), nil
			}, func() (time.Duration, error) { return step(paused[0]), nil })
		}
		s := newSuspendTracker(read, func(error) {})
		for _, pauses = range []int{1, 2 * readAttempts} {
			s.check()
			if total := time.Duration(s.total.Load()); total > maxReadGap {
				t.Errorf("%s: %v counted as suspension, want none", name, total)
			}
		}
	}
}

// If the clocks cannot be read at first, suspension counts from the first reading.
func TestSuspensionCountsFromFirstReading(t *testing.T) {
	m := &fakeClocks{r: clockReading{monotonic: time.Hour, boot: 9 * time.Hour}, err: errors.New("not yet")}
	s := newSuspendTracker(m.read, func(error) {})
	m.err = nil
	s.check()
	if total := time.Duration(s.total.Load()); total != 0 {
		t.Errorf("at the first reading: got %v, want 0", total)
	}
	m.suspend(time.Minute)
	s.check()
	if total := time.Duration(s.total.Load()); total != time.Minute {
		t.Errorf("after a suspension: got %v, want 1m", total)
	}
}

// Guards against timers that fire late after a suspension, twice, or after Stop.
func TestTimersCountSuspension(t *testing.T) {
	m, s := newFakeMachine(t)
	fired := make(chan string, 4)
	s.afterFunc(time.Hour, func() { fired <- "due" })
	s.afterFunc(9*time.Hour, func() { fired <- "not due" })
	stopped := s.afterFunc(time.Hour, func() { fired <- "stopped" })
	if !(systemTimer{s, stopped}).Stop() {
		t.Error("Stop of a pending timer: got false, want true")
	}
	m.suspend(2 * time.Hour)
	s.check()
	if got := <-fired; got != "due" {
		t.Errorf("timer %q fired, want the due one", got)
	}
	s.check()
	if len(fired) > 0 || len(s.timers) != 1 {
		t.Errorf("%d more timers fired, want 0; %d pending, want 1", len(fired), len(s.timers))
	}
}

// The context reports DeadlineExceeded at the clock's time, and Canceled if canceled before.
func TestWithDeadlineFollowsClock(t *testing.T) {
	c := NewFake()
	ctx, cancel := WithDeadline(context.Background(), c, c.Now().Add(time.Second))
	defer cancel()
	c.Advance(999 * time.Millisecond)
	if ctx.Err() != nil {
		t.Error("context ended before its deadline")
	}
	c.Advance(time.Millisecond)
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		t.Errorf("after the deadline: got %v, want deadline exceeded", ctx.Err())
	}
	other, cancelOther := WithDeadline(context.Background(), c, c.Now().Add(time.Second))
	cancelOther()
	c.Advance(time.Hour)
	if !errors.Is(other.Err(), context.Canceled) {
		t.Errorf("after cancel: got %v, want canceled", other.Err())
	}
}

// BenchmarkNow compares System.Now with time.Now and with a read of the kernel's clocks.
func BenchmarkNow(b *testing.B) {
	b.Run("runtime", func(b *testing.B) {
		for b.Loop() {
			_ = time.Now()
		}
	})
	b.Run("system", func(b *testing.B) {
		for b.Loop() {
			_ = System{}.Now()
		}
	})
	b.Run("machine", func(b *testing.B) {
		for b.Loop() {
			if _, err := readClocks(); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func TestWithDeadlineOrEndEndsWithEither(t *testing.T) {
	c := NewFake()
	end, stop := context.WithCancel(context.Background())
	ctx, cancel := WithDeadlineOrEnd(context.Background(), c, c.Now().Add(time.Second), end)
	defer cancel()
	canceled, cancelOther := WithDeadlineOrEnd(context.Background(), c, c.Now().Add(time.Second), end)
	cancelOther()
	late, cancelLate := WithDeadlineOrEnd(context.Background(), c, c.Now().Add(time.Second), context.Background())
	defer cancelLate()
	if ctx.Err() != nil {
		t.Errorf("got %v before the end", ctx.Err())
	}
	stop()
	<-ctx.Done()
	if ctx.Err() != context.DeadlineExceeded {
		t.Errorf("got %v, want %v", ctx.Err(), context.DeadlineExceeded)
	}
	if canceled.Err() != context.Canceled {
		t.Errorf("got %v for a context that was canceled before, want %v", canceled.Err(), context.Canceled)
	}
	c.Advance(time.Second)
	if late.Err() != context.DeadlineExceeded {
		t.Errorf("got %v after the deadline, want %v", late.Err(), context.DeadlineExceeded)
	}
}
