// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"testing"
	"time"

	"madderway/core/batch"
	"madderway/core/cell"
	"madderway/core/place"
	"madderway/models/routing"
)

var start = time.Unix(1_700_000_000, 0)

// fixture is a machine in a fleet of five with one cell; first and second are
// the schedulers of that cell, and the machine is neither.
type fixture struct {
	*Machine
	t             *testing.T
	now           time.Time
	first, second string
}

func setUp(t *testing.T) *fixture {
	t.Helper()
	x := routing.NewIndex(&routing.Configuration{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 8, CacheTokens: 1000}}}})
	targets := (&routing.TargetSet{Targets: []routing.Target{{ID: "t", Service: "s"}}}).Build()
	var nodes []place.Node
	for _, id := range []string{"g1", "g2", "g3", "g4", "g5"} {
		nodes = append(nodes, place.Node{ID: id})
	}
	layout := cell.NewLayout(x, targets, nodes)
	schedulers := layout.Group("s/0").Schedulers()
	self := ""
	for _, n := range nodes {
		if n.ID != schedulers[0] && n.ID != schedulers[1] && n.ID != schedulers[2] {
			self = n.ID
		}
	}
	f := &fixture{Machine: New(self), t: t, now: start, first: schedulers[0], second: schedulers[1]}
	f.Step(f.now, LayoutSeen{layout})
	return f
}

func (f *fixture) after(d time.Duration, ev Event) []Action {
	f.now = f.now.Add(d)
	return f.Step(f.now, ev)
}

func submit(id cell.RequestID) Submitted {
	p := &routing.Prompt{Tokens: 10, MaxOutput: 1, Parts: []routing.PromptPart{{ID: 1, Tokens: 10}}}
	return Submitted{Service: "s", Ask: cell.Ask{ID: id, Account: "a", Prompt: p, Hold: 200 * time.Millisecond, Objective: 800 * time.Millisecond}}
}

// asked returns to whom an ask went, "" where none did.
func asked(actions []Action) string {
	for _, a := range actions {
		if ask, ok := a.(AskOut); ok {
			return ask.To
		}
	}
	return ""
}

func find[T Action](actions []Action) (T, bool) {
	for _, a := range actions {
		if x, ok := a.(T); ok {
			return x, true
		}
	}
	var none T
	return none, false
}

func TestPlacementStartsTheRequest(t *testing.T) {
	f := setUp(t)
	if to := asked(f.after(0, submit(1))); to != f.first {
		t.Fatalf("asked %q, want %q", to, f.first)
	}
	s, ok := find[Start](f.after(time.Millisecond, PlacementSeen{From: f.first, Cell: "s/0", ID: 1, Target: "t"}))
	if !ok || s.Target != "t" || f.Pending() != 0 || f.Running() != 1 {
		t.Fatalf("%+v %v", s, ok)
	}
	if p, ok := find[ProgressOut](f.after(time.Millisecond, Began{1})); !ok || p.To != f.first || p.Step != StepBegan {
		t.Errorf("%+v %v", p, ok)
	}
	if p, ok := find[ProgressOut](f.after(time.Millisecond, Ended{1, batch.OutcomeDone})); !ok || p.Step != StepEnded || f.Running() != 0 {
		t.Errorf("%+v %v", p, ok)
	}
}

// A scheduler that says nothing is passed over within a fraction of a second,
// and so are all asks that wait on it.
func TestSilentSchedulerIsPassedOver(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	f.after(0, submit(2))
	if to := asked(f.after(silentAfter/2, Tick{})); to != "" {
		t.Fatalf("asked %q too early", to)
	}
	actions := f.after(silentAfter, Tick{})
	n := 0
	for _, a := range actions {
		if ask, ok := a.(AskOut); ok {
			n++
			if ask.To != f.second || ask.Ask.Hold >= 200*time.Millisecond {
				t.Errorf("asked %q with %v left", ask.To, ask.Ask.Hold)
			}
		}
	}
	if _, ok := find[Suspect](actions); !ok || n != 2 {
		t.Errorf("%d asks went on", n)
	}
	if to := asked(f.after(time.Millisecond, submit(3))); to != f.second {
		t.Errorf("a new ask went to %q", to)
	}
	// Any sign of life ends the suspicion.
	f.after(time.Millisecond, PeerHeard{f.first})
	if to := asked(f.after(time.Millisecond, submit(4))); to != f.first {
		t.Errorf("after a sign of life the ask went to %q", to)
	}
}

// Where nobody answers, the gateway schedules by itself: no request waits for
// peers.
// A gateway that comes to its work late finds the answers late: that says
// nothing of the scheduler.
func TestOwnDelayIsNotSilence(t *testing.T) {
	f := setUp(t)
	f.Step(f.now, submit(1))
	if actions := f.after(200*time.Millisecond, Tick{Lag: 180 * time.Millisecond}); len(actions) != 0 {
		t.Fatalf("%#v after the gateway itself was late", actions)
	}
	if to := asked(f.after(50*time.Millisecond, Tick{})); to != f.second {
		t.Errorf("asked %q after 70 ms of silence, want %q", to, f.second)
	}
}

