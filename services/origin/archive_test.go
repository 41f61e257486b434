// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	coreorigin "madderway/core/origin"
	"madderway/models/routing"
)

// listAndSettle changes the list of targets and lets the gateways take notice.
func (f *fleet) listAndSettle(targets ...routing.Target) {
	f.list(targets...)
	f.settle()
}

// expectEverywhere checks the version that all gateways resolve, "" for unknown.
func (f *fleet) expectEverywhere(what, attempt, want string) {
	f.t.Helper()
	for _, id := range f.ids() {
		f.expect(what+", at "+id, id, attempt, want)
	}
}

// Guards against streams that continue at another version after the loss of all gateways, whatever
// their processes' age, and against refusing those whose records are in the store.
func TestNoOtherVersionAfterLossOfAll(t *testing.T) {
	a, b := target("a", "v1"), target("b", "v2")
	// The stream began at v1; its record is in the store if versions differed before the loss.
	stored := map[string]string{"in a release": "v1", "after a release": "v1"}
	for name, lose := range map[string]func(f *fleet){
		"in a release": func(f *fleet) {
			f.listAndSettle(a, b)
			f.loseAll()
		},
		"after a release": func(f *fleet) {
			f.listAndSettle(a, b)
			f.listAndSettle(b)
			f.loseAll()
		},
		"release while no gateway runs": func(f *fleet) {
			f.killAll()
			f.list(b)
			f.startAll()
		},
		"second loss right after the start": func(f *fleet) {
			f.killAll()
			f.list(b)
			f.startAll()
			f.loseAll()
		},
		"second loss before the archive is written": func(f *fleet) {
			f.killAll()
			f.list(b)
			f.silent, f.archive.down = true, true
			f.startAll()
			f.archive.down = false
			f.loseAll()
		},
		"the store does not answer at the start": func(f *fleet) {
			f.listAndSettle(a, b)
			f.listAndSettle(b)
			f.archive.down = true
			f.loseAll()
		},
		"the store came back older, with the loss": func(f *fleet) {
			f.archive.save()
			f.listAndSettle(a, b)
			f.listAndSettle(b)
			f.killAll()
			f.archive.restore()
			f.startAll()
		},
		"the store came back older, before the loss": func(f *fleet) {
			f.archive.save()
			f.listAndSettle(a, b)
			f.listAndSettle(b)
			f.archive.restore()
			for _, g := range f.gateways {
				g.EraChanged()
			}
			f.settle()
			f.loseAll()
		},
		"the archive was lost": func(f *fleet) {
			f.archive.save()
			f.listAndSettle(a, b)
			f.listAndSettle(b)
			f.killAll()
			f.archive.stored = fakeHistory{}
			f.startAll()
		},
		"a peer of an older release says that it knows all": func(f *fleet) {
			f.listAndSettle(b)
			f.killAll()
			f.archive.down = true
			f.startAll()
			for _, g := range f.gateways {
				g.Learn("old", Memory{Complete: true}, f.targets.Revision)
			}
		},
		"peers with an older list": func(f *fleet) {
			f.launch("behind", false)
			f.settle()
			memory, revision := f.gateways["behind"].Memory(), f.targets.Revision
			f.listAndSettle(b)
			f.killAll()
			f.archive.down = true
			f.startAll()
			for _, g := range f.gateways {
				g.Learn("behind", memory, revision)
			}
		},
		"one gateway is left that hears nobody": func(f *fleet) {
			f.listAndSettle(b)
			f.killAll()
			f.archive.down = true
			f.launch("g0", false)
			f.outOf["g0"] = true
			f.settle()
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, fleetSize, a)
			f.begin("g0", "one", "a")
			lose(f)
			for _, age := range []time.Duration{joinTime, patience, 20 * time.Second} {
				f.clock.Advance(age)
				f.settle()
				f.expectEverywhere(fmt.Sprint("after another ", age), "one", stored[name])
			}
		})
	}
}

// Guards against an archive that lacks a version which was tried and taken back, since the store came
// back older.
func TestRestoredArchiveIsNotComplete(t *testing.T) {
	a, b := target("a", "v1"), target("b", "v2")
	f := newFleet(t, fleetSize, a)
	f.archive.save()
	f.listAndSettle(a, b)
	f.begin("g0", "two", "b")
	f.listAndSettle(a)
	f.killAll()
	f.archive.restore()
	f.startAll()
	f.clock.Advance(patience)
	f.expectEverywhere("the version was taken back", "two", "")
	f.clock.Advance(maxLife)
	f.settle()
	f.expectEverywhere("no stream is left", "two", "v1")
}

// Guards against a process that counts the time before its first list as a time in which it saw all.
func TestCoverageBeginsWithTheFirstList(t *testing.T) {
	f := newFleet(t, fleetSize, target("a", "v1"))
	f.archive.down = true
	f.killAll()
	listed := f.targets
	f.targets = routing.NewTargetSet(0)
	f.launch("g0", false)
	f.clock.Advance(maxLife)
	f.gateways["g0"].SetTargets(listed)
	f.settle()
	f.expect("right after the first list", "g0", "one", "")
}

