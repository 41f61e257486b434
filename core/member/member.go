// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package member maintains the membership list of the fleet's routers.
//
// It combines the platform's VM list, which lags behind, with SWIM-like failure
// detection: each member sends heartbeats to a few monitors, and records spread by
// gossip. The traffic of a member does not depend on the size of the fleet. A List is a
// pure state machine: Step takes events and returns actions.
package member

import (
	"slices"
	"time"

	"madderway/core/fair"
	"madderway/core/place"
)

type memberState struct {
	Record
	listed        bool      // in the platform's latest VM list
	heardAt       time.Time // last heartbeat, or when the member became known or alive again
	probedAt      time.Time
	suspectAt     time.Time
	transmissions int // heartbeats that carried the current record
}

// List is one router's view of the fleet. It is not safe for concurrent use.
type List struct {
	cfg           Config
	self          Record
	members       map[string]*memberState
	sorted        []string
	rings         []ring // all members including this one; one ring per monitor
	tickedAt      time.Time
	nextHeartbeat time.Time
	nextContact   time.Time // due time of the next rotating heartbeat
	contactIndex  int
	actions       []Action
	changed       bool
	// Indexes into members, so that a tick need not scan all of them.
	suspectOrDead map[string]*memberState
	pendingRumors map[string]*memberState
	// Derived from the rings by updateMonitors when monitorsStale is set.
	monitored     map[string]time.Time // start of monitoring by member ID
	monitors      []string             // members that monitor this one
	monitorsStale bool
	sync          viewSync
}

// New returns a list that contains only this router.
func New(cfg Config, self Record) *List {
	self.State = StateAlive
	l := &List{
		cfg: cfg, self: self, members: map[string]*memberState{}, suspectOrDead: map[string]*memberState{}, pendingRumors: map[string]*memberState{},
		monitored: map[string]time.Time{}, rings: make([]ring, cfg.Monitors), monitorsStale: true,
	}
	for i := range l.rings {
		l.rings[i].salt = uint64(i)
		l.rings[i].insert(self.ID)
	}
	return l
}

// Step processes an event and returns the resulting actions.
func (l *List) Step(now time.Time, ev Event) []Action {
	l.actions, l.changed = nil, false
	switch e := ev.(type) {
	case ListSeen:
		l.handleList(now, e.VMs)
	case HeartbeatSeen:
		l.handleHeartbeat(now, e)
	case Leave:
		l.self.State = StateLeaving
		l.self.Epoch++
		l.nextHeartbeat = now
		l.changed = true
		l.broadcastHeartbeat()
	case StrengthSeen:
		l.setStrength(now, e.Percent)
	case Tick:
		l.tick(now)
	}
	if l.changed {
		l.monitorsStale = true
		l.sync.changedAt = now
		l.actions = append(l.actions, MembersChanged{})
	}
	return l.actions
}

// setStrength updates this member's record and makes a heartbeat due at the next tick.
func (l *List) setStrength(now time.Time, percent uint32) {
	if l.self.Strength == percent {
		return
	}
	l.self.Strength = percent
	l.self.Epoch++
	l.nextHeartbeat = now
	l.changed = true
}

func (l *List) handleList(now time.Time, vms []ListedVM) {
	seen := map[string]bool{}
	for _, v := range vms {
		if v.ID == l.self.ID {
			continue
		}
		seen[v.ID] = true
		l.mergeListed(now, v)
	}
	for id, m := range l.members {
		m.listed = seen[id]
		if !m.listed && m.State >= StateSuspect {
			l.removeUnlisted(id, m)
		}
	}
}

func (l *List) mergeListed(now time.Time, v ListedVM) {
	m, ok := l.members[v.ID]
	if !ok {
		m = &memberState{Record: Record{ID: v.ID, State: StateAlive, Address: v.Address, DataHall: v.DataHall, Region: v.Region}, heardAt: now}
		l.add(m)
	}
	m.Address = v.Address
	if v.Leaving && m.State < StateLeaving {
		l.setState(m, StateLeaving)
	}
}

func (l *List) removeUnlisted(id string, m *memberState) {
	l.deleteMember(id)
	if m.State != StateDead {
		l.actions = append(l.actions, IncarnationEnded{id, m.Incarnation})
	}
}

func (l *List) add(m *memberState) {
	l.changed = true
	l.members[m.ID] = m
	l.sync.include(m)
	at, _ := slices.BinarySearch(l.sorted, m.ID)
	l.sorted = slices.Insert(l.sorted, at, m.ID)
	for i := range l.rings {
		l.rings[i].insert(m.ID)
	}
	l.recordChanged(m)
}

func (l *List) deleteMember(id string) {
	l.changed = true
	l.sync.exclude(l.members[id])
	delete(l.members, id)
	delete(l.suspectOrDead, id)
	delete(l.pendingRumors, id)
	if at, found := slices.BinarySearch(l.sorted, id); found {
		l.sorted = slices.Delete(l.sorted, at, at+1)
	}
	for i := range l.rings {
		l.rings[i].remove(id)
	}
}

