// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"fmt"
	"testing"
	"time"

	"madderway/models/routing"
)

// A large fleet and its load in requests per second.
const (
	largeEngines         = 320
	largeTokensPerSecond = 51_100
	largeCacheTokens     = 472_528
)

// largeKind is a kind of requests with its own shared parts.
type largeKind struct {
	name      string
	perSecond float64
	prefixes  int
	shared    int
	own       int
}

var largeKinds = []largeKind{
	{"long", 1090, 1714, 13_300, 3720},
	{"draft", 473, 1675, 6300, 2890},
	{"tag", 703, 1107, 350, 1110},
}

// Number of accounts that share the load of a kind evenly.
const largeAccounts = 8

// simulateFleet runs a cell of the fleet with its subset of the shared parts.
func simulateFleet(engines int, prefixes map[string][]uint64, load float64, length time.Duration) simResult {
	s := newSim(engines, largeTokensPerSecond, largeCacheTokens)
	s.links = &routing.Transfer{TokenBytes: 163_840, BytesPerSecond: 550e9 / 8}
	s.objective, s.slots, s.stream = time.Second, 12, 700*time.Millisecond
	s.sendTargets()
	var accounts []*simAccount
	for _, k := range largeKinds {
		ids := prefixes[k.name]
		if len(ids) == 0 {
			continue
		}
		for i := range largeAccounts {
			accounts = append(accounts, &simAccount{
				name: fmt.Sprintf("%s-%d", k.name, i), perSecond: load * k.perSecond * float64(len(ids)) / float64(k.prefixes) / largeAccounts,
				prefixes: len(ids), shared: k.shared, own: k.own, base: ids[0],
			})
		}
	}
	s.run(length, accounts)
	return s.total()
}

// divideFleet assigns targets and shared parts to cells as the layout does. The shared
// parts of a cell get consecutive numbers, so that they can be drawn evenly.
func divideFleet(maxPerCell int) []largeCell {
	x, set := testService(largeEngines)
	l := newLayout(x, set, testNodes(20), maxPerCell)
	byKey, cells := map[Key]int{}, []largeCell{}
	for key, g := range l.Groups() {
		byKey[key] = len(cells)
		cells = append(cells, largeCell{engines: len(g.Targets), prefixes: map[string][]uint64{}})
	}
	number := uint64(0)
	for _, k := range largeKinds {
		for range k.prefixes {
			number++
			p := routing.Prompt{Parts: []routing.PromptPart{{ID: number * 0x9E3779B97F4A7C15, Tokens: k.shared}, {ID: 1, Tokens: 1}}}
			c := &cells[byKey[l.GroupFor("s", p.AffinityKey()).Key]]
			c.prefixes[k.name] = append(c.prefixes[k.name], number<<20)
		}
	}
	return cells
}

type largeCell struct {
	engines  int
	prefixes map[string][]uint64
}

// BenchmarkCells compares the fleet divided into cells of several sizes with one large
// cell. Requests are not moved between cells here.
func BenchmarkCells(b *testing.B) {
	for _, load := range []float64{1} {
		for _, maxPerCell := range []int{12, 24, 48, largeEngines} {
			b.Run(fmt.Sprintf("load=%v/engines=%d", load, maxPerCell), func(b *testing.B) {
				var t simResult
				for range b.N {
					t = simResult{}
					for _, c := range divideFleet(maxPerCell) {
						r := simulateFleet(c.engines, c.prefixes, load, 8*time.Second)
						t.asked += r.asked
						t.placed += r.placed
						t.late += r.late
						t.prefilled += r.prefilled
						t.sharedPrefilled += r.sharedPrefilled
					}
				}
				b.ReportMetric(float64(t.placed-t.late)/float64(t.asked), "in_time")
				b.ReportMetric(float64(t.prefilled)/(8*largeEngines*largeTokensPerSecond), "reading")
				b.ReportMetric(float64(t.sharedPrefilled)/float64(t.prefilled), "anew")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
