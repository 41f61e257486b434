// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"madderway/core/attempt"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/services/quarantine"
	"madderway/services/upstream"
)

// pausingBody returns its parts one after the other, and calls pause between them.
type pausingBody struct {
	parts   []string
	pause   func()
	between bool
}

// Read implements io.Reader.
func (b *pausingBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	if b.between {
		b.pause()
		b.between = false
	}
	n := copy(p, b.parts[0])
	if b.parts[0] = b.parts[0][n:]; b.parts[0] == "" {
		b.parts, b.between = b.parts[1:], true
	}
	return n, nil
}

// Guards against an answer that is cut for a slow first part after that part was forwarded: one that is
// too long to be held, and a stream that continues at a second target.
func TestAnswerIsNotCutAfterItsFirstPart(t *testing.T) {
	const limit = time.Second
	event := "id: 1\ndata: a\n\n"
	for name, c := range map[string]struct {
		route   routing.Route
		parts   []string
		history attempt.History
		timing  streamTiming
	}{
		"too long to be held": {routing.Route{Repeat: routing.RepeatSafe}, []string{strings.Repeat("x", maxBufferedResponse+1), "y"}, attempt.History{}, streamTiming{}},
		"stream continued": {
			routing.Route{Stream: true, Resumable: true},
			[]string{event, event},
			attempt.History{Sent: 1, MayHaveRun: true, HeadForwarded: true},
			streamTiming{last: time.Unix(1, 0)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			fake := clock.NewFake()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			c.route.MaxAttempts, c.history.Route = 3, &c.route
			w := httptest.NewRecorder()
			j := &job{
				s: &Service{opts: Options{Clock: fake, Guard: newTestGuard(fake), Quarantine: quarantine.New(log.New("quarantine"), quarantine.Options{Clock: fake})}, counters: newCounters()}, ctx: ctx, w: w,
				r: &Request{Route: &c.route, Received: fake.Now(), Deadline: fake.Now().Add(time.Hour)}, history: c.history, timing: c.timing,
				takeFromRetryBudget: func() bool { return true },
			}
			cut := false
			timer := j.cutIfSlow(timedPlacement{limit: limit}, func() { cut = true })
			body := &pausingBody{parts: c.parts, pause: func() { fake.Advance(2 * limit) }}
			a := &upstream.Answer{Status: http.StatusOK, Header: http.Header{}, Body: body}
			var outcome attempt.Outcome
			if c.route.Stream {
				outcome = j.forwardStream(timedPlacement{limit: limit}, a, timer)
			} else {
				outcome = j.forwardWhole(timedPlacement{limit: limit}, a, timer)
			}
			if outcome != 0 || cut {
				t.Errorf("got outcome %v, cut %v, want a whole answer", outcome, cut)
			}
			if j.retryReserved.Load() {
				t.Error("a retry was reserved after the first part")
			}
		})
	}
}

// timedPlacement is a placement with a limit on the time to the first part.
type timedPlacement struct {
	slowPlacement
	limit time.Duration
}

func (p timedPlacement) firstPartTimeout() time.Duration { return p.limit }

// countingPlacement counts how often its target has begun to answer.
type countingPlacement struct {
	timedPlacement
	starts *int
}

func (p countingPlacement) began() { *p.starts++ }

// Guards against a target that sends comments, or an event without an end, and is taken for one that
// answers: no other target is tried, and its scheduler learns that the request has begun.
func TestBytesWithoutEventsAreNoFirstPart(t *testing.T) {
	const limit = time.Second
	for name, parts := range map[string][]string{
		"comments":           {": wait\n", ": wait\n", ": wait\n"},
		"an event's begin":   {"id: 1\n", "data: ", "data"},
		"blank lines":        {"\n", "\n\n", "\n"},
		"one byte at a time": strings.Split("data: a", ""),
	} {
		t.Run(name, func(t *testing.T) {
			fake := clock.NewFake()
			route := routing.Route{Stream: true, Resumable: true, MaxAttempts: 3}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			j := &job{
				s: &Service{opts: Options{Clock: fake, Guard: newTestGuard(fake), Quarantine: quarantine.New(log.New("quarantine"), quarantine.Options{Clock: fake})}, counters: newCounters()}, ctx: ctx, w: httptest.NewRecorder(),
				r: &Request{Route: &route, Received: fake.Now(), Deadline: fake.Now().Add(time.Hour)}, history: attempt.History{Route: &route},
				takeFromRetryBudget: func() bool { return true },
			}
			starts, cut := 0, false
			p := countingPlacement{timedPlacement{limit: limit}, &starts}
			timer := j.cutIfSlow(p, func() { cut = true })
			body := &pausingBody{parts: parts, pause: func() { fake.Advance(limit) }}
			a := &upstream.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.MultiReader(body, strings.NewReader("\n\nid: 2\ndata: b\n\n"))}
			if outcome := j.forwardStream(p, a, timer); outcome != attempt.Cut || !cut || starts != 0 {
				t.Errorf("outcome %v, cut %v, begun %d times, want an attempt that is cut before it begins", outcome, cut, starts)
			}
		})
	}
}
