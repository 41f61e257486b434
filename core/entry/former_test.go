// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package entry

import (
	"testing"
	"time"

	"madderway/core/batch"
)

// told returns the schedulers that learn of a step of a request.
func told(actions []Action, step Step) []string {
	var to []string
	for _, a := range actions {
		if p, ok := a.(ProgressOut); ok && p.Step == step {
			to = append(to, p.To)
		}
	}
	return to
}

// inventoriesTo returns the inventories for a scheduler.
func inventoriesTo(actions []Action, scheduler string) []InventoryOut {
	var out []InventoryOut
	for _, a := range actions {
		if inv, ok := a.(InventoryOut); ok && inv.To == scheduler {
			out = append(out, inv)
		}
	}
	return out
}

// Guards against a scheduler that places nothing at idle targets: it was slow for a moment, another one
// is asked since, and nobody tells it that the requests which it placed have begun and ended.
func TestFormerSchedulerLearnsOfBeginAndEnd(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	f.after(time.Millisecond, PlacementSeen{From: f.first, Cell: "s/0", ID: 1, Target: "t"})
	f.after(0, submit(2))
	if to := asked(f.after(2*answerTimeout, Tick{})); to != f.second {
		t.Fatalf("asked %q, want the second scheduler", to)
	}
	f.after(time.Millisecond, PlacementSeen{From: f.second, Cell: "s/0", ID: 2, Target: "t"})
	for _, c := range []struct {
		ev   Event
		step Step
		want int
	}{{Began{1}, StepBegan, 2}, {Ended{1, batch.OutcomeDone}, StepEnded, 2}, {Began{2}, StepBegan, 1}, {Ended{2, batch.OutcomeDone}, StepEnded, 1}} {
		to := told(f.after(time.Millisecond, c.ev), c.step)
		if len(to) != c.want || to[len(to)-1] != f.second || c.want == 2 && to[0] != f.first {
			t.Errorf("%+v: told %v, want %d schedulers, those that count it", c.ev, to, c.want)
		}
	}
}

// Guards against the same where the scheduler was frozen when the requests ended, so that it heard
// nothing.
func TestFormerSchedulerGetsInventoryOnceItIsHeard(t *testing.T) {
	for name, replaced := range map[string]func(f *fixture){
		"suspected": func(f *fixture) {
			f.after(0, submit(2))
			f.after(2*answerTimeout, Tick{})
		},
		"taken for dead": func(f *fixture) { f.after(time.Millisecond, PeerEnded{f.first}) },
	} {
		t.Run(name, func(t *testing.T) {
			f := setUp(t)
			f.after(0, submit(1))
			f.after(time.Millisecond, PlacementSeen{From: f.first, Cell: "s/0", ID: 1, Target: "t"})
			replaced(f)
			f.after(time.Millisecond, Ended{1, batch.OutcomeDone})
			if got := inventoriesTo(f.after(inventoryInterval, Tick{}), f.first); len(got) != 0 {
				t.Errorf("got inventories %+v for a silent scheduler, want none", got)
			}
			f.after(time.Millisecond, PeerHeard{f.first})
			if got := inventoriesTo(f.after(time.Millisecond, Tick{}), f.first); len(got) != 1 || len(got[0].Held) != 0 {
				t.Errorf("got inventories %+v once it is heard, want an empty one", got)
			}
			n := 0
			for range 10 {
				f.after(time.Millisecond, PeerHeard{f.first})
				n += len(inventoriesTo(f.after(inventoryInterval, Tick{}), f.first))
			}
			if n != maxEmptyInventories-1 {
				t.Errorf("got %d more inventories, want %d", n, maxEmptyInventories-1)
			}
		})
	}
}

// Guards against a memory of former schedulers that grows for ever.
func TestSilentFormerSchedulerIsForgotten(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	f.after(time.Millisecond, PlacementSeen{From: f.first, Cell: "s/0", ID: 1, Target: "t"})
	f.after(time.Millisecond, PeerEnded{f.first})
	f.after(formerMemory, Tick{})
	if len(f.former) != 0 {
		t.Errorf("got %d former schedulers, want none", len(f.former))
	}
}
