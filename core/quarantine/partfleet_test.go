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

// partFleet simulates gateways whose callers send prompts with shared parts to targets that run many
// at once, on a fake clock. A target dies when it begins to answer a prompt with a bad part; it takes
// along all that it runs.
type partFleet struct {
	rng       *rand.Rand
	now       time.Time
	events    events
	nodes     []place.Node
	index     map[string]int // of a gateway in nodes
	neighbors map[string][]string
	tables    []*quarantine.PartTable
	cut       map[int]bool // gateways cut off from all others
	inTouch   []time.Time  // start or end of the last cut or restart, by gateway
	targets   []*partTarget

	fleetPartLoad
	deaths       map[quarantine.Part][]time.Time
	late         map[quarantine.Part]int // sends by gateways in touch, later than convergenceTime after the fifth death
	sound        int
	soundRefused int
	refusedAt    []time.Time // of sound prompts
	told         int         // records sent between gateways
}

// fleetPartLoad is what callers send.
type fleetPartLoad struct {
	soundRate float64 // prompts a second
	badRate   float64 // for each bad part
	bad       []quarantine.Part
	badFirst  bool // the bad part is the first one
	crashRate float64
}

type partTarget struct {
	availableAt time.Time
	incarnation int
	runs        map[*partRun]bool
}

// partRun is a prompt at a target.
type partRun struct {
	gateway int
	table   *quarantine.PartTable // of the gateway at the time of sending
	prompt  []quarantine.Part
	sent    time.Time
	began   bool
}

const (
	soundGroups     = 60 // parts that some prompts have; the last ones are rare
	promptDuration  = time.Second
	detectionTime   = 5 * time.Millisecond
	deathsAllowed   = 5
	firstGroupPart  = 1000
	firstCommonPart = 100
	commonParts     = 3
)

func newPartFleet(gateways, targets int, seed uint64, load fleetPartLoad) *partFleet {
	f := &partFleet{
		rng: rand.New(rand.NewPCG(seed, 5)), now: start, index: map[string]int{}, neighbors: map[string][]string{}, cut: map[int]bool{},
		fleetPartLoad: load, deaths: map[quarantine.Part][]time.Time{}, late: map[quarantine.Part]int{},
	}
	for i := range gateways {
		f.nodes = append(f.nodes, place.Node{ID: fmt.Sprint("g", i)})
		f.index[f.nodes[i].ID] = i
		f.tables = append(f.tables, quarantine.NewPartTable())
		f.inTouch = append(f.inTouch, start.Add(-convergenceTime))
	}
	for i := range gateways {
		for _, j := range f.rng.Perm(gateways)[:min(degree/2, gateways)] {
			if a, b := f.nodes[i].ID, f.nodes[j].ID; i != j {
				f.neighbors[a] = append(f.neighbors[a], b)
				f.neighbors[b] = append(f.neighbors[b], a)
			}
		}
	}
	for range targets {
		f.targets = append(f.targets, &partTarget{runs: map[*partRun]bool{}})
	}
	return f
}

func (f *partFleet) after(d time.Duration, run func()) {
	heap.Push(&f.events, event{f.now.Add(d), run})
}

func (f *partFleet) run(until time.Duration) {
	for end := start.Add(until); len(f.events) > 0 && f.events[0].at.Before(end); {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
}

// arrive calls send at random times, rate times a second.
func (f *partFleet) arrive(rate float64, send func()) {
	if rate == 0 {
		return
	}
	f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		send()
		f.arrive(rate, send)
	})
}

// soundPrompt returns the shared parts of a sound prompt: one of a few common ones, one of many.
func (f *partFleet) soundPrompt() []quarantine.Part {
	group := int(float64(soundGroups) * f.rng.Float64() * f.rng.Float64() * f.rng.Float64())
	return []quarantine.Part{firstCommonPart + quarantine.Part(group%commonParts), firstGroupPart + quarantine.Part(group)}
}

func (f *partFleet) start() {
	f.arrive(f.soundRate, func() { f.send(f.soundPrompt(), 0) })
	for _, bad := range f.bad {
		f.arrive(f.badRate, func() {
			prompt := append(f.soundPrompt(), bad)
			if f.badFirst {
				prompt = []quarantine.Part{bad, prompt[1]}
			}
			f.send(prompt, bad)
		})
	}
	f.arrive(f.crashRate, func() { f.kill(f.targets[f.rng.IntN(len(f.targets))]) })
	f.syncTables()
}

