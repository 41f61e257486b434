// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package sched

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"madderway/core/fair"
	"madderway/core/message"
	"madderway/core/place"
)

type cacheEvent = place.CacheEvent

var epoch = time.Unix(1_700_000_000, 0)

const (
	simSlots = 4
	simStep  = 10 * time.Millisecond
	simRate  = 100.0 // units that a slot serves per second
)

// simAccount is an account that always has waiting requests, at one entry router.
type simAccount struct {
	name     string
	cost     func(*rand.Rand) float64
	estimate float64
	weight   float64
	served   float64
}

type simRunning struct {
	account *simAccount
	sched   int
	id      message.GrantID
	cost    float64
	done    float64
	charged float64
}

// sim runs schedulers against accounts that always wait. Messages are function calls.
type sim struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	scheds   []*Scheduler
	accounts []*simAccount
	running  []*simRunning
	interval time.Duration
	lossy    bool
	isolated map[int]bool // schedulers without contact to the others
	low      map[[2]int]float64
	high     map[[2]int]float64
	pinnedTo map[string]int // pins an account to one scheduler
	step     int
}

func reporterOf(i int, incarnation uint64) fair.Reporter {
	return fair.Reporter{ID: fmt.Sprintf("s%d", i), Incarnation: incarnation}
}

func newSim(t *testing.T, n int, interval time.Duration, accounts ...*simAccount) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewSource(7)), now: epoch, accounts: accounts, interval: interval,
		isolated: map[int]bool{}, low: map[[2]int]float64{}, high: map[[2]int]float64{}, pinnedTo: map[string]int{},
	}
	for i := range n {
		s.scheds = append(s.scheds, nil)
		s.start(i, n, 1)
	}
	return s
}

func (s *sim) start(i, n int, incarnation uint64) {
	sc := New(Options{Self: reporterOf(i, incarnation), TallyInterval: s.interval})
	s.scheds[i] = sc
	s.configure(n, i, incarnation)
}

func (s *sim) configure(n, restarted int, incarnation uint64) {
	for i, sc := range s.scheds {
		if sc == nil {
			continue
		}
		var peers []fair.Reporter
		for k := range n {
			inc := uint64(1)
			if k == restarted {
				inc = incarnation
			}
			peers = append(peers, reporterOf(k, inc))
		}
		weights := map[string]float64{}
		for _, a := range s.accounts {
			weights[a.name] = a.weight
		}
		s.deliver(i, sc.Step(s.now, Configured{
			Pools:   []PoolSpec{{Name: "chat", Peers: peers, MaxDebt: 1e5}},
			Targets: []TargetSpec{{Name: fmt.Sprintf("t%d", i), Pool: "chat", Slots: simSlots}},
			Weights: weights,
		}))
	}
}

// deliver starts granted requests and sends tallies to the other schedulers.
func (s *sim) deliver(from int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case GrantOut:
			s.begin(from, a.Grant)
		case TallyOut:
			s.tally(from, a)
		}
	}
}

func (s *sim) begin(from int, g message.Grant) {
	for _, a := range s.accounts {
		if a.name == g.Account {
			s.running = append(s.running, &simRunning{account: a, sched: from, id: g.ID, cost: a.cost(s.rng), charged: g.Charged})
		}
	}
}

func (s *sim) tally(from int, out TallyOut) {
	for i, sc := range s.scheds {
		if sc.opts.Self.ID != out.To || s.isolated[i] || s.isolated[from] {
			continue
		}
		ev := TallySeen{From: s.scheds[from].opts.Self, Tally: out.Tally}
		times := 1
		if s.lossy {
			times = s.rng.Intn(3) // lost, delivered once or twice
		}
		for range times {
			s.deliver(i, sc.Step(s.now, ev))
		}
	}
}

func (s *sim) run(steps int) {
	for range steps {
		s.step++
		s.now = s.now.Add(simStep)
		for i, sc := range s.scheds {
			s.deliver(i, sc.Step(s.now, Tick{}))
		}
		s.demand()
		s.work()
		s.measure()
	}
}

func (s *sim) demand() {
	for _, a := range s.accounts {
		for i, sc := range s.scheds {
			if at, pinned := s.pinnedTo[a.name]; pinned && at != i {
				continue
			}
			s.deliver(i, sc.Step(s.now, DemandSeen{From: "entry", Demand: message.Demand{Account: a.name, Pool: "chat", Count: 8, Cost: a.estimate}}))
		}
	}
}