// Where the schedulers of several cells seem silent at the same time, the cause
// is likely here: they are given longer.
func TestManySilentSchedulersAreOwnDelay(t *testing.T) {
	x := routing.NewIndex(&routing.Configuration{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 8, CacheTokens: 1000}}}})
	var targets routing.TargetSet
	for i := range 60 {
		targets.Targets = append(targets.Targets, routing.Target{ID: fmt.Sprintf("t%d", i), Service: "s"})
	}
	var nodes []place.Node
	for i := range 40 {
		nodes = append(nodes, place.Node{ID: fmt.Sprintf("g%d", i)})
	}
	m := New("self")
	m.Step(start, LayoutSeen{cell.NewLayout(x, targets.Build(), nodes)})
	to := map[string]bool{}
	for id := range cell.RequestID(40) {
		e := submit(id)
		e.Ask.Prompt = &routing.Prompt{Tokens: 10, MaxOutput: 1, Parts: []routing.PromptPart{{ID: uint64(id), Tokens: 5}, {ID: 1000, Tokens: 5}}}
		to[asked(m.Step(start, e))] = true
	}
	if len(to) < 3 {
		t.Fatalf("only %d schedulers were asked", len(to))
	}
	now := start.Add(silentAfter + 30*time.Millisecond)
	if actions := m.Step(now, Tick{}); len(actions) != 0 {
		t.Errorf("%d actions after all seemed silent for %v", len(actions), now.Sub(start))
	}
	if to := asked(m.Step(start.Add(ownDelayFactor*silentAfter+time.Millisecond), Tick{})); to == "" {
		t.Error("silent schedulers are waited for without end")
	}
}

func TestAloneItSchedulesItself(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	to := ""
	for range 60 {
		if next := asked(f.after(10*time.Millisecond, Tick{})); next != "" {
			to = next
		}
		if to == f.self {
			break
		}
	}
	if to != f.self {
		t.Errorf("the last ask went to %q, want to itself", to)
	}
	if f.now.Sub(start) > time.Second {
		t.Error("took too long")
	}
	if to := asked(f.after(time.Millisecond, submit(2))); to != f.self {
		t.Errorf("the next ask went to %q while all are suspect", to)
	}
}

// A scheduler that has said "wait" is given until the wait is over.
func TestWaitIsNotSilence(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	f.after(time.Millisecond, WaitSeen{From: f.first, ID: 1})
	if to := asked(f.after(150*time.Millisecond, Tick{})); to != "" {
		t.Errorf("asked %q while the request waits", to)
	}
	if to := asked(f.after(350*time.Millisecond, Tick{})); to != f.second {
		t.Errorf("asked %q after the wait was over without a word", to)
	}
}

// The word of a scheduler that was given up must not start a request twice; its
// place is given back.
func TestLatePlacementIsGivenBack(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	f.after(2*silentAfter, Tick{})
	actions := f.after(time.Millisecond, PlacementSeen{From: f.first, Cell: "s/0", ID: 1, Target: "t"})
	if _, ok := find[Start](actions); ok {
		t.Fatal("a scheduler that was given up started the request")
	}
	if p, ok := find[ProgressOut](actions); !ok || p.To != f.first || p.Step != StepWithdrawn {
		t.Errorf("its place was not given back: %+v", actions)
	}
	if _, ok := find[Start](f.after(time.Millisecond, PlacementSeen{From: f.second, Cell: "s/0", ID: 1, Target: "t"})); !ok {
		t.Error("the second scheduler's word did not start the request")
	}
	if _, ok := find[Refuse](f.after(time.Millisecond, RefusalSeen{From: f.first, ID: 1})); ok {
		t.Error("a late refusal reached a request that runs")
	}
}

func TestRefusalEndsTheRequest(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	r, ok := find[Refuse](f.after(time.Millisecond, RefusalSeen{From: f.first, ID: 1, RetryAfter: time.Second}))
	if !ok || r.RetryAfter != time.Second || f.Pending() != 0 {
		t.Errorf("%+v %v", r, ok)
	}
}

// A scheduler that takes over, or has been restarted, is told what runs here
// before it is asked.
func TestNewSchedulerIsToldWhatRuns(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	f.after(time.Millisecond, PlacementSeen{From: f.first, Cell: "s/0", ID: 1, Target: "t"})
	f.after(time.Millisecond, PeerRestarted{f.first})
	actions := f.after(time.Millisecond, submit(2))
	inv, ok := actions[0].(InventoryOut)
	if !ok || inv.To != f.first || len(inv.Held) != 1 || inv.Held[0].Target != "t" {
		t.Errorf("first action %+v", actions[0])
	}
	if asked(actions) != f.first {
		t.Errorf("%+v", actions)
	}
}

// Lost messages are made good: what runs is told again now and then.
func TestInventoryIsRepeated(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	f.after(time.Millisecond, PlacementSeen{From: f.first, Cell: "s/0", ID: 1, Target: "t"})
	if _, ok := find[InventoryOut](f.after(inventoryEvery+time.Millisecond, Tick{})); !ok {
		t.Error("the scheduler is not told again")
	}
}