// Guards against the refusal of streams after the loss of all gateways where there has been one
// version only.
func TestOneVersionContinuesAfterLossOfAll(t *testing.T) {
	a, other := target("a", "v1"), routing.Target{ID: "x", Service: "another service", Software: "w1"}
	newer := other
	newer.ID, newer.Software = "y", "w2"
	for name, lose := range map[string]func(f *fleet){
		"one version": func(f *fleet) { f.loseAll() },
		"twice": func(f *fleet) {
			f.loseAll()
			f.loseAll()
		},
		"all targets replaced": func(f *fleet) {
			f.listAndSettle()
			f.listAndSettle(target("b", "v1"), other)
			f.loseAll()
		},
		"another service is released": func(f *fleet) {
			f.listAndSettle(a, newer)
			f.loseAll()
		},
		"another service is new": func(f *fleet) {
			f.killAll()
			f.list(a, routing.Target{ID: "z", Service: "new service", Software: "z1"})
			f.startAll()
		},
		"the store answers late": func(f *fleet) {
			f.archive.down = true
			f.loseAll()
			f.archive.down = false
			f.clock.Advance(time.Second)
			f.settle()
		},
		"the store came back older before": func(f *fleet) {
			f.archive.save()
			f.archive.restore()
			for _, g := range f.gateways {
				g.EraChanged()
			}
			f.settle()
			f.loseAll()
		},
		"others tell": func(f *fleet) {
			f.archive.down = true
			delete(f.gateways, "g0")
			f.launch("g0", false)
			f.settle()
		},
		"release long ago": func(f *fleet) {
			f.listAndSettle(target("old", "v0"), a, other)
			f.clock.Advance(time.Hour)
			f.listAndSettle(a, other)
			f.clock.Advance(maxLife)
			f.loseAll()
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, fleetSize, a, other)
			f.begin("g0", "one", "a")
			lose(f)
			f.expectEverywhere("at once", "one", "v1")
		})
	}
}

// Guards against a gateway that takes what it has seen for all there was, after a gap in what it
// could see.
func TestGapIsNoKnowledge(t *testing.T) {
	a := target("a", "v1")
	f := newFleet(t, fleetSize, a)
	f.archive.down = true
	f.gateways["g0"].NoteGap("standstill", 0)
	f.clock.Advance(joinTime)
	f.expect("right after a standstill", "g0", "lost", "")
	f.exchange()
	f.expect("after a heartbeat", "g0", "lost", "v1")
	f.outOf["g0"] = true
	f.settle()
	f.outOf["g0"], f.silent = false, true
	f.settle()
	f.clock.Advance(joinTime)
	f.expect("back in contact, nothing heard", "g0", "lost", "")
	f.archive.down = false
	f.settle()
	f.expect("the archive was read", "g0", "lost", "v1")
}

// Guards against refusing a stream while others are about to tell what was missed in a gap.
func TestStreamAfterGapWaitsForOthers(t *testing.T) {
	f := newFleet(t, fleetSize, target("a", "v1"))
	g := f.gateways["g0"]
	g.NoteGap("standstill", 0)
	timers, done := f.clock.PendingTimers(), make(chan struct{})
	var got Origin
	var err error
	go func() {
		defer close(done)
		got, err = g.Resolve(t.Context(), coreorigin.KeyOf(account, "lost"), service)
	}()
	for waiting := false; !waiting; {
		select {
		case <-done:
			t.Fatalf("got version %q, error %v without waiting", got.Software, err)
		default:
			runtime.Gosched()
			waiting = f.clock.PendingTimers() > timers
		}
	}
	f.exchange()
	f.clock.Advance(joinPollInterval)
	<-done
	if err != nil || got.Software != "v1" {
		t.Errorf("got version %q, error %v, want v1", got.Software, err)
	}
}

// Guards against the heartbeat of a gateway that has not seen what was missed either.
func TestHeartbeatFromBeforeGapProvesNothing(t *testing.T) {
	f := newFleet(t, fleetSize, target("a", "v1"))
	g, revision := f.gateways["g0"], f.targets.Revision
	g.NoteGap("the removal of an unknown target", revision+2)
	f.clock.Advance(joinTime)
	g.Learn("g1", f.gateways["g1"].Memory(), revision)
	f.expect("a list as old as the own one", "g0", "lost", "")
	g.Learn("g1", f.gateways["g1"].Memory(), revision+2)
	f.expect("a list with the removal", "g0", "lost", "v1")
}

// Guards against an answer of the archive that is older than a gap, as it lay in a buffer while the
// process was suspended.
func TestReadBeforeGapProvesNothing(t *testing.T) {
	f := newFleet(t, fleetSize, target("a", "v1"))
	f.silent = true
	g := f.gateways["g0"]
	g.NoteGap("standstill", 0)
	f.archive.onRead = func() { g.NoteGap("standstill", 0) }
	if err := g.syncArchive(t.Context(), f.archive); !errors.Is(err, errGap) {
		t.Errorf("got %v, want errGap", err)
	}
	f.clock.Advance(joinTime)
	f.expect("the read was older", "g0", "lost", "")
	f.archive.onRead = nil
	f.settle()
	f.expect("read anew", "g0", "lost", "v1")
}

