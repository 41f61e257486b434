// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"time"

	"madderway/core/cell"
	"madderway/services/follow"
)

// State is the loop's part of a state dump.
type State struct {
	Self       string            `json:"self"`
	Members    []MemberState     `json:"members"`
	Watches    bool              `json:"watches_store"`
	Versions   follow.Versions   `json:"versions"`
	Pending    int               `json:"pending"`
	Running    int               `json:"running"`
	Cells      []cell.State      `json:"cells_scheduled_here"`
	Schedulers map[string]string `json:"schedulers_in_use"`
	Busy       time.Duration     `json:"busy_ns"`
}

// MemberState is another gateway in a state dump.
type MemberState struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	DataHall string `json:"data_hall"`
}

// State returns the current state.
func (l *Loop) State() State {
	summary := State{Self: l.opts.Self.ID, Watches: l.Watches(), Versions: l.opts.Follow.Versions(), Busy: l.Busy()}
	st := summary
	done := l.Do(func() {
		now := l.opts.Clock.Now()
		for _, m := range l.members.Others() {
			st.Members = append(st.Members, MemberState{ID: m.ID, State: m.State.String(), DataHall: m.DataHall})
		}
		st.Pending, st.Running = l.entry.Pending(), l.entry.Running()
		st.Schedulers = l.entry.Schedulers()
		for key, s := range l.cells {
			state := s.cell.State(now)
			state.Key = key
			st.Cells = append(st.Cells, state)
		}
	})
	if !done {
		return summary
	}
	return st
}
