// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package control runs the state machines that routers share work with: membership, the scheduler and
// the admission queues. One goroutine owns them all and feeds them messages, timers and calls.
// Exported methods of Loop are safe for concurrent use.
package control

import (
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/core/admit"
	"madderway/core/fair"
	"madderway/core/head"
	"madderway/core/member"
	"madderway/core/sched"
	"madderway/models/conf"
	"madderway/models/result"
	"madderway/models/vm"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/modules/peernet"
	"madderway/modules/ring"
	"madderway/modules/wire"
	"madderway/services/peerwire"
	"madderway/services/quarantine"
)

const (
	inputQueueSize  = 4096
	tickBusy        = 10 * time.Millisecond
	tickIdle        = 100 * time.Millisecond
	lazyFrameDelay  = 20 * time.Millisecond
	batchLimit      = 256 // inputs handled before the outbox is flushed
	routeDelay      = 50 * time.Millisecond
	debtLimitBounds = 4 // debt limit of an account, in fairness bounds
	defaultWeight   = 1
)

// Decision is the result of a submitted request.
type Decision struct {
	Target     string
	Scheduler  string
	Grant      uint64
	Waited     time.Duration
	Refused    result.Code // 0 if the request may start
	RetryAfter time.Duration
}

// Versions provides the configuration version for heartbeats and receives those of peers.
type Versions interface {
	// InForce returns the current configuration version of this router.
	InForce() head.Version
	// PeerVersion records the current configuration version of a peer.
	PeerVersion(peer string, v head.Version)
}

// Options configures a Loop.
type Options struct {
	Self          member.Record
	Clock         clock.Clock
	Auth          *peernet.Auth
	Meter         *peernet.Meter
	Dispatcher    admit.Dispatcher
	Member        member.Config
	Scheduler     sched.Options
	ReserveShare  float64
	Versions      Versions
	DialTimeout   time.Duration
	LinkQueueSize int
	// Quarantine holds records of requests under which targets died.
	Quarantine *quarantine.Service
}

// Loop owns the state machines and the links to other routers.
type Loop struct {
	t          *tomb.Tomb
	log        log.Logger
	opts       Options
	inputs     *ring.Ring[input]
	members    *member.List
	sched      *sched.Scheduler
	dispatcher admit.Dispatcher
	index      *conf.Index
	leaving    map[string]bool // targets that the platform lists as leaving
	decisions  map[admit.RequestID]chan Decision
	links      map[string]*peernet.Link
	out        *peerwire.Outbox
	records    *peerwire.Records
	rerouteAt  time.Time // when to update the routes, zero if they are current
	nextTick   time.Time
	blocked    map[string]bool

	owned      atomic.Pointer[[]*conf.Target] // targets scheduled here
	memberView atomic.Pointer[[]member.Record]
	busy       atomic.Int64 // nanoseconds
	requests   atomic.Uint64
}

// NewLoop starts a loop that runs until the tomb dies.
func NewLoop(t *tomb.Tomb, logger log.Logger, o Options) *Loop {
	l := &Loop{
		t: t, log: logger, opts: o,
		inputs:     ring.New[input]("control", inputQueueSize),
		members:    member.New(o.Member, o.Self),
		sched:      sched.New(o.Scheduler),
		dispatcher: o.Dispatcher,
		leaving:    map[string]bool{},
		decisions:  map[admit.RequestID]chan Decision{},
		links:      map[string]*peernet.Link{},
		out:        peerwire.NewOutbox(lazyFrameDelay),
		blocked:    map[string]bool{},
	}
	l.records = peerwire.NewRecords(o.Self.ID, o.Quarantine, l.members, l.out)
	l.owned.Store(&[]*conf.Target{})
	l.memberView.Store(&[]member.Record{})
	t.Go(l.run)
	return l
}

func (l *Loop) run() error {
	timer := time.NewTimer(tickIdle)
	defer timer.Stop()
	for {
		select {
		case <-l.t.Dying():
			return nil
		case in := <-l.inputs.Out():
			l.runBatch(in)
			timer.Reset(l.tickInterval())
		case <-timer.C:
			l.runTimed(l.tick)
			timer.Reset(l.tickInterval())
		}
	}
}

func (l *Loop) runTimed(work func()) {
	start := l.opts.Clock.Now()
	work()
	l.busy.Add(int64(l.opts.Clock.Now().Sub(start)))
}

