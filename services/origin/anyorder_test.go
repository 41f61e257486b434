// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	coreorigin "madderway/core/origin"
	"madderway/models/routing"
)

// Guards against a stream that continues at another version than its own in any order of releases,
// losses, cuts, freezes, standstills, outages and restores of the archive.
func TestStreamsKeepTheirVersionInAnyOrder(t *testing.T) {
	const seeds, steps = 200, 30
	resolved := 0
	for seed := range uint64(seeds) {
		p := newPlay(t, seed)
		for step := range steps {
			p.step()
			p.f.settle()
			resolved += p.check(fmt.Sprintf("seed %d, step %d", seed, step))
		}
	}
	if resolved < seeds {
		t.Errorf("got %d streams that continue, want some in each play", resolved)
	}
}

// play is a random sequence of events in a fleet.
type play struct {
	f       *fleet
	rng     *rand.Rand
	listed  []string // versions
	next    int      // number of the next version
	streams []begunStream
}

type begunStream struct {
	attempt, software string
	at                time.Time
}

func newPlay(t *testing.T, seed uint64) *play {
	return &play{f: newFleet(t, fleetSize, target("v0", "v0")), rng: rand.New(rand.NewPCG(seed, 3)), listed: []string{"v0"}, next: 1}
}

// step plays one event. New targets are not listed while the store is down.
func (p *play) step() {
	f := p.f
	ids := f.ids()
	id := ids[p.rng.IntN(len(ids))]
	switch p.rng.IntN(13) {
	case 0, 1:
		if !f.archive.down {
			p.list(append(p.listed, fmt.Sprint("v", p.next)))
			p.next++
		}
	case 2, 3:
		if len(p.listed) > 1 {
			i := p.rng.IntN(len(p.listed))
			p.list(append(append([]string{}, p.listed[:i]...), p.listed[i+1:]...))
		}
	case 4:
		f.loseAll()
	case 5:
		f.killAll()
		if !f.archive.down {
			p.list([]string{fmt.Sprint("v", p.next)})
			p.next++
		}
		f.startAll()
	case 6:
		f.frozen[id] = false
		f.launch(id, false)
	case 7:
		f.frozen[id] = false
		f.outOf[id] = !f.outOf[id]
		f.gateways[id].SetTargets(f.targets)
	case 8:
		f.gateways[id].NoteGap("standstill", 0)
	case 9:
		f.archive.down = !f.archive.down
		if f.archive.down {
			f.archive.save()
		}
	case 10:
		f.archive.restore()
		for _, g := range f.gateways {
			g.EraChanged()
		}
	case 11:
		if f.frozen[id] {
			f.wake(id)
		} else {
			f.freeze(id)
		}
	case 12:
		f.clock.Advance(time.Duration(p.rng.IntN(60)) * time.Second)
	}
	f.clock.Advance(loadTime)
}

func (p *play) list(versions []string) {
	p.listed = versions
	var targets []routing.Target
	for _, v := range versions {
		targets = append(targets, target(v, v))
	}
	p.f.list(targets...)
}

// check has callers come back to all gateways, begins a stream, and returns how many continue.
func (p *play) check(what string) (resolved int) {
	f := p.f
	now := f.clock.Now()
	for _, s := range p.streams {
		if now.Sub(s.at) >= maxLife {
			continue
		}
		for _, id := range f.ids() {
			if f.frozen[id] {
				continue
			}
			got, err := f.gateways[id].Resolve(f.t.Context(), coreorigin.KeyOf(account, s.attempt), service)
			switch {
			case err != nil:
			case got.Software != s.software:
				f.t.Fatalf("%s: %s continues a stream of %s at %s, found by %s", what, id, s.software, got.Software, got.Basis)
			default:
				resolved++
			}
		}
	}
	ids := f.ids()
	id, software := ids[p.rng.IntN(len(ids))], p.listed[p.rng.IntN(len(p.listed))]
	if !f.outOf[id] {
		s := begunStream{fmt.Sprint("attempt-", len(p.streams)), software, now}
		f.begin(id, s.attempt, software)
		p.streams = append(p.streams, s)
	}
	return resolved
}
