// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package notice

import (
	"errors"
	"io"
	"slices"
	"testing"
	"time"

	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/modules/retryafter"
	"madderway/services/upstream"
)

func TestMain(m *testing.M) {
	log.Setup(io.Discard, 0)
	m.Run()
}

func newService() (*Service, *clock.Fake, *int) {
	c, calls := clock.NewFake(), 0
	return New(log.New("notice"), Options{Clock: c, MetricsPrefix: "test", OnLeaving: func() { calls++ }}), c, &calls
}

func TestAnswerTakesEffectAtOnce(t *testing.T) {
	s, c, calls := newService()
	a, b := &routing.Target{ID: "a"}, &routing.Target{ID: "b"}
	for range 2 {
		s.Answered(a, upstream.AnswerInfo{Leaving: true})
	}
	s.Answered(b, upstream.AnswerInfo{RetryAfter: retryafter.Result{Delay: 3 * time.Second}})
	s.Answered(&routing.Target{ID: "c"}, upstream.AnswerInfo{RetryAfter: retryafter.Result{Invalid: 1}})
	if *calls != 1 || !s.Leaves("a") || s.Leaves("b") {
		t.Errorf("%d calls of OnLeaving, a leaves: %v, b leaves: %v, want 1, true, false", *calls, s.Leaves("a"), s.Leaves("b"))
	}
	if _, err := s.Start("a"); !errors.Is(err, ErrLeaving) {
		t.Errorf("leaving target: got error %v, want ErrLeaving", err)
	}
	if _, err := s.Start("b"); !errors.Is(err, ErrPaused) {
		t.Errorf("paused target: got error %v, want ErrPaused", err)
	}
	if _, err := s.Start("c"); err != nil {
		t.Errorf("invalid pause: got error %v", err)
	}
	r := s.PausedAmong(slices.Values([]string{"b", "c"}))
	if !slices.Equal(r.Targets, []string{"b"}) || r.All || r.RetryAfter != 3*time.Second {
		t.Errorf("got %+v, want b paused for 3 s", r)
	}
	if r := s.PausedAmong(slices.Values([]string{"b"})); !r.All {
		t.Errorf("only target: got %+v, want all paused", r)
	}
	c.Advance(3 * time.Second)
	permit, err := s.Start("b")
	if _, again := s.Start("b"); err != nil || !errors.Is(again, ErrPaused) {
		t.Errorf("after the pause: got %v for the first request, %v for the second one in flight, want nil, ErrPaused", err, again)
	}
	permit.End(true)
	for range 2 {
		if _, err := s.Start("b"); err != nil {
			t.Errorf("after an accepted request: got error %v", err)
		}
	}
}

// The usual case, without announcements, must not take a lock.
func BenchmarkStartWithoutPauses(b *testing.B) {
	s, _, _ := newService()
	for b.Loop() {
		permit, err := s.Start("a")
		if err != nil {
			b.Fatal(err)
		}
		permit.End(true)
	}
}

func BenchmarkPausedAmongWithoutPauses(b *testing.B) {
	s, _, _ := newService()
	targets := slices.Values([]string{"a", "b", "c"})
	for b.Loop() {
		s.PausedAmong(targets)
	}
}

func BenchmarkStartWithOtherTargetPaused(b *testing.B) {
	s, _, _ := newService()
	s.PauseTarget("other", "", retryafter.Result{Delay: time.Minute})
	for b.Loop() {
		permit, err := s.Start("a")
		if err != nil {
			b.Fatal(err)
		}
		permit.End(true)
	}
}
