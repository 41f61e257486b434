// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package entry

import (
	"slices"
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

// Guards against a former scheduler that keeps requests as running for seconds, and refuses others for
// them: it answered late, and placed each at the target that the next scheduler has chosen too.
func TestLateSchedulerLearnsOfRunItPlacedToo(t *testing.T) {
	for name, c := range map[string]struct {
		before   []Event // between the two placements
		late     PlacementSeen
		began    int // schedulers told of the first event with the late placement, and after it
		ended    int
		withdraw bool
	}{
		"before the first event": {late: PlacementSeen{Cell: "s/0", ID: 1, Target: "t"}, began: 2, ended: 2},
		"after the first event":  {before: []Event{Began{1}}, late: PlacementSeen{Cell: "s/0", ID: 1, Target: "t"}, began: 1, ended: 2},
		"after the end":          {before: []Event{Began{1}, Ended{1, batch.OutcomeDone}}, late: PlacementSeen{Cell: "s/0", ID: 1, Target: "t"}, withdraw: true},
		"at another target":      {late: PlacementSeen{Cell: "s/0", ID: 1, Target: "u"}, began: 1, ended: 1, withdraw: true},
		"in another cell":        {late: PlacementSeen{Cell: "s/1", ID: 1, Target: "t"}, began: 1, ended: 1, withdraw: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := setUp(t)
			f.after(0, submit(1))
			if to := asked(f.after(2*answerTimeout, Tick{})); to != f.second {
				t.Fatalf("asked %q, want the second scheduler", to)
			}
			f.after(time.Millisecond, PlacementSeen{From: f.second, Cell: "s/0", ID: 1, Target: "t"})
			for _, ev := range c.before {
				f.after(time.Millisecond, ev)
			}
			c.late.From = f.first
			actions := f.after(time.Millisecond, c.late)
			if to := told(actions, StepWithdrawn); slices.Contains(to, f.first) != c.withdraw {
				t.Errorf("withdrawn at %v, want at the late scheduler: %t", to, c.withdraw)
			}
			began := append(told(actions, StepBegan), told(f.after(time.Millisecond, Began{1}), StepBegan)...)
			if len(began) != c.began || !c.withdraw && !slices.Contains(began, f.first) {
				t.Errorf("told %v of the first event, want %d schedulers", began, c.began)
			}
			ended := told(f.after(time.Millisecond, Ended{1, batch.OutcomeDone}), StepEnded)
			if len(ended) != c.ended || slices.Contains(ended, f.first) == c.withdraw {
				t.Errorf("told %v of the end, want %d schedulers", ended, c.ended)
			}
		})
	}
}

// Guards against the same where the late scheduler is asked again before its placement comes: it knows
// the run, so that it takes nothing on it from the inventory.
func TestLateSchedulerAskedAgainLearnsOfBegin(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	f.after(2*answerTimeout, Tick{})
	f.after(time.Millisecond, PlacementSeen{From: f.second, Cell: "s/0", ID: 1, Target: "t"})
	f.after(time.Millisecond, Began{1})
	f.after(time.Millisecond, PeerHeard{f.first})
	if got := inventoriesTo(f.after(time.Millisecond, submit(2)), f.first); len(got) != 1 || len(got[0].Held) != 1 {
		t.Fatalf("got inventories %+v for the scheduler that is asked again, want one with the run", got)
	}
	if to := told(f.after(time.Millisecond, PlacementSeen{From: f.first, Cell: "s/0", ID: 1, Target: "t"}), StepBegan); !slices.Equal(to, []string{f.first}) {
		t.Errorf("told %v of the first event, want the late scheduler", to)
	}
}
