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

// fixture is a machine in a fleet of five gateways with one cell. The machine's
// gateway is none of the cell's schedulers, of which the test uses the first two.
type fixture struct {
	*Machine
	t             *testing.T
	now           time.Time
	first, second string
}

func setUp(t *testing.T) *fixture {
	t.Helper()
	var nodes []place.Node
	for _, id := range []string{"g1", "g2", "g3", "g4", "g5"} {
		nodes = append(nodes, place.Node{ID: id})
	}
	layout := oneCell(nodes)
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

func oneCell(nodes []place.Node) *cell.Layout {
	x := routing.NewIndex(&routing.Configuration{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 8, CacheTokens: 1000}}}})
	return cell.NewLayout(x, routing.NewTargetSet(0, routing.Target{ID: "t", Service: "s"}), nodes)
}

func (f *fixture) after(d time.Duration, ev Event) []Action {
	f.now = f.now.Add(d)
	return f.Step(f.now, ev)
}

func submit(id cell.RequestID) Submitted {
	p := &routing.Prompt{Tokens: 10, MaxOutput: 1, Parts: []routing.PromptPart{{ID: 1, Tokens: 10}}}
	return Submitted{Service: "s", Ask: cell.Ask{ID: id, Account: "a", Prompt: p, Hold: 200 * time.Millisecond, Objective: 800 * time.Millisecond}}
}

// asked returns the scheduler that the first ask went to, or "".
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
		t.Fatalf("got start %+v (found %v), want target t and one running request", s, ok)
	}
	if p, ok := find[ProgressOut](f.after(time.Millisecond, Began{1})); !ok || p.To != f.first || p.Step != StepBegan {
		t.Errorf("got progress %+v (sent %v), want StepBegan to the first scheduler", p, ok)
	}
	if p, ok := find[ProgressOut](f.after(time.Millisecond, Ended{1, batch.OutcomeDone})); !ok || p.Step != StepEnded || f.Running() != 0 {
		t.Errorf("got progress %+v (sent %v), want StepEnded and nothing running", p, ok)
	}
}

// Guards against requests that stay with a scheduler that does not answer.
func TestSilentSchedulerLosesItsAsks(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	f.after(0, submit(2))
	if to := asked(f.after(answerTimeout/2, Tick{})); to != "" {
		t.Fatalf("asked %q too early", to)
	}
	actions := f.after(answerTimeout, Tick{})
	n := 0
	for _, a := range actions {
		if ask, ok := a.(AskOut); ok {
			n++
			if ask.To != f.second || ask.Ask.Hold >= 200*time.Millisecond {
				t.Errorf("asked %q with a hold of %v, want the second scheduler with less than 200ms", ask.To, ask.Ask.Hold)
			}
		}
	}
	if _, ok := find[Suspect](actions); !ok || n != 2 {
		t.Errorf("%d asks to the next scheduler, want 2 and a Suspect action", n)
	}
	if to := asked(f.after(time.Millisecond, submit(3))); to != f.second {
		t.Errorf("a new ask went to %q, want the second scheduler", to)
	}
	// Any message from the scheduler ends the suspicion.
	f.after(time.Millisecond, PeerHeard{f.first})
	if to := asked(f.after(time.Millisecond, submit(4))); to != f.first {
		t.Errorf("after a message from the first scheduler the ask went to %q, want the first", to)
	}
}

// Guards against a scheduler suspected because this process was late to read its answer.
func TestOwnLagDoesNotSuspectScheduler(t *testing.T) {
	f := setUp(t)
	f.Step(f.now, submit(1))
	if actions := f.after(200*time.Millisecond, Tick{Lag: 180 * time.Millisecond}); len(actions) != 0 {
		t.Fatalf("got %#v after the gateway itself was late, want no actions", actions)
	}
	if to := asked(f.after(50*time.Millisecond, Tick{})); to != f.second {
		t.Errorf("asked %q after 70 ms of silence, want %q", to, f.second)
	}
}