// Guards against a service whose versions nobody has archived, and against an archive of an updated
// fleet that is taken for one since its beginning.
func TestCoverageBeginsWithTheArchive(t *testing.T) {
	a := target("a", "v1")
	f := newFleet(t, fleetSize, a)
	f.killAll()
	f.archive.stored = fakeHistory{}
	f.startAll()
	f.clock.Advance(joinTime)
	f.expectEverywhere("no archive yet", "one", "")
	f.clock.Advance(maxLife / 2)
	f.loseAll()
	f.clock.Advance(joinTime)
	f.expectEverywhere("archived for half of the life", "one", "")
	f.clock.Advance(maxLife / 2)
	f.expectEverywhere("archived for the whole life", "one", "v1")
	added := routing.Target{ID: "n", Service: "new service", Software: "n1"}
	f.killAll()
	f.list(a, added)
	f.startAll()
	f.clock.Advance(joinTime)
	f.expectEverywhere("the other service", "one", "v1")
	if got, err := f.gateways["g0"].Resolve(t.Context(), 1, "new service"); !IsErrUnknown(err) {
		t.Errorf("a service that was never archived: got %+v, %v, want ErrUnknown", got, err)
	}
}

// Guards against forgetting a version by a shorter life than that of the streams that began there.
func TestLongerTimeoutsKeepVersions(t *testing.T) {
	a, b := target("a", "v1"), target("b", "v2")
	with := func(timeout time.Duration) *routing.Configuration {
		return &routing.Configuration{Routes: []routing.Route{{Stream: true, Resumable: true, Timeout: timeout}}}
	}
	f := newFleet(t, fleetSize, a)
	configure := func(c *routing.Configuration) {
		for _, g := range f.gateways {
			g.SetConfiguration(c)
		}
	}
	configure(with(50 * time.Second))
	f.begin("g0", "one", "a")
	f.listAndSettle(b)
	configure(with(5 * time.Second))
	f.clock.Advance(100 * time.Second)
	f.settle()
	f.expect("timeouts became shorter", "g1", "lost", "")
	f.clock.Advance(20 * time.Second)
	f.expect("no stream of the longer ones is left", "g1", "lost", "v2")

	f = newFleet(t, fleetSize, a)
	configure(with(5 * time.Second))
	f.listAndSettle(b)
	f.clock.Advance(30 * time.Second)
	f.settle()
	f.expect("the old version is forgotten", "g1", "lost", "v2")
	configure(with(50 * time.Second))
	f.expect("timeouts became longer", "g1", "lost", "")
}

// Guards against a version that nobody archives since the store refuses those who do it for all.
func TestOthersArchiveWhenWatchersFail(t *testing.T) {
	f := newFleet(t, fleetSize, target("a", "v1"))
	f.silent = true
	f.list(target("a", "v1"), target("b", "v2"))
	other := func() (bool, int) { return false, fleetSize }
	g := f.gateways["g2"]
	if g.archiveDue(other, 1) {
		t.Error("due at once, want a while left to the watchers")
	}
	f.clock.Advance(otherDelay + fleetSize*otherDelayPerMember)
	if !g.archiveDue(other, 1) {
		t.Error("not due, want it due after the delay")
	}
	f.settle()
	g.Learn("g0", f.gateways["g0"].Memory(), f.targets.Revision)
	if g.archiveDue(other, 1) {
		t.Error("due after another gateway has archived the versions")
	}
}

// Guards against calls of the archive that grow with the fleet.
func TestArchiveCallsOfLargeFleet(t *testing.T) {
	const (
		size     = 1970
		watchers = 3
		maxCalls = 4 * watchers
	)
	f := newFleet(t, 0, target("a", "v1"))
	for i := range size {
		f.launch(fmt.Sprint("g", i), true)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	// run plays three seconds, in which each gateway hears three others every 400 ms.
	run := func() {
		for range 8 {
			f.clock.Advance(400 * time.Millisecond)
			for i := range size {
				g := f.gateways[fmt.Sprint("g", i)]
				for range 3 {
					from := f.gateways[fmt.Sprint("g", rng.IntN(size))]
					g.Learn("peer", from.Memory(), from.targets.Revision)
				}
				if g.archiveDue(func() (bool, int) { return i < watchers, size }, float64(i)/size) {
					if err := g.syncArchive(t.Context(), f.archive); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
	}
	for _, targets := range [][]routing.Target{nil, {target("a", "v1"), target("b", "v2")}, {target("b", "v2")}} {
		if targets != nil {
			f.list(targets...)
		}
		f.archive.calls = 0
		run()
		if f.archive.calls == 0 || f.archive.calls > maxCalls {
			t.Errorf("%d targets: got %d calls, want 1 to %d", len(targets), f.archive.calls, maxCalls)
		}
	}
}
