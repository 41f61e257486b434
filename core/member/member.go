// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package member keeps the list of the fleet's routers from the platform's
// lagging list and from heartbeats, whose number does not grow with the fleet.
// A List is a pure state machine.
package member

import (
	"slices"
	"time"

	"madderway/core/fair"
	"madderway/core/place"
)

// State is what is believed of a member.
type State uint8

// The states, in the order in which they override each other.
const (
	StateAlive State = iota + 1
	StateSuspect
	StateLeaving
	StateDead
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "leaving", "dead"}[s]
}

// Record is what is said of a member. Incarnation is the member's start, Epoch
// counts its refutations of suspicion.
type Record struct {
	ID          string
	Incarnation uint64
	Epoch       uint32
	State       State
	Address     string
	DataHall    string
	Region      string
	Strength    uint32 // Strength is what the member has to give to scheduling, in percent of a core; 0 is not said.
}

// newer tells whether r overrides old.
func (r Record) newer(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.Epoch != old.Epoch {
		return r.Epoch > old.Epoch
	}
	return r.State > old.State
}

// Listed is one line of the platform's list.
type Listed struct {
	ID       string
	Address  string
	DataHall string
	Region   string
	Leaving  bool
}

// Event is something that a List reacts to.
type Event interface{ isEvent() }

// ListSeen is the platform's list.
type ListSeen struct{ VMs []Listed }

// HeartbeatSeen is a heartbeat with the sender's own record and rumors.
type HeartbeatSeen struct {
	From   Record
	Rumors []Record
	View   View // View is whom the sender knows, empty where it does not say.
	Ask    bool // Ask tells that the sender wants to be told of all members.
	Probe  bool // Probe tells that the sender wants a heartbeat back at once.
}

// Leave makes this member tell the others that it is leaving.
type Leave struct{}

// StrengthSeen tells what this member has to give to scheduling from now on.
type StrengthSeen struct{ Percent uint32 }

// Tick lets time pass.
type Tick struct{}

func (ListSeen) isEvent()      {}
func (HeartbeatSeen) isEvent() {}
func (Leave) isEvent()         {}
func (StrengthSeen) isEvent()  {}
func (Tick) isEvent()          {}

// Action is something that the owner of a List must do.
type Action interface{ isAction() }

// HeartbeatOut sends a heartbeat.
type HeartbeatOut struct {
	To     string
	From   Record
	Rumors []Record
	View   View
	Ask    bool
	Probe  bool
}

// Changed tells that the live members have changed.
type Changed struct{}

// Gone tells that a member is dead or has restarted.
type Gone struct {
	ID          string
	Incarnation uint64
}

func (HeartbeatOut) isAction() {}
func (Changed) isAction()      {}
func (Gone) isAction()         {}

// Config holds the times of a List.
type Config struct {
	Interval     time.Duration // Interval is the time between heartbeats to one monitor.
	SuspectAfter time.Duration // SuspectAfter is how long a monitor waits for a heartbeat.
	DeadAfter    time.Duration // DeadAfter is how long a suspect may refute.
	Monitors     int           // Monitors is how many members watch each member.
	// ContactEvery is the time between heartbeats to members other than the monitors,
	// one at a time in rotation, the suspects and dead included.
	ContactEvery time.Duration
	MaxRumors    int // MaxRumors bounds the rumors in a heartbeat.
	// Greet makes a member that is heard for the first time be told all that is
	// known, so that a list grows from a few seeds, and makes members whose views
	// differ for long tell each other all.
	Greet bool
}

// DefaultConfig returns the times in use.
func DefaultConfig() Config {
	return Config{
		Interval: time.Second, SuspectAfter: 2500 * time.Millisecond, DeadAfter: 4 * time.Second,
		Monitors: 3, ContactEvery: time.Second, MaxRumors: 16,
	}
}

type entry struct {
	Record
	listed    bool
	heardAt   time.Time // heardAt is the last heartbeat or the start of watching.
	probedAt  time.Time // probedAt is when it was last asked for a heartbeat.
	suspectAt time.Time
	spread    int // spread counts how often the record was told on.
}

// List is one router's view of the fleet.
type List struct {
	cfg      Config
	self     Record
	members  map[string]*entry
	sorted   []string
	circles  []circle // circles hold this member and all others, one for each monitor.
	nextBeat time.Time
	nextMeet time.Time // nextMeet is when the next contact gets a heartbeat.
	rotate   int
	out      []Action
	changed  bool
	// doubted holds the suspects and the dead, news the records that are still to be
	// told on; so a tick looks at few members.
	doubted map[string]*entry
	news    map[string]*entry
	// watched holds since when this member watches others, guards holds its own
	// monitors. Both are computed anew after a change only.
	watched map[string]time.Time
	guards  []string
	stale   bool
	sync    viewSync
}

