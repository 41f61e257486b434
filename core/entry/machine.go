// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package entry

import (
	"slices"
	"time"

	"madderway/core/cell"
	"madderway/modules/saturate"
)

const (
	inventoryInterval = 2 * time.Second
	// maxEmptyInventories limits repeated empty inventories, as most gateways of a large
	// fleet run nothing in most cells. The second one covers a lost message.
	maxEmptyInventories = 2
	// secondCellShare is the share of the objective that a request may wait in a second cell.
	secondCellShare = 0.15
	// roomInterval is the time after which a scheduler has told its cell's room again.
	roomInterval  = 500 * time.Millisecond
	noTargetRetry = 500 * time.Millisecond
	// saturatedRetry is short because the retry reaches another gateway.
	saturatedRetry = 50 * time.Millisecond
)

type pending struct {
	service   string
	ask       cell.Ask
	cell      cell.Key
	moved     bool   // already moved to a second cell
	scheduler string // asked last
	arrived   time.Time
	askedAt   time.Time
	lagAtAsk  time.Duration // Machine.lag at askedAt
	queued    bool          // the scheduler has queued it
	held      bool          // not asked for yet, as the gateway has just started
	tried     map[string]bool
}

type running struct {
	held cell.Held
	cell cell.Key
	// toldTo are the schedulers that count the request as running: the one that placed it, and those
	// that have got an inventory with it. All learn when it begins and ends.
	toldTo []string
}

func (r *running) addScheduler(id string) {
	if !slices.Contains(r.toldTo, id) {
		r.toldTo = append(r.toldTo, id)
	}
}

// schedulerState tracks the scheduler in use for a cell and the inventories sent to it.
type schedulerState struct {
	scheduler        string
	inventoryAt      time.Time // last inventory
	emptyInventories int       // consecutive empty inventories
}

// Machine tracks the requests that entered through one gateway.
type Machine struct {
	self          string
	layout        *cell.Layout
	pending       map[cell.RequestID]*pending
	running       map[cell.RequestID]*running
	schedulers    map[cell.Key]*schedulerState
	former        map[schedulerOfCell]*formerState
	suspects      map[string]*suspectBackoff
	full          map[cell.Key]time.Time // last refusal of a moved request
	lag           time.Duration          // sum of the delays of all ticks
	linkSaturated bool
	settledAt     time.Time // until then requests may be held back
	actions       []Action
}

// New returns the machine of the gateway with this ID.
func New(self string) *Machine {
	return &Machine{
		self: self, layout: &cell.Layout{}, pending: map[cell.RequestID]*pending{}, running: map[cell.RequestID]*running{},
		schedulers: map[cell.Key]*schedulerState{}, former: map[schedulerOfCell]*formerState{}, suspects: map[string]*suspectBackoff{}, full: map[cell.Key]time.Time{},
	}
}

// Step processes one event and returns the resulting actions.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = nil
	switch e := ev.(type) {
	case Submitted:
		m.submit(now, e)
	case Withdrawn:
		m.withdraw(e.ID)
	case Began:
		m.began(e.ID)
	case Ended:
		m.ended(e)
	case PlacementSeen:
		m.placed(now, e)
	case WaitSeen:
		if p := m.pending[e.ID]; p != nil && p.scheduler == e.From {
			p.queued = true
		}
	case RefusalSeen:
		m.refused(now, e)
	case LayoutSeen:
		m.layout = e.Layout
		m.forgetRefusals()
	case SettleSeen:
		m.settledAt = e.Until
	case PeerHeard:
		delete(m.suspects, e.ID)
		m.formerHeard(e.ID)
	case PeerEnded:
		m.schedulerEnded(now, e.ID)
	case LinkStateSeen:
		m.linkSaturated = e.Saturated
	case Tick:
		m.lag += e.Lag
		m.tick(now)
	}
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// Pending returns the number of requests that wait for a scheduler's decision.
func (m *Machine) Pending() int { return len(m.pending) }

// Running returns the number of requests at targets.
func (m *Machine) Running() int { return len(m.running) }

func (m *Machine) submit(now time.Time, e Submitted) {
	g := m.groupFor(e.Service, &e.Ask, "")
	if g == nil {
		m.emit(Refuse{e.Ask.ID, m.self, noTargetRetry})
		return
	}
	p := &pending{service: e.Service, ask: e.Ask, cell: g.Key, arrived: now, tried: map[string]bool{}}
	m.pending[e.Ask.ID] = p
	if e.Settle && now.Before(m.settledAt) {
		p.held = true
		return
	}
	m.askNext(now, p)
}