// recordChanged queues a new or changed record for gossip and updates suspectOrDead.
func (l *List) recordChanged(m *memberState) {
	m.transmissions = 0
	l.pendingRumors[m.ID] = m
	if m.State == StateSuspect || m.State == StateDead {
		l.suspectOrDead[m.ID] = m
	} else {
		delete(l.suspectOrDead, m.ID)
	}
}

func (l *List) handleHeartbeat(now time.Time, e HeartbeatSeen) {
	known := l.members[e.From.ID]
	firstContact := known == nil || known.Incarnation != e.From.Incarnation
	if !firstContact && known.State == StateDead {
		l.answerDead(now, e, known.Record)
	}
	l.merge(now, e.From, true)
	// Do not gossip the records of a full sync: members that miss them compare views.
	incremental := len(e.Rumors) <= l.cfg.MaxRumors
	for _, r := range e.Rumors {
		if l.merge(now, r, false) && !incremental {
			delete(l.pendingRumors, r.ID)
		}
	}
	if l.cfg.EnableFullSync && (firstContact || e.RequestSync) {
		l.actions = append(l.actions, l.answerSync(now, e.From.ID))
	}
	if e.Probe {
		l.actions = append(l.actions, SendHeartbeat{To: e.From.ID, From: l.self, View: l.view()})
	}
	l.compareViews(now, e)
}

// merge applies a record if it is newer and reports whether the member was unknown.
// direct means that the record came from the member itself.
func (l *List) merge(now time.Time, r Record, direct bool) bool {
	if r.ID == l.self.ID {
		l.refute(r)
		return false
	}
	m, ok := l.members[r.ID]
	if !ok {
		if r.State == StateDead {
			return false
		}
		l.add(&memberState{Record: r, heardAt: now})
		return true
	}
	if direct {
		m.heardAt = now
	}
	if direct && m.State >= StateSuspect && r.State == StateAlive && r.Incarnation == m.Incarnation && r.Epoch == m.Epoch && m.State != StateLeaving {
		// The suspicion was wrong. Clear it locally only: the member refutes it for the
		// others once the rumor reaches it.
		l.setState(m, StateAlive)
		return false
	}
	if !r.newer(m.Record) {
		return false
	}
	restarted := m.Incarnation != 0 && r.Incarnation != m.Incarnation
	oldIncarnation := m.Incarnation
	oldState := m.State
	l.sync.exclude(m)
	m.Record = r
	l.sync.include(m)
	l.recordChanged(m)
	if r.State == StateSuspect && oldState != StateSuspect {
		m.suspectAt = now
	}
	if r.State == StateAlive && m.heardAt.IsZero() {
		m.heardAt = now
	}
	if r.State == StateAlive && oldState >= StateSuspect {
		m.heardAt = now
	}
	l.changed = true
	if restarted || r.State == StateDead && oldState != StateDead {
		l.actions = append(l.actions, IncarnationEnded{r.ID, oldIncarnation})
	}
	return false
}

func (l *List) setState(m *memberState, s State) {
	if m.State == s {
		return
	}
	l.sync.exclude(m)
	m.State = s
	l.sync.include(m)
	l.recordChanged(m)
	l.changed = true
}

// refute overrides a rumor that this member is suspect or dead by raising its epoch.
func (l *List) refute(r Record) {
	if r.Incarnation > l.self.Incarnation {
		// The clock was set back between two starts of this process: the current
		// incarnation must be the highest.
		l.self.Incarnation = r.Incarnation + 1
		return
	}
	if r.Incarnation != l.self.Incarnation || r.Epoch < l.self.Epoch {
		return
	}
	if r.State == StateSuspect || r.State == StateDead {
		l.self.Epoch = r.Epoch + 1
	}
}

// Self returns this member's own record.
func (l *List) Self() Record { return l.self }

// Nodes returns the alive members, which may schedule targets, including this one
// unless it is leaving.
func (l *List) Nodes() []place.Node {
	var nodes []place.Node
	if l.self.State == StateAlive {
		nodes = append(nodes, place.Node{ID: l.self.ID, DataHall: l.self.DataHall, Region: l.self.Region, Strength: l.self.Strength})
	}
	for _, id := range l.sorted {
		if m := l.members[id]; m.State == StateAlive {
			nodes = append(nodes, place.Node{ID: id, DataHall: m.DataHall, Region: m.Region, Strength: m.Strength})
		}
	}
	return nodes
}

// Reporter returns the ID and the incarnation of a member. The incarnation is 0 if it is
// unknown.
func (l *List) Reporter(id string) fair.Reporter {
	if id == l.self.ID {
		return fair.Reporter{ID: id, Incarnation: l.self.Incarnation}
	}
	if m := l.members[id]; m != nil {
		return fair.Reporter{ID: id, Incarnation: m.Incarnation}
	}
	return fair.Reporter{ID: id}
}

// Lookup returns the record of another member.
func (l *List) Lookup(id string) (Record, bool) {
	m, ok := l.members[id]
	if !ok {
		return Record{}, false
	}
	return m.Record, true
}

// Count returns the number of other members, including dead ones.
func (l *List) Count() int { return len(l.sorted) }

// Others returns the records of all other members, sorted by ID.
func (l *List) Others() []Record {
	out := make([]Record, 0, len(l.sorted))
	for _, id := range l.sorted {
		out = append(out, l.members[id].Record)
	}
	return out
}
