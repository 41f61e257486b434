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
	c, told := clock.NewFake(), 0
	return New(log.New("notice"), Options{Clock: c, Figures: "test", OnLeaving: func() { told++ }}), c, &told
}

func TestWhatAnAnswerSaysHoldsAtOnce(t *testing.T) {
	s, c, told := newService()
	a, b := &routing.Target{ID: "a"}, &routing.Target{ID: "b"}
	for range 2 {
		s.Answered(a, upstream.AnswerInfo{Leaving: true})
	}
	s.Answered(b, upstream.AnswerInfo{RetryAfter: retryafter.Result{Delay: 3 * time.Second}})
	s.Answered(&routing.Target{ID: "c"}, upstream.AnswerInfo{RetryAfter: retryafter.Result{Invalid: 1}})
	if *told != 1 || !s.Leaves("a") || s.Leaves("b") {
		t.Errorf("told %d times, a leaves %v, b %v", *told, s.Leaves("a"), s.Leaves("b"))
	}
	if _, err := s.Start("a"); !errors.Is(err, ErrLeaves) {
		t.Errorf("sent to a target that leaves: %v", err)
	}
	if _, err := s.Start("b"); !errors.Is(err, ErrRests) {
		t.Errorf("sent to a target at rest: %v", err)
	}
	if _, err := s.Start("c"); err != nil {
		t.Errorf("a time that was not understood: %v", err)
	}
	r := s.RestsAmong(slices.Values([]string{"b", "c"}))
	if !slices.Equal(r.Targets, []string{"b"}) || r.All || r.First != 3*time.Second {
		t.Errorf("%+v", r)
	}
	if r := s.RestsAmong(slices.Values([]string{"b"})); !r.All {
		t.Errorf("%+v, it is the only one", r)
	}
	c.Advance(3 * time.Second)
	permit, err := s.Start("b")
	if _, again := s.Start("b"); err != nil || !errors.Is(again, ErrRests) {
		t.Errorf("after the rest: %v, and beside the first one %v", err, again)
	}
	permit.End(true)
	for range 2 {
		if _, err := s.Start("b"); err != nil {
			t.Errorf("after it took one: %v", err)
		}
	}
}

// Looking costs a load of an atomic number while no target has said anything of itself.
func BenchmarkStartWhileNothingIsKnown(b *testing.B) {
	s, _, _ := newService()
	for b.Loop() {
		permit, err := s.Start("a")
		if err != nil {
			b.Fatal(err)
		}
		permit.End(true)
	}
}

func BenchmarkRestsAmongWhileNothingIsKnown(b *testing.B) {
	s, _, _ := newService()
	targets := slices.Values([]string{"a", "b", "c"})
	for b.Loop() {
		s.RestsAmong(targets)
	}
}

func BenchmarkStartWhileSomeRest(b *testing.B) {
	s, _, _ := newService()
	s.WantsRest("other", "", retryafter.Result{Delay: time.Minute})
	for b.Loop() {
		permit, err := s.Start("a")
		if err != nil {
			b.Fatal(err)
		}
		permit.End(true)
	}
}
