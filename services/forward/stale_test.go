// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"errors"
	"testing"
	"time"

	"madderway/core/quarantine"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/services/notice"
	requests "madderway/services/quarantine"
)

// Guards against sending to a target that left or restarted while this process stood still.
func TestStalePlacementIsNotUsed(t *testing.T) {
	c := clock.NewFake()
	q := requests.New(log.New("quarantine"), requests.Options{Clock: c, Share: func(quarantine.Record) {}})
	j := &job{s: &Service{opts: Options{Clock: c, Quarantine: q, Targets: targetList("t"), Notices: notice.New(log.New("notice"), notice.Options{Clock: c})}}, r: &Request{Route: &routing.Route{}}, quarantineAttempt: q.NewAttempt(quarantine.Identity{}, nil), placedAt: c.Now(), target: &routing.Target{ID: "t"}}
	c.Advance(maxPlacementAge)
	if err := j.checkAtSend(); err != nil {
		t.Errorf("fresh placement: got error %v", err)
	}
	c.Advance(3 * time.Second)
	if err := j.checkAtSend(); !errors.Is(err, errStalePlacement) {
		t.Errorf("stale placement: got error %v, want errStalePlacement", err)
	}
}

// Guards against work for disconnected callers, and against checking callers of fresh requests.
func TestRequestOfGoneCallerIsNotSent(t *testing.T) {
	c := clock.NewFake()
	q := requests.New(log.New("quarantine"), requests.Options{Clock: c, Share: func(quarantine.Record) {}})
	disconnected, checks := false, 0
	r := &Request{Route: &routing.Route{}, Received: c.Now(), CallerDisconnected: func() bool {
		checks++
		return disconnected
	}}
	j := &job{s: &Service{opts: Options{Clock: c, Guard: newTestGuard(c), Quarantine: q, Targets: targetList("t"), Notices: notice.New(log.New("notice"), notice.Options{Clock: c})}}, r: r, quarantineAttempt: q.NewAttempt(quarantine.Identity{}, nil), placedAt: c.Now(), target: &routing.Target{ID: "t"}}
	if err := j.checkAtSend(); err != nil || checks > 0 {
		t.Errorf("fresh request: got error %v, %d checks of the caller, want none", err, checks)
	}
	c.Advance(2 * callerCheckAfter)
	if err := j.checkAtSend(); err != nil || checks != 1 {
		t.Errorf("caller present: got error %v, %d checks of the caller, want 1", err, checks)
	}
	disconnected = true
	if err := j.checkAtSend(); !errors.Is(err, context.Canceled) {
		t.Errorf("caller disconnected: got error %v, want context.Canceled", err)
	}
}

// targetList lists one target, which accepts work.
// Guards against requests that lay in the socket of a process that stood still, and are sent to targets
// although their callers have left meanwhile.
func TestRequestThatLayUnreadIsNotSentForGoneCaller(t *testing.T) {
	c := clock.NewFake()
	overdue := 1400 * time.Millisecond // the process has just woken
	guard := newGuardWithOverdue(c, func(time.Time) time.Duration { return overdue })
	q := requests.New(log.New("quarantine"), requests.Options{Clock: c, Share: func(quarantine.Record) {}})
	r := &Request{Route: &routing.Route{}, Received: c.Now(), CallerDisconnected: func() bool { return true }}
	j := &job{s: &Service{opts: Options{Clock: c, Guard: guard, Quarantine: q, Targets: targetList("t"), Notices: notice.New(log.New("notice"), notice.Options{Clock: c})}}, r: r, quarantineAttempt: q.NewAttempt(quarantine.Identity{}, nil), placedAt: c.Now(), target: &routing.Target{ID: "t"}}
	if err := j.checkAtSend(); !errors.Is(err, context.Canceled) {
		t.Errorf("caller left while the process stood still: got error %v, want context.Canceled", err)
	}
	overdue = 0
	if err := j.checkAtSend(); err != nil {
		t.Errorf("the process is in time: got error %v, want no check of the caller", err)
	}
}

type targetList string

// Targets implements Targets.
func (l targetList) Targets() *routing.TargetSet {
	return routing.NewTargetSet(0, routing.Target{ID: string(l)})
}
