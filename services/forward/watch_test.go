// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"madderway/core/attempt"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/services/upstream"
)

// slowPlacement is a place whose first part is waited for but a moment.
type slowPlacement struct{}

func (slowPlacement) target() *routing.Target         { return &routing.Target{ID: "t"} }
func (slowPlacement) began()                          {}
func (slowPlacement) ended(attempt.Outcome, bool)     {}
func (slowPlacement) done()                           {}
func (slowPlacement) canceled()                       {}
func (slowPlacement) firstPartTimeout() time.Duration { return time.Nanosecond }

func slowJob(repeat func() bool) *job {
	route := &routing.Route{Repeat: routing.RepeatSafe, MaxAttempts: 2}
	return &job{s: &Service{opts: Options{Clock: clock.System{}}}, r: &Request{Route: route, Deadline: time.Now().Add(time.Hour)}, history: attempt.History{Route: route}, takeFromRetryBudget: repeat}
}

// An attempt is not cut for its slowness where the retry budget is spent: there
// would be nothing to put in its place.
func TestSlowAttemptContinuesWithoutRetryBudget(t *testing.T) {
	asked := make(chan struct{})
	j := slowJob(func() bool {
		close(asked)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer j.cutIfSlow(slowPlacement{}, cancel).Stop()
	<-asked
	if ctx.Err() != nil || j.retryReserved.Load() {
		t.Error("the attempt was cut though the budget is spent")
	}
}

// The repeat that was taken to cut an attempt is the one that replaces it.
func TestReservedRetryIsTakenOnce(t *testing.T) {
	taken := 0
	j := slowJob(func() bool {
		taken++
		return taken == 1
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer j.cutIfSlow(slowPlacement{}, cancel).Stop()
	<-ctx.Done()
	if !j.takeRetry() {
		t.Error("the repeat that was taken ahead is gone")
	}
	if taken != 1 || j.takeRetry() {
		t.Errorf("%d repeats were taken", taken)
	}
}

// What comes of an attempt that has just been cut for its slowness is not passed
// on: the answer would break off, though its repeat can give the whole.
func TestLateFirstEventOfCutAttemptIsNotForwarded(t *testing.T) {
	for _, cut := range []bool{true, false} {
		j := slowJob(func() bool { return true })
		j.s = &Service{opts: Options{Clock: clock.System{}, Guard: newTestGuard(clock.System{})}}
		j.ctx = context.Background()
		j.r.Route.Stream, j.r.Route.Resumable = true, true
		recorder := httptest.NewRecorder()
		j.w = recorder
		j.retryReserved.Store(cut)
		fired := time.AfterFunc(time.Hour, func() {})
		if cut {
			fired.Stop()
		}
		a := &upstream.Answer{Status: http.StatusOK, Header: http.Header{}, Body: strings.NewReader("id: 1\ndata: a\n\n")}
		outcome := j.forwardStream(slowPlacement{}, a, fired)
		if written := recorder.Body.Len() > 0; written == cut {
			t.Errorf("cut %v: %q was passed on", cut, recorder.Body.String())
		}
		if (outcome == attempt.Cut) != cut {
			t.Errorf("cut %v: outcome %v", cut, outcome)
		}
	}
}

// A stream that has begun is worth waiting for a target that goes on with it; a
// request that has not run is told at once.
func TestBegunStreamRetriesPlacement(t *testing.T) {
	route := &routing.Route{Stream: true, Resumable: true, MaxAttempts: 2}
	for name, c := range map[string]struct {
		history attempt.History
		left    time.Duration
		want    bool
	}{
		"begun":                 {attempt.History{Route: route, Sent: 1, MayHaveRun: true, HeadForwarded: true}, time.Second, true},
		"sent":                  {attempt.History{Route: route, Sent: 1, MayHaveRun: true}, time.Second, true},
		"not sent":              {attempt.History{Route: route}, time.Second, false},
		"time is over":          {attempt.History{Route: route, Sent: 1, MayHaveRun: true}, time.Millisecond, false},
		"may not be repeated":   {attempt.History{Route: &routing.Route{Stream: true}, Sent: 1, MayHaveRun: true}, time.Second, false},
		"no further attempt is": {attempt.History{Route: route, Sent: 2, MayHaveRun: true}, time.Second, false},
	} {
		if got := shouldRetryPlacement(c.history, c.left, 0); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
		if shouldRetryPlacement(c.history, c.left, placementRetryTimeout) {
			t.Errorf("%s: waits without end", name)
		}
	}
}
