// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package batch

import (
	"testing"
	"time"
)

// A speed estimate that is far too low never rises on an engine with one prompt at a
// time, so that requests are refused beside idle engines.
func TestSpeedIsLearnedFromSinglePrompts(t *testing.T) {
	const first = 47 * time.Millisecond
	speed := 51_000.0
	e := NewEngine(32, 500_000, 3_700)
	now := start
	for i := range 20 {
		r := e.Start(now, prompt(uint64(i+1), 6000), 10)
		e.Begin(now.Add(first+time.Duration(6000/speed*float64(time.Second))), r)
		now = now.Add(time.Second)
		e.End(now, r, OutcomeDone)
	}
	if s := e.PrefillSpeed(); s < speed/2 || s > speed {
		t.Errorf("speed %.0f after twenty prompts, want between half of %.0f and that", s, speed)
	}
}

// A single prompt that was cached unexpectedly inflates the speed estimate.
func TestSingleCachedPromptChangesSpeedLittle(t *testing.T) {
	e := NewEngine(32, 500_000, 40_000)
	r := e.Start(start, prompt(1, 30_000), 10)
	e.Begin(start.Add(20*time.Millisecond), r)
	if s := e.PrefillSpeed(); s > 1.8*40_000 {
		t.Errorf("speed %.0f after one fast prompt, want at most 72000", s)
	}
	before := e.PrefillSpeed()
	r = e.Start(start.Add(time.Second), prompt(2, 30_000), 10)
	e.Begin(start.Add(time.Second+time.Millisecond), r)
	if s := e.PrefillSpeed(); s != before {
		t.Errorf("speed %.0f after a prompt that must have been cached, want %.0f as before it", s, before)
	}
}

// Guards against first events that are heard after a standstill of this process and make its targets
// seem slow.
func TestStandstillIsNotSampled(t *testing.T) {
	e := NewEngine(32, 500_000, 40_000)
	before := e.Start(start, prompt(1, 6000), 10)
	queued := e.Start(start, prompt(2, 6000), 10)
	now := start.Add(3 * time.Second)
	e.EndStandstill(now)
	e.Begin(now, before)
	e.Begin(now.Add(100*time.Millisecond), queued)
	if speed := e.PrefillSpeed(); speed != 40_000 {
		t.Errorf("speed %.0f after a standstill, want 40000 as before it", speed)
	}
	later := now.Add(time.Second)
	first, second := e.Start(later, prompt(3, 6000), 10), e.Start(later, prompt(4, 6000), 10)
	e.Begin(later.Add(time.Second), first)
	e.Begin(later.Add(2*time.Second), second)
	if speed := e.PrefillSpeed(); speed > 30_000 {
		t.Errorf("speed %.0f after a slow prompt, want it sampled", speed)
	}
}

// Guards against one long sample that outweighs all others for many requests.
func TestOneSampleHasBoundedWeight(t *testing.T) {
	e := NewEngine(32, 500_000, 40_000)
	e.prefill.firstLatency = 10 * time.Millisecond
	r := e.Start(start, prompt(1, 6000), 10)
	e.Begin(start.Add(10*time.Second), r)
	if speed := e.PrefillSpeed(); speed < 40_000/10 {
		t.Errorf("speed %.0f after one first event that came ten seconds late, want at least %d", speed, 40_000/10)
	}
}