// A scheduler is told twice that nothing runs here any more, not for ever.
func TestEmptyInventoryIsNotRepeatedForEver(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	f.after(time.Millisecond, PlacementSeen{From: f.first, Cell: "s/0", ID: 1, Target: "t"})
	told := func() (n int) {
		for range 10 {
			if inv, ok := find[InventoryOut](f.after(inventoryEvery, Tick{})); ok {
				n++
				if len(inv.Held) != f.Running() {
					t.Errorf("told of %d, %d run", len(inv.Held), f.Running())
				}
			}
		}
		return n
	}
	if n := told(); n != 10 {
		t.Errorf("told %d times of 10 while a request runs", n)
	}
	f.after(time.Millisecond, Ended{1, batch.OutcomeDone})
	if n := told(); n != emptyTold {
		t.Errorf("told %d times that nothing runs", n)
	}
}

// A gateway whose own link or processor is short waits longer for schedulers and places
// nothing by itself: one on a full link placed a hundred requests a second on engines
// whose load it did not know.
func TestStrainedGatewayPlacesNothingItself(t *testing.T) {
	f := setUp(t)
	f.after(0, LinkStateSeen{true})
	f.after(0, submit(1))
	if actions := f.after(2*silentAfter, Tick{}); asked(actions) != "" {
		t.Fatalf("asked another scheduler already: %+v", actions)
	}
	var last []Action
	for f.Pending() > 0 {
		last = f.after(strainedFactor*silentAfter, Tick{})
		if to := asked(last); to == f.self {
			t.Fatal("it schedules by itself")
		}
	}
	if r, ok := find[Refuse](last); !ok || r.RetryAfter != strainedRetry {
		t.Errorf("%+v: want a refusal", last)
	}
	if p, ok := find[ProgressOut](last); !ok || p.Step != StepWithdrawn {
		t.Errorf("%+v: the scheduler is not told", last)
	}
	f.after(0, LinkStateSeen{false})
	f.now = f.now.Add(suspectMax)
	f.after(0, submit(2))
	if to := asked(f.after(2*silentAfter, Tick{})); to != f.second {
		t.Errorf("asked %q when it keeps up again", to)
	}
}

func TestWithdrawnAskIsTakenBack(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	p, ok := find[ProgressOut](f.after(time.Millisecond, Withdrawn{1}))
	if !ok || p.Step != StepWithdrawn || f.Pending() != 0 {
		t.Errorf("%+v %v", p, ok)
	}
	if _, ok := find[Start](f.after(time.Millisecond, PlacementSeen{From: f.first, Cell: "s/0", ID: 1, Target: "t"})); ok {
		t.Error("a withdrawn request was started")
	}
}

func TestNoCellIsRefused(t *testing.T) {
	m := New("g")
	if r, ok := find[Refuse](m.Step(start, submit(1))); !ok || r.RetryAfter <= 0 {
		t.Errorf("%+v %v", r, ok)
	}
}

// A request that its own cell cannot place for a starved account goes to another
// cell, once.
func TestStarvedRequestGoesToAnotherCell(t *testing.T) {
	x := routing.NewIndex(&routing.Configuration{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 8, CacheTokens: 1000}}}})
	set := &routing.TargetSet{}
	for i := range 20 {
		set.Targets = append(set.Targets, routing.Target{ID: fmt.Sprint("t", i), Service: "s"})
	}
	m := New("g")
	m.Step(start, LayoutSeen{cell.NewLayout(x, set.Build(), []place.Node{{ID: "g"}})})
	first, _ := find[AskOut](m.Step(start, submit(1)))
	now := start.Add(180 * time.Millisecond)
	second, ok := find[AskOut](m.Step(now, RefusalSeen{From: "g", ID: 1, Elsewhere: true}))
	if !ok || second.Cell == first.Cell || second.Ask.Hold != 120*time.Millisecond {
		t.Fatalf("first %+v, then %+v", first, second)
	}
	if _, ok := find[Refuse](m.Step(now.Add(time.Millisecond), RefusalSeen{From: "g", ID: 1, Elsewhere: true})); !ok || m.Pending() != 0 {
		t.Error("a second refusal did not end the request")
	}
	m.Step(now, submit(2))
	if _, ok := find[Refuse](m.Step(now, RefusalSeen{From: "g", ID: 2})); !ok {
		t.Error("an ordinary refusal did not end the request")
	}
}

// A scheduler is told of the targets of its own cell that may not be chosen, and of no others.
func TestAskNamesDeniedTargetsOfTheCellOnly(t *testing.T) {
	f := setUp(t)
	ev := submit(1)
	ev.Ask.Deny = []string{"elsewhere", f.layout.Group("s/0").Targets[0].ID}
	ask, ok := find[AskOut](f.after(0, ev))
	if !ok || len(ask.Ask.Deny) != 1 || ask.Ask.Deny[0] != ev.Ask.Deny[1] {
		t.Errorf("%+v", ask.Ask.Deny)
	}
}