func (s *sim) work() {
	running := s.running
	s.running = nil
	for _, r := range running {
		did := math.Min(simRate*simStep.Seconds(), r.cost-r.done)
		r.done += did
		r.account.served += did / r.account.weight
		sc := s.scheds[r.sched]
		if r.done < r.cost {
			s.running = append(s.running, r)
			if r.done > r.charged {
				r.charged = r.done * 1.25
				sc.Step(s.now, ReportSeen{From: "entry", Report: message.Report{Grant: r.id, Kind: message.ReportProgress, Cost: r.charged}})
			}
			continue
		}
		s.deliver(r.sched, sc.Step(s.now, ReportSeen{From: "entry", Report: message.Report{Grant: r.id, Kind: message.ReportDone, Cost: r.cost}}))
	}
}

func (s *sim) measure() {
	for i, a := range s.accounts {
		for k := i + 1; k < len(s.accounts); k++ {
			b := s.accounts[k]
			key, d := [2]int{i, k}, a.served-b.served
			if _, ok := s.low[key]; !ok {
				s.low[key], s.high[key] = d, d
			}
			s.low[key], s.high[key] = math.Min(s.low[key], d), math.Max(s.high[key], d)
		}
	}
}

func (s *sim) gap() float64 {
	gap := 0.0
	for key := range s.low {
		gap = math.Max(gap, s.high[key]-s.low[key])
	}
	return gap
}

func (s *sim) bound(maxCost, maxCharge float64) float64 {
	slots := simSlots * len(s.scheds)
	return fair.Bound(fair.BoundParams{
		Slots: slots, MaxCost: maxCost, MaxCharge: maxCharge, Rate: simRate * float64(slots), CounterAge: s.interval, Lag: simStep,
	})
}

func constant(c float64) func(*rand.Rand) float64 { return func(*rand.Rand) float64 { return c } }

func between(low, high float64) func(*rand.Rand) float64 {
	return func(r *rand.Rand) float64 { return low + r.Float64()*(high-low) }
}

func accountsOf(n int) []*simAccount {
	var out []*simAccount
	for i := range n {
		out = append(out, &simAccount{name: fmt.Sprintf("a%d", i), cost: between(5, 100), estimate: 50, weight: 1})
	}
	return out
}

// Guards against unfairness between accounts that grows over time.
func TestGapStaysWithinBound(t *testing.T) {
	for _, interval := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second} {
		s := newSim(t, 5, interval, accountsOf(6)...)
		s.run(6000)
		if bound := s.bound(100, 50); s.gap() > bound {
			t.Errorf("interval %v: gap %.0f over the bound %.0f", interval, s.gap(), bound)
		}
		if s.accounts[0].served < 1000 {
			t.Errorf("interval %v: only %.0f units were served, want at least 1000", interval, s.accounts[0].served)
		}
	}
}

func TestWrongEstimatesDoNotBreakBound(t *testing.T) {
	accounts := accountsOf(4)
	accounts[0].cost, accounts[0].estimate = constant(100), 1 // far too low
	accounts[1].cost, accounts[1].estimate = constant(1), 100 // far too high
	s := newSim(t, 4, time.Second, accounts...)
	s.run(6000)
	if bound := s.bound(100, 100); s.gap() > bound {
		t.Errorf("gap %.0f over the bound %.0f", s.gap(), bound)
	}
}

// Guards against starvation beside an account with requests 1,000 times as large.
func TestSmallRequestsAreNotStarved(t *testing.T) {
	small := &simAccount{name: "small", cost: constant(1), estimate: 1, weight: 1}
	huge := &simAccount{name: "huge", cost: constant(1000), estimate: 1000, weight: 1}
	s := newSim(t, 3, time.Second, small, huge)
	s.run(12_000)
	if small.served < 0.4*huge.served {
		t.Errorf("small got %.0f, huge %.0f, want at least 0.4 of it", small.served, huge.served)
	}
}

func TestWeightsShareInProportion(t *testing.T) {
	accounts := accountsOf(2)
	accounts[0].weight = 3
	s := newSim(t, 2, time.Second, accounts...)
	s.run(6000)
	got := accounts[0].served * 3 / accounts[1].served
	if got < 2.5 || got > 3.5 {
		t.Errorf("the account of weight 3 got %.2f times as much, want about 3", got)
	}
}

