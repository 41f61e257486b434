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
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/services/upstream"
)

func testGuard(c clock.Clock) *Guard {
	return NewGuard(log.New("guard"), c, GuardOptions{Bytes: func() (uint64, uint64) { return 0, 0 }, OnDuties: func(bool, bool) {}})
}

// A gateway that is short of processor time passes events on in groups, the first one
// at once; any other passes each on as it comes.
func TestStrainedGatewayGathersEvents(t *testing.T) {
	for _, strained := range []bool{false, true} {
		c := clock.NewFake()
		j := impatientJob(func() bool { return true })
		j.s = &Service{opts: Options{Clock: c, Guard: testGuard(c)}}
		j.s.opts.Guard.strained.Store(strained)
		j.ctx = t.Context()
		j.r.Route.Stream = true
		passed := &countingWriter{ResponseRecorder: httptest.NewRecorder(), wrote: make(chan int, 8)}
		j.w = passed
		body, events := io.Pipe()
		done := make(chan attempt.Outcome)
		go func() {
			done <- j.pump(impatient{}, &upstream.Answer{Status: http.StatusOK, Header: http.Header{}, Body: body}, time.AfterFunc(time.Hour, func() {}))
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
					c.Advance(gatherTime / 4)
				}
			}
		}
		<-next
		if n := <-passed.wrote; n != len(event) {
			t.Errorf("strained %v: %d bytes followed", strained, n)
		}
		if since := c.Now().Sub(clock.NewFake().Now()); strained != (since >= gatherTime) {
			t.Errorf("strained %v: the second event was read after %v", strained, since)
		}
		_ = events.Close()
		ended := false
		for !ended {
			select {
			case <-done:
				ended = true
			default:
				c.Advance(gatherTime)
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