// groupFor returns the cell, other than except, that is to place a request, or nil.
func (m *Machine) groupFor(service string, a *cell.Ask, except cell.Key) *cell.Group {
	if a.Bound {
		return m.layout.GroupForSoftware(service, a.Software, a.Prompt.AffinityKey(), except)
	}
	return m.layout.AlternativeTo(service, a.Prompt.AffinityKey(), except)
}

// release asks for a request that was held back, in the layout of now.
func (m *Machine) release(now time.Time, p *pending) {
	p.held = false
	if g := m.groupFor(p.service, &p.ask, ""); g != nil {
		p.cell = g.Key
	}
	m.askNext(now, p)
}

// askNext asks the best scheduler that has not been tried and is not suspected,
// or this gateway itself if none is left.
func (m *Machine) askNext(now time.Time, p *pending) {
	p.scheduler = m.self
	if g := m.layout.Group(p.cell); g != nil {
		if id := m.candidate(now, g, p); id != "" {
			p.scheduler = id
		}
	}
	p.tried[p.scheduler] = true
	p.askedAt, p.lagAtAsk, p.queued = now, m.lag, false
	m.useScheduler(now, p.cell, p.scheduler)
	ask := p.ask
	ask.Deny = m.layout.Group(p.cell).FilterTargets(ask.Deny)
	ask.Hold = max(p.ask.Hold-now.Sub(p.arrived), 0)
	if ask.Objective > 0 {
		ask.Objective = max(p.ask.Objective-now.Sub(p.arrived), time.Millisecond)
	}
	m.emit(AskOut{p.scheduler, p.cell, ask})
}

// candidate returns the best scheduler of a cell that has not been tried for a request
// and is not suspected, or "".
func (m *Machine) candidate(now time.Time, g *cell.Group, p *pending) string {
	for _, id := range g.Schedulers() {
		if !p.tried[id] && !m.suspected(now, id) {
			return id
		}
	}
	return ""
}

// onlySelfLeft reports whether only this gateway itself is left to schedule a request.
func (m *Machine) onlySelfLeft(now time.Time, p *pending) bool {
	g := m.layout.Group(p.cell)
	return g == nil || m.candidate(now, g, p) == ""
}

// refuseSaturated refuses a request whose schedulers do not answer while the link is
// saturated. The link is the likely cause, and placing requests here without knowing
// the load of the engines would overload them for all gateways.
func (m *Machine) refuseSaturated(p *pending) {
	m.withdraw(p.ask.ID)
	m.emit(Refuse{p.ask.ID, m.self, saturatedRetry})
}

// useScheduler sets the scheduler in use for a cell and sends an inventory to a new one.
func (m *Machine) useScheduler(now time.Time, key cell.Key, scheduler string) {
	s := m.schedulers[key]
	if s == nil {
		s = &schedulerState{}
		m.schedulers[key] = s
	}
	if s.scheduler == scheduler {
		return
	}
	m.addFormer(now, key, s.scheduler)
	delete(m.former, schedulerOfCell{key, scheduler})
	s.scheduler, s.inventoryAt, s.emptyInventories = scheduler, now, 0
	m.sendInventory(key, s)
}

func (m *Machine) sendInventory(key cell.Key, s *schedulerState) {
	out := InventoryOut{To: s.scheduler, Cell: key}
	for _, r := range m.running {
		if r.cell == key {
			out.Held = append(out.Held, r.held)
			r.addScheduler(s.scheduler)
		}
	}
	if len(out.Held) > 0 {
		s.emptyInventories = 0
	} else {
		s.emptyInventories++
	}
	m.emit(out)
}

func (m *Machine) placed(now time.Time, e PlacementSeen) {
	p := m.pending[e.ID]
	if p == nil || p.scheduler != e.From {
		m.placedLate(e)
		return
	}
	delete(m.pending, e.ID)
	m.running[e.ID] = &running{
		held: cell.Held{ID: e.ID, Account: p.ask.Account, Target: e.Target, Prompt: p.ask.Prompt}, cell: p.cell, toldTo: []string{e.From},
	}
	m.emit(Start{e.ID, e.Target, e.Source, e.From, now.Sub(p.arrived)})
}

