// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"fmt"
	"testing"
	"time"

	"madderway/models/routing"
)

// A large fleet of engines: as many, as fast and with as much memory as those of the
// largest deployment known, and the work that is asked of them, in requests a second.
const (
	largeEngines = 320
	largeSpeed   = 51_100 // tokens a second
	largeMemory  = 472_528
)

// largeKind is a kind of requests: all tokens of one subject are shared.
type largeKind struct {
	name      string
	perSecond float64
	subjects  int
	shared    int
	own       int
}

var largeKinds = []largeKind{
	{"long", 1090, 1714, 13_300, 3720},
	{"draft", 473, 1675, 6300, 2890},
	{"tag", 703, 1107, 350, 1110},
}

// largeAccounts is how many accounts share each kind evenly.
const largeAccounts = 8

// playLarge plays some of the fleet's engines with their part of the subjects and
// returns what became of the requests.
func playLarge(engines int, subjects map[string][]uint64, load float64, length time.Duration) simResult {
	s := newSim(engines, largeSpeed, largeMemory)
	s.links = &routing.Transfer{TokenBytes: 163_840, BytesPerSecond: 550e9 / 8}
	s.objective, s.slots, s.stream = time.Second, 12, 700*time.Millisecond
	s.layout()
	var accounts []*simAccount
	for _, k := range largeKinds {
		of := subjects[k.name]
		if len(of) == 0 {
			continue
		}
		for i := range largeAccounts {
			accounts = append(accounts, &simAccount{
				name: fmt.Sprintf("%s-%d", k.name, i), perSecond: load * k.perSecond * float64(len(of)) / float64(k.subjects) / largeAccounts,
				subjects: len(of), shared: k.shared, own: k.own, base: of[0],
			})
		}
	}
	s.run(length, accounts)
	return s.total()
}

// largeCells divides engines and subjects as the layout does. A cell's subjects are
// numbered on from its first one, so that they can be drawn evenly.
func largeCells(most int) []largeCell {
	x, set := world(largeEngines)
	l := newLayout(x, set, nodes(20), most)
	byKey, cells := map[Key]int{}, []largeCell{}
	for key, g := range l.Groups() {
		byKey[key] = len(cells)
		cells = append(cells, largeCell{engines: len(g.Targets), subjects: map[string][]uint64{}})
	}
	number := uint64(0)
	for _, k := range largeKinds {
		for range k.subjects {
			number++
			p := routing.Prompt{Parts: []routing.PromptPart{{ID: number * 0x9E3779B97F4A7C15, Tokens: k.shared}, {ID: 1, Tokens: 1}}}
			c := &cells[byKey[l.GroupFor("s", p.Affinity()).Key]]
			c.subjects[k.name] = append(c.subjects[k.name], number<<20)
		}
	}
	return cells
}

type largeCell struct {
	engines  int
	subjects map[string][]uint64
}

// BenchmarkCells plays the large fleet divided into cells of at most so many engines on
// average, and as one cell that sees all: the difference is what cells cost. Cells do
// not help each other here, as gateways let starved accounts do.
func BenchmarkCells(b *testing.B) {
	for _, load := range []float64{1} {
		for _, most := range []int{12, 24, 48, largeEngines} {
			b.Run(fmt.Sprintf("load=%v/engines=%d", load, most), func(b *testing.B) {
				var t simResult
				for range b.N {
					t = simResult{}
					for _, c := range largeCells(most) {
						r := playLarge(c.engines, c.subjects, load, 8*time.Second)
						t.asked += r.asked
						t.placed += r.placed
						t.late += r.late
						t.read += r.read
						t.sharedRead += r.sharedRead
					}
				}
				b.ReportMetric(float64(t.placed-t.late)/float64(t.asked), "in_time")
				b.ReportMetric(float64(t.read)/(8*largeEngines*largeSpeed), "reading")
				b.ReportMetric(float64(t.sharedRead)/float64(t.read), "anew")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
