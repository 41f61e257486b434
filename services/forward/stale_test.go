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

// A goroutine was about to send when the machine was suspended. Its target may have left, or
// begun another life, when it goes on: the place no longer holds, and nothing is sent.
func TestNothingIsSentToAStalePlace(t *testing.T) {
	c := clock.NewFake()
	q := requests.New(log.New("quarantine"), requests.Options{Clock: c, Share: func(quarantine.Record) {}})
	j := &job{s: &Service{opts: Options{Clock: c, Requests: q, Follow: listed("t"), Notices: notice.New(log.New("notice"), notice.Options{Clock: c})}}, r: &Request{}, past: q.NewAttempt(quarantine.Identity{}), placedAt: c.Now(), at: &routing.Target{ID: "t"}}
	c.Advance(placeHolds)
	if err := j.checkAtSend(); err != nil {
		t.Errorf("a place that still holds: %v", err)
	}
	c.Advance(3 * time.Second)
	if err := j.checkAtSend(); !errors.Is(err, errStalePlace) {
		t.Errorf("a stale place: %v", err)
	}
}

// A request that has waited is not sent where its caller has left meanwhile; one that came just
// now is sent without asking.
func TestNothingIsSentForACallerWhoHasLeft(t *testing.T) {
	c := clock.NewFake()
	q := requests.New(log.New("quarantine"), requests.Options{Clock: c, Share: func(quarantine.Record) {}})
	left, asked := false, 0
	r := &Request{Received: c.Now(), Left: func() bool {
		asked++
		return left
	}}
	j := &job{s: &Service{opts: Options{Clock: c, Requests: q, Follow: listed("t"), Notices: notice.New(log.New("notice"), notice.Options{Clock: c})}}, r: r, past: q.NewAttempt(quarantine.Identity{}), placedAt: c.Now(), at: &routing.Target{ID: "t"}}
	if err := j.checkAtSend(); err != nil || asked > 0 {
		t.Errorf("right after it came: %v, asked %d times", err, asked)
	}
	c.Advance(2 * leftAfter)
	if err := j.checkAtSend(); err != nil || asked != 1 {
		t.Errorf("its caller waits: %v, asked %d times", err, asked)
	}
	left = true
	if err := j.checkAtSend(); !errors.Is(err, context.Canceled) {
		t.Errorf("its caller has left: %v", err)
	}
}

// listed are targets that take work.
type listed string

// Targets implements Targets.
func (l listed) Targets() *routing.TargetSet {
	return (&routing.TargetSet{Targets: []routing.Target{{ID: string(l)}}}).BuildIndex()
}
