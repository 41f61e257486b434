// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"testing"
	"time"

	"madderway/core/attempt"
	"madderway/core/quarantine"
	"madderway/core/worktime"
	"madderway/models/result"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/services/notice"
	requests "madderway/services/quarantine"
)

// newStoppingJob returns a job on a route whose requests took a second each, and its clock.
func newStoppingJob(route *routing.Route) (*job, *clock.Fake) {
	c := clock.NewFake()
	q := requests.New(log.New("quarantine"), requests.Options{Clock: c, Share: func(quarantine.Record) {}})
	s := New(log.New("forward"), Options{Clock: c, Quarantine: q, Targets: targetList("t"), Notices: notice.New(log.New("notice"), notice.Options{Clock: c})})
	j := &job{s: s, r: &Request{Route: route, Service: &routing.Service{Name: "p"}}, quarantineAttempt: q.NewAttempt(quarantine.Identity{}, nil), target: &routing.Target{ID: "t"}, history: attempt.History{Route: route}}
	for range 100 {
		j.sentAt = c.Now()
		c.Advance(time.Second)
		j.recordWorkTime(0)
	}
	j.placedAt = c.Now()
	return j, c
}

// Guards against a request that is sent late in a stop, when its body has come or its scheduler has placed it,
// and is then cut without an answer.
func TestRequestThatCannotEndBeforeStopIsNotSent(t *testing.T) {
	unsafe := &routing.Route{Name: "unsafe", Objective: 200 * time.Millisecond, Repeat: routing.RepeatNever, MaxAttempts: 1}
	safe := &routing.Route{Name: "safe", Objective: 200 * time.Millisecond, Repeat: routing.RepeatSafe, MaxAttempts: 2}
	for name, c := range map[string]struct {
		route          *routing.Route
		left, deadline time.Duration
		refused        bool
	}{
		"enough time left":             {unsafe, 2 * time.Second, time.Minute, false},
		"less than it takes":           {unsafe, 900 * time.Millisecond, time.Minute, true},
		"ends with its deadline":       {unsafe, 900 * time.Millisecond, 800 * time.Millisecond, false},
		"last moment":                  {unsafe, 50 * time.Millisecond, time.Minute, true},
		"after the end":                {unsafe, -time.Second, time.Minute, true},
		"repeatable":                   {safe, time.Second, time.Minute, false},
		"repeatable, less than usual":  {safe, 900 * time.Millisecond, time.Minute, true},
		"first of its route":           {&routing.Route{Name: "new", Objective: 200 * time.Millisecond}, 300 * time.Millisecond, time.Minute, false},
		"first of its route, too late": {&routing.Route{Name: "new", Objective: 200 * time.Millisecond}, 100 * time.Millisecond, time.Minute, true},
	} {
		t.Run(name, func(t *testing.T) {
			j, fake := newStoppingJob(c.route)
			if c.route.Name == "new" {
				j.s.workTimes = nil
			}
			j.r.Deadline = fake.Now().Add(c.deadline)
			j.s.StopBy(fake.Now().Add(c.left))
			err := j.checkAtSend()
			if (err != nil) != c.refused {
				t.Fatalf("got error %v, want an error: %v", err, c.refused)
			}
			if (j.refusal != nil) != c.refused {
				t.Errorf("refusal is %v", j.refusal)
			}
			if !c.refused {
				return
			}
			if e := result.Convert(err); e.Code != result.Draining || e.RetryAfter == 0 || e.Execution() != result.RanNo {
				t.Errorf("got %v, retry after %v, ran %v", e.Code, e.RetryAfter, e.Execution())
			}
		})
	}
}