// Guards against many schedulers suspected at once because this process is slow.
func TestManySilentSchedulersGetLongerTimeout(t *testing.T) {
	x := routing.NewIndex(&routing.Configuration{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 8, CacheTokens: 1000}}}})
	var targets []routing.Target
	for i := range 60 {
		targets = append(targets, routing.Target{ID: fmt.Sprintf("t%d", i), Service: "s"})
	}
	var nodes []place.Node
	for i := range 40 {
		nodes = append(nodes, place.Node{ID: fmt.Sprintf("g%d", i)})
	}
	m := New("self")
	m.Step(start, LayoutSeen{cell.NewLayout(x, routing.NewTargetSet(0, targets...), nodes)})
	to := map[string]bool{}
	for id := range cell.RequestID(40) {
		e := submit(id)
		e.Ask.Prompt = &routing.Prompt{Tokens: 10, MaxOutput: 1, Parts: []routing.PromptPart{{ID: uint64(id), Tokens: 5}, {ID: 1000, Tokens: 5}}}
		to[asked(m.Step(start, e))] = true
	}
	if len(to) < 3 {
		t.Fatalf("%d schedulers were asked, want at least 3", len(to))
	}
	now := start.Add(answerTimeout + 30*time.Millisecond)
	if actions := m.Step(now, Tick{}); len(actions) != 0 {
		t.Errorf("got %d actions after all schedulers were silent for %v, want none", len(actions), now.Sub(start))
	}
	if to := asked(m.Step(start.Add(ownDelayFactor*answerTimeout+time.Millisecond), Tick{})); to == "" {
		t.Error("no other scheduler was asked after the longer timeout")
	}
}

func TestSchedulesItselfWithoutPeers(t *testing.T) {
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
		t.Errorf("the last ask went to %q, want the gateway itself", to)
	}
	if f.now.Sub(start) > time.Second {
		t.Error("took longer than 1s until the gateway asked itself")
	}
	if to := asked(f.after(time.Millisecond, submit(2))); to != f.self {
		t.Errorf("the next ask went to %q while all are suspected, want the gateway itself", to)
	}
}

// Guards against a scheduler suspected while it holds a request in its queue.
func TestQueuedRequestDoesNotSuspectScheduler(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	f.after(time.Millisecond, WaitSeen{From: f.first, ID: 1})
	if to := asked(f.after(150*time.Millisecond, Tick{})); to != "" {
		t.Errorf("asked %q while the request is queued", to)
	}
	if to := asked(f.after(350*time.Millisecond, Tick{})); to != f.second {
		t.Errorf("asked %q after the wait ended without a decision, want the second scheduler", to)
	}
}

// Guards against a late placement by the previous scheduler that starts a request twice or keeps
// its slot.
func TestLatePlacementIsWithdrawn(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	f.after(2*answerTimeout, Tick{})
	actions := f.after(time.Millisecond, PlacementSeen{From: f.first, Cell: "s/0", ID: 1, Target: "t"})
	if _, ok := find[Start](actions); ok {
		t.Fatal("the previous scheduler's placement started the request")
	}
	if p, ok := find[ProgressOut](actions); !ok || p.To != f.first || p.Step != StepWithdrawn {
		t.Errorf("the late placement was not withdrawn: %+v", actions)
	}
	if _, ok := find[Start](f.after(time.Millisecond, PlacementSeen{From: f.second, Cell: "s/0", ID: 1, Target: "t"})); !ok {
		t.Error("the second scheduler's placement did not start the request")
	}
	if _, ok := find[Refuse](f.after(time.Millisecond, RefusalSeen{From: f.first, ID: 1})); ok {
		t.Error("a late refusal ended a running request")
	}
}

func TestRefusalEndsTheRequest(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	r, ok := find[Refuse](f.after(time.Millisecond, RefusalSeen{From: f.first, ID: 1, RetryAfter: time.Second}))
	if !ok || r.RetryAfter != time.Second || f.Pending() != 0 {
		t.Errorf("got %+v (found %v), want a refusal with RetryAfter 1s and nothing pending", r, ok)
	}
}

