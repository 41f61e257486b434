// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package mesh runs the state machines that gateways share work with: membership, the entry side
// of scheduling and the schedulers of cells. One goroutine owns them all and feeds them messages,
// timers and calls. Exported methods of Loop are safe for concurrent use.
package mesh

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"madderway/core/cell"
	"madderway/core/entry"
	"madderway/core/member"
	"madderway/core/place"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/modules/peernet"
	"madderway/modules/ring"
	"madderway/modules/wire"
	"madderway/services/follow"
	"madderway/services/notice"
	"madderway/services/origin"
	"madderway/services/peerwire"
	"madderway/services/quarantine"
)

const (
	inputQueueSize = 8192
	linkQueueSize  = 128
	tickBusy       = 10 * time.Millisecond
	tickIdle       = 100 * time.Millisecond
	batchLimit     = 256 // inputs handled before frames are sent
	lazyFrameDelay = 15 * time.Millisecond
	seedInterval   = 500 * time.Millisecond
	// Least time between contacts to the seeds if others are known; seedIntervalPerMember is added
	// for each of them.
	minSeedInterval       = 5 * time.Second
	seedIntervalPerMember = 100 * time.Millisecond
	dialTimeout           = 500 * time.Millisecond
	// Longer than the few seconds between requests of one entry to each scheduler in a large fleet.
	linkIdleTimeout = 10 * time.Second
	watcherKey      = "watch"
	// Hashed to select the gateways that register their address.
	registrarKey    = "register"
	cellIdleTimeout = 30 * time.Second // idle schedulers are dropped after this time
)

// Decision is the result of a submitted request.
type Decision struct {
	Target     string // empty if the request is refused
	Source     string // target to transfer the prompt's prefix from, or empty
	Scheduler  string
	Waited     time.Duration
	RetryAfter time.Duration
}

// Options configures a Loop.
type Options struct {
	Self   member.Record
	Seeds  []string // addresses of gateways to contact at the start
	Clock  clock.Clock
	Auth   *peernet.Auth
	Meter  *peernet.Meter
	Member member.Config
	Follow *follow.Service
	// Quarantine holds records of requests under which targets died.
	Quarantine *quarantine.Service
	// Notices holds the states that targets announced.
	Notices *notice.Service
	// Origins holds the records of where streams began.
	Origins *origin.Service
	// FairWindow is the time span over which accounts' service is compared.
	FairWindow time.Duration
	// Scheduling selects how each service is scheduled under hard load.
	Scheduling cell.Scheduling
	// OnMembers is called after each membership change, OnIncarnationEnd when a member has died or
	// restarted. Both may be nil and must not block.
	OnMembers        func(others []member.Record)
	OnIncarnationEnd func(id string)
	// FetchCachedParts queries a target for the prompt parts in its cache. It may be nil.
	FetchCachedParts func(ctx context.Context, t *routing.Target) ([]routing.PromptPart, error)
}

type cellScheduler struct {
	cell            *cell.Cell
	lastUsed        time.Time
	cachedQueriedAt time.Time // zero if the targets were never queried
	lastStats       statsSample
	lastStall       uint64 // decisions of the stall that was logged last
	// Part of the cold targets' rate that this gateway may use.
	coldShare   float64
	incarnation uint64 // differs each time this gateway takes the cell over
}

// Loop owns the state machines and the links to other gateways.
type Loop struct {
	t       *tomb.Tomb
	log     log.Logger
	opts    Options
	inputs  *ring.Ring[input]
	members *member.List
	entry   *entry.Machine
	cells   map[cell.Key]*cellScheduler
	// Schedulers with events since their last decision.
	undecided     map[cell.Key]*cellScheduler
	served        map[string]serviceTotals // by service
	layout        *cell.Layout
	index         *routing.Index
	targets       *routing.TargetSet
	decisions     map[cell.RequestID]chan Decision
	links         map[string]*peernet.Link
	seeds         []*peernet.Link
	seedAddresses []string        // addresses of seeds and discovered gateways
	discovered    []*peernet.Link // contacted while no other gateway is known
	contacted     bool            // a seed was contacted
	out           *peerwire.Outbox
	traffic       traffic
	promised      promiseCounters
	handovers     map[cell.Key]receivedHandover // from the schedulers of cells that this gateway is next for
	nextSeed,
	nextTally,
	nextHandover,
	nextMembers,
	nextTick,
	tickDue time.Time // later ticks count as lag of this process
	startedAt time.Time
	announced follow.Versions
	records   *peerwire.Records
	// gateways that keep records of streams
	originKeepers []place.Node
	originBackups []string // get the records of the streams that begin here
	// Membership changes wait for the end of the batch.
	membersChanged bool

	memberHistory memberHistory

	memberCount atomic.Int64
	knownCount  atomic.Int64 // members of any state, including dead ones
	watcher     atomic.Bool
	keeper      atomic.Bool // of records of streams
	registrar   atomic.Bool // whether this gateway keeps its address in the registry
	busy        atomic.Int64
	// Seconds in which a scheduler placed nothing beside idle targets.
	stalledSeconds atomic.Int64
	requests       atomic.Uint64
}

