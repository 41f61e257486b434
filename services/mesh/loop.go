// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package mesh runs the pure machines by which gateways act together:
// membership, the entry side of scheduling and the schedulers of cells. One
// goroutine steps them all; sockets and timers stand round it.
package mesh

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/core/cell"
	"madderway/core/entry"
	"madderway/core/member"
	"madderway/core/place"
	"madderway/core/watch"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/ident"
	"madderway/modules/log"
	"madderway/modules/peernet"
	"madderway/modules/ring"
	"madderway/modules/wire"
	"madderway/services/discover"
	"madderway/services/follow"
	"madderway/services/peerwire"
)

const (
	inputRing  = 8192
	linkRing   = 128
	tickBusy   = 10 * time.Millisecond
	tickIdle   = 100 * time.Millisecond
	batchLimit = 256 // inputs taken before the frames go out
	lazyDelay  = 15 * time.Millisecond
	seedEvery  = 500 * time.Millisecond
	// seedCalm is the least time between calls to seeds once members are known,
	// seedShare what each of these adds to it.
	seedCalm  = 5 * time.Second
	seedShare = 100 * time.Millisecond
	dialTime  = 500 * time.Millisecond
	// linkIdle is how long a connection to another gateway stays open unused. An entry
	// of a large fleet asks each scheduler every few seconds.
	linkIdle = 10 * time.Second
	watchKey = "watch"
	// registerKey draws the gateways that register.
	registerKey = "register"
	cellIdle    = 30 * time.Second // a cell that nobody has asked for so long is dropped
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
	// FairWindow is the span over which client accounts are compared.
	FairWindow time.Duration
	// Kept asks a target which parts of prompts it keeps; nil where none tell.
	Kept func(ctx context.Context, t *routing.Target) ([]routing.PromptPart, error)
}

type scheduled struct {
	cell    *cell.Cell
	askedAt time.Time
	keptAt  time.Time // keptAt is when the targets were last asked what they keep.
	second  lastSecond
	life    uint64 // life tells this hold of the cell from others.
}

// Loop is the goroutine that owns the machines.
type Loop struct {
	t       *tomb.Tomb
	log     log.Logger
	opts    Options
	inputs  *ring.Ring[input]
	members *member.List
	entry   *entry.Machine
	cells   map[cell.Key]*scheduled
	// undecided are the cells that have taken events since they decided last.
	undecided map[cell.Key]*scheduled
	layout    *cell.Layout
	index     *routing.Index
	targets   *routing.TargetSet
	answers   map[cell.RequestID]chan Decision
	links     map[string]*peernet.Link
	seeds     []*peernet.Link
	seedsAt   []string        // seedsAt are the addresses of the seeds.
	learned   []*peernet.Link // learned are gateways to call while no other one is known.
	out       *peerwire.Outbox
	traffic   traffic
	nextSeed,
	nextTally,
	nextTick,
	tickDue time.Time // tickDue is when the next tick comes at the latest, unless this process is late.
	told follow.Versions
	// membersChanged tells that changes of the members are not in force yet.
	membersChanged bool

	size     atomic.Int64
	watches  atomic.Bool
	register atomic.Bool // register tells that this gateway keeps its address in the register.
	busy     atomic.Int64
	requests atomic.Uint64
}