// send sends a prompt from a random gateway to a random target; bad is its bad part, or 0.
func (f *partFleet) send(prompt []quarantine.Part, bad quarantine.Part) {
	g := f.rng.IntN(len(f.tables))
	table := f.tables[g]
	verdict := table.Check(f.now, prompt, 0)
	if bad == 0 {
		f.sound++
	}
	if verdict.Refused {
		if bad == 0 {
			f.soundRefused++
			f.refusedAt = append(f.refusedAt, f.now)
		}
		return
	}
	endTrial := func() {
		if verdict.OnTrial {
			table.EndTrial(verdict.Part)
		}
	}
	target := f.targets[f.rng.IntN(len(f.targets))]
	if f.now.Before(target.availableAt) {
		endTrial()
		return
	}
	if d := f.deaths[bad]; len(d) >= deathsAllowed && f.now.Sub(d[deathsAllowed-1]) > convergenceTime && !f.cut[g] && f.now.Sub(f.inTouch[g]) >= convergenceTime {
		f.late[bad]++
	}
	r := &partRun{gateway: g, table: table, prompt: prompt, sent: f.now}
	target.runs[r] = true
	f.after(time.Duration((50+f.rng.Float64()*250)*float64(time.Millisecond)), func() {
		endTrial()
		if !target.runs[r] {
			return // died with its target
		}
		if bad != 0 {
			f.deaths[bad] = append(f.deaths[bad], f.now)
			f.kill(target)
			return
		}
		r.began = true
		f.share(g, table, table.Answered(f.now, prompt))
		f.after(promptDuration, func() { delete(target.runs, r) })
	})
}

// kill ends a target. Each gateway accuses the parts of the prompts that were not answered yet.
func (f *partFleet) kill(target *partTarget) {
	if f.now.Before(target.availableAt) {
		return
	}
	name := fmt.Sprintf("%p@%d", target, target.incarnation)
	target.incarnation++
	target.availableAt = f.now.Add(restartTime)
	runs := target.runs
	target.runs = map[*partRun]bool{}
	f.after(detectionTime, func() {
		for r := range runs {
			f.share(r.gateway, r.table, r.table.TargetDied(f.now, r.prompt, name, r.sent, r.began))
		}
	})
}

// share sends news of a gateway, unless it has restarted since.
func (f *partFleet) share(from int, table *quarantine.PartTable, news []quarantine.PartNews) {
	if f.tables[from] != table {
		return
	}
	for _, n := range news {
		f.tell(from, n, "")
	}
}

func (f *partFleet) tell(from int, n quarantine.PartNews, source string) {
	self := f.nodes[from].ID
	for _, id := range n.Recipients(self, source, f.nodes, f.neighbors[self]) {
		if j := f.index[id]; !f.cut[from] && !f.cut[j] {
			f.told++
			f.after(hopDelay, func() {
				if news, ok := f.tables[j].Merge(f.now, n.Record); ok {
					f.tell(j, news, self)
				}
			})
		}
	}
}

// syncTables makes neighbors exchange their records while their digests differ.
func (f *partFleet) syncTables() {
	f.after(syncInterval, func() {
		for i, table := range f.tables {
			own, changed := table.Digest()
			for _, id := range f.neighbors[f.nodes[i].ID] {
				j := f.index[id]
				if other, _ := f.tables[j].Digest(); f.cut[i] || f.cut[j] || own == other || own != 0 && f.now.Sub(changed) < syncInterval {
					continue
				}
				for _, r := range table.Shared(f.now) {
					f.told++
					f.after(hopDelay, func() {
						if news, ok := f.tables[j].Merge(f.now, r); ok {
							f.tell(j, news, f.nodes[i].ID)
						}
					})
				}
			}
		}
		f.syncTables()
	})
}

func (f *partFleet) restart(g int) { f.tables[g], f.inTouch[g] = quarantine.NewPartTable(), f.now }

func (f *partFleet) partition(g int, length time.Duration) {
	f.cut[g] = true
	f.after(length, func() { f.cut[g], f.inTouch[g] = false, f.now })
}

// knownBy returns how many gateways refuse a part.
func (f *partFleet) knownBy(p quarantine.Part) int {
	n := 0
	for _, table := range f.tables {
		if slices.ContainsFunc(table.Refused(), func(r quarantine.PartRecord) bool { return r.Part == p }) {
			n++
		}
	}
	return n
}

// lateRefusals returns the sound prompts refused more than twice convergenceTime after the last
// death under a bad part.
func (f *partFleet) lateRefusals() int {
	var last time.Time
	for _, deaths := range f.deaths {
		for _, at := range deaths {
			if at.After(last) {
				last = at
			}
		}
	}
	n := 0
	for _, at := range f.refusedAt {
		if at.Sub(last) > 2*convergenceTime {
			n++
		}
	}
	return n
}

const maxLateSends = 3