// New returns a list that knows only this router.
func New(cfg Config, self Record) *List {
	self.State = StateAlive
	l := &List{
		cfg: cfg, self: self, members: map[string]*entry{}, doubted: map[string]*entry{}, news: map[string]*entry{},
		watched: map[string]time.Time{}, circles: make([]circle, cfg.Monitors), stale: true,
	}
	for i := range l.circles {
		l.circles[i].salt = uint64(i)
		l.circles[i].insert(self.ID)
	}
	return l
}

// Step takes one event and returns what is to be done.
func (l *List) Step(now time.Time, ev Event) []Action {
	l.out, l.changed = nil, false
	switch e := ev.(type) {
	case ListSeen:
		l.listSeen(now, e.VMs)
	case HeartbeatSeen:
		l.heartbeat(now, e)
	case Leave:
		l.self.State = StateLeaving
		l.self.Epoch++
		l.nextBeat = now
		l.changed = true
		l.beatAll()
	case StrengthSeen:
		if l.self.Strength != e.Percent {
			l.self.Strength = e.Percent
			l.self.Epoch++
			l.nextBeat = now
			l.changed = true
		}
	case Tick:
		l.tick(now)
	}
	if l.changed {
		l.stale = true
		l.sync.changed(now)
		l.out = append(l.out, Changed{})
	}
	return l.out
}

func (l *List) listSeen(now time.Time, vms []Listed) {
	seen := map[string]bool{}
	for _, v := range vms {
		if v.ID == l.self.ID {
			continue
		}
		seen[v.ID] = true
		l.addListed(now, v)
	}
	for id, m := range l.members {
		m.listed = seen[id]
		if !m.listed && m.State >= StateSuspect {
			l.remove(id, m)
		}
	}
}

func (l *List) addListed(now time.Time, v Listed) {
	m, ok := l.members[v.ID]
	if !ok {
		m = &entry{Record: Record{ID: v.ID, State: StateAlive, Address: v.Address, DataHall: v.DataHall, Region: v.Region}, heardAt: now}
		l.add(m)
	}
	m.Address = v.Address
	if v.Leaving && m.State < StateLeaving {
		l.setState(m, StateLeaving)
	}
}

func (l *List) remove(id string, m *entry) {
	l.drop(id)
	if m.State != StateDead {
		l.out = append(l.out, Gone{id, m.Incarnation})
	}
}

func (l *List) add(m *entry) {
	l.changed = true
	l.members[m.ID] = m
	at, _ := slices.BinarySearch(l.sorted, m.ID)
	l.sorted = slices.Insert(l.sorted, at, m.ID)
	for i := range l.circles {
		l.circles[i].insert(m.ID)
	}
	l.renew(m)
}

func (l *List) drop(id string) {
	l.changed = true
	delete(l.members, id)
	delete(l.doubted, id)
	delete(l.news, id)
	if at, found := slices.BinarySearch(l.sorted, id); found {
		l.sorted = slices.Delete(l.sorted, at, at+1)
	}
	for i := range l.circles {
		l.circles[i].remove(id)
	}
}

// renew notes that a record is new: it is to be told on.
func (l *List) renew(m *entry) {
	m.spread = 0
	l.news[m.ID] = m
	if m.State == StateSuspect || m.State == StateDead {
		l.doubted[m.ID] = m
	} else {
		delete(l.doubted, m.ID)
	}
}

func (l *List) heartbeat(now time.Time, e HeartbeatSeen) {
	known := l.members[e.From.ID]
	met := known == nil || known.Incarnation != e.From.Incarnation
	if !met && known.State == StateDead {
		l.rejoin(now, e, known.Record)
	}
	l.merge(now, e.From, true)
	// What comes in a greeting is not told on: who lacks it notices that views differ.
	fresh := len(e.Rumors) <= l.cfg.MaxRumors
	for _, r := range e.Rumors {
		if l.merge(now, r, false) && !fresh {
			delete(l.news, r.ID)
		}
	}
	if l.cfg.Greet && (met || e.Ask) {
		greeting := l.Greeting()
		greeting.To = e.From.ID
		l.out = append(l.out, greeting)
	}
	if e.Probe {
		l.out = append(l.out, HeartbeatOut{To: e.From.ID, From: l.self, View: l.view()})
	}
	l.compareViews(now, e)
}