func (l *Loop) tickInterval() time.Duration {
	if l.dispatcher.Queued() > 0 || l.out.Pending() {
		return tickBusy
	}
	return tickIdle
}

// runBatch handles queued inputs together, so that messages to one peer share a frame.
func (l *Loop) runBatch(first input) {
	l.runTimed(func() {
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
		if now.After(l.nextTick) {
			l.tick()
			return
		}
		l.flush(now, false)
	})
}

func (l *Loop) handleInput(in input) {
	now := l.opts.Clock.Now()
	switch e := in.(type) {
	case frameIn:
		l.handleFrame(now, e.peer, e.frame)
	case submitIn:
		l.decisions[e.request.ID] = e.decision
		l.stepAdmission(now, admit.Arrived{Request: e.request})
	case admitIn:
		l.stepAdmission(now, e.event)
	case schedIn:
		l.stepScheduler(now, e.event)
	case memberIn:
		l.stepMembers(now, e.event)
	case recordIn:
		l.records.Share(now, e.record, "")
	case partNewsIn:
		l.records.SharePart(now, e.news, "")
	case vmsIn:
		l.handleVMs(now, e.vms)
	case indexIn:
		l.index = e.index
		l.updateRoutes(now)
	case loadIn:
		l.stepScheduler(now, sched.LoadSeen{Target: e.target, Running: e.running, Healthy: e.healthy, Leaving: e.leaving})
		l.stepAdmission(now, admit.LoadSeen{Target: e.target, Running: e.running, Slots: e.slots})
	case doIn:
		e.run()
		close(e.done)
	}
}

func (l *Loop) tick() {
	now := l.opts.Clock.Now()
	l.nextTick = now.Add(tickBusy)
	l.stepMembers(now, member.Tick{})
	l.records.Tick(now)
	if !l.rerouteAt.IsZero() && !now.Before(l.rerouteAt) {
		l.updateRoutes(now)
	}
	l.stepScheduler(now, sched.Tick{})
	l.stepAdmission(now, admit.Tick{})
	l.flush(now, true)
}

func (l *Loop) stepAdmission(now time.Time, ev admit.Event) {
	for _, a := range l.dispatcher.Step(now, ev) {
		l.admitAction(now, a)
	}
}

func (l *Loop) admitAction(now time.Time, a admit.Action) {
	switch a := a.(type) {
	case admit.DemandOut:
		if a.To == l.opts.Self.ID {
			l.stepScheduler(now, sched.DemandSeen{From: a.To, Demand: a.Demand})
			return
		}
		l.out.Frame(now, a.To, a.Lazy).Demands = append(l.out.Frame(now, a.To, a.Lazy).Demands, demandToWire(a.Demand))
	case admit.ReportOut:
		if a.To == l.opts.Self.ID {
			l.stepScheduler(now, sched.ReportSeen{From: a.To, Report: a.Report})
			return
		}
		f := l.out.Frame(now, a.To, a.Lazy)
		f.Reports = append(f.Reports, reportToWire(a.Report))
	case admit.InventoryOut:
		if a.To == l.opts.Self.ID {
			l.stepScheduler(now, sched.InventorySeen{From: a.To, Inventory: a.Inventory})
			return
		}
		f := l.out.Frame(now, a.To, true)
		f.Inventories = append(f.Inventories, inventoryToWire(a.Inventory))
	case admit.Start:
		l.deliver(a.ID, Decision{Target: a.Target, Scheduler: a.Scheduler, Grant: uint64(a.Grant), Waited: a.Waited})
	case admit.Refuse:
		l.deliver(a.ID, Decision{Refused: a.Code, RetryAfter: a.RetryAfter})
	}
}

func (l *Loop) deliver(id admit.RequestID, d Decision) {
	ch, ok := l.decisions[id]
	if !ok {
		return
	}
	delete(l.decisions, id)
	ch <- d
}

func (l *Loop) stepScheduler(now time.Time, ev sched.Event) {
	for _, a := range l.sched.Step(now, ev) {
		switch a := a.(type) {
		case sched.GrantOut:
			if a.To == l.opts.Self.ID {
				l.stepAdmission(now, admit.GrantSeen{From: a.To, Grant: a.Grant})
				continue
			}
			f := l.out.Frame(now, a.To, false)
			f.Grants = append(f.Grants, grantToWire(a.Grant))
		case sched.TallyOut:
			f := l.out.Frame(now, a.To, true)
			f.Tallies = append(f.Tallies, tallyToWire(l.opts.Self.Incarnation, a.Tally))
		}
	}
}