// check reports what callers of a fleet see, and fails if the bounds are broken.
func (f *partFleet) check(t *testing.T, name string) {
	t.Helper()
	died, late := 0, 0
	for _, bad := range f.bad {
		died, late = max(died, len(f.deaths[bad])), max(late, f.late[bad])
		if f.late[bad] > maxLateSends {
			t.Errorf("%s: %d sends of part %d later than %v after its fifth death, want at most %d", name, f.late[bad], bad, convergenceTime, maxLateSends)
		}
	}
	t.Logf("%s: at most %d targets died by one part, %d sends too late, %d of %d sound prompts refused (%d late), %d records sent", name, died, late, f.soundRefused, f.sound, f.lateRefusals(), f.told)
	if n := f.lateRefusals(); n > 0 {
		t.Errorf("%s: %d sound prompts refused later than %v after the last death", name, n, 2*convergenceTime)
	}
	if f.soundRefused > f.sound/200 {
		t.Errorf("%s: %d of %d sound prompts refused, want at most 0.5%%", name, f.soundRefused, f.sound)
	}
}

// Guards against a part that ends targets for as long as prompts with it come, and against sound
// prompts that are refused for it, at the sizes of all fleets.
func TestFleetRefusesOnlyTheBadPart(t *testing.T) {
	for _, c := range []struct {
		gateways int
		seeds    uint64
		length   time.Duration
	}{{9, 10, 40 * time.Second}, {64, 3, 20 * time.Second}, {300, 1, 4 * time.Second}, {1970, 1, 1500 * time.Millisecond}} {
		for seed := range c.seeds {
			scale := float64(c.gateways) / 9
			load := fleetPartLoad{soundRate: 60 * min(scale, 60), badRate: 2 * min(scale, 30), bad: []quarantine.Part{badPart}}
			f := newPartFleet(c.gateways, 2*c.gateways, seed, load)
			f.start()
			f.run(c.length)
			f.check(t, fmt.Sprintf("%d gateways, seed %d", c.gateways, seed))
			if n := f.knownBy(badPart); n < c.gateways {
				t.Errorf("%d of %d gateways refuse the part", n, c.gateways)
			}
		}
	}
}

// Guards against the same failures beside other disruptions.
func TestFleetRefusesOnlyTheBadPartUnderDisruptions(t *testing.T) {
	const gateways = 9
	usual := fleetPartLoad{soundRate: 60, badRate: 2, bad: []quarantine.Part{badPart}}
	with := func(change func(l *fleetPartLoad)) fleetPartLoad {
		l := usual
		change(&l)
		return l
	}
	for name, c := range map[string]struct {
		load   fleetPartLoad
		inject func(f *partFleet)
	}{
		"several bad parts":   {with(func(l *fleetPartLoad) { l.bad = []quarantine.Part{1, 2, 3}; l.badRate = 0.7 }), nil},
		"first part":          {with(func(l *fleetPartLoad) { l.badFirst = true }), nil},
		"few sound prompts":   {with(func(l *fleetPartLoad) { l.soundRate = 6 }), nil},
		"crashes by chance":   {with(func(l *fleetPartLoad) { l.crashRate = 0.5 }), nil},
		"crashes, none bad":   {with(func(l *fleetPartLoad) { l.crashRate = 1; l.bad = nil }), nil},
		"half of all targets": {usual, func(f *partFleet) { f.killHalf(3 * time.Second); f.killHalf(15 * time.Second) }},
		"all targets, none bad": {with(func(l *fleetPartLoad) { l.bad = nil }), func(f *partFleet) {
			for _, at := range []time.Duration{3, 9, 15, 21} {
				f.killHalf(at * time.Second)
				f.killHalf(at*time.Second + 50*time.Millisecond)
			}
		}},
		"restarts": {usual, func(f *partFleet) {
			for s := range 30 {
				f.after(time.Duration(s)*time.Second, func() { f.restart(s % gateways) })
			}
		}},
		"partitions": {usual, func(f *partFleet) {
			for s := range 5 {
				f.after(time.Duration(6*s)*time.Second, func() { f.partition(s, 5*time.Second) })
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				f := newPartFleet(gateways, 18, seed, c.load)
				f.start()
				if c.inject != nil {
					c.inject(f)
				}
				f.run(40 * time.Second)
				f.check(t, fmt.Sprint("seed ", seed))
			}
		})
	}
}

// killHalf kills half of the targets within 100 ms.
func (f *partFleet) killHalf(at time.Duration) {
	for i := range len(f.targets) / 2 {
		f.after(at+time.Duration(f.rng.IntN(100))*time.Millisecond, func() { f.kill(f.targets[i*2%len(f.targets)]) })
	}
}

// Guards against work for prompts while no part is suspected.
func TestUnsuspectedPartsCostNothing(t *testing.T) {
	f := newPartFleet(9, 18, 1, fleetPartLoad{soundRate: 60})
	f.start()
	f.run(20 * time.Second)
	for i, table := range f.tables {
		if digest, _ := table.Digest(); table.Len() != 0 || digest != 0 {
			t.Errorf("gateway %d has %d records", i, table.Len())
		}
	}
	if f.told != 0 || f.soundRefused != 0 {
		t.Errorf("got %d records sent and %d prompts refused, want none", f.told, f.soundRefused)
	}
}