// Guards against a new or restarted scheduler that places requests before it knows what already
// runs.
func TestNewSchedulerGetsInventory(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	f.after(time.Millisecond, PlacementSeen{From: f.first, Cell: "s/0", ID: 1, Target: "t"})
	f.after(time.Millisecond, PeerEnded{f.first})
	actions := f.after(time.Millisecond, submit(2))
	inv, ok := actions[0].(InventoryOut)
	if !ok || inv.To != f.first || len(inv.Held) != 1 || inv.Held[0].Target != "t" {
		t.Errorf("first action %+v, want an inventory of one request for the first scheduler", actions[0])
	}
	if asked(actions) != f.first {
		t.Errorf("got %+v, want an ask to the first scheduler", actions)
	}
}

// Guards against a lost inventory message that is never repaired.
func TestInventoryIsRepeated(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	f.after(time.Millisecond, PlacementSeen{From: f.first, Cell: "s/0", ID: 1, Target: "t"})
	if _, ok := find[InventoryOut](f.after(inventoryInterval+time.Millisecond, Tick{})); !ok {
		t.Error("the inventory was not repeated")
	}
}

// Guards against gateways with nothing to report that send empty inventories forever.
func TestEmptyInventoryStopsRepeating(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	f.after(time.Millisecond, PlacementSeen{From: f.first, Cell: "s/0", ID: 1, Target: "t"})
	inventories := func() (n int) {
		for range 10 {
			if inv, ok := find[InventoryOut](f.after(inventoryInterval, Tick{})); ok {
				n++
				if len(inv.Held) != f.Running() {
					t.Errorf("the inventory lists %d requests, want %d", len(inv.Held), f.Running())
				}
			}
		}
		return n
	}
	if n := inventories(); n != 10 {
		t.Errorf("%d inventories while a request runs, want 10", n)
	}
	f.after(time.Millisecond, Ended{1, batch.OutcomeDone})
	if n := inventories(); n != maxEmptyInventories {
		t.Errorf("%d inventories while nothing runs, want maxEmptyInventories", n)
	}
}

// Guards against a gateway with a saturated link that schedules by itself and overloads
// engines whose load it does not know.
func TestSaturatedGatewayRefusesInsteadOfSchedulingItself(t *testing.T) {
	f := setUp(t)
	f.after(0, LinkStateSeen{true})
	f.after(0, submit(1))
	if actions := f.after(2*answerTimeout, Tick{}); asked(actions) != "" {
		t.Fatalf("asked another scheduler too early: %+v", actions)
	}
	var last []Action
	for f.Pending() > 0 {
		last = f.after(saturatedFactor*answerTimeout, Tick{})
		if to := asked(last); to == f.self {
			t.Fatal("the gateway asked itself")
		}
	}
	if r, ok := find[Refuse](last); !ok || r.RetryAfter != saturatedRetry {
		t.Errorf("got %+v, want a refusal with RetryAfter saturatedRetry", last)
	}
	if p, ok := find[ProgressOut](last); !ok || p.Step != StepWithdrawn {
		t.Errorf("got %+v, want the request withdrawn from its scheduler", last)
	}
	f.after(0, LinkStateSeen{false})
	f.now = f.now.Add(suspectMax)
	f.after(0, submit(2))
	if to := asked(f.after(2*answerTimeout, Tick{})); to != f.second {
		t.Errorf("asked %q when the link is free again, want the second scheduler", to)
	}
}

func TestWithdrawnRequestIsCanceledAtScheduler(t *testing.T) {
	f := setUp(t)
	f.after(0, submit(1))
	p, ok := find[ProgressOut](f.after(time.Millisecond, Withdrawn{1}))
	if !ok || p.Step != StepWithdrawn || f.Pending() != 0 {
		t.Errorf("got %+v (found %v), want StepWithdrawn and nothing pending", p, ok)
	}
	if _, ok := find[Start](f.after(time.Millisecond, PlacementSeen{From: f.first, Cell: "s/0", ID: 1, Target: "t"})); ok {
		t.Error("a withdrawn request was started")
	}
}

func TestRequestWithoutCellIsRefused(t *testing.T) {
	m := New("g")
	if r, ok := find[Refuse](m.Step(start, submit(1))); !ok || r.RetryAfter <= 0 {
		t.Errorf("got %+v (found %v), want a refusal with a RetryAfter", r, ok)
	}
}

