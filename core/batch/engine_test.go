// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package batch

import (
	"testing"
	"time"

	"madderway/models/routing"
)

var start = time.Unix(1_700_000_000, 0)

// fakeEngine prefills prompts one after the other at a fixed speed. Each first event
// follows its prefill after a fixed latency.
type fakeEngine struct {
	speed        float64 // tokens per second
	firstLatency time.Duration
	doneAt       time.Time
	due          []dueRun
}

type dueRun struct {
	run *Run
	at  time.Time
}

func (f *fakeEngine) accept(now time.Time, r *Run) {
	if f.doneAt.Before(now) {
		f.doneAt = now
	}
	f.doneAt = f.doneAt.Add(time.Duration(float64(r.PrefillTokens) / f.speed * float64(time.Second)))
	f.due = append(f.due, dueRun{r, f.doneAt.Add(f.firstLatency)})
}

func (f *fakeEngine) backlog(now time.Time) time.Duration { return max(f.doneAt.Sub(now), 0) }

// reportFirstEvents reports the first events that are due to the model.
func (f *fakeEngine) reportFirstEvents(now time.Time, e *Engine) {
	for len(f.due) > 0 && !f.due[0].at.After(now) {
		e.Begin(now, f.due[0].run)
		f.due = f.due[1:]
	}
}

func prompt(id uint64, tokens int) *routing.Prompt {
	return &routing.Prompt{Tokens: tokens, MaxOutput: 10, Parts: []routing.PromptPart{{ID: id, Tokens: tokens}}}
}

// An engine that is slower than its prior builds up a backlog that the model misses.
func TestBacklogFollowsEngineSpeed(t *testing.T) {
	for _, speed := range []float64{12_000, 20_000, 40_000, 80_000} {
		e := NewEngine(64, 1_000_000, 40_000)
		f := &fakeEngine{speed: speed, firstLatency: 50 * time.Millisecond}
		const limit = 120 * time.Millisecond
		id, worst := uint64(0), time.Duration(0)
		for step := range 2000 {
			now := start.Add(time.Duration(step) * 5 * time.Millisecond)
			f.reportFirstEvents(now, e)
			for e.Backlog(now) < limit {
				id++
				r := e.Start(now, prompt(id, 500+int(id*7919%6000)), 10)
				f.accept(now, r)
			}
			if step > 200 {
				worst = max(worst, f.backlog(now))
			}
		}
		// The largest prompt may start just below the limit, and the model learns of its
		// prefill only at its end.
		bound := limit + 2*time.Duration(6500/speed*float64(time.Second)) + 250*time.Millisecond
		if worst > bound {
			t.Errorf("at %.0f tokens per second the backlog reached %v, want at most %v", speed, worst, bound)
		}
	}
}

func TestSpeedConverges(t *testing.T) {
	e := NewEngine(64, 1_000_000, 40_000)
	f := &fakeEngine{speed: 10_000, firstLatency: 50 * time.Millisecond}
	for step := range 4000 {
		now := start.Add(time.Duration(step) * 5 * time.Millisecond)
		f.reportFirstEvents(now, e)
		if e.Backlog(now) < 100*time.Millisecond {
			f.accept(now, e.Start(now, prompt(uint64(step), 2000), 10))
		}
	}
	if s := e.PrefillSpeed(); s < 8_000 || s > 13_000 {
		t.Errorf("speed %.0f, want about 10000", s)
	}
}

func TestCachedPartsAreNotPrefilledAgain(t *testing.T) {
	e := NewEngine(64, 10_000, 40_000)
	shared := routing.PromptPart{ID: 1, Tokens: 4000}
	one := &routing.Prompt{Tokens: 4500, Parts: []routing.PromptPart{shared, {ID: 2, Tokens: 500}}}
	two := &routing.Prompt{Tokens: 4300, Parts: []routing.PromptPart{shared, {ID: 3, Tokens: 300}}}
	if got := e.UncachedTokens(one); got != 4500 {
		t.Fatalf("%d uncached tokens of a new prompt, want 4500", got)
	}
	r := e.Start(start, one, 100)
	if got := e.UncachedTokens(two); got != 300 {
		t.Errorf("%d uncached tokens, want only the own 300", got)
	}
	e.Begin(start.Add(time.Second), r)
	e.End(start.Add(2*time.Second), r, OutcomeDone)
	// Other prompts evict the least recently used part.
	for id := uint64(10); id < 13; id++ {
		r := e.Start(start.Add(3*time.Second), prompt(id, 3000), 100)
		e.End(start.Add(4*time.Second), r, OutcomeDone)
	}
	if got := e.UncachedTokens(two); got != 4300 {
		t.Errorf("%d uncached tokens after the shared part was evicted, want 4300", got)
	}
}

