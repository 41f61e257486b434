// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package mesh runs the pure machines by which gateways act together:
// membership, the entry side of scheduling and the schedulers of cells. One
// goroutine steps them all; sockets and timers stand round it.
package mesh

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/core/cell"
	"madderway/core/entry"
	"madderway/core/member"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/modules/peernet"
	"madderway/modules/ring"
	"madderway/modules/wire"
	"madderway/services/follow"
	"madderway/services/notice"
	"madderway/services/peerwire"
	"madderway/services/quarantine"
)

const (
	inputQueueSize = 8192
	linkQueueSize  = 128
	tickBusy       = 10 * time.Millisecond
	tickIdle       = 100 * time.Millisecond
	batchLimit     = 256 // inputs taken before the frames go out
	lazyFrameDelay = 15 * time.Millisecond
	seedInterval   = 500 * time.Millisecond
	// minSeedInterval is the least time between calls to seeds once members are known,
	// seedShare what each of these adds to it.
	minSeedInterval       = 5 * time.Second
	seedIntervalPerMember = 100 * time.Millisecond
	dialTimeout           = 500 * time.Millisecond
	// linkIdleTimeout is how long a connection to another gateway stays open unused. An entry
	// of a large fleet asks each scheduler every few seconds.
	linkIdleTimeout = 10 * time.Second
	watcherKey      = "watch"
	// registrarKey draws the gateways that register.
	registrarKey    = "register"
	cellIdleTimeout = 30 * time.Second // a cell that nobody has asked for so long is dropped
)

// Decision is what became of a submitted request.
type Decision struct {
	Target     string // Target is empty where the request is refused.
	Source     string // Source is the target to copy the beginning of the prompt from, or empty.
	Scheduler  string
	Waited     time.Duration
	RetryAfter time.Duration
}

// Options are the parts of a Loop.
type Options struct {
	Self   member.Record
	Seeds  []string // Seeds are peers' addresses to begin with.
	Clock  clock.Clock
	Auth   *peernet.Auth
	Meter  *peernet.Meter
	Member member.Config
	Follow *follow.Service
	// Quarantine are those under which targets ended.
	Quarantine *quarantine.Service
	// Notices are what targets have said of themselves.
	Notices *notice.Service
	// FairWindow is the span over which client accounts are compared.
	FairWindow time.Duration
	// OnMembers is told of the members after each change, OnGone that one is dead or has
	// begun a new life; nil where nobody asks. They must not wait.
	OnMembers        func(others []member.Record)
	OnIncarnationEnd func(id string)
	// FetchCachedParts asks a target which parts of prompts it keeps; nil where none tell.
	FetchCachedParts func(ctx context.Context, t *routing.Target) ([]routing.PromptPart, error)
}

type cellScheduler struct {
	cell            *cell.Cell
	lastUsed        time.Time
	cachedQueriedAt time.Time // keptAt is when the targets were last asked what they keep.
	lastStats       statsSample
	// coldShare is the part of what cold targets bear that the cell may place there.
	coldShare   float64
	incarnation uint64 // life tells this hold of the cell from others.
}

// Loop is the goroutine that owns the machines.
type Loop struct {
	t       *tomb.Tomb
	log     log.Logger
	opts    Options
	inputs  *ring.Ring[input]
	members *member.List
	entry   *entry.Machine
	cells   map[cell.Key]*cellScheduler
	// undecided are the cells that have taken events since they decided last.
	undecided     map[cell.Key]*cellScheduler
	served        map[string]serviceTotals // given is what the cells here gave, by service.
	layout        *cell.Layout
	index         *routing.Index
	targets       *routing.TargetSet
	decisions     map[cell.RequestID]chan Decision
	links         map[string]*peernet.Link
	seeds         []*peernet.Link
	seedAddresses []string        // seedsAt are the addresses of the seeds.
	discovered    []*peernet.Link // learned are gateways to call while no other one is known.
	out           *peerwire.Outbox
	traffic       traffic
	nextSeed,
	nextTally,
	nextTick,
	tickDue time.Time // tickDue is when the next tick comes at the latest, unless this process is late.
	announced follow.Versions
	records   *peerwire.Records
	// membersChanged tells that changes of the members are not in force yet.
	membersChanged bool

	memberCount atomic.Int64
	knownCount  atomic.Int64 // known counts the gateways that were ever heard of, the dead included.
	watcher     atomic.Bool
	registrar   atomic.Bool // register tells that this gateway keeps its address in the register.
	busy        atomic.Int64
	requests    atomic.Uint64
}

// NewLoop starts the loop; it ends with the tomb.
func NewLoop(t *tomb.Tomb, logger log.Logger, o Options) *Loop {
	l := &Loop{
		t: t, log: logger, opts: o, inputs: ring.New[input]("mesh", inputQueueSize), members: member.New(o.Member, o.Self),
		entry: entry.New(o.Self.ID), cells: map[cell.Key]*cellScheduler{}, undecided: map[cell.Key]*cellScheduler{}, served: map[string]serviceTotals{}, layout: &cell.Layout{},
		decisions: map[cell.RequestID]chan Decision{}, links: map[string]*peernet.Link{}, out: peerwire.NewOutbox(lazyFrameDelay), traffic: newTraffic(),
	}
	l.records = peerwire.NewRecords(o.Self.ID, o.Quarantine, l.members, l.out)
	l.requests.Store(firstID(o.Self.Incarnation))
	l.memberCount.Store(1)
	l.knownCount.Store(1)
	l.watcher.Store(true)
	l.setSeeds(o.Seeds)
	t.Go(l.run)
	return l
}

