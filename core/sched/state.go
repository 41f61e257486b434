// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package sched

import "time"

// TargetState is an owned target in a state dump.
type TargetState struct {
	Name     string `json:"name"`
	Pool     string `json:"pool"`
	Limit    int    `json:"limit"`
	InFlight int    `json:"in_flight"`
	Free     int    `json:"free"`
	Down     bool   `json:"down"`
	Leaving  bool   `json:"leaving"`
}

// WaitingState is a waiting account in a state dump.
type WaitingState struct {
	Account string  `json:"account"`
	Virtual float64 `json:"virtual_service"`
	Count   int     `json:"count"`
}

// PoolState is a pool in a state dump.
type PoolState struct {
	Name    string         `json:"name"`
	Floor   float64        `json:"floor"`
	Peers   int            `json:"peers"`
	Waiting []WaitingState `json:"waiting"`
}

// State is a scheduler in a state dump.
type State struct {
	Targets []TargetState `json:"targets"`
	Pools   []PoolState   `json:"pools"`
	Grants  int           `json:"grants"`
	Granted uint64        `json:"granted_total"`
	Expired uint64        `json:"expired_total"`
}

// State returns the state of the scheduler for a dump.
func (s *Scheduler) State(now time.Time) State {
	st := State{Grants: len(s.grants), Granted: s.Granted, Expired: s.Expired, Targets: []TargetState{}, Pools: []PoolState{}}
	for _, t := range s.targets {
		st.Targets = append(st.Targets, TargetState{
			t.spec.Name, t.spec.Pool, t.limiter.Limit(), t.inFlight, t.free(now), t.down, t.leaving || t.spec.Leaving,
		})
	}
	for _, p := range s.pools {
		st.Pools = append(st.Pools, p.state())
	}
	return st
}

func (p *pool) state() PoolState {
	ps := PoolState{Name: p.spec.Name, Floor: p.ledger.Floor(), Peers: len(p.peers), Waiting: []WaitingState{}}
	p.queue.Ascend(func(account string, _ float64) bool {
		w := WaitingState{Account: account, Virtual: p.ledger.VirtualService(account)}
		for _, e := range p.demands[account].entries {
			w.Count += e.count
		}
		ps.Waiting = append(ps.Waiting, w)
		return true
	})
	return ps
}