// merge takes a record and tells whether the member was unknown.
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
		l.add(&entry{Record: r, heardAt: now})
		return true
	}
	if direct {
		m.heardAt = now
	}
	if direct && m.State >= StateSuspect && r.State == StateAlive && r.Incarnation == m.Incarnation && r.Epoch == m.Epoch && m.State != StateLeaving {
		// Heard from directly: the suspicion was wrong here. The member itself
		// refutes it elsewhere once a rumor reaches it.
		l.setState(m, StateAlive)
		return false
	}
	if !r.newer(m.Record) {
		return false
	}
	restarted := m.Incarnation != 0 && r.Incarnation != m.Incarnation
	old := m.Incarnation
	wasState := m.State
	m.Record = r
	l.renew(m)
	if r.State == StateSuspect && wasState != StateSuspect {
		m.suspectAt = now
	}
	if r.State == StateAlive && m.heardAt.IsZero() {
		m.heardAt = now
	}
	if r.State == StateAlive && wasState >= StateSuspect {
		m.heardAt = now
	}
	l.changed = true
	if restarted || r.State == StateDead && wasState != StateDead {
		l.out = append(l.out, Gone{r.ID, old})
	}
	return false
}

func (l *List) setState(m *entry, s State) {
	if m.State == s {
		return
	}
	m.State = s
	l.renew(m)
	l.changed = true
}

// refute answers a rumor about this member itself with a higher epoch.
func (l *List) refute(r Record) {
	if r.Incarnation > l.self.Incarnation {
		// The clock was set back between two lives: the new life has to be the
		// higher one.
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

func (l *List) tick(now time.Time) {
	l.assign(now)
	for id := range l.watched {
		if m := l.members[id]; m != nil {
			l.watch(now, id, m)
		}
	}
	for id, m := range l.doubted {
		l.watch(now, id, m)
	}
	if now.Before(l.nextBeat) {
		return
	}
	l.nextBeat = now.Add(l.cfg.Interval)
	l.beat(now)
}

func (l *List) watch(now time.Time, id string, m *entry) {
	switch m.State {
	case StateAlive, StateLeaving:
		since, watched := l.watched[id]
		if !watched {
			return
		}
		silence := min(now.Sub(m.heardAt), now.Sub(since))
		if silence <= l.cfg.SuspectAfter {
			l.probe(now, m, silence)
			return
		}
		if m.State == StateLeaving {
			l.kill(m)
			return
		}
		m.suspectAt = now
		l.setState(m, StateSuspect)
	case StateSuspect:
		if now.Sub(m.suspectAt) > l.cfg.DeadAfter {
			l.kill(m)
		}
	case StateDead:
		if !m.listed && now.Sub(m.heardAt) > 10*l.cfg.DeadAfter {
			l.drop(id)
		}
	}
}

// probe asks a member that should have been heard for a heartbeat. As long as views
// differ, it may not know that this member watches it.
func (l *List) probe(now time.Time, m *entry, silence time.Duration) {
	if pause := l.cfg.SuspectAfter / 3; silence >= 2*pause && now.Sub(m.probedAt) >= pause {
		m.probedAt = now
		l.out = append(l.out, HeartbeatOut{To: m.ID, From: l.self, View: l.view(), Probe: true})
	}
}

func (l *List) kill(m *entry) {
	l.setState(m, StateDead)
	l.out = append(l.out, Gone{m.ID, m.Incarnation})
}

// Self returns this member's own record.
func (l *List) Self() Record { return l.self }

// Nodes returns the members that may schedule targets, this one included
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

// Reporter returns the incarnation of a member as far as it is known.
func (l *List) Reporter(id string) fair.Reporter {
	if id == l.self.ID {
		return fair.Reporter{ID: id, Incarnation: l.self.Incarnation}
	}
	if m := l.members[id]; m != nil {
		return fair.Reporter{ID: id, Incarnation: m.Incarnation}
	}
	return fair.Reporter{ID: id}
}

// Lookup returns what is known of a member other than this one.
func (l *List) Lookup(id string) (Record, bool) {
	m, ok := l.members[id]
	if !ok {
		return Record{}, false
	}
	return m.Record, true
}

// Count returns how many other members are known, the dead included.
func (l *List) Count() int { return len(l.sorted) }

// Others returns the records of all other members, sorted by ID.
func (l *List) Others() []Record {
	out := make([]Record, 0, len(l.sorted))
	for _, id := range l.sorted {
		out = append(out, l.members[id].Record)
	}
	return out
}