// NewLoop starts the loop; it ends with the tomb.
func NewLoop(t *tomb.Tomb, logger log.Logger, o Options) *Loop {
	l := &Loop{
		t: t, log: logger, opts: o, inputs: ring.New[input]("mesh", inputRing), members: member.New(o.Member, o.Self),
		entry: entry.New(o.Self.ID), cells: map[cell.Key]*scheduled{}, undecided: map[cell.Key]*scheduled{}, layout: &cell.Layout{},
		answers: map[cell.RequestID]chan Decision{}, links: map[string]*peernet.Link{}, out: peerwire.NewOutbox(lazyDelay), traffic: newTraffic(),
	}
	l.requests.Store(firstID(o.Self.Incarnation))
	l.size.Store(1)
	l.watches.Store(true)
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

// setSeeds adds links to seeds that are new; links to old ones stay, idle.
func (l *Loop) setSeeds(addresses []string) {
	for _, address := range addresses {
		if address == l.opts.Self.Address || slices.Contains(l.seedsAt, address) {
			continue
		}
		l.seedsAt = append(l.seedsAt, address)
		l.seeds = append(l.seeds, l.newLink("", address))
	}
}

func (l *Loop) newLink(id, address string) *peernet.Link {
	return peernet.NewLink(l.t, peernet.LinkOptions{
		Auth: l.opts.Auth, Meter: l.opts.Meter, PeerID: id, Address: address, DialTimeout: dialTime, Ring: linkRing, Idle: linkIdle,
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
			l.timed(func() { l.batch(in) })
		case <-timer.C:
			l.timed(l.tick)
		}
		timer.Reset(l.tickAfter())
	}
}

func (l *Loop) timed(work func()) {
	start := time.Now()
	work()
	l.busy.Add(int64(time.Since(start)))
}

func (l *Loop) tickAfter() time.Duration {
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

// batch takes what is there, so that messages to the same peer share a frame.
func (l *Loop) batch(first input) {
	l.take(first)
	for range batchLimit {
		select {
		case in := <-l.inputs.Out():
			l.take(in)
			continue
		default:
		}
		break
	}
	now := l.opts.Clock.Now()
	l.takeMembers(now)
	if now.After(l.nextTick) {
		l.tick()
		return
	}
	l.flush(now)
	l.expectTick(now)
}

func (l *Loop) take(in input) {
	now := l.opts.Clock.Now()
	switch e := in.(type) {
	case frameIn:
		l.frame(now, e.peer, e.frame)
	case submitIn:
		l.answers[e.event.Ask.ID] = e.answer
		l.enter(now, e.event)
	case entryIn:
		l.enter(now, e.event)
	case memberIn:
		l.member(now, e.event)
	case worldIn:
		l.index, l.targets = e.index, e.targets
		l.relayout(now)
		l.announce(now)
	case keptIn:
		if s := l.cells[e.key]; s != nil {
			l.schedule(now, e.key, s, cell.KeptSeen{Target: e.target, At: e.at, Parts: e.parts})
		}
	case inspectIn:
		e.run()
		close(e.done)
	}
}

func (l *Loop) tick() {
	now := l.opts.Clock.Now()
	l.nextTick = now.Add(tickBusy)
	l.member(now, member.Tick{})
	l.takeMembers(now)
	l.callSeeds(now)
	for key, s := range l.cells {
		l.schedule(now, key, s, cell.Tick{})
		if s.keptAt.IsZero() {
			l.askKept(now, key, s)
		}
		if s.cell.Idle() && now.Sub(s.askedAt) > cellIdle {
			delete(l.cells, key)
		}
	}
	l.tellTallies(now)
	l.tellSeconds(now)
	l.enter(now, entry.Tick{Lag: l.lag(now)})
	l.flush(now)
	l.tickDue = now.Add(l.tickAfter())
}

// callSeeds makes this gateway known to the seeds, often until any member is
// known. Later it only says that it is there: a seed that does not know it answers
// with all that it knows.
func (l *Loop) callSeeds(now time.Time) {
	if now.Before(l.nextSeed) {
		return
	}
	alone := l.members.Count() == 0
	l.nextSeed = now.Add(seedPause(l.members.Count()))
	call := l.seeds
	if alone {
		call = slices.Concat(l.seeds, l.learned)
	}
	hello := &wire.Frame{}
	l.addHeartbeat(hello, member.HeartbeatOut{From: l.members.Self()})
	for _, link := range call {
		link.Send(hello)
	}
}

// seedPause returns how long after a call to the seeds the next one follows. All
// gateways together call as often as a small fleet does.
func seedPause(others int) time.Duration {
	if others == 0 {
		return seedEvery
	}
	return max(seedCalm, time.Duration(others)*seedShare)
}

// relayout divides the targets into cells anew.
func (l *Loop) relayout(now time.Time) {
	l.layout = cell.NewLayout(l.index, l.targets, l.members.Nodes())
	for key, s := range l.cells {
		l.setTargets(now, key, s)
	}
	l.enter(now, entry.LayoutSeen{Layout: l.layout})
}

// takeMembers puts changes of the members in force, once for all of a batch.
func (l *Loop) takeMembers(now time.Time) {
	if !l.membersChanged {
		return
	}
	l.membersChanged = false
	nodes := l.members.Nodes()
	l.log.Info("Members changed.", "alive", len(nodes))
	l.size.Store(int64(max(len(nodes), 1)))
	l.watches.Store(slices.Contains(place.Top(nodes, watchKey, watch.Watchers), l.opts.Self.ID))
	l.register.Store(slices.Contains(place.Top(nodes, registerKey, discover.Registrars), l.opts.Self.ID))
	l.layout = l.layout.WithNodes(nodes)
	l.enter(now, entry.LayoutSeen{Layout: l.layout})
}

// announce tells its neighbours at once that this gateway knows something newer;
// each tells its own, so that the fleet hears within a few steps.
func (l *Loop) announce(now time.Time) {
	v := l.opts.Follow.Versions()
	if v.Configuration == l.told.Configuration && v.Targets == l.told.Targets {
		return
	}
	l.told = v
	for _, id := range l.members.Near(now) {
		l.out.Frame(now, id, true).Versions = versionsToWire(v)
	}
}

func (l *Loop) setTargets(now time.Time, key cell.Key, s *scheduled) {
	g := l.layout.Group(key)
	if g == nil {
		l.schedule(now, key, s, cell.TargetsSeen{})
		return
	}
	service := l.index.Service(g.Service)
	ev := cell.TargetsSeen{Siblings: len(l.layout.Siblings(g)), FairWindow: l.opts.FairWindow, Transfer: service.Engine.Transfer}
	for _, t := range g.Targets {
		ev.Targets = append(ev.Targets, cell.TargetInfo{
			ID: t.ID, Slots: service.Engine.Slots, CacheTokens: service.Engine.CacheTokens, DataHall: t.DataHall, Leaving: t.Leaving,
		})
	}
	if n := len(l.targets.Of(g.Service)); n > 0 {
		ev.TokensPerSecond = l.index.Configuration.Limits.TokensPerSecond / float64(n)
	}
	l.schedule(now, key, s, ev)
}

// cellOf returns the scheduler of a cell, which begins when it is first asked.
func (l *Loop) cellOf(now time.Time, key cell.Key) *scheduled {
	s := l.cells[key]
	if s == nil {
		s = &scheduled{cell: cell.New(), life: ident.Incarnation(now.Unix())}
		l.cells[key] = s
		l.log.Info("Scheduler taken over.", "cell", key)
		l.setTargets(now, key, s)
	}
	s.askedAt = now
	return s
}

// Members returns how many gateways are thought to be there, this one included.
func (l *Loop) Members() int { return int(l.size.Load()) }

// Watches tells whether this gateway is one of those that ask the store for all.
func (l *Loop) Watches() bool { return l.watches.Load() }

// Busy returns the time spent on control.
func (l *Loop) Busy() time.Duration { return time.Duration(l.busy.Load()) }

// FetchState implements follow.Peers.
func (l *Loop) FetchState(ctx context.Context, peer string, targets bool, since uint64) ([]byte, error) {
	var link *peernet.Link
	l.Inspect(func() { link = l.link(peer) })
	if link == nil {
		return nil, fmt.Errorf("no link to %s", peer)
	}
	reply, err := link.Call(ctx, &wire.Call{Body: &wire.Call_StateFetch{StateFetch: &wire.StateFetch{Targets: targets, Since: since}}})
	if err != nil {
		return nil, err
	}
	if !reply.Ok {
		return nil, fmt.Errorf("peer %s: %s", peer, reply.Error)
	}
	return reply.Content, nil
}