// Guards against refusals of requests that are likely to end in time.
func TestShareOfLatestRequestsDecidesLateInStop(t *testing.T) {
	for name, c := range map[string]struct {
		repeat  routing.Repeat
		longer  int // of 20 requests
		refused bool
	}{
		"once, few longer":        {routing.RepeatNever, 2, false},
		"once, more longer":       {routing.RepeatNever, 3, true},
		"repeatable, half longer": {routing.RepeatSafe, 10, false},
		"repeatable, most longer": {routing.RepeatSafe, 11, true},
	} {
		t.Run(name, func(t *testing.T) {
			j, fake := newStoppingJob(&routing.Route{Name: "mixed", Repeat: c.repeat})
			j.s.workTimes = map[string]*worktime.Recent{"mixed": {}}
			for n := range 20 {
				took := time.Second
				if n < c.longer {
					took = 5 * time.Second
				}
				j.s.workTimes["mixed"].Add(took)
			}
			j.r.Deadline = fake.Now().Add(time.Minute)
			j.s.StopBy(fake.Now().Add(3 * time.Second))
			if err := j.checkAtSend(); (err != nil) != c.refused {
				t.Errorf("got error %v, want an error: %v", err, c.refused)
			}
		})
	}
}

// Guards against the refusal "not run" of a request that was sent before.
func TestRetryTooLateInStopIsNotRefusedAsNotRun(t *testing.T) {
	j, fake := newStoppingJob(&routing.Route{Name: "safe", Repeat: routing.RepeatSafe, MaxAttempts: 2})
	j.ctx = t.Context()
	j.r.Deadline, j.history.Sent, j.history.MayHaveRun = fake.Now().Add(time.Minute), 1, true
	j.s.StopBy(fake.Now())
	err := j.placementError(j.checkAtSend())
	if e := result.Convert(err); e.Code != result.OutcomeUnknown {
		t.Errorf("got %v, want %v", err, result.OutcomeUnknown)
	}
}

// Guards against an attempt that is cut for its slowness when the stop leaves no time for another one.
func TestSlowAttemptIsNotCutLateInStop(t *testing.T) {
	for name, left := range map[string]time.Duration{"late": 500 * time.Millisecond, "early": time.Minute} {
		t.Run(name, func(t *testing.T) {
			j, fake := newStoppingJob(&routing.Route{Name: "safe", Repeat: routing.RepeatSafe, MaxAttempts: 2})
			j.r.Deadline = fake.Now().Add(time.Minute)
			j.takeFromRetryBudget = func() bool { return true }
			j.s.StopBy(fake.Now().Add(left))
			cut := false
			timer := j.cutIfSlow(latePlacement{}, func() { cut = true })
			defer timer.Stop()
			fake.Advance(latePlacement{}.firstPartTimeout())
			if want := name == "early"; cut != want {
				t.Errorf("cut: %v, want %v", cut, want)
			}
		})
	}
}

// latePlacement is a placement whose first part is late after 100 ms.
type latePlacement struct{ placement }

func (latePlacement) firstPartTimeout() time.Duration { return 100 * time.Millisecond }

// Guards against requests that are closed without an answer, or refused as not run though they may have run, when
// the gateway ends while they wait for a scheduler.
func TestWaitingRequestIsAnsweredWhenStopEnds(t *testing.T) {
	for name, c := range map[string]struct {
		mayHaveRun, headOut bool
		want                result.Code // 0 if the connection must be closed
	}{
		"never sent":            {want: result.Draining},
		"may have run":          {mayHaveRun: true, want: result.OutcomeUnknown},
		"answer partly written": {mayHaveRun: true, headOut: true},
	} {
		t.Run(name, func(t *testing.T) {
			j, fake := newStoppingJob(&routing.Route{Name: "stream", Stream: true, MaxAttempts: 2})
			ctx, cancel := clock.WithDeadlineOrEnd(t.Context(), fake, fake.Now().Add(time.Minute), j.s.working)
			defer cancel()
			j.ctx, j.history.MayHaveRun, j.headOut = ctx, c.mayHaveRun, c.headOut
			j.s.GiveUp()
			<-ctx.Done()
			err := j.placementError(ctx.Err())
			e, ok := result.FromError(err)
			if c.want == 0 && err != ErrAborted || c.want != 0 && (!ok || e.Code != c.want) {
				t.Errorf("got %v, want code %d", err, c.want)
			}
		})
	}
}
