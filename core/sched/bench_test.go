// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package sched

import (
	"fmt"
	"testing"
	"time"

	"madderway/core/fair"
	"madderway/core/message"
)

func benchScheduler(b *testing.B, targets, backlogged, peers int) (*Scheduler, []message.GrantID) {
	b.Helper()
	sc := New(Options{Self: reporterOf(0, 1)})
	var specs []TargetSpec
	for i := range targets {
		specs = append(specs, TargetSpec{Name: fmt.Sprint("t", i), Pool: "chat", Slots: 8})
	}
	var others []fair.Reporter
	for i := range peers {
		others = append(others, reporterOf(i+1, 1))
	}
	sc.Step(epoch, Configured{Pools: []PoolSpec{{Name: "chat", Peers: others}}, Targets: specs})
	for i := range backlogged {
		sc.Step(epoch, DemandSeen{"entry", message.Demand{Account: fmt.Sprint("a", i), Pool: "chat", Count: 1 << 30, Cost: 100}})
	}
	var ids []message.GrantID
	for _, g := range grantsOf(sc.Step(epoch.Add(time.Second), Tick{})) {
		ids = append(ids, g.ID)
	}
	return sc, ids
}

// BenchmarkGrant ends one request and starts the next with a growing number of backlogged
// accounts.
func BenchmarkGrant(b *testing.B) {
	for _, backlogged := range []int{31, 310, 3100} {
		b.Run(fmt.Sprintf("backlogged=%d", backlogged), func(b *testing.B) {
			sc, ids := benchScheduler(b, 2, backlogged, 17)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				at := i % len(ids)
				got := grantsOf(sc.Step(epoch.Add(time.Second), ReportSeen{"entry", message.Report{Grant: ids[at], Kind: message.ReportDone, Cost: 90}}))
				ids[at] = got[0].ID
			}
		})
	}
}

// BenchmarkTally merges a tally of another scheduler into 310 backlogged accounts.
func BenchmarkTally(b *testing.B) {
	for _, rows := range []int{31, 310} {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) {
			sc, _ := benchScheduler(b, 2, 310, 17)
			b.ReportAllocs()
			for i := 1; b.Loop(); i++ {
				t := message.Tally{Pool: "chat", Seq: uint64(i), Waiting: true}
				for k := range rows {
					t.Rows = append(t.Rows, fair.Row{Account: fmt.Sprint("a", k), Service: float64(i)})
				}
				sc.Step(epoch.Add(time.Second), TallySeen{From: reporterOf(1, 1), Tally: t})
			}
		})
	}
}
