// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package measure

import (
	"fmt"
	"io"
	"sort"

	"madderway/lab/load"
	"madderway/models/result"
)

// Result holds the measurements of a run.
type Result struct {
	Scenario                string                      `json:"scenario"`
	Dispatch                string                      `json:"dispatch"`
	Seed                    int64                       `json:"seed"`
	Seconds                 float64                     `json:"seconds"`
	Routers                 int                         `json:"routers"`
	Targets                 int                         `json:"targets"`
	CounterAgeSeconds       float64                     `json:"counter_age_seconds"`
	FairnessGap             float64                     `json:"fairness_gap"`
	FairnessGapPair         [2]string                   `json:"fairness_gap_pair"`
	FairnessGapAt           float64                     `json:"fairness_gap_at_seconds"`
	FairnessBound           float64                     `json:"fairness_bound"`
	Utilisation             float64                     `json:"utilisation"`
	ControlBytesPerRouter   float64                     `json:"control_bytes_per_router_second"`
	ControlCPUFraction      float64                     `json:"control_cpu_fraction"`
	WaitMS                  map[string]load.Percentiles `json:"wait_ms"`
	OverheadMS              load.Percentiles            `json:"overhead_ms"`
	Duplicates              int                         `json:"duplicates"`
	Lost                    int                         `json:"lost"`
	NotRunButRan            int                         `json:"not_run_but_ran"`
	Incomplete              int                         `json:"incomplete"`
	Resumed                 int                         `json:"resumed"`
	Restarted               int                         `json:"restarted"`
	Requests                int                         `json:"requests"`
	RequestsPerRouterSecond float64                     `json:"requests_per_router_second"`
	TokensPerRouterSecond   float64                     `json:"tokens_per_router_second"`
	OverLimit               int                         `json:"most_requests_over_a_target_limit"`
	Refused                 map[string]int              `json:"refused"`
	UnusedGrants            uint64                      `json:"unused_grants"`
	ExpiredGrants           uint64                      `json:"expired_grants"`
	OthersWaitBeforeFlood   *load.Percentiles           `json:"others_wait_ms_before_flood,omitempty"`
	OthersWaitDuringFlood   *load.Percentiles           `json:"others_wait_ms_during_flood,omitempty"`
	Accounts                []AccountResult             `json:"accounts"`
	Events                  []string                    `json:"events"`
}

// AccountResult holds the measurements of one account.
type AccountResult struct {
	Account  string           `json:"account"`
	Requests int              `json:"requests"`
	Done     int              `json:"done"`
	Refused  int              `json:"refused"`
	Service  float64          `json:"service"`
	WaitMS   load.Percentiles `json:"wait_ms"`
}

// Violations lists the violated guarantees, such as duplicate runs or lost requests.
func (r *Result) Violations() []string {
	var violations []string
	add := func(n int, what string) {
		if n > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", n, what))
		}
	}
	add(r.Duplicates, "calls that must not be repeated ran more than once")
	add(r.Lost, "requests got neither an answer nor an error response")
	add(r.NotRunButRan, "requests were refused as not run but ran")
	add(r.Incomplete, "answers were not complete or not the caller's own")
	if r.Dispatch == "fleet" && r.FairnessGap > r.FairnessBound {
		violations = append(violations, fmt.Sprintf("the fairness gap of %.0f is over the bound of %.0f", r.FairnessGap, r.FairnessBound))
	}
	return violations
}

// Text writes the result as a human-readable report.
func (r *Result) Text(w io.Writer) {
	fmt.Fprintf(w, "\n%-12s %9s %7s %8s %10s %12s %12s\n", "account", "requests", "done", "refused", "service", "wait p50 ms", "wait p99 ms")
	for _, a := range r.Accounts {
		fmt.Fprintf(w, "%-12s %9d %7d %8d %10.0f %12.1f %12.1f\n", a.Account, a.Requests, a.Done, a.Refused, a.Service, a.WaitMS.P50, a.WaitMS.P99)
	}
	fmt.Fprintf(w, "\nscenario %s, dispatch %s, seed %d: %d routers, %d targets, %d requests in %.0f s\n",
		r.Scenario, r.Dispatch, r.Seed, r.Routers, r.Targets, r.Requests, r.Seconds)
	fmt.Fprintf(w, "fairness gap        %.0f units between %s and %s (bound %.0f)\n", r.FairnessGap, r.FairnessGapPair[0], r.FairnessGapPair[1], r.FairnessBound)
	fmt.Fprintf(w, "utilisation         %.4f of slot time while work waited\n", r.Utilisation)
	fmt.Fprintf(w, "control             %.0f bytes/s and %.4f of a core for each router\n", r.ControlBytesPerRouter, r.ControlCPUFraction)
	fmt.Fprintf(w, "overhead            p50 %.3f ms, p99 %.3f ms over a direct call\n", r.OverheadMS.P50, r.OverheadMS.P99)
	for _, class := range sortedKeys(r.WaitMS) {
		p := r.WaitMS[class]
		fmt.Fprintf(w, "wait %-14s p50 %.1f ms, p99 %.1f ms of %d\n", class, p.P50, p.P99, p.Count)
	}
	if r.OthersWaitBeforeFlood != nil && r.OthersWaitDuringFlood != nil {
		fmt.Fprintf(w, "short work of others p99 %.1f ms before the flood, %.1f ms during it\n", r.OthersWaitBeforeFlood.P99, r.OthersWaitDuringFlood.P99)
	}
	fmt.Fprintf(w, "over a target limit %d requests at most\n", r.OverLimit)
	fmt.Fprintf(w, "resumed %d, restarted %d, refused %v\n", r.Resumed, r.Restarted, r.Refused)
	fmt.Fprintf(w, "duplicate runs %d, lost %d, not run but ran %d, incomplete %d\n", r.Duplicates, r.Lost, r.NotRunButRan, r.Incomplete)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func codeName(c result.Code) string { return fmt.Sprintf("%d %s", c, c) }
