// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router

import (
	"fmt"
	"io"
	"runtime"

	"github.com/VictoriaMetrics/metrics"

	"madderway/core/member"
	"madderway/handlers/operator"
	"madderway/models/result"
	"madderway/modules/ring"
	"madderway/services/claim"
	"madderway/services/control"
)

// Dump is the state of a router process, as operators see it.
type Dump struct {
	Router        string        `json:"router"`
	Incarnation   uint64        `json:"incarnation"`
	DataHall      string        `json:"data_hall"`
	Region        string        `json:"region"`
	ConfigVersion uint64        `json:"config_version"`
	ConfigHash    string        `json:"config_hash"`
	Admits        bool          `json:"admits"`
	Draining      bool          `json:"draining"`
	Duties        []string      `json:"duties"`
	Control       control.State `json:"control"`
	Claims        claim.State   `json:"claims"`
	Rings         []ring.State  `json:"rings"`
	Traces        int           `json:"traces"`
	PeersRefused  uint64        `json:"peers_refused_total"`
	Goroutines    int           `json:"goroutines"`
	HeapBytes     uint64        `json:"heap_bytes"`
}

// duties lists the goroutines that run as long as the router, for the dump. Requests, claims and
// connections have their own.
var duties = []string{
	"control: steps membership, queues and scheduler",
	"config: reads the head row",
	"config: follows versions",
	"claims: commit groups to the table",
	"claims: sweep expired rows",
	"answers: keep answers in the object store",
	"member: polls the VM list",
	"member: polls the load of targets",
	"peer: accepts connections",
	"peer: one sender for each peer",
	"http: callers",
	"http: operators",
}

// Dump returns the state of the process.
func (r *Router) Dump() Dump {
	v := r.config.InForce()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return Dump{
		Router: r.self.ID, Incarnation: r.self.Incarnation, DataHall: r.self.DataHall, Region: r.self.Region,
		ConfigVersion: v.Number, ConfigHash: v.Hash, Admits: r.config.Admits(), Draining: r.isDraining(), Duties: duties,
		Control: r.loop.State(), Claims: r.claims.State(), Rings: []ring.State{r.config.Ring(), r.answers.Ring()},
		Traces: r.traces.Len(), PeersRefused: r.server.RefusedCount(), Goroutines: runtime.NumGoroutine(), HeapBytes: mem.HeapAlloc,
	}
}

func (r *Router) isDraining() bool {
	select {
	case <-r.draining:
		return true
	default:
		return false
	}
}

func errDraining(id string) error { return result.New(result.Draining, "router %s is stopping", id) }

func (r *Router) fillStatus(s *operator.StatusReply) {
	st := r.loop.State()
	s.Members = append(s.Members, operator.MemberStatus{ID: r.self.ID, State: st.Self.State, DataHall: r.self.DataHall})
	for _, m := range st.Members {
		s.Members = append(s.Members, operator.MemberStatus{ID: m.ID, State: m.State, DataHall: m.DataHall})
	}
	for _, q := range st.Admission.Queues {
		s.Queued += q.Length
	}
	s.Running, s.Targets, s.Draining = st.Admission.Running, len(st.Scheduler.Targets), r.isDraining()
}

func (r *Router) writeMetrics(w io.Writer) {
	r.dispatch.WriteMetrics(w)
	r.quarantine.WriteMetrics(w)
	r.notices.WriteMetrics(w)
	st := r.loop.State()
	queued := 0
	for _, q := range st.Admission.Queues {
		queued += q.Length
	}
	gauge := func(name string, v any) { fmt.Fprintf(w, "%s %v\n", name, v) }
	gauge("madderway_config_version", r.config.InForce().Number)
	gauge("madderway_admits", boolToInt(r.config.Admits()))
	gauge("madderway_draining", boolToInt(r.isDraining()))
	gauge("madderway_queued", queued)
	gauge("madderway_running", st.Admission.Running)
	gauge("madderway_targets_scheduled", len(st.Scheduler.Targets))
	gauge("madderway_grants_total", st.Scheduler.Granted)
	gauge("madderway_grants_expired_total", st.Scheduler.Expired)
	gauge("madderway_grants_unused_total", st.Admission.Unused)
	gauge("madderway_peer_bytes_sent_total", r.meter.Sent.Load())
	gauge("madderway_peer_bytes_received_total", r.meter.Received.Load())
	gauge("madderway_peer_writes_total", r.meter.Writes.Load())
	gauge("madderway_peers_refused_total", r.server.RefusedCount())
	gauge("madderway_control_seconds_total", r.loop.Busy().Seconds())
	gauge("madderway_claims_open", r.claims.State().Open)
	gauge("madderway_claim_rows_total", r.claims.State().Committed)
	gauge("madderway_claim_transactions_total", r.claims.State().Batches)
	for _, state := range []member.State{member.StateAlive, member.StateSuspect, member.StateLeaving, member.StateDead} {
		n := 0
		for _, m := range st.Members {
			if m.State == state.String() {
				n++
			}
		}
		fmt.Fprintf(w, "madderway_members{state=%q} %d\n", state.String(), n)
	}
	metrics.WriteProcessMetrics(w)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Block cuts this router off from a peer in both directions, or ends that. Tests use it to
// partition the fleet.
func (r *Router) Block(peer string, blocked bool) {
	r.loop.Block(peer, blocked)
	r.server.Block(peer, blocked)
}

// ID returns the router's ID.
func (r *Router) ID() string { return r.self.ID }

// Traffic returns the bytes sent to peers, including packet headers, and the time spent on
// control.
func (r *Router) Traffic() (bytes uint64, busyNanos int64) {
	return r.meter.Bytes(), int64(r.loop.Busy())
}
