// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"madderway/core/batch"
	"madderway/core/cell"
	"madderway/core/entry"
	"madderway/core/member"
	"madderway/core/place"
	"madderway/models/routing"
	"madderway/modules/ident"
	"madderway/modules/log"
	"madderway/modules/wire"
	"madderway/services/peerwire"
)

const (
	startLength = 2500 * time.Millisecond // in which the gateways start, stop and learn
	startBound  = 2 * time.Second         // from the last input until requests must be served
	startRun    = 8 * time.Second
	fleetStep   = 10 * time.Millisecond
	linkDelay   = time.Millisecond
	// Time in which starts and stops are collected into one message.
	announceDelay = 20 * time.Millisecond
	targetSpeed   = 45_000.0 // prompt tokens a second
)

// startFleet is a fleet of loops on a fake clock that start in random order. It plays their links
// and their targets.
type startFleet struct {
	now        time.Time
	rng        *rand.Rand
	index      *routing.Index
	listed     []routing.Target
	targets    *routing.TargetSet
	gateways   []*startGateway
	busy       map[string]time.Time // until when a target prefills
	events     fleetQueue
	announcing bool // tellMembers is due
	sequence   int
	asked      int
	served     int
	refused    []string
}

type startGateway struct {
	id     string
	life   int // incremented by each start and stop
	loop   *Loop
	frozen time.Time
	nextID uint64
}

type fleetEvent struct {
	at  time.Time
	seq int
	run func()
}

type fleetQueue []fleetEvent

func (q fleetQueue) Len() int { return len(q) }
func (q fleetQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q fleetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fleetQueue) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newStartFleet(gateways, targets int, seed uint64) *startFleet {
	engine := &routing.Engine{Slots: 64, CacheTokens: 500_000, Transfer: &routing.Transfer{TokenBytes: 1000, BytesPerSecond: 1e9}}
	f := &startFleet{
		now: handoverStart, rng: rand.New(rand.NewPCG(seed, 11)), busy: map[string]time.Time{},
		index: routing.NewIndex(&routing.Configuration{
			Services: []routing.Service{{Name: "s", Engine: engine}}, Limits: routing.Limits{TokensPerSecond: targetSpeed * float64(targets)},
		}),
	}
	for i := range targets {
		f.listed = append(f.listed, routing.Target{ID: fmt.Sprintf("t%04d", i), Service: "s"})
	}
	f.targets = routing.NewTargetSet(1, f.listed...)
	for i := range gateways {
		f.gateways = append(f.gateways, &startGateway{id: fmt.Sprintf("g%04d", i)})
	}
	return f
}

func (f *startFleet) at(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.events, fleetEvent{f.now.Add(d), f.sequence, run})
}

func (f *startFleet) within(d time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(d) + 1))
}

// start starts a gateway, which learns the configuration, the list of targets and the other gateways
// in random order.
func (f *startFleet) start(g *startGateway) {
	g.life++
	l := &Loop{
		log: log.New("test"), cells: map[cell.Key]*cellScheduler{}, undecided: map[cell.Key]*cellScheduler{}, handovers: map[cell.Key]receivedHandover{},
		out: peerwire.NewOutbox(lazyFrameDelay), entry: entry.New(g.id), decisions: map[cell.RequestID]chan Decision{}, traffic: newTraffic(), layout: cell.NewLayout(nil, nil, nil),
	}
	l.opts = Options{Self: member.Record{ID: g.id}, Scheduling: cell.Scheduling{Rules: cell.Rules{Forecast: true, Returns: true, Room: true, Handover: true, Pace: true}, CompactTokenBytes: 1000}}
	l.memberCount.Store(1)
	l.knownCount.Store(1)
	g.loop = l
	g.nextID = ident.Incarnation(f.now.Unix()) << 20
	life, left := g.life, max(handoverStart.Add(startLength).Sub(f.now), 0)
	whenAlive := func(d time.Duration, run func()) {
		f.at(d, func() {
			if g.life == life {
				run()
			}
		})
	}
	none := routing.NewTargetSet(0)
	whenAlive(f.within(min(left, 300*time.Millisecond)), func() { l.setRouting(f.now, f.index, f.known(l, none)) })
	if f.rng.IntN(2) == 0 {
		whenAlive(f.within(min(left, 500*time.Millisecond)), func() {
			l.setRouting(f.now, l.index, routing.NewTargetSet(1, f.listed[:f.rng.IntN(len(f.listed)+1)]...))
		})
	}
	whenAlive(min(left, 600*time.Millisecond), func() { l.setRouting(f.now, f.index, f.targets) })
	whenAlive(f.within(min(left, 400*time.Millisecond)), func() { f.announce() })
}

