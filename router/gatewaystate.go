// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"madderway/core/cell"
	"madderway/core/quarantine"
	"madderway/modules/clock"
	"madderway/services/mesh"
)

// GatewayDump is the state of a gateway process, as operators see it.
type GatewayDump struct {
	ID                string     `json:"id"`
	Incarnation       uint64     `json:"incarnation"`
	DataHall          string     `json:"data_hall"`
	Ready             bool       `json:"ready"`
	Draining          bool       `json:"draining"`
	InFlight          int        `json:"open_requests"`
	HandedOver        int        `json:"handed_over_requests"`
	CallerConnections int        `json:"caller_connections"`
	TurnedAway        uint64     `json:"caller_connections_turned_away_total"`
	Targets           int        `json:"targets"`
	Leaving           []string   `json:"leaving_targets,omitempty"` // IDs
	Evacuated         []string   `json:"evacuated_data_halls,omitempty"`
	StoreCalls        uint64     `json:"store_calls_total"`
	PeerFetches       uint64     `json:"peer_fetches_total"`
	TargetConnections uint64     `json:"target_connections_total"`
	Mesh              mesh.State `json:"mesh"`
	// Requests that are refused because targets died while running them.
	Quarantined int `json:"quarantined_requests"`
	// Parts of prompts that are refused because targets died under requests with them.
	RefusedParts int    `json:"refused_prompt_parts"`
	Goroutines   int    `json:"goroutines"`
	HeapBytes    uint64 `json:"heap_bytes"`
}

// Dump returns the state of the process.
func (g *Gateway) Dump() GatewayDump {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	calls, fetches := g.follow.CallCounts()
	return GatewayDump{
		ID: g.self.ID, Incarnation: g.self.Incarnation, DataHall: g.self.DataHall, Ready: g.Ready(), Draining: g.isDraining(),
		InFlight: g.inFlight(), HandedOver: g.callers.HandedOver(), CallerConnections: g.callers.Open(), TurnedAway: g.callers.TurnedAway(), Targets: g.follow.Targets().Len(), Leaving: g.follow.Targets().LeavingIDs(), Evacuated: g.follow.Evacuated(), StoreCalls: calls, PeerFetches: fetches, TargetConnections: g.pool.Dials(),
		Mesh: g.loop.State(), Quarantined: g.quarantine.Standings()[quarantine.Quarantined], RefusedParts: g.quarantine.Parts().RefusedCount(), Goroutines: runtime.NumGoroutine(), HeapBytes: mem.HeapAlloc,
	}
}

// configurationVersion returns the version of the configuration in force, 0 if there is none.
func (g *Gateway) configurationVersion() uint64 {
	index := g.follow.Index()
	if index == nil {
		return 0
	}
	return index.Configuration.Version
}

// StalledSeconds returns the number of seconds in which a scheduler of this gateway placed nothing
// beside idle targets.
func (g *Gateway) StalledSeconds() int { return g.loop.StalledSeconds() }

// operatorHandler serves metrics and dumps.
func (g *Gateway) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { g.WriteMetrics(w) })
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.Dump())
	})
	return mux
}

// WriteMetrics writes the gateway's metrics in the text format.
func (g *Gateway) WriteMetrics(w io.Writer) {
	g.forward.WriteMetrics(w)
	g.follow.WriteMetrics(w)
	g.loop.WriteMetrics(w)
	g.quarantine.WriteMetrics(w)
	g.notices.WriteMetrics(w)
	g.origins.WriteMetrics(w)
	g.pool.WriteMetrics(w)
	g.callers.WriteMetrics(w)
	d := g.Dump()
	gauge := func(name string, v any) { fmt.Fprintf(w, "madderway_gateway_%s %v\n", name, v) }
	gauge("ready", boolToInt(d.Ready))
	gauge("draining", boolToInt(d.Draining))
	gauge("open_requests", d.InFlight)
	gauge("handed_over_requests", d.HandedOver)
	gauge("carried_bytes_total", g.relayMeter.Sent.Load()+g.relayMeter.Received.Load())
	gauge("caller_connections", d.CallerConnections)
	gauge("caller_connections_turned_away_total", d.TurnedAway)
	gauge("targets", d.Targets)
	gauge("leaving_targets", len(d.Leaving))
	gauge("evacuated_data_halls", len(d.Evacuated))
	gauge("evacuations_revision", d.Mesh.Versions.Evacuations)
	gauge("members", len(d.Mesh.Members)+1)
	gauge("configuration_version", d.Mesh.Versions.Configuration)
	gauge("configuration_age_seconds", d.Mesh.Versions.ConfigurationAge.Seconds())
	gauge("targets_revision", d.Mesh.Versions.Targets)
	gauge("targets_age_seconds", d.Mesh.Versions.TargetsAge.Seconds())
	gauge("watches_store", boolToInt(d.Mesh.Watches))
	gauge("store_calls_total", d.StoreCalls)
	gauge("standstills_total", g.standstill.count.Load())
	gauge("suspended_seconds_total", clock.Suspended().Seconds())
	gauge("peer_fetches_total", d.PeerFetches)
	gauge("target_connections_total", d.TargetConnections)
	gauge("placements_pending", d.Mesh.Pending)
	gauge("requests_at_engines", d.Mesh.Running)
	gauge("control_seconds_total", d.Mesh.Busy.Seconds())
	gauge("peer_bytes_sent_total", g.meter.Sent.Load())
	gauge("peer_connections_turned_away_total", g.peers.TurnedAway())
	gauge("peer_bytes_received_total", g.meter.Received.Load())
	for _, c := range d.Mesh.Cells {
		for name, n := range map[string]uint64{"asked": c.Counts.Asked, "placed": c.Counts.Placed, "refused": c.Counts.Refused} {
			fmt.Fprintf(w, "madderway_gateway_cell_decisions_total{cell=%q,decision=%q} %d\n", c.Key, name, n)
		}
		for reason, tokens := range c.Counts.Anew {
			fmt.Fprintf(w, "madderway_gateway_cell_shared_tokens_anew_total{cell=%q,reason=%q} %d\n", c.Key, cell.Reason(reason), tokens)
		}
		fmt.Fprintf(w, "madderway_gateway_cell_waiting{cell=%q} %d\n", c.Key, c.Waiting)
	}
	metrics.WriteProcessMetrics(w)
}

// Traffic returns the bytes sent to peers, including packet headers, and the time spent on
// control.
func (g *Gateway) Traffic() (bytes uint64, busy time.Duration) { return g.meter.Bytes(), g.loop.Busy() }
