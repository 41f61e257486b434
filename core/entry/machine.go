// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"madderway/core/cell"
)

const (
	inventoryEvery = 2 * time.Second
	// emptyTold is how often a scheduler is told that nothing runs here: once more
	// than needed, since a message may be lost. A gateway of a large fleet seldom has
	// something in most cells.
	emptyTold = 2
	// moveShare is the part of the objective that a second cell may take.
	moveShare     = 0.15
	noTargetRetry = 500 * time.Millisecond
	// strainedRetry is when a caller may come back whom a strained gateway cannot
	// place: at once, since that takes it to another gateway.
	strainedRetry = 50 * time.Millisecond
)

type pending struct {
	service string
	ask     cell.Ask
	cell    cell.Key
	moved   bool // moved tells that another cell than its own is asked.
	to      string
	arrived time.Time
	askedAt time.Time
	askedIn time.Duration // askedIn is the machine's lag when it was asked.
	waits   bool          // waits tells that the scheduler has said that it waits.
	tried   map[string]bool
}

type running struct {
	held cell.Held
	cell cell.Key
}

// seat is what is known of the scheduler that is in use for a cell.
type seat struct {
	scheduler string
	toldAt    time.Time // toldAt is when it was last told all that runs here.
	empty     int       // empty is how often in a row it was told that nothing does.
}

// Machine is the entry side of one gateway.
type Machine struct {
	self     string
	layout   *cell.Layout
	pending  map[cell.RequestID]*pending
	running  map[cell.RequestID]*running
	seats    map[cell.Key]*seat
	suspects map[string]*suspicion
	lag      time.Duration // lag is how late all ticks came, together.
	strained bool          // strained tells that this gateway's link is full.
	actions  []Action
}

// New returns a machine of the gateway with this ID.
func New(self string) *Machine {
	return &Machine{
		self: self, layout: &cell.Layout{}, pending: map[cell.RequestID]*pending{}, running: map[cell.RequestID]*running{},
		seats: map[cell.Key]*seat{}, suspects: map[string]*suspicion{},
	}
}

// Step takes one event and returns what is to be done.
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
		if p := m.pending[e.ID]; p != nil && p.to == e.From {
			p.waits = true
		}
	case RefusalSeen:
		m.refused(now, e)
	case LayoutSeen:
		m.layout = e.Layout
	case PeerHeard:
		delete(m.suspects, e.ID)
	case PeerRestarted:
		m.forget(e.ID)
	case LinkStateSeen:
		m.strained = e.Strained
	case Tick:
		m.lag += e.Lag
		m.tick(now)
	}
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// Pending returns how many requests wait for a scheduler's word.
func (m *Machine) Pending() int { return len(m.pending) }

// Running returns how many requests are at targets.
func (m *Machine) Running() int { return len(m.running) }

func (m *Machine) submit(now time.Time, e Submitted) {
	g := m.layout.GroupFor(e.Service, e.Ask.Prompt.Affinity())
	if g == nil {
		m.emit(Refuse{e.Ask.ID, m.self, noTargetRetry})
		return
	}
	p := &pending{service: e.Service, ask: e.Ask, cell: g.Key, arrived: now, tried: map[string]bool{}}
	m.pending[e.Ask.ID] = p
	m.askNext(now, p)
}

// askNext asks the best scheduler that has not been tried and is not suspect;
// this gateway itself is always the last choice.
func (m *Machine) askNext(now time.Time, p *pending) {
	p.to = m.self
	if g := m.layout.Group(p.cell); g != nil {
		if id := m.candidate(now, g, p); id != "" {
			p.to = id
		}
	}
	p.tried[p.to] = true
	p.askedAt, p.askedIn, p.waits = now, m.lag, false
	m.sit(now, p.cell, p.to)
	ask := p.ask
	ask.Deny = m.layout.Group(p.cell).Members(ask.Deny)
	ask.Hold = max(p.ask.Hold-now.Sub(p.arrived), 0)
	if ask.Objective > 0 {
		ask.Objective = max(p.ask.Objective-now.Sub(p.arrived), time.Millisecond)
	}
	m.emit(AskOut{p.to, p.cell, ask})
}

// candidate returns the best scheduler of a cell that has not been tried for a request
// and is not suspect, or "".
func (m *Machine) candidate(now time.Time, g *cell.Group, p *pending) string {
	for _, id := range g.Schedulers() {
		if !p.tried[id] && !m.suspected(now, id) {
			return id
		}
	}
	return ""
}

// lastChoice tells whether only this gateway itself is left to schedule a request.
func (m *Machine) lastChoice(now time.Time, p *pending) bool {
	g := m.layout.Group(p.cell)
	return g == nil || m.candidate(now, g, p) == ""
}

