// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"testing"
	"time"

	"madderway/core/batch"
	"madderway/core/cell"
	"madderway/core/entry"
	"madderway/models/routing"
	"madderway/modules/wire"
)

// sentFrame returns the frame in which a gateway tells another one of its requests.
func sentFrame(t *testing.T, actions ...entry.Action) *wire.Frame {
	t.Helper()
	l := handoverLoop("g2")
	for _, a := range actions {
		l.entryAction(handoverStart, a)
	}
	var frames []*wire.Frame
	l.out.Flush(handoverStart.Add(lazyFrameDelay), func(_ string, f *wire.Frame) { frames = append(frames, f) })
	if len(frames) != 1 {
		t.Fatalf("got %d frames, want one", len(frames))
	}
	return frames[0]
}

// Guards against a scheduler that counts a request as running, and places nothing at its target, until the
// next inventory: the request began or ended right after the last one, in the same frame.
func TestProgressAfterInventoryInOneFrame(t *testing.T) {
	held := func(begun bool) entry.InventoryOut {
		return entry.InventoryOut{To: "g1", Cell: "s/0", Held: []cell.Held{{ID: 1, Account: "a", Target: "t", Prompt: &routing.Prompt{Tokens: 1000}, Begun: begun}}}
	}
	progress := func(step entry.Step) entry.ProgressOut {
		return entry.ProgressOut{To: "g1", Cell: "s/0", ID: 1, Step: step, Outcome: batch.OutcomeDone}
	}
	elsewhere := progress(entry.StepEnded)
	elsewhere.Cell = "s/1"
	for name, c := range map[string]struct {
		actions []entry.Action
		running int
		usable  bool // when a first event would be long overdue
	}{
		"inventory alone":          {[]entry.Action{held(false)}, 1, false},
		"begun before":             {[]entry.Action{progress(entry.StepBegan), held(true)}, 1, true},
		"begun after":              {[]entry.Action{held(false), progress(entry.StepBegan)}, 1, true},
		"ended after":              {[]entry.Action{held(true), progress(entry.StepEnded)}, 0, true},
		"begun and ended after":    {[]entry.Action{held(false), progress(entry.StepBegan), progress(entry.StepEnded)}, 0, true},
		"ended in another cell":    {[]entry.Action{held(false), elsewhere}, 1, false},
		"late placement withdrawn": {[]entry.Action{progress(entry.StepWithdrawn), held(false)}, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := handoverLoop("g1")
			l.handleSchedulerMessages(handoverStart, "g2", sentFrame(t, c.actions...))
			state := l.schedulerOf(handoverStart, "s/0").cell.State(handoverStart.Add(10 * time.Second))
			if state.Running != c.running || state.Targets[0].Usable != c.usable {
				t.Errorf("%d running, target usable: %t; want %d, %t", state.Running, state.Targets[0].Usable, c.running, c.usable)
			}
		})
	}
}
