// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package member

import "time"

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

// ListedVM is one line of the platform's list.
type ListedVM struct {
	ID       string
	Address  string
	DataHall string
	Region   string
	Leaving  bool
}

// Event is something that a List reacts to.
type Event interface{ isEvent() }

// ListSeen is the platform's list.
type ListSeen struct{ VMs []ListedVM }

// HeartbeatSeen is a heartbeat with the sender's own record and rumors.
type HeartbeatSeen struct {
	From        Record
	Rumors      []Record
	View        View // View is whom the sender knows, empty where it does not say.
	RequestSync bool // Ask tells that the sender wants to be told of all members.
	Probe       bool // Probe tells that the sender wants a heartbeat back at once.
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

// SendHeartbeat sends a heartbeat.
type SendHeartbeat struct {
	To          string
	From        Record
	Rumors      []Record
	View        View
	RequestSync bool
	Probe       bool
}

// MembersChanged tells that the live members have changed.
type MembersChanged struct{}

// IncarnationEnded tells that a member is dead or has restarted.
type IncarnationEnded struct {
	ID          string
	Incarnation uint64
}

func (SendHeartbeat) isAction()    {}
func (MembersChanged) isAction()   {}
func (IncarnationEnded) isAction() {}

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
	// EnableFullSync makes a member that is heard for the first time be told all that is
	// known, so that a list grows from a few seeds, and makes members whose views
	// differ for long tell each other all.
	EnableFullSync bool
}

// DefaultConfig returns the times in use.
func DefaultConfig() Config {
	return Config{
		Interval: time.Second, SuspectAfter: 2500 * time.Millisecond, DeadAfter: 4 * time.Second,
		Monitors: 3, ContactEvery: time.Second, MaxRumors: 16,
	}
}