// firstID returns where the numbers of a life's requests begin. Schedulers may
// still know requests of the life before; theirs must not come again.
func firstID(incarnation uint64) uint64 {
	const room, lives = 20, 1 << 24
	return incarnation * 0x9E3779B97F4A7C15 >> 40 % lives << room
}

func (l *Loop) newLink(id, address string) *peernet.Link {
	return peernet.NewLink(l.t, peernet.LinkOptions{
		Auth: l.opts.Auth, Meter: l.opts.Meter, PeerID: id, Address: address, DialTimeout: dialTimeout, QueueSize: linkQueueSize, IdleTimeout: linkIdleTimeout,
	})
}

func (l *Loop) run() error {
	timer := time.NewTimer(tickBusy)
	defer timer.Stop()
	for {
		select {
		case <-l.t.Dying():
			return nil
		case in := <-l.inputs.Out():
			l.runTimed(func() { l.runBatch(in) })
		case <-timer.C:
			l.runTimed(l.tick)
		}
		timer.Reset(l.tickInterval())
	}
}

func (l *Loop) runTimed(work func()) {
	start := l.opts.Clock.Now()
	work()
	l.busy.Add(int64(l.opts.Clock.Now().Sub(start)))
}

func (l *Loop) tickInterval() time.Duration {
	if l.entry.Pending() > 0 || l.out.Pending() {
		return tickBusy
	}
	for _, s := range l.cells {
		if s.cell.Waiting() > 0 {
			return tickBusy
		}
	}
	return tickIdle
}

// runBatch takes what is there, so that messages to the same peer share a frame.
func (l *Loop) runBatch(first input) {
	l.handleInput(first)
	for range batchLimit {
		select {
		case in := <-l.inputs.Out():
			l.handleInput(in)
			continue
		default:
		}
		break
	}
	now := l.opts.Clock.Now()
	l.applyMembers(now)
	if now.After(l.nextTick) {
		l.tick()
		return
	}
	l.flush(now)
	l.expectTick(now)
}

func (l *Loop) handleInput(in input) {
	now := l.opts.Clock.Now()
	switch e := in.(type) {
	case frameIn:
		l.handleFrame(now, e.peer, e.frame)
	case submitIn:
		l.decisions[e.event.Ask.ID] = e.decision
		l.stepEntry(now, e.event)
	case entryIn:
		l.stepEntry(now, e.event)
	case memberIn:
		l.stepMembers(now, e.event)
	case recordIn:
		l.records.Share(now, e.record, "")
	case routingIn:
		l.index, l.targets = e.index, e.targets
		l.rebuildLayout(now)
		l.announce(now)
	case cachedPartsIn:
		if s := l.cells[e.key]; s != nil {
			l.applyToCell(now, e.key, s, cell.CachedPartsSeen{Target: e.target, At: e.at, Parts: e.parts})
		}
	case inspectIn:
		e.run()
		close(e.done)
	}
}

func (l *Loop) tick() {
	now := l.opts.Clock.Now()
	l.nextTick = now.Add(tickBusy)
	l.stepMembers(now, member.Tick{})
	l.applyMembers(now)
	l.callSeeds(now)
	l.records.Tick(now)
	for key, s := range l.cells {
		l.applyToCell(now, key, s, cell.Tick{})
		if s.cachedQueriedAt.IsZero() {
			l.queryCachedParts(now, key, s)
		}
		if s.cell.Idle() && now.Sub(s.lastUsed) > cellIdleTimeout {
			delete(l.cells, key)
		}
	}
	l.sendTallies(now)
	l.logCellStats(now)
	l.stepEntry(now, entry.Tick{Lag: l.tickLag(now)})
	l.flush(now)
	l.tickDue = now.Add(l.tickInterval())
}

// Members returns how many gateways are thought to be there, this one included.
func (l *Loop) Members() int { return int(l.memberCount.Load()) }

// Known returns how many gateways there may be: those that are not heard of any more
// may only be cut off.
func (l *Loop) Known() int { return int(l.knownCount.Load()) }

// Watches tells whether this gateway is one of those that ask the store for all.
func (l *Loop) Watches() bool { return l.watcher.Load() }

// Busy returns the time spent on control.
func (l *Loop) Busy() time.Duration { return time.Duration(l.busy.Load()) }

// FetchState implements follow.Peers.
func (l *Loop) FetchState(ctx context.Context, peer string, want follow.StateWanted) ([]byte, error) {
	var link *peernet.Link
	l.Inspect(func() { link = l.link(peer) })
	if link == nil {
		return nil, fmt.Errorf("no link to %s", peer)
	}
	reply, err := link.Call(ctx, &wire.Call{Body: &wire.Call_StateFetch{StateFetch: &wire.StateFetch{Targets: want.Targets, Since: uint64(want.Since), Packed: want.Packed}}})
	if err != nil {
		return nil, err
	}
	if !reply.Ok {
		return nil, fmt.Errorf("peer %s: %s", peer, reply.Error)
	}
	return reply.Content, nil
}