// known returns what a loop knows of the targets, or none.
func (f *startFleet) known(l *Loop, none *routing.TargetSet) *routing.TargetSet {
	if l.targets != nil {
		return l.targets
	}
	return none
}

// announce tells all gateways which ones run, a moment later.
func (f *startFleet) announce() {
	if !f.announcing {
		f.announcing = true
		f.at(announceDelay, f.tellMembers)
	}
}

func (f *startFleet) tellMembers() {
	f.announcing = false
	var nodes []place.Node
	for _, g := range f.gateways {
		if g.loop != nil {
			nodes = append(nodes, place.Node{ID: g.id})
		}
	}
	for _, g := range f.gateways {
		if g.loop != nil {
			g.loop.layout.SetNodes(slices.Clone(nodes))
			g.loop.memberCount.Store(int64(len(nodes)))
			g.loop.stepEntry(f.now, entry.LayoutSeen{Layout: g.loop.layout})
		}
	}
}

// kill ends a gateway. The others learn of it a while later.
func (f *startFleet) kill(g *startGateway) {
	g.loop = nil
	g.life++
	f.at(f.within(200*time.Millisecond), func() {
		for _, other := range f.gateways {
			if other.loop != nil && other != g {
				for key, s := range other.loop.cells {
					other.loop.applyToCell(f.now, key, s, cell.EntryEnded{Entry: g.id})
				}
				other.loop.stepEntry(f.now, entry.PeerEnded{ID: g.id})
			}
		}
		f.announce()
	})
}

// tick does what a loop does at each tick, without membership.
func (f *startFleet) tick(g *startGateway) {
	l := g.loop
	if l == nil || f.now.Before(g.frozen) {
		return
	}
	for key, s := range l.cells {
		l.applyToCell(f.now, key, s, cell.Tick{})
	}
	l.stepEntry(f.now, entry.Tick{})
	l.decideCells(f.now)
	l.out.Flush(f.now, func(to string, frame *wire.Frame) { f.send(g, to, frame) })
}

func (f *startFleet) send(from *startGateway, to string, frame *wire.Frame) {
	for _, g := range f.gateways {
		if g.id == to {
			f.at(linkDelay, func() { f.deliver(from.id, g, frame) })
		}
	}
}

// deliver hands a frame to a gateway once it is awake. Frames to one that is down are lost.
func (f *startFleet) deliver(from string, g *startGateway, frame *wire.Frame) {
	if g.loop == nil {
		return
	}
	if f.now.Before(g.frozen) {
		f.at(g.frozen.Sub(f.now), func() { f.deliver(from, g, frame) })
		return
	}
	g.loop.handleFrame(f.now, from, frame)
	f.tick(g)
}

// ask submits a request at a random gateway that knows the configuration.
func (f *startFleet) ask() {
	g := f.gateways[f.rng.IntN(len(f.gateways))]
	if g.loop == nil || g.loop.index == nil || f.now.Before(g.frozen) {
		return
	}
	l, life, asked := g.loop, g.life, f.now
	g.nextID++
	id := cell.RequestID(g.nextID)
	decision := make(chan Decision, 1)
	l.decisions[id] = decision
	own := f.rng.Uint64()
	prompt := &routing.Prompt{Tokens: 5000, MaxOutput: 20, Parts: []routing.PromptPart{{ID: f.rng.Uint64N(50), Tokens: 4000}, {ID: own, Tokens: 1000}}}
	l.stepEntry(f.now, entry.Submitted{Service: "s", Ask: cell.Ask{ID: id, Account: fmt.Sprint(own % 8), Prompt: prompt, Hold: 200 * time.Millisecond, Objective: 800 * time.Millisecond}})
	f.tick(g)
	f.at(time.Second, func() { f.conclude(g, life, asked, id, decision) })
	f.poll(g, life, id, prompt, decision, 0)
}