// NewLoop starts a loop that runs until the tomb dies.
func NewLoop(t *tomb.Tomb, logger log.Logger, o Options) *Loop {
	l := &Loop{
		t: t, log: logger, opts: o, inputs: ring.New[input]("mesh", inputQueueSize), members: member.New(o.Member, o.Self),
		entry: entry.New(o.Self.ID), cells: map[cell.Key]*cellScheduler{}, undecided: map[cell.Key]*cellScheduler{}, served: map[string]serviceTotals{}, layout: cell.NewLayout(nil, nil, nil),
		decisions: map[cell.RequestID]chan Decision{}, links: map[string]*peernet.Link{}, out: peerwire.NewOutbox(lazyFrameDelay), traffic: newTraffic(), promised: promiseCounters{metrics.NewSet()},
		handovers: map[cell.Key]receivedHandover{},
	}
	l.records = peerwire.NewRecords(o.Self.ID, o.Quarantine, l.members, l.out)
	l.requests.Store(firstID(o.Self.Incarnation))
	l.memberCount.Store(1)
	l.knownCount.Store(1)
	l.watcher.Store(true)
	l.setSeeds(o.Seeds)
	l.startedAt = o.Clock.Now()
	l.settle(l.startedAt, time.Time{})
	t.Go(l.run)
	return l
}

// firstID returns the number before an incarnation's first request ID. Schedulers may still know
// requests of the previous incarnation, so the ranges must differ.
func firstID(incarnation uint64) uint64 {
	const idBits, ranges = 20, 1 << 24
	return incarnation * 0x9E3779B97F4A7C15 >> 40 % ranges << idBits
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
	l.observeStandstill(start)
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

// runBatch handles queued inputs together, so that messages to one peer share a frame.
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
	case partNewsIn:
		l.records.SharePart(now, e.news, "")
	case earlyOriginIn:
		l.shareEarlyOrigin(now, e.record)
	case originsIn:
		l.shareOrigins(now, e)
	case backupsIn:
		l.backUpOrigins(now, e)
	case routingIn:
		l.setRouting(now, e.index, e.targets)
		l.announce(now)
	case cachedPartsIn:
		if s := l.cells[e.key]; s != nil {
			l.applyToCell(now, e.key, s, cell.CachedPartsSeen{Target: e.target, At: e.at, Parts: e.parts})
		}
	case doIn:
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
	l.sendHandovers(now)
	l.dropOldHandovers(now)
	l.logCellStats(now)
	l.stepEntry(now, entry.Tick{Lag: l.tickLag(now)})
	l.flush(now)
	l.tickDue = now.Add(l.tickInterval())
}

// Members returns the number of live gateways, including this one.
func (l *Loop) Members() int { return int(l.memberCount.Load()) }

// Known returns the number of gateways including dead ones, which may only be partitioned.
func (l *Loop) Known() int { return int(l.knownCount.Load()) }

// Watches reports whether this gateway is one of those that poll the store for all others.
func (l *Loop) Watches() bool { return l.watcher.Load() }

// KeepsOrigins reports whether this gateway keeps records of other gateways' streams.
func (l *Loop) KeepsOrigins() bool { return l.keeper.Load() }

// Busy returns the time spent in the loop.
func (l *Loop) Busy() time.Duration { return time.Duration(l.busy.Load()) }

// FetchState implements follow.Peers.
func (l *Loop) FetchState(ctx context.Context, peer string, want follow.StateRequest) ([]byte, error) {
	var link *peernet.Link
	if !l.Do(func() { link = l.link(peer) }) {
		return nil, ErrStopped
	}
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
