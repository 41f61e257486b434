// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package member

import "time"

// State is the state of a member as seen by this router.
type State uint8

// A higher state overrides a lower one of the same incarnation and epoch.
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

// Record is the membership data gossiped about one member. Records are ordered by
// Incarnation, Epoch and State; the newer one wins.
type Record struct {
	ID          string
	Incarnation uint64 // grows with each start of the process
	Epoch       uint32 // raised by the member on each update of its own record
	State       State
	Address     string
	DataHall    string
	Region      string
	Strength    uint32 // CPU available for scheduling in percent of a core, 0 if unknown
}

// newer reports whether r overrides old.
func (r Record) newer(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.Epoch != old.Epoch {
		return r.Epoch > old.Epoch
	}
	return r.State > old.State
}

// ListedVM is an entry of the platform's VM list.
type ListedVM struct {
	ID       string
	Address  string
	DataHall string
	Region   string
	Leaving  bool
}

// Event is an input of List.Step.
type Event interface{ isEvent() }

// ListSeen reports the current VM list of the platform.
type ListSeen struct{ VMs []ListedVM }

// HeartbeatSeen reports a received heartbeat. Its fields match those of SendHeartbeat.
type HeartbeatSeen struct {
	From        Record
	Rumors      []Record
	View        View // summary of the sender's members, zero if not sent
	RequestSync bool // the sender asks for the records of all members
	Probe       bool // the sender asks for an immediate heartbeat
}

// Leave marks this member as leaving and notifies all others.
type Leave struct{}

// StrengthSeen updates this member's scheduling capacity, in percent of a core.
type StrengthSeen struct{ Percent uint32 }

// Tick triggers heartbeats and timeouts that are due.
type Tick struct{}

func (ListSeen) isEvent()      {}
func (HeartbeatSeen) isEvent() {}
func (Leave) isEvent()         {}
func (StrengthSeen) isEvent()  {}
func (Tick) isEvent()          {}

// Action is an output of List.Step that the caller must carry out.
type Action interface{ isAction() }

// SendHeartbeat asks to send a heartbeat with the sender's record and recent rumors.
type SendHeartbeat struct {
	To          string
	From        Record
	Rumors      []Record
	View        View
	RequestSync bool
	Probe       bool
}

// MembersChanged reports that a member's record was added, changed or removed.
type MembersChanged struct{}

// IncarnationEnded reports that a member is dead, was removed or has restarted with a
// newer incarnation.
type IncarnationEnded struct {
	ID          string
	Incarnation uint64
}

func (SendHeartbeat) isAction()    {}
func (MembersChanged) isAction()   {}
func (IncarnationEnded) isAction() {}

// Config holds the settings of a List.
type Config struct {
	Interval     time.Duration // between heartbeats to a monitor
	SuspectAfter time.Duration // silence after which a monitor suspects a member
	DeadAfter    time.Duration // time for a suspect to refute before it is declared dead
	Monitors     int           // number of monitors of each member
	// ContactEvery is the interval of the heartbeats sent to all members in rotation.
	// They include suspect and dead members, so that these can refute and rejoin.
	ContactEvery time.Duration
	MaxRumors    int // per heartbeat
	// EnableFullSync sends all records to a member on first contact, so that a list grows
	// from a few seeds, and synchronizes members whose views keep differing.
	EnableFullSync bool
	// SyncRecordsPerSecond limits the records in full syncs, 0 for no limit. Beyond it, a member
	// gets a sample, from whose members it gets the rest.
	SyncRecordsPerSecond int
}

// DefaultConfig returns the default settings, without full sync.
func DefaultConfig() Config {
	return Config{
		Interval: time.Second, SuspectAfter: 2500 * time.Millisecond, DeadAfter: 4 * time.Second,
		Monitors: 3, ContactEvery: time.Second, MaxRumors: 16,
	}
}