// poll runs a request at its target once it is placed.
func (f *startFleet) poll(g *startGateway, life int, id cell.RequestID, prompt *routing.Prompt, decision chan Decision, waited time.Duration) {
	if g.life != life || waited > time.Second {
		return
	}
	if len(decision) == 0 {
		f.at(fleetStep, func() { f.poll(g, life, id, prompt, decision, waited+fleetStep) })
		return
	}
	d := <-decision
	decision <- d
	if d.Target == "" {
		return
	}
	done := f.busy[d.Target]
	if done.Before(f.now) {
		done = f.now
	}
	done = done.Add(time.Duration(float64(prompt.Tokens) / targetSpeed * float64(time.Second)))
	f.busy[d.Target] = done
	step := func(at time.Duration, ev entry.Event) {
		f.at(at, func() {
			if g.life == life {
				g.loop.stepEntry(f.now, ev)
				f.tick(g)
			}
		})
	}
	step(done.Sub(f.now), entry.Began{ID: id})
	step(done.Sub(f.now)+300*time.Millisecond, entry.Ended{ID: id, Outcome: batch.OutcomeDone})
}

// conclude counts a request that was asked for after the bound.
func (f *startFleet) conclude(g *startGateway, life int, asked time.Time, id cell.RequestID, decision chan Decision) {
	if g.life != life || asked.Sub(handoverStart) < startLength+startBound {
		return
	}
	f.asked++
	if len(decision) > 0 && (<-decision).Target != "" {
		f.served++
		return
	}
	if len(f.refused) < 3 {
		f.refused = append(f.refused, fmt.Sprintf("%v at %s, number %d", asked.Sub(handoverStart), g.id, id))
	}
}

// play starts the fleet and runs it to its end.
func (f *startFleet) play(perSecond int) {
	for _, g := range f.gateways {
		f.at(f.within(500*time.Millisecond), func() { f.start(g) })
	}
	for range 1 + len(f.gateways)/3 {
		g := f.gateways[f.rng.IntN(len(f.gateways))]
		at := 600*time.Millisecond + f.within(startLength-1600*time.Millisecond)
		if f.rng.IntN(2) == 0 {
			f.at(at, func() { g.frozen = f.now.Add(f.within(900 * time.Millisecond)) })
			continue
		}
		f.at(at, func() { f.kill(g) })
		f.at(at+f.within(500*time.Millisecond), func() {
			if g.loop == nil {
				f.start(g)
			}
		})
	}
	f.at(startLength, f.announce)
	for at := time.Duration(0); at < startRun; at += time.Second / time.Duration(perSecond) {
		f.at(at, f.ask)
	}
	for at := time.Duration(0); at < startRun+time.Second; at += fleetStep {
		f.at(at, func() {
			for _, g := range f.gateways {
				f.tick(g)
			}
		})
	}
	for f.events.Len() > 0 {
		ev := heap.Pop(&f.events).(fleetEvent)
		f.now = ev.at
		ev.run()
	}
}

// Guards against a fleet that refuses requests beside idle targets after its gateways have started in
// any order, some of them twice or frozen meanwhile.
func TestFleetServesAfterAnyStart(t *testing.T) {
	for _, size := range []struct{ gateways, targets, perSecond, seeds int }{{1, 3, 8, 10}, {3, 9, 20, 10}, {9, 9, 20, 10}, {300, 300, 100, 1}} {
		for seed := range uint64(size.seeds) {
			f := newStartFleet(size.gateways, size.targets, seed)
			f.play(size.perSecond)
			if f.asked == 0 || f.served < f.asked*99/100 {
				t.Errorf("%d gateways, seed %d: %d of %d requests served from %v after the last input on, want 99 in 100; not: %v", size.gateways, seed, f.served, f.asked, startBound, f.refused)
				break
			}
		}
	}
}