func TestPinnedPartsAreNotEvicted(t *testing.T) {
	e := NewEngine(64, 10_000, 40_000)
	running := prompt(1, 6000)
	e.Start(start, running, 100)
	if e.Fits(5000, 100) {
		t.Error("a prompt fits into memory that running requests use")
	}
	r := e.Start(start, prompt(3, 3000), 100)
	e.End(start, r, OutcomeDone)
	e.Start(start, prompt(4, 3000), 100)
	if got := e.UncachedTokens(running); got != 1 {
		t.Errorf("%d uncached tokens of a running prompt, want 1", got)
	}
}

// A connection reset that breaks many streams at once makes the engine unusable.
func TestConnectionResetKeepsEngineUsable(t *testing.T) {
	e := NewEngine(64, 1_000_000, 40_000)
	var runs []*Run
	for i := range 20 {
		r := e.Start(start, prompt(uint64(i), 100), 10)
		e.Begin(start.Add(100*time.Millisecond), r)
		runs = append(runs, r)
	}
	now := start.Add(time.Second)
	for _, r := range runs {
		e.End(now, r, OutcomeBroken)
	}
	if !e.Usable(now.Add(50 * time.Millisecond)) {
		t.Error("the engine is not usable after its streams were reset")
	}
}

// An unreachable engine is tried too often, or its backoff grows without bound.
func TestUnreachableEngineBacksOff(t *testing.T) {
	e := NewEngine(64, 1_000_000, 40_000)
	now, last := start, time.Duration(0)
	for range 6 {
		for range 5 { // several gateways fail at once
			r := e.Start(now, prompt(1, 100), 10)
			e.End(now, r, OutcomeNotSent)
		}
		pause := time.Duration(0)
		for !e.Usable(now.Add(pause)) {
			pause += 10 * time.Millisecond
		}
		if pause < last || pause > avoidMax+10*time.Millisecond {
			t.Fatalf("got a backoff of %v after %v, want no shorter one and at most avoidMax", pause, last)
		}
		last = pause
		now = now.Add(pause)
	}
	if last < time.Second {
		t.Errorf("got a backoff of %v after six failures in a row, want at least 1s", last)
	}
}

// A new engine is avoided because some entry gateway does not know it yet.
func TestUnlistedEngineIsNotAvoided(t *testing.T) {
	for outcome, usable := range map[Outcome]bool{OutcomeUnlisted: true, OutcomeMoved: false} {
		e := NewEngine(64, 1_000_000, 40_000)
		e.End(start, e.Start(start, prompt(1, 1000), 10), outcome)
		if got := e.Usable(start.Add(time.Millisecond)); got != usable {
			t.Errorf("outcome %d: usable %v, want %v", outcome, got, usable)
		}
		if e.UncachedTokens(prompt(1, 1000)) != 1000 {
			t.Errorf("outcome %d: a prompt that was never sent counts as cached", outcome)
		}
	}
}

func TestSilentEngineIsNotUsable(t *testing.T) {
	e := NewEngine(64, 1_000_000, 40_000)
	e.Start(start, prompt(1, 1000), 10)
	if !e.Usable(start.Add(100 * time.Millisecond)) {
		t.Error("an engine is not usable before its first event is due")
	}
	if e.Usable(start.Add(2 * time.Second)) {
		t.Error("an engine without a first event for two seconds is usable")
	}
}

// Prefill takes so much of the engine's time that running streams starve.
func TestPrefillLeavesTimeForDecoding(t *testing.T) {
	for _, streams := range []int{0, 20, 40, 200} {
		e := NewEngine(1000, 10_000_000, 40_000)
		f := &fakeEngine{speed: 40_000, firstLatency: 50 * time.Millisecond}
		for i := range streams {
			e.Adopt(start, prompt(1<<32+uint64(i), 100), 10, true)
		}
		prefilled := 0
		const length = 20 * time.Second
		var done []*Run
		for step := range int(length / (5 * time.Millisecond)) {
			now := start.Add(time.Duration(step) * 5 * time.Millisecond)
			for _, d := range f.due {
				if !d.at.After(now) {
					done = append(done, d.run)
				}
			}
			f.reportFirstEvents(now, e)
			for _, r := range done {
				e.End(now, r, OutcomeDone)
			}
			done = done[:0]
			for e.Booked(now) < 120*time.Millisecond {
				r := e.Start(now, prompt(uint64(step), 3000), 10)
				f.accept(now, r)
				prefilled += r.PrefillTokens
			}
		}
		got, want := float64(prefilled)/(f.speed*length.Seconds()), prefillShare(streams)
		if got > want+0.03 || got < want-0.1 {
			t.Errorf("with %d streams prefill took %.2f of the time, want about %.2f", streams, got, want)
		}
	}
	if prefillShare(0) <= prefillShare(40) || prefillShare(1000) != minPrefillShare {
		t.Error("the prefill share does not fall to its minimum as streams are added")
	}
}
