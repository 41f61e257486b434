// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"madderway/core/attempt"
	"madderway/core/overload"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/services/upstream"
)

func newTestGuard(c clock.Clock) *Guard {
	return newGuardWithOverdue(c, func(time.Time) time.Duration { return 0 })
}

func newGuardWithOverdue(c clock.Clock, overdue func(time.Time) time.Duration) *Guard {
	return NewGuard(log.New("guard"), c, GuardOptions{Bytes: func() (uint64, uint64) { return 0, 0 }, OnDutiesChanged: func(bool, bool) {}, Overdue: overdue})
}

// A gateway that is short of processor time passes events on in groups, the first one
// at once; any other passes each on as it comes.
func TestOverloadedGatewayCoalescesEvents(t *testing.T) {
	for _, strained := range []bool{false, true} {
		c := clock.NewFake()
		j := slowJob(func() bool { return true })
		j.s = &Service{opts: Options{Clock: c, Guard: newTestGuard(c)}}
		j.s.opts.Guard.overloaded.Store(strained)
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
			t.Errorf("strained %v: the first event came as %d bytes", strained, n)
		}
		// A pipe takes a write once it is read: while events gather nobody reads.
		next := make(chan struct{})
		go func() {
			send()
			close(next)
		}()
		if strained {
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
			t.Errorf("strained %v: %d bytes followed", strained, n)
		}
		if since := c.Now().Sub(clock.NewFake().Now()); strained != (since >= coalesceInterval) {
			t.Errorf("strained %v: the second event was read after %v", strained, since)
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

// countingWriter tells how many bytes each write has.
type countingWriter struct {
	*httptest.ResponseRecorder
	wrote chan int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.wrote <- len(p)
	return w.ResponseRecorder.Write(p)
}

// A process so late that no sample of its lateness comes refuses requests all the same.
func TestMissingLatenessReportCountsAsOverload(t *testing.T) {
	c := clock.NewFake()
	began := c.Now()
	g := newGuardWithOverdue(c, func(now time.Time) time.Duration { return now.Sub(began) })
	refused := 0
	for range 1000 {
		c.Advance(time.Millisecond)
		if g.admit("flood", true) == overload.Refuse {
			refused++
		}
	}
	if refused < 300 {
		t.Errorf("%d of 1,000 requests were refused by a process that had stood still for a second", refused)
	}
}

// The less is admitted, the later a refused request may come back.
func TestRetryAfterGrowsAsLessIsAdmitted(t *testing.T) {
	c := clock.NewFake()
	g := newTestGuard(c)
	mean := func() time.Duration {
		sum := time.Duration(0)
		for range 1000 {
			after := g.retryAfter()
			if after > maxRetryAfter*3/2 {
				t.Fatalf("may come back after %v", after)
			}
			sum += after
		}
		return sum / 1000
	}
	calm := mean()
	for range 500 {
		c.Advance(10 * time.Millisecond)
		g.admit("flood", true)
		g.ObserveLateness(100 * time.Millisecond)
	}
	if flooded := mean(); flooded < 3*calm {
		t.Errorf("%v in a flood, %v in a calm", flooded, calm)
	}
}
