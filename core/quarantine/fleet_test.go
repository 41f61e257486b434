// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"madderway/core/place"
	"madderway/core/quarantine"
)

// strategy is a way in which gateways share deaths.
type strategy int

const (
	noMemory   strategy = iota // nothing is remembered
	localOnly                  // each gateway remembers its own deaths
	flooding                   // each death is sent to all
	production                 // the first death is sent to a few, the second to all
)

// model simulates a fleet on a fake clock. Callers send a poison request, which kills every
// target that runs it, to all gateways again and again.
type model struct {
	rng            *rand.Rand
	strategy       strategy
	now            time.Time
	events         events
	nodes          []place.Node
	neighbors      map[string][]string
	tables         []*quarantine.Table
	partitioned    map[int]bool // gateways cut off from all others
	connectedSince []time.Time  // start or end of the last partition, by gateway
	availableAt    []time.Time  // end of the last restart, by target
	incarnations   []int
	deaths         []time.Time // of targets under the request
	sent           []time.Time // sends by gateways connected for convergenceTime
	messages       int         // records sent between gateways
}

const (
	timeToDeath     = 150 * time.Millisecond // from the send to the death of the target
	restartTime     = 3 * time.Second
	hopDelay        = 20 * time.Millisecond // of a message, including batching
	syncInterval    = time.Second           // between gateways whose digests differ
	degree          = 8                     // neighbors of a gateway
	resendInterval  = 500 * time.Millisecond
	convergenceTime = 3 * time.Second
)

type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newModel(s strategy, gateways, targets int, seed uint64) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, 9)), strategy: s, now: start, neighbors: map[string][]string{}, partitioned: map[int]bool{},
		availableAt: make([]time.Time, targets), incarnations: make([]int, targets),
	}
	for i := range gateways {
		m.nodes = append(m.nodes, place.Node{ID: fmt.Sprint("g", i)})
		m.tables = append(m.tables, quarantine.New())
		m.connectedSince = append(m.connectedSince, start.Add(-convergenceTime))
	}
	for i := range gateways {
		for _, j := range m.rng.Perm(gateways)[:min(degree/2, gateways)] {
			if i != j {
				a, b := m.nodes[i].ID, m.nodes[j].ID
				m.neighbors[a] = append(m.neighbors[a], b)
				m.neighbors[b] = append(m.neighbors[b], a)
			}
		}
	}
	return m
}

func (m *model) after(d time.Duration, run func()) {
	heap.Push(&m.events, event{m.now.Add(d), run})
}

func (m *model) run(until time.Duration) {
	end := start.Add(until)
	for len(m.events) > 0 && m.events[0].at.Before(end) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
}

// sendRepeatedly makes callers send the request to a gateway until the end.
func (m *model) sendRepeatedly(gateway int, id quarantine.Identity) {
	m.after(time.Duration(m.rng.Float64()*float64(2*resendInterval)), func() {
		m.send(gateway, id)
		m.sendRepeatedly(gateway, id)
	})
}

func (m *model) send(gateway int, id quarantine.Identity) {
	table, f := m.tables[gateway], id.Fingerprint()
	standing, _ := table.Standing(m.now, f)
	onTrial := standing == quarantine.OnTrial
	if m.strategy != noMemory && (standing == quarantine.Quarantined || onTrial && !table.StartTrial(f)) {
		return
	}
	target := m.rng.IntN(len(m.availableAt))
	if m.now.Before(m.availableAt[target]) {
		table.EndTrial(f)
		return
	}
	if !m.partitioned[gateway] && m.now.Sub(m.connectedSince[gateway]) >= convergenceTime {
		m.sent = append(m.sent, m.now)
	}
	sent, incarnation := m.now, m.incarnations[target]
	m.after(time.Duration((0.5+m.rng.Float64())*float64(timeToDeath)), func() {
		if m.tables[gateway] != table {
			return // the gateway has restarted
		}
		table.EndTrial(f)
		if m.incarnations[target] == incarnation {
			m.incarnations[target]++
			m.availableAt[target] = m.now.Add(restartTime)
			m.deaths = append(m.deaths, m.now)
		}
		r, counted := table.TargetDied(m.now, id, fmt.Sprintf("t%d@%d", target, incarnation), sent)
		if counted {
			m.share(gateway, r, -1)
		}
	})
}

func (m *model) share(from int, r quarantine.Record, except int) {
	var to []string
	switch self := m.nodes[from].ID; m.strategy {
	case noMemory, localOnly:
		return
	case flooding:
		to = m.neighbors[self]
	case production:
		to = quarantine.Recipients(r, m.nodes, m.neighbors[self])
	}
	for _, id := range to {
		j := slices.IndexFunc(m.nodes, func(n place.Node) bool { return n.ID == id })
		if j == from || j == except || m.partitioned[from] || m.partitioned[j] {
			continue
		}
		m.messages++
		m.after(hopDelay, func() { m.receive(from, j, r) })
	}
}