func TestLostAndDuplicateTallies(t *testing.T) {
	s := newSim(t, 4, time.Second, accountsOf(5)...)
	s.lossy = true
	s.run(6000)
	// Counters are two intervals old after one lost tally, three after two.
	if bound := 3 * s.bound(100, 50); s.gap() > bound {
		t.Errorf("gap %.0f over the bound %.0f", s.gap(), bound)
	}
}

// Guards against counting service twice, or not at all, after a partition ends.
func TestPartitionAndRejoin(t *testing.T) {
	accounts := accountsOf(3)
	s := newSim(t, 2, time.Second, accounts...)
	s.run(1000)
	s.isolated[1] = true
	s.pinnedTo["a0"] = 1 // a0 is served only by the cut-off scheduler
	s.run(1000)
	delete(s.isolated, 1)
	delete(s.pinnedTo, "a0")
	s.run(3000)
	for _, a := range accounts {
		total := a.served
		for i, sc := range s.scheds {
			l := sc.pools["chat"].ledger
			v := l.VirtualService(a.name)
			if math.Abs(v-total) > s.bound(100, 50) {
				t.Errorf("scheduler %d counts %.0f for %s, want about %.0f", i, v, a.name, total)
			}
		}
	}
	low, high := math.Inf(1), 0.0
	for _, a := range accounts {
		low, high = math.Min(low, a.served), math.Max(high, a.served)
	}
	if high-low > s.bound(100, 50) {
		t.Errorf("accounts differ by %.0f long after the rejoin, want less than the bound", high-low)
	}
}

// Guards against losing counters at a restart, also those of the scheduler's former
// incarnation.
func TestRestartedSchedulerRecoversCounters(t *testing.T) {
	s := newSim(t, 3, time.Second, accountsOf(4)...)
	s.run(2000)
	before := s.scheds[0].pools["chat"].ledger.VirtualService("a0")
	var left []*simRunning
	for _, r := range s.running {
		if r.sched != 2 {
			left = append(left, r)
		}
	}
	s.running = left
	s.start(2, 3, 2)
	s.run(500)
	after := s.scheds[2].pools["chat"].ledger.VirtualService("a0")
	if after < before {
		t.Errorf("the restarted scheduler counts %.0f, want at least %.0f", after, before)
	}
	s.run(2000)
	if bound := 2 * s.bound(100, 50); s.gap() > bound {
		t.Errorf("gap %.0f over the bound %.0f", s.gap(), bound)
	}
}

// Guards against accounts that wait briefly holding the floor down: an account that begins
// to wait would get credit for idle time.
func TestBriefWaitersDoNotHoldFloor(t *testing.T) {
	sc, now := singleTarget(1)
	sc.Step(now, LoadSeen{Target: "t0"}) // no slot is free
	peer := reporterOf(1, 1)
	sc.Step(now, TallySeen{From: peer, Tally: message.Tally{Pool: "chat", Seq: 1, Rows: []fair.Row{{Account: "heavy", Service: 1000}}}})
	sc.Step(now, DemandSeen{"entry", message.Demand{Account: "heavy", Pool: "chat", Count: 8}})
	for i := range 100 {
		light := fmt.Sprintf("light%d", i%5)
		sc.Step(now, DemandSeen{"entry", message.Demand{Account: light, Pool: "chat", Count: 1}})
		now = now.Add(100 * time.Millisecond)
		sc.Step(now, Tick{})
		sc.Step(now, DemandSeen{"entry", message.Demand{Account: light, Pool: "chat"}})
	}
	if floor := sc.pools["chat"].ledger.Floor(); floor != 1000 {
		t.Fatalf("floor %v, want the backlogged account's 1000", floor)
	}
}

func singleTarget(slots int) (*Scheduler, time.Time) {
	sc := New(Options{Self: reporterOf(0, 1)})
	sc.Step(epoch, Configured{
		Pools:   []PoolSpec{{Name: "chat"}},
		Targets: []TargetSpec{{Name: "t0", Pool: "chat", Slots: slots}},
	})
	return sc, epoch.Add(TakeoverWait)
}

