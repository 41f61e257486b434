// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package limit

import (
	"testing"
	"time"
)

func TestLimitAdaptsToSamples(t *testing.T) {
	now := time.Unix(0, 0)
	l := New(Config{Ceiling: 10, FirstTokenGoal: time.Second, TokenGapGoal: 50 * time.Millisecond})
	for _, s := range []Sample{{FirstToken: 2 * time.Second}, {TokenGap: time.Second}, {Failed: true}} {
		before := l.Limit()
		now = now.Add(DefaultCooldown)
		l.Observe(now, s)
		if l.Limit() >= before {
			t.Errorf("%+v: limit not decreased: got %d", s, l.Limit())
		}
	}
	low := l.Limit()
	l.Observe(now, Sample{Failed: true})
	if l.Limit() != low {
		t.Error("limit decreased twice within the cooldown")
	}
	for range 200 {
		l.Observe(now, Sample{FirstToken: time.Millisecond, TokenGap: time.Millisecond})
	}
	if l.Limit() != 10 {
		t.Errorf("limit after 200 quick responses: got %d, want 10", l.Limit())
	}
	l.SetCeiling(4)
	if l.Limit() != 4 {
		t.Errorf("limit after SetCeiling(4): got %d, want 4", l.Limit())
	}
}

func TestLimitStaysAtLeastOne(t *testing.T) {
	now := time.Unix(0, 0)
	l := New(Config{Ceiling: 2})
	for range 50 {
		now = now.Add(DefaultCooldown)
		l.Observe(now, Sample{Failed: true})
	}
	if l.Limit() < 1 {
		t.Errorf("limit: got %d, want at least 1", l.Limit())
	}
}