func (m *Machine) refused(now time.Time, e RefusalSeen) {
	p := m.pending[e.ID]
	if p == nil || p.scheduler != e.From || e.Elsewhere && m.move(now, p, e.Cell) {
		return
	}
	if p.moved {
		m.full[p.cell] = now
	}
	delete(m.pending, e.ID)
	m.emit(Refuse{e.ID, e.From, e.RetryAfter})
}

// move asks a second cell to place a request, once: the one that the first cell's scheduler
// names, else the next by affinity for an account that is below its fair share in the first.
func (m *Machine) move(now time.Time, p *pending, named cell.Key) bool {
	if p.ask.Bound {
		named = "" // it may have no target of the version
	}
	other := m.layout.Group(named)
	if named == "" {
		other = m.groupFor(p.service, &p.ask, p.cell)
	}
	if p.moved || other == nil || other.Service != p.service || p.ask.Objective <= 0 || named != "" && m.refusedLately(now, named) {
		return false
	}
	p.moved, p.cell, p.tried = true, other.Key, map[string]bool{}
	p.ask.Hold = now.Sub(p.arrived) + saturate.Duration(secondCellShare*float64(p.ask.Objective))
	m.askNext(now, p)
	return true
}

// refusedLately reports whether a cell that is said to have room has refused a moved request
// since the schedulers last told their room.
func (m *Machine) refusedLately(now time.Time, key cell.Key) bool {
	at, refused := m.full[key]
	return refused && now.Sub(at) < roomInterval
}

// forgetRefusals drops the refusals of cells that no longer exist.
func (m *Machine) forgetRefusals() {
	for key := range m.full {
		if m.layout.Group(key) == nil {
			delete(m.full, key)
		}
	}
}

func (m *Machine) withdraw(id cell.RequestID) {
	if p := m.pending[id]; p != nil {
		delete(m.pending, id)
		if p.held {
			return
		}
		m.emit(ProgressOut{To: p.scheduler, Cell: p.cell, ID: id, Step: StepWithdrawn})
	}
}

func (m *Machine) began(id cell.RequestID) {
	r := m.running[id]
	if r == nil || r.held.Begun {
		return
	}
	r.held.Begun = true
	m.report(r, ProgressOut{Cell: r.cell, ID: id, Step: StepBegan})
}

func (m *Machine) ended(e Ended) {
	r := m.running[e.ID]
	if r == nil {
		return
	}
	delete(m.running, e.ID)
	m.report(r, ProgressOut{Cell: r.cell, ID: e.ID, Step: StepEnded, Outcome: e.Outcome})
}

// report tells the progress of a request to all schedulers that count it as running. One that is no
// longer asked would otherwise keep it, and place nothing at its target.
func (m *Machine) report(r *running, p ProgressOut) {
	for _, id := range r.toldTo {
		p.To = id
		m.emit(p)
	}
}

// schedulerEnded makes the next ask send an inventory, as a restarted scheduler has no state.
func (m *Machine) schedulerEnded(now time.Time, id string) {
	for key, s := range m.schedulers {
		if s.scheduler == id {
			m.addFormer(now, key, id)
			s.scheduler = ""
		}
	}
}

func (m *Machine) tick(now time.Time) {
	timeout := m.silenceTimeout(now)
	for _, p := range m.pending {
		switch {
		case p.held:
			if !now.Before(m.settledAt) {
				m.release(now, p)
			}
		case !m.silent(now, p, timeout):
		case m.linkSaturated && m.onlySelfLeft(now, p):
			m.refuseSaturated(p)
		default:
			m.suspect(now, p)
			m.askNext(now, p)
		}
	}
	for key, s := range m.schedulers {
		if s.scheduler == "" || now.Sub(s.inventoryAt) < inventoryInterval {
			continue
		}
		s.inventoryAt = now
		if s.emptyInventories < maxEmptyInventories || m.runsIn(key) {
			m.sendInventory(key, s)
		}
	}
	m.tickFormer(now)
}

func (m *Machine) runsIn(key cell.Key) bool {
	for _, r := range m.running {
		if r.cell == key {
			return true
		}
	}
	return false
}

// Schedulers returns the scheduler in use for each cell.
func (m *Machine) Schedulers() map[string]string {
	out := map[string]string{}
	for key, s := range m.schedulers {
		out[string(key)] = s.scheduler
	}
	return out
}
