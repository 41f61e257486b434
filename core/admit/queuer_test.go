// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package admit

import (
	"fmt"
	"testing"
	"time"

	"madderway/core/fair"
	"madderway/core/message"
	"madderway/models/result"
)

var epoch = time.Unix(1_700_000_000, 0)

// routesOf returns routes with one target for each scheduler.
func routesOf(pool string, schedulers ...string) Routed {
	routes := make([]Route, len(schedulers))
	for i, id := range schedulers {
		routes[i] = Route{Target: "target-" + id, Scheduler: fair.Reporter{ID: id, Incarnation: 1}}
	}
	return Routed{Pools: map[string][]Route{pool: routes}}
}

func request(id RequestID) Request {
	return Request{ID: id, Account: "alder", Pool: "chat", Cost: 100, Weight: 1, Deadline: epoch.Add(time.Hour)}
}

func demandsTo(actions []Action) map[string]int {
	out := map[string]int{}
	for _, a := range actions {
		if d, ok := a.(DemandOut); ok {
			out[d.To] = d.Demand.Count
		}
	}
	return out
}

func startOf(actions []Action) (Start, bool) {
	for _, a := range actions {
		if s, ok := a.(Start); ok {
			return s, true
		}
	}
	return Start{}, false
}

func newQueuer(schedulers ...string) *Queuer {
	q := New(fair.Reporter{ID: "entry", Incarnation: 1})
	q.Step(epoch, routesOf("chat", schedulers...))
	return q
}

// Guards against an overflow of the doubled number of schedulers in a long wait.
func TestLongWaitKeepsWidening(t *testing.T) {
	q := newQueuer("a", "b", "c")
	now := epoch
	q.Step(now, Arrived{request(1)})
	asked := map[string]bool{}
	for range 200 {
		now = now.Add(widenMaxDelay)
		for id := range demandsTo(q.Step(now, Tick{})) {
			asked[id] = true
		}
	}
	if len(asked) < 2 {
		t.Fatalf("only %v were asked, want more schedulers over time", asked)
	}
	if q.Queued() != 1 {
		t.Fatalf("%d requests queued, want 1", q.Queued())
	}
}

func TestDemandGoesToOneSchedulerFirst(t *testing.T) {
	q := newQueuer("a", "b", "c", "d")
	if got := demandsTo(q.Step(epoch, Arrived{request(1)})); len(got) != 1 {
		t.Fatalf("asked %v on arrival, want one scheduler", got)
	}
	got := demandsTo(q.Step(epoch.Add(widenInitialDelay), Tick{}))
	if len(got) != 1 {
		t.Fatalf("asked %v after widenInitialDelay, want one more scheduler", got)
	}
}

// A router's own scheduler is asked first unless it is full or another target is preferred.
func TestOwnSchedulerIsAskedFirst(t *testing.T) {
	q := newQueuer("a", "entry", "b")
	if got := demandsTo(q.Step(epoch, Arrived{request(1)})); got["entry"] != 1 || len(got) != 1 {
		t.Fatalf("asked %v, want only entry", got)
	}
	q = newQueuer("a", "entry", "b")
	q.setHint(epoch, "chat", "entry", 0)
	if got := demandsTo(q.Step(epoch, Arrived{request(1)})); got["entry"] != 0 {
		t.Fatalf("asked %v, want another scheduler than entry, which is full", got)
	}
	q = newQueuer("a", "entry", "b")
	near := request(1)
	near.Prefer = map[string]float64{"target-b": 1}
	if got := demandsTo(q.Step(epoch, Arrived{near})); got["b"] != 1 {
		t.Fatalf("asked %v, want b, the scheduler of the preferred target", got)
	}
}

func TestUnusableGrantIsReported(t *testing.T) {
	q := newQueuer("a", "b")
	actions := q.Step(epoch, GrantSeen{"a", message.Grant{ID: 7, Account: "alder", Pool: "chat", Target: "target-a"}})
	r, ok := actions[0].(ReportOut)
	if !ok || r.Report.Kind != message.ReportUnused || r.Report.Grant != 7 {
		t.Fatalf("got %v, want a report that grant 7 is unused", actions)
	}
	// A grant from a router that does not schedule the target is not used.
	q.Step(epoch, Arrived{request(1)})
	if _, ok := startOf(q.Step(epoch, GrantSeen{"b", message.Grant{ID: 8, Account: "alder", Pool: "chat", Target: "target-a"}})); ok {
		t.Fatal("request started under a grant of the wrong scheduler")
	}
}

func TestFullQueueRefusesWithRetryAfter(t *testing.T) {
	q := newQueuer("a")
	for id := RequestID(1); id <= 4; id++ {
		r := request(id)
		r.MaxQueued, r.MaxBytes, r.Bytes = 3, 1000, 10
		actions := q.Step(epoch, Arrived{r})
		var refuse Refuse
		refused := false
		if len(actions) > 0 {
			refuse, refused = actions[0].(Refuse)
		}
		if refused != (id == 4) {
			t.Fatalf("request %d: got %v, want only request 4 refused", id, actions)
		}
		if refused && (refuse.Code != result.QueueFull || refuse.RetryAfter < minRetryAfter) {
			t.Fatalf("got %+v, want QueueFull with RetryAfter of at least minRetryAfter", refuse)
		}
	}
	r := request(9)
	r.Account, r.Bytes, r.MaxBytes = "birch", 2000, 1000
	if _, ok := q.Step(epoch, Arrived{r})[0].(Refuse); !ok {
		t.Fatal("a request over the byte limit was queued")
	}
}

