// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package control

import (
	"madderway/core/admit"
	"madderway/core/member"
	"madderway/core/sched"
	"madderway/modules/ring"
)

// MemberState is a member in a state dump.
type MemberState struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
	Address     string `json:"address"`
	DataHall    string `json:"data_hall"`
	Region      string `json:"region"`
}

// State is the loop's part of a state dump.
type State struct {
	Self      MemberState   `json:"self"`
	Members   []MemberState `json:"members"`
	Scheduler sched.State   `json:"scheduler"`
	Admission admit.State   `json:"admission"`
	Rings     []ring.State  `json:"rings"`
	Waiting   int           `json:"callers_waiting"`
	BusyMS    int64         `json:"busy_ms"`
	Sent      uint64        `json:"peer_bytes_sent"`
	Received  uint64        `json:"peer_bytes_received"`
}

// State returns the current state.
func (l *Loop) State() State {
	st := State{Members: []MemberState{}, Rings: []ring.State{}}
	done := l.Do(func() {
		st.Self = memberState(l.members.Self())
		for _, m := range l.members.Others() {
			st.Members = append(st.Members, memberState(m))
		}
		st.Scheduler = l.sched.State(l.opts.Clock.Now())
		st.Admission = l.dispatcher.State()
		st.Waiting = len(l.decisions)
		st.Rings = append(st.Rings, l.inputs.State())
		for _, link := range l.links {
			st.Rings = append(st.Rings, link.State())
		}
	})
	if !done {
		return State{Members: []MemberState{}, Rings: []ring.State{}}
	}
	st.BusyMS = l.Busy().Milliseconds()
	st.Sent, st.Received = l.opts.Meter.Sent.Load(), l.opts.Meter.Received.Load()
	return st
}

func memberState(r member.Record) MemberState {
	return MemberState{r.ID, r.Incarnation, r.State.String(), r.Address, r.DataHall, r.Region}
}