// giveUp refuses a request whose schedulers are silent at a strained gateway. The cause
// is probably here, and to place it without knowing the engines' load would cost the
// requests of all other gateways.
func (m *Machine) giveUp(p *pending) {
	m.withdraw(p.ask.ID)
	m.emit(Refuse{p.ask.ID, m.self, strainedRetry})
}

// sit makes a gateway the scheduler in use for a cell; a new one is told all
// that runs here.
func (m *Machine) sit(now time.Time, key cell.Key, scheduler string) {
	s := m.seats[key]
	if s == nil {
		s = &seat{}
		m.seats[key] = s
	}
	if s.scheduler == scheduler {
		return
	}
	s.scheduler, s.toldAt, s.empty = scheduler, now, 0
	m.tell(key, s)
}

func (m *Machine) tell(key cell.Key, s *seat) {
	out := InventoryOut{To: s.scheduler, Cell: key}
	for _, r := range m.running {
		if r.cell == key {
			out.Held = append(out.Held, r.held)
		}
	}
	if len(out.Held) > 0 {
		s.empty = 0
	} else {
		s.empty++
	}
	m.emit(out)
}

func (m *Machine) placed(now time.Time, e PlacementSeen) {
	p := m.pending[e.ID]
	if p == nil || p.to != e.From {
		if r := m.running[e.ID]; r == nil || r.held.Target != e.Target {
			m.emit(ProgressOut{To: e.From, Cell: e.Cell, ID: e.ID, Step: StepWithdrawn})
		}
		return
	}
	delete(m.pending, e.ID)
	m.running[e.ID] = &running{
		held: cell.Held{ID: e.ID, Account: p.ask.Account, Target: e.Target, Prompt: p.ask.Prompt}, cell: p.cell,
	}
	m.emit(Start{e.ID, e.Target, e.Source, e.From, now.Sub(p.arrived)})
}

func (m *Machine) refused(now time.Time, e RefusalSeen) {
	p := m.pending[e.ID]
	if p == nil || p.to != e.From || e.Elsewhere && m.move(now, p) {
		return
	}
	delete(m.pending, e.ID)
	m.emit(Refuse{e.ID, e.From, e.RetryAfter})
}

// move asks another cell for a request of an account that is owed more than its
// own cell can give, once.
func (m *Machine) move(now time.Time, p *pending) bool {
	other := m.layout.Other(p.service, p.ask.Prompt.Affinity(), p.cell)
	if p.moved || other == nil || p.ask.Objective <= 0 {
		return false
	}
	p.moved, p.cell, p.tried = true, other.Key, map[string]bool{}
	p.ask.Hold = now.Sub(p.arrived) + time.Duration(moveShare*float64(p.ask.Objective))
	m.askNext(now, p)
	return true
}

func (m *Machine) withdraw(id cell.RequestID) {
	if p := m.pending[id]; p != nil {
		delete(m.pending, id)
		m.emit(ProgressOut{To: p.to, Cell: p.cell, ID: id, Step: StepWithdrawn})
	}
}

func (m *Machine) began(id cell.RequestID) {
	r := m.running[id]
	if r == nil || r.held.Begun {
		return
	}
	r.held.Begun = true
	m.emit(ProgressOut{To: m.schedulerOf(r.cell), Cell: r.cell, ID: id, Step: StepBegan})
}

func (m *Machine) ended(e Ended) {
	r := m.running[e.ID]
	if r == nil {
		return
	}
	delete(m.running, e.ID)
	m.emit(ProgressOut{To: m.schedulerOf(r.cell), Cell: r.cell, ID: e.ID, Step: StepEnded, Outcome: e.Outcome})
}

func (m *Machine) schedulerOf(key cell.Key) string {
	if s := m.seats[key]; s != nil {
		return s.scheduler
	}
	return m.self
}

// forget makes the next ask tell a restarted scheduler what runs here.
func (m *Machine) forget(id string) {
	for _, s := range m.seats {
		if s.scheduler == id {
			s.scheduler = ""
		}
	}
}

func (m *Machine) tick(now time.Time) {
	patience := m.patience(now)
	for _, p := range m.pending {
		switch {
		case !m.silent(now, p, patience):
		case m.strained && m.lastChoice(now, p):
			m.giveUp(p)
		default:
			m.suspect(now, p)
			m.askNext(now, p)
		}
	}
	for key, s := range m.seats {
		if s.scheduler == "" || now.Sub(s.toldAt) < inventoryEvery {
			continue
		}
		s.toldAt = now
		if s.empty < emptyTold || m.runsIn(key) {
			m.tell(key, s)
		}
	}
}

func (m *Machine) runsIn(key cell.Key) bool {
	for _, r := range m.running {
		if r.cell == key {
			return true
		}
	}
	return false
}

// Seats returns the scheduler that is in use for each cell.
func (m *Machine) Seats() map[string]string {
	out := map[string]string{}
	for key, s := range m.seats {
		out[string(key)] = s.scheduler
	}
	return out
}