func grantsOf(actions []Action) []message.Grant {
	var out []message.Grant
	for _, a := range actions {
		if g, ok := a.(GrantOut); ok {
			out = append(out, g.Grant)
		}
	}
	return out
}

func TestGrantsNeverExceedSlots(t *testing.T) {
	sc, now := singleTarget(3)
	got := grantsOf(sc.Step(now, DemandSeen{"entry", message.Demand{Account: "a", Pool: "chat", Count: 10, Cost: 1}}))
	if len(got) != 3 {
		t.Fatalf("got %d grants, want 3 for 3 slots", len(got))
	}
	got = grantsOf(sc.Step(now, ReportSeen{"entry", message.Report{Grant: got[0].ID, Kind: message.ReportDone, Cost: 1}}))
	if len(got) != 1 {
		t.Fatalf("got %d grants, want 1 for the freed slot", len(got))
	}
}

func TestNewOwnerWaitsForAdoptions(t *testing.T) {
	sc, open := singleTarget(2)
	demand := DemandSeen{"entry", message.Demand{Account: "a", Pool: "chat", Count: 5, Cost: 1}}
	if got := grantsOf(sc.Step(epoch, demand)); len(got) != 0 {
		t.Fatalf("got %d grants before the adoptions arrived, want none", len(got))
	}
	sc.Step(epoch, InventorySeen{"other", message.Inventory{Adopt: []message.Adoption{{Grant: 1 << 63, Account: "b", Pool: "chat", Target: "t0", Charged: 5}}}})
	if got := grantsOf(sc.Step(open, Tick{})); len(got) != 1 {
		t.Fatalf("got %d grants beside one adopted request in 2 slots, want 1", len(got))
	}
}

func TestLostGrantsAreReleased(t *testing.T) {
	sc, now := singleTarget(1)
	sc.Step(now, DemandSeen{"gone", message.Demand{Account: "a", Pool: "chat", Count: 1, Cost: 1}})
	sc.Step(now, DemandSeen{"entry", message.Demand{Account: "b", Pool: "chat", Count: 1, Cost: 1}})
	if got := grantsOf(sc.Step(now.Add(UnconfirmedGrantTimeout+time.Second), Tick{})); len(got) != 1 || got[0].Account != "b" {
		t.Fatalf("after the timeout: got %v, want one grant for b", got)
	}
}

func TestEndedEntryReleasesSlots(t *testing.T) {
	sc, now := singleTarget(1)
	sc.Step(now, DemandSeen{"gone", message.Demand{Account: "a", Pool: "chat", Count: 9, Cost: 1}})
	sc.Step(now, DemandSeen{"entry", message.Demand{Account: "b", Pool: "chat", Count: 1, Cost: 1}})
	if got := grantsOf(sc.Step(now, EntryEnded{"gone"})); len(got) != 1 || got[0].Account != "b" {
		t.Fatalf("got %v, want one grant for b", got)
	}
}

func TestLeavingOrDownTargetGetsNoGrants(t *testing.T) {
	for _, l := range []LoadSeen{{Target: "t0", Healthy: true, Leaving: true}, {Target: "t0"}} {
		sc, now := singleTarget(2)
		sc.Step(now, l)
		if got := grantsOf(sc.Step(now, DemandSeen{"entry", message.Demand{Account: "a", Pool: "chat", Count: 1, Cost: 1}})); len(got) != 0 {
			t.Fatalf("%+v: got a grant, want none", l)
		}
	}
}

func TestPrefixHintSelectsTarget(t *testing.T) {
	sc := New(Options{Self: reporterOf(0, 1)})
	sc.Step(epoch, Configured{
		Pools:   []PoolSpec{{Name: "chat"}},
		Targets: []TargetSpec{{Name: "t0", Pool: "chat", Slots: 2}, {Name: "t1", Pool: "chat", Slots: 9}},
	})
	now := epoch.Add(TakeoverWait)
	sc.Step(now, CacheSeen{"t0", []cacheEvent{{Seq: 1, Prefix: "p", Stored: true}}})
	got := grantsOf(sc.Step(now, DemandSeen{"entry", message.Demand{Account: "a", Pool: "chat", Count: 1, Prefix: "p"}}))
	if len(got) != 1 || got[0].Target != "t0" {
		t.Fatalf("got %v, want one grant at t0", got)
	}
}