// Guards against a starved account's request that is refused though another cell has
// capacity, or that moves between cells more than once.
func TestStarvedRequestMovesToAnotherCellOnce(t *testing.T) {
	x := routing.NewIndex(&routing.Configuration{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 8, CacheTokens: 1000}}}})
	var set []routing.Target
	for i := range 20 {
		set = append(set, routing.Target{ID: fmt.Sprint("t", i), Service: "s"})
	}
	m := New("g")
	m.Step(start, LayoutSeen{cell.NewLayout(x, routing.NewTargetSet(0, set...), []place.Node{{ID: "g"}})})
	first, _ := find[AskOut](m.Step(start, submit(1)))
	now := start.Add(180 * time.Millisecond)
	second, ok := find[AskOut](m.Step(now, RefusalSeen{From: "g", ID: 1, Elsewhere: true}))
	if !ok || second.Cell == first.Cell || second.Ask.Hold != 120*time.Millisecond {
		t.Fatalf("asked %+v, then %+v, want another cell with a hold of 120ms", first, second)
	}
	if _, ok := find[Refuse](m.Step(now.Add(time.Millisecond), RefusalSeen{From: "g", ID: 1, Elsewhere: true})); !ok || m.Pending() != 0 {
		t.Error("a second refusal did not end the request")
	}
	m.Step(now, submit(2))
	if _, ok := find[Refuse](m.Step(now, RefusalSeen{From: "g", ID: 2})); !ok {
		t.Error("an ordinary refusal did not end the request")
	}
}

// Guards against a request that is refused although its cell's scheduler knows another with
// room, and against more requests for a cell that has just refused one.
func TestRefusedRequestMovesToNamedCell(t *testing.T) {
	x := routing.NewIndex(&routing.Configuration{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 8, CacheTokens: 1000}}}})
	var set []routing.Target
	for i := range 40 {
		set = append(set, routing.Target{ID: fmt.Sprint("t", i), Service: "s"})
	}
	m := New("g")
	m.Step(start, LayoutSeen{cell.NewLayout(x, routing.NewTargetSet(0, set...), []place.Node{{ID: "g"}})})
	first, _ := find[AskOut](m.Step(start, submit(1)))
	for i := range 4 {
		named := cell.Key(fmt.Sprint("s/", i))
		if named == first.Cell {
			continue
		}
		id := cell.RequestID(10 + i)
		move := func(at time.Time, id cell.RequestID) (AskOut, bool) {
			m.Step(at, submit(id))
			return find[AskOut](m.Step(at, RefusalSeen{From: "g", ID: id, Elsewhere: true, Cell: named}))
		}
		if second, ok := move(start, id); !ok || second.Cell != named {
			t.Fatalf("asked %+v, want cell %s", second, named)
		}
		refused, _ := find[Refuse](m.Step(start, RefusalSeen{From: "g", ID: id, RetryAfter: time.Second, Elsewhere: true, Cell: "s/0"}))
		if refused.ID != id || refused.RetryAfter != time.Second {
			t.Errorf("got %+v, want the second refusal to end the request", refused)
		}
		if again, ok := move(start.Add(roomInterval/2), id+10); ok {
			t.Errorf("asked %+v before cell %s told its room again", again, named)
		}
		if again, ok := move(start.Add(roomInterval), id+20); !ok || again.Cell != named {
			t.Errorf("asked %+v, want cell %s once it told its room again", again, named)
		}
	}
	if _, ok := find[Refuse](m.Step(start, RefusalSeen{From: "g", ID: 1, Elsewhere: true, Cell: "unknown"})); !ok {
		t.Error("naming an unknown cell did not end the request")
	}
}

// Guards against asks that list denied targets of other cells.
func TestAskListsOnlyDeniedTargetsOfItsCell(t *testing.T) {
	f := setUp(t)
	ev := submit(1)
	ev.Ask.Deny = []string{"elsewhere", f.layout.Group("s/0").Targets[0].ID}
	ask, ok := find[AskOut](f.after(0, ev))
	if !ok || len(ask.Ask.Deny) != 1 || ask.Ask.Deny[0] != ev.Ask.Deny[1] {
		t.Errorf("got denied targets %+v, want only the cell's own", ask.Ask.Deny)
	}
}
