// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"madderway/core/attempt"
	"madderway/core/overload"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/services/quarantine"
	"madderway/services/upstream"
)

func newTestGuard(c clock.Clock) *Guard {
	return newGuardWithOverdue(c, func(time.Time) time.Duration { return 0 })
}

func newGuardWithOverdue(c clock.Clock, overdue func(time.Time) time.Duration) *Guard {
	return NewGuard(log.New("guard"), c, GuardOptions{Bytes: func() (uint64, uint64) { return 0, 0 }, OnDutiesChanged: func(bool, bool) {}, Overdue: overdue})
}

// Guards against an overloaded gateway that forwards each event by itself, and against delayed
// first events.
func TestOverloadedGatewayCoalescesEvents(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		c := clock.NewFake()
		j := slowJob(func() bool { return true })
		j.s = &Service{counters: newCounters(), opts: Options{Clock: c, Quarantine: quarantine.New(log.New("quarantine"), quarantine.Options{Clock: c}), Guard: newTestGuard(c)}}
		j.s.opts.Guard.overloaded.Store(overloaded)
		j.ctx = t.Context()
		j.r.Route.Stream = true
		passed := &countingWriter{ResponseRecorder: httptest.NewRecorder(), wrote: make(chan int, 8)}
		j.w = passed
		body, events := io.Pipe()
		done := make(chan attempt.Outcome)
		go func() {
			done <- j.forwardStream(slowPlacement{}, &upstream.Answer{Status: http.StatusOK, Header: http.Header{}, Body: body}, time.AfterFunc(time.Hour, func() {}))
		}()
		const event = "id: 1\ndata: a\n\n"
		send := func() { _, _ = io.WriteString(events, event) }
		send()
		if n := <-passed.wrote; n != len(event) {
			t.Errorf("overloaded %v: first event forwarded in a write of %d bytes", overloaded, n)
		}
		// A write to the pipe returns once it is read; nobody reads while events are collected.
		next := make(chan struct{})
		go func() {
			send()
			close(next)
		}()
		if overloaded {
			for waiting := true; waiting; {
				select {
				case <-next:
					waiting = false
				default:
					c.Advance(coalesceInterval / 4)
				}
			}
		}
		<-next
		if n := <-passed.wrote; n != len(event) {
			t.Errorf("overloaded %v: second event forwarded in a write of %d bytes", overloaded, n)
		}
		if since := c.Now().Sub(clock.NewFake().Now()); overloaded != (since >= coalesceInterval) {
			t.Errorf("overloaded %v: second event read after %v", overloaded, since)
		}
		_ = events.Close()
		ended := false
		for !ended {
			select {
			case <-done:
				ended = true
			default:
				c.Advance(coalesceInterval)
			}
		}
	}
}

// countingWriter sends the length of each write to a channel.
type countingWriter struct {
	*httptest.ResponseRecorder
	wrote chan int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.wrote <- len(p)
	return w.ResponseRecorder.Write(p)
}

// Guards against admitting requests while the process is too late to report its lateness.
func TestMissingLatenessReportCountsAsOverload(t *testing.T) {
	c := clock.NewFake()
	start := c.Now()
	g := newGuardWithOverdue(c, func(now time.Time) time.Duration { return now.Sub(start) })
	refused := 0
	for range 1000 {
		c.Advance(time.Millisecond)
		if g.admit("flood", true) == overload.Refuse {
			refused++
		}
	}
	if refused < 300 {
		t.Errorf("refused %d of 1,000 requests after the process stood still for a second, want at least 300", refused)
	}
}

// Guards against retries that use up the time of an overloaded gateway.
func TestRetryAfterGrowsAsLessIsAdmitted(t *testing.T) {
	c := clock.NewFake()
	g := newTestGuard(c)
	g.opts.Draw = rand.New(rand.NewPCG(1, 2)).Float64
	mean := func() time.Duration {
		sum := time.Duration(0)
		for range 1000 {
			after := g.retryAfter()
			if after > maxRetryAfter*3/2 {
				t.Fatalf("retry after %v, want at most 3/2 of maxRetryAfter", after)
			}
			sum += after
		}
		return sum / 1000
	}
	idle := mean()
	for range 500 {
		c.Advance(10 * time.Millisecond)
		g.admit("flood", true)
		g.ObserveLateness(100 * time.Millisecond)
	}
	if loaded := mean(); loaded < 3*idle {
		t.Errorf("mean retry time %v when overloaded, %v when idle, want at least three times as much", loaded, idle)
	}
}

// Guards against requests of a flood that are served here because the process is not late yet.
func TestBurstIsDecidedEarly(t *testing.T) {
	c := clock.NewFake()
	g := NewGuard(log.New("guard"), c, GuardOptions{
		Bytes: func() (uint64, uint64) { return 0, 0 }, OnDutiesChanged: func(bool, bool) {}, Overdue: func(time.Time) time.Duration { return 0 },
		HandOverAvailable: func() bool { return true },
	})
	g.ObserveLateness(0)
	for range 150 {
		g.admit("flood", false)
	}
	if !g.Overloaded() {
		t.Error("not overloaded by 150 requests at once")
	}
	c.Advance(time.Second)
	g.ObserveLateness(0)
	if g.Overloaded() {
		t.Error("still overloaded a second after the burst")
	}
}