func TestExpiredRequestIsRefused(t *testing.T) {
	q := newQueuer("a")
	r := request(1)
	r.Deadline = epoch.Add(time.Second)
	q.Step(epoch, Arrived{r})
	for _, a := range q.Step(epoch.Add(time.Second), Tick{}) {
		if refuse, ok := a.(Refuse); ok && refuse.Code == result.QueueTimeout && refuse.ID == 1 {
			return
		}
	}
	t.Fatal("request not refused at its deadline")
}

func TestGrantGoesByRankThenAffinity(t *testing.T) {
	q := newQueuer("a")
	long, plain, near := request(1), request(2), request(3)
	long.Rank = 10
	near.Prefer = map[string]float64{"target-a": 1}
	for _, r := range []Request{long, plain, near} {
		q.Step(epoch, Arrived{r})
	}
	for i, want := range []RequestID{3, 2, 1} {
		s, ok := startOf(q.Step(epoch, GrantSeen{"a", message.Grant{ID: message.GrantID(i), Account: "alder", Pool: "chat", Target: "target-a"}}))
		if !ok || s.ID != want {
			t.Fatalf("grant %d started %v, want request %d", i, s, want)
		}
	}
}

func TestSchedulerChangeAdoptsRunningRequests(t *testing.T) {
	q := newQueuer("a")
	q.Step(epoch, Arrived{request(1)})
	q.Step(epoch, GrantSeen{"a", message.Grant{ID: 1, Account: "alder", Pool: "chat", Target: "target-a", Charged: 100}})
	moved := Routed{Pools: map[string][]Route{"chat": {{Target: "target-a", Scheduler: fair.Reporter{ID: "b", Incarnation: 1}}}}}
	var adopted message.Adoption
	for _, a := range q.Step(epoch, moved) {
		if inv, ok := a.(InventoryOut); ok && inv.To == "b" {
			adopted = inv.Inventory.Adopt[0]
		}
	}
	if adopted.Target != "target-a" || adopted.Charged != 100 {
		t.Fatalf("adopted %+v, want target-a with 100 charged", adopted)
	}
	done := q.Step(epoch, Finished{ID: 1, Cost: 120})
	r, ok := done[0].(ReportOut)
	if !ok || r.To != "b" || r.Report.Grant != adopted.Grant || r.Report.Cost != 120 {
		t.Fatalf("reported %+v, want cost 120 to scheduler b", done)
	}
}

// The account's next short request reuses the grant within the quantum.
func TestQuantumReusesTheGrant(t *testing.T) {
	q := newQueuer("a")
	for id := RequestID(1); id <= 3; id++ {
		r := request(id)
		r.Cost = 20
		q.Step(epoch, Arrived{r})
	}
	q.Step(epoch, GrantSeen{"a", message.Grant{ID: 1, Account: "alder", Pool: "chat", Target: "target-a", Charged: 20, Quantum: 50}})
	if s, ok := startOf(q.Step(epoch, Finished{ID: 1, Cost: 20})); !ok || s.ID != 2 {
		t.Fatalf("started %v, want request 2", s)
	}
	actions := q.Step(epoch, Finished{ID: 2, Cost: 20})
	r, ok := actions[0].(ReportOut)
	if !ok || r.Report.Kind != message.ReportDone || r.Report.Cost != 40 {
		t.Fatalf("after the quantum: got %v, want a report with cost 40", actions)
	}
}

func TestProgressIsReportedInGrowingSteps(t *testing.T) {
	q := newQueuer("a")
	q.Step(epoch, Arrived{request(1)})
	q.Step(epoch, GrantSeen{"a", message.Grant{ID: 1, Account: "alder", Pool: "chat", Target: "target-a", Charged: 1}})
	reports, charged := 0, 1.0
	for cost := 1.0; cost <= 10_000; cost++ {
		for _, a := range q.Step(epoch, Progressed{1, cost}) {
			r := a.(ReportOut).Report
			if r.Cost < cost {
				t.Fatalf("reported charge at cost %v: got %v", cost, r.Cost)
			}
			charged = r.Cost
			reports++
		}
		if charged < cost {
			t.Fatalf("charge at cost %v: got %v", cost, charged)
		}
	}
	if reports > 40 {
		t.Fatalf("%d reports for one request, want at most 40", reports)
	}
}

func ExampleQueuer() {
	q := New(fair.Reporter{ID: "entry", Incarnation: 1})
	q.Step(epoch, routesOf("chat", "a"))
	for _, a := range q.Step(epoch, Arrived{request(1)}) {
		fmt.Printf("%T to %s\n", a, a.(DemandOut).To)
	}
	// Output: admit.DemandOut to a
}