func (l *Loop) stepMembers(now time.Time, ev member.Event) {
	for _, a := range l.members.Step(now, ev) {
		switch a := a.(type) {
		case member.SendHeartbeat:
			l.addHeartbeat(l.out.Frame(now, a.To, true), a)
		case member.MembersChanged:
			l.publishMembers()
			if l.rerouteAt.IsZero() {
				l.rerouteAt = now.Add(routeDelay)
			}
		case member.IncarnationEnded:
			l.log.Warn("Incarnation of a member ended.", "id", a.ID, "incarnation", a.Incarnation)
			l.stepScheduler(now, sched.EntryEnded{ID: a.ID})
			l.records.Forget(a.ID)
		}
	}
}

func (l *Loop) addHeartbeat(f *wire.Frame, a member.SendHeartbeat) {
	v := l.opts.Versions.InForce()
	hb := peerwire.AddHeartbeat(f, a)
	hb.ConfigVersion, hb.ConfigHash = v.Number, v.Hash
	hb.RequestDigest = l.records.Digest()
}

func (l *Loop) publishMembers() {
	others := l.members.Others()
	l.memberView.Store(&others)
}

func (l *Loop) handleFrame(now time.Time, peer string, f *wire.Frame) {
	if hb := f.Heartbeat; hb != nil {
		l.handleHeartbeat(now, peer, hb)
	}
	if len(f.RequestRecords) > 0 || len(f.PromptPartRecords) > 0 || f.RequestRecordsAsk {
		l.records.Receive(now, peer, f)
	}
	for _, ev := range schedulerEvents(peer, f) {
		l.stepScheduler(now, ev)
	}
	for _, g := range f.Grants {
		l.stepAdmission(now, admit.GrantSeen{From: peer, Grant: grantFromWire(g)})
	}
}

// schedulerEvents returns a frame's events for the scheduler, in order. Reports come before
// inventories: a request that has just ended is missing in the inventory and would otherwise count
// as lost.
func schedulerEvents(peer string, f *wire.Frame) []sched.Event {
	var events []sched.Event
	for _, t := range f.Tallies {
		events = append(events, sched.TallySeen{From: fair.Reporter{ID: peer, Incarnation: t.Incarnation}, Tally: tallyFromWire(t)})
	}
	for _, r := range f.Reports {
		events = append(events, sched.ReportSeen{From: peer, Report: reportFromWire(r)})
	}
	for _, inv := range f.Inventories {
		events = append(events, sched.InventorySeen{From: peer, Inventory: inventoryFromWire(inv)})
	}
	for _, d := range f.Demands {
		events = append(events, sched.DemandSeen{From: peer, Demand: demandFromWire(d)})
	}
	return events
}

func (l *Loop) handleHeartbeat(now time.Time, peer string, hb *wire.Heartbeat) {
	seen, ok := peerwire.HeartbeatFromWire(peer, hb)
	if !ok {
		l.log.Warn("Dropped a heartbeat with a wrong sender ID.", "peer", peer)
		return
	}
	l.stepMembers(now, seen)
	l.records.Compare(now, peer, hb.RequestDigest)
	l.opts.Versions.PeerVersion(peer, head.Version{Number: hb.ConfigVersion, Hash: hb.ConfigHash})
}

func (l *Loop) handleVMs(now time.Time, vms []vm.VM) {
	var listed []member.ListedVM
	leaving := map[string]bool{}
	for _, v := range vms {
		switch v.Role {
		case vm.RoleRouter:
			listed = append(listed, member.ListedVM{
				ID: v.ID, Address: v.Address, DataHall: v.DataHall, Region: v.Region, Leaving: v.State == vm.StateLeaving,
			})
		case vm.RoleTarget:
			if v.State == vm.StateLeaving {
				leaving[v.ID] = true
			}
		}
	}
	if !equalSets(leaving, l.leaving) {
		l.leaving = leaving
		l.rerouteAt = now
	}
	l.stepMembers(now, member.ListSeen{VMs: listed})
}

func equalSets(a, b map[string]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for k := range a {
		if !b[k] {
			return false
		}
	}
	return true
}
