// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"errors"
	"testing"

	coreorigin "madderway/core/origin"
	"madderway/models/result"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/services/notice"
	"madderway/services/origin"
	"madderway/services/upstream"
)

// listedTargets is a list of targets that a test replaces.
type listedTargets struct{ set *routing.TargetSet }

func (l *listedTargets) Targets() *routing.TargetSet { return l.set }

func (l *listedTargets) list(targets ...routing.Target) { l.set = routing.NewTargetSet(0, targets...) }

// newStreamJob returns a job of a resumable stream and the list of targets that it uses.
func newStreamJob(call upstream.Call) (*job, *listedTargets) {
	targets, fake := &listedTargets{}, clock.NewFake()
	o := origin.New(log.New("origin"), origin.Options{
		Clock: fake, MetricsPrefix: "test", FirstStart: true, InContact: func() bool { return true }, ListFreshAt: fake.Now,
		Share: func([]coreorigin.Record, bool) {}, ShareEarly: func(coreorigin.Record) {}, Ask: func(coreorigin.Key, bool) []string { return nil }, Confirm: func(context.Context) error { return nil },
	})
	s := New(log.New("forward"), Options{Clock: fake, Targets: targets, Origins: o, Notices: notice.New(log.New("notice"), notice.Options{Clock: fake})})
	r := &Request{Call: call, Route: &routing.Route{Stream: true, Resumable: true, MaxAttempts: 3}, Service: &routing.Service{Name: "s"}}
	targets.list()
	return &job{s: s, ctx: context.Background(), r: r}, targets
}

func versioned(id, software string) routing.Target {
	return routing.Target{ID: id, Service: "s", Software: software}
}

// Guards against a stream that continues at a target whose version changed after it was placed, or
// of which an old scheduler does not know the version.
func TestBoundStreamIsNotSentToOtherSoftware(t *testing.T) {
	j, targets := newStreamJob(upstream.Call{ID: "a1"})
	targets.list(versioned("a", "v1"), versioned("b", "v2"))
	j.target = targets.set.Find("a")
	if err := j.startSending(); err != nil {
		t.Fatal(err)
	}
	j.recordOrigin()
	j.headOut = true
	if err := j.bind(); err != nil || j.binding.software != "v1" {
		t.Fatalf("got version %q, error %v, want v1", j.binding.software, err)
	}
	if j.usableTarget("a") == nil || j.usableTarget("b") != nil {
		t.Error("want a usable and b not")
	}
	if got := j.binding.filter(targets.set.ByService("s")); len(got) != 1 || got[0].ID != "a" {
		t.Errorf("got %d targets for a plain service, want a only", len(got))
	}
	targets.list(versioned("a", "v2"))
	if err := j.startSending(); !errors.Is(err, errWithheld) {
		t.Errorf("the target runs other software now: got error %v, want errWithheld", err)
	}
	_, err := j.place()
	if e, ok := result.FromError(err); !ok || e.Code != result.NoTarget || e.RetryAfter <= 0 {
		t.Errorf("no target of the version: got error %v, want no_target with a retry time", err)
	}
}

// Guards against binding a stream to a target that sent no event: a try after it may go anywhere.
func TestStreamWithoutEventIsNotBound(t *testing.T) {
	j, targets := newStreamJob(upstream.Call{ID: "a1"})
	targets.list(versioned("a", "v1"), versioned("b", "v2"))
	for i, id := range []string{"a", "b"} {
		j.target, j.history.Sent = targets.set.Find(id), i
		if err := j.startSending(); err != nil {
			t.Fatal(err)
		}
	}
	j.recordOrigin()
	j.headOut = true
	if err := j.bind(); err != nil || j.binding.software != "v2" {
		t.Errorf("got version %q, error %v, want v2", j.binding.software, err)
	}
}

// Guards against serving a stream of which nobody knows where it began while versions differ.
func TestUnknownStreamIsRefused(t *testing.T) {
	j, targets := newStreamJob(upstream.Call{ID: "a2", Resuming: true, Resumes: "a1", LastEvent: "3"})
	targets.list(versioned("a", "v1"), versioned("b", "v2"))
	j.s.opts.Origins.SetTargets(targets.set)
	e, ok := result.FromError(j.bind())
	if !ok || e.Code != result.OriginUnknown || e.RetryAfter != unknownOriginRetryAfter {
		t.Errorf("got %+v, want origin_unknown with a retry time", e)
	}
	targets.list(versioned("a", "v1"))
	one, _ := newStreamJob(j.r.Call)
	one.s.opts.Origins.SetTargets(targets.set)
	if err := one.bind(); err != nil || one.binding.software != "v1" {
		t.Errorf("one version: got version %q, error %v, want v1", one.binding.software, err)
	}
}

// Guards against a caller that names no attempt and is given the version of a stream without an ID.
func TestStreamWithoutAttemptIsNotFound(t *testing.T) {
	j, targets := newStreamJob(upstream.Call{})
	targets.list(versioned("a", "v1"), versioned("b", "v2"))
	j.s.opts.Origins.SetTargets(targets.set)
	j.target = targets.set.Find("a")
	if err := j.startSending(); err != nil {
		t.Fatal(err)
	}
	j.recordOrigin()
	j.r.Call = upstream.Call{ID: "a2", Resuming: true, LastEvent: "1"}
	if err := j.bind(); err == nil {
		t.Errorf("got version %q, want an error", j.binding.software)
	}
}

// Guards against throttling an account for streams that no scheduler was asked for.
func TestUnknownStreamsDoNotThrottle(t *testing.T) {
	j, targets := newStreamJob(upstream.Call{ID: "a2", Resuming: true, Prompt: &routing.Prompt{}})
	j.r.Service.Engine = &routing.Engine{}
	targets.list(versioned("a", "v1"), versioned("b", "v2"))
	j.s.opts.Origins.SetTargets(targets.set)
	for i := range 500 {
		if !j.s.throttleAdmits(j.r.account()) {
			t.Fatalf("throttled after %d streams", i)
		}
		if j.bind() == nil {
			t.Fatal("an unknown stream is bound")
		}
	}
}
