// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package batch

import (
	"testing"
	"time"

	"madderway/models/routing"
)

// What an engine says it keeps replaces what is thought, but for what is in use
// or was used after it was asked.
func TestLearnedPartsReplaceGuesses(t *testing.T) {
	e := NewEngine(64, 100_000, 40_000)
	ask := start.Add(10 * time.Second)
	done := func(at time.Time, id uint64) {
		e.End(at, e.Start(at, prompt(id, 1000), 10), OutcomeDone)
	}
	done(start, 1)                      // forgotten by the engine
	done(start, 2)                      // still kept
	e.Start(start, prompt(3, 1000), 10) // in use, not read yet
	done(ask.Add(time.Millisecond), 4)  // used while the answer was under way
	e.Learn(ask, []routing.PromptPart{{ID: 2, Tokens: 1000}, {ID: 5, Tokens: 1000}, {ID: 6, Tokens: -4}})
	for id, kept := range map[uint64]bool{1: false, 2: true, 3: true, 4: true, 5: true, 6: false} {
		if got := e.Missing(prompt(id, 1000)) == 1; got != kept {
			t.Errorf("part %d kept: %v, want %v", id, got, kept)
		}
	}
	if e.cache.used != 4000 {
		t.Errorf("%d tokens in memory, want 4000", e.cache.used)
	}
}

// A list longer than the memory takes no more than there is, and what is in use
// stays.
func TestLearningKeepsTheBound(t *testing.T) {
	e := NewEngine(64, 10_000, 40_000)
	e.Start(start, prompt(1, 4000), 100)
	var parts []routing.PromptPart
	for id := uint64(10); id < 40; id++ {
		parts = append(parts, routing.PromptPart{ID: id, Tokens: 1000})
	}
	e.Learn(start.Add(time.Second), parts)
	if e.cache.used > 10_000 || e.Missing(prompt(1, 4000)) != 1 {
		t.Errorf("%d tokens in memory, missing %d of what runs", e.cache.used, e.Missing(prompt(1, 4000)))
	}
}
