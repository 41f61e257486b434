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
	"madderway/modules/log"
	"madderway/services/quarantine"
	"madderway/services/upstream"
)

// slowPlacement is a placement whose first part is always late.
type slowPlacement struct{}

func (slowPlacement) target() *routing.Target         { return &routing.Target{ID: "t"} }
func (slowPlacement) began()                          {}
func (slowPlacement) ended(attempt.Outcome, bool)     {}
func (slowPlacement) done()                           {}
func (slowPlacement) canceled()                       {}
func (slowPlacement) firstPartTimeout() time.Duration { return time.Nanosecond }

func slowJob(take func() bool) *job {
	route := &routing.Route{Repeat: routing.RepeatSafe, MaxAttempts: 2}
	return &job{s: &Service{counters: newCounters(), opts: Options{Clock: clock.System{}}}, r: &Request{Route: route, Deadline: time.Now().Add(time.Hour)}, history: attempt.History{Route: route}, takeFromRetryBudget: take}
}

// Guards against cutting an attempt that nothing can replace.
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
		t.Error("attempt cut without a retry left in the budget")
	}
}

// Guards against taking two retries from the budget for one attempt that was cut.
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
		t.Error("reserved retry is lost")
	}
	if taken != 1 || j.takeRetry() {
		t.Errorf("%d retries taken from the budget, want 1", taken)
	}
}

// Guards against forwarding the response of a cut attempt, which would break off although its
// retry can succeed.
func TestLateFirstEventOfCutAttemptIsNotForwarded(t *testing.T) {
	for _, cut := range []bool{true, false} {
		j := slowJob(func() bool { return true })
		j.s = &Service{counters: newCounters(), opts: Options{Clock: clock.System{}, Quarantine: quarantine.New(log.New("quarantine"), quarantine.Options{Clock: clock.System{}}), Guard: newTestGuard(clock.System{})}}
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
			t.Errorf("cut %v: forwarded %q", cut, recorder.Body.String())
		}
		if (outcome == attempt.Cut) != cut {
			t.Errorf("cut %v: outcome %v", cut, outcome)
		}
	}
}

// Guards against giving up a stream that another target could resume, and against delaying the
// error of a request that has not run.
func TestBegunStreamRetriesPlacement(t *testing.T) {
	route := &routing.Route{Stream: true, Resumable: true, MaxAttempts: 2}
	for name, c := range map[string]struct {
		history   attempt.History
		remaining time.Duration
		want      bool
	}{
		"begun":           {attempt.History{Route: route, Sent: 1, MayHaveRun: true, HeadForwarded: true}, time.Second, true},
		"sent":            {attempt.History{Route: route, Sent: 1, MayHaveRun: true}, time.Second, true},
		"not sent":        {attempt.History{Route: route}, time.Second, false},
		"deadline close":  {attempt.History{Route: route, Sent: 1, MayHaveRun: true}, time.Millisecond, false},
		"not resumable":   {attempt.History{Route: &routing.Route{Stream: true}, Sent: 1, MayHaveRun: true}, time.Second, false},
		"no attempt left": {attempt.History{Route: route, Sent: 2, MayHaveRun: true}, time.Second, false},
	} {
		if got := shouldRetryPlacement(c.history, c.remaining, 0); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
		if shouldRetryPlacement(c.history, c.remaining, placementRetryTimeout) {
			t.Errorf("%s: retries after the timeout", name)
		}
	}
}