func (m *model) receive(from, to int, r quarantine.Record) {
	merged, updated := m.tables[to].Merge(m.now, r)
	if updated && (merged.IsShared() || m.strategy == flooding) {
		m.share(to, merged, from)
	}
}

// syncTables makes neighbors exchange their records while their digests differ.
func (m *model) syncTables() {
	m.after(syncInterval, func() {
		for i, a := range m.tables {
			for _, id := range m.neighbors[m.nodes[i].ID] {
				j := slices.IndexFunc(m.nodes, func(n place.Node) bool { return n.ID == id })
				if m.partitioned[i] || m.partitioned[j] || a.Digest() == m.tables[j].Digest() {
					continue
				}
				for _, r := range a.Shared(m.now) {
					m.messages++
					m.after(hopDelay, func() { m.receive(i, j, r) })
				}
			}
		}
		m.syncTables()
	})
}

// restart gives a gateway an empty table; the next gateway then sends it the shared records.
func (m *model) restart(g int) {
	m.tables[g], m.connectedSince[g] = quarantine.New(), m.now
	j := (g + 1) % len(m.tables)
	if m.partitioned[g] || m.partitioned[j] {
		return
	}
	for _, r := range m.tables[j].Shared(m.now) {
		m.after(2*hopDelay, func() { m.receive(j, g, r) })
	}
}

// lateSends returns the number of sends by connected gateways more than convergenceTime after
// the death that reached the threshold.
func (m *model) lateSends() int {
	if len(m.deaths) < quarantine.QuarantineThreshold {
		return 0
	}
	n := 0
	for _, at := range m.sent {
		if at.After(m.deaths[quarantine.QuarantineThreshold-1].Add(convergenceTime)) {
			n++
		}
	}
	return n
}

func runFleet(s strategy, gateways int, inject func(m *model)) *model {
	m := newModel(s, gateways, max(9, 2*gateways), uint64(gateways))
	id := request(1)
	for g := range gateways {
		m.sendRepeatedly(g, id)
	}
	if s == production {
		m.syncTables()
	}
	if inject != nil {
		inject(m)
	}
	m.run(time.Minute)
	return m
}

// Guards against a poison request that reaches targets more than convergenceTime after its
// third death. The other strategies run for comparison.
func TestFleetStopsSending(t *testing.T) {
	for _, gateways := range []int{9, 64, 300} {
		for _, s := range []strategy{noMemory, localOnly, flooding, production} {
			if s <= localOnly && gateways > 9 {
				continue // thousands of deaths
			}
			m := runFleet(s, gateways, nil)
			t.Logf("%d gateways, strategy %d: %d targets died, %d late sends by connected gateways, %d records sent", gateways, s, len(m.deaths), m.lateSends(), m.messages)
			if s == production && m.lateSends() > 0 {
				t.Errorf("%d sends later than %v after the third death", m.lateSends(), convergenceTime)
			}
		}
	}
}

// Guards against the same failure during partitions and restarts of gateways.
func TestFleetStopsSendingUnderPartitionsAndRestarts(t *testing.T) {
	const gateways = 9
	cut := func(m *model, g int, at, length time.Duration) {
		m.after(at, func() { m.partitioned[g] = true })
		m.after(at+length, func() { m.partitioned[g], m.connectedSince[g] = false, m.now })
	}
	restart := func(m *model, g int, at time.Duration) {
		m.after(at, func() { m.restart(g) })
	}
	for name, inject := range map[string]func(m *model){
		"partition from the start": func(m *model) { cut(m, 3, 0, 10*time.Second) },
		"repeated partitions":      func(m *model) { cut(m, 3, time.Second, 4*time.Second); cut(m, 3, 10*time.Second, 4*time.Second) },
		"half is partitioned": func(m *model) {
			cut(m, 0, 0, 8*time.Second)
			cut(m, 1, 0, 8*time.Second)
			cut(m, 2, 0, 8*time.Second)
			cut(m, 4, 0, 8*time.Second)
		},
		"rolling restart":            func(m *model) { restartAll(m, restart) },
		"restart during a partition": func(m *model) { cut(m, 5, 2*time.Second, 6*time.Second); restart(m, 5, 4*time.Second) },
		"restart every second": func(m *model) {
			for s := range 50 {
				restart(m, s%gateways, time.Duration(s)*time.Second)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := runFleet(production, gateways, inject)
			t.Logf("%d targets died, %d late sends", len(m.deaths), m.lateSends())
			if m.lateSends() > 3 {
				t.Errorf("%d sends later than %v after the third death", m.lateSends(), convergenceTime)
			}
		})
	}
}

func restartAll(m *model, restart func(m *model, g int, at time.Duration)) {
	for g := range m.tables {
		restart(m, g, time.Duration(5+2*g)*time.Second)
	}
}
