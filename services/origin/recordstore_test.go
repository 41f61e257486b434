// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	coreorigin "madderway/core/origin"
)

// Guards against streams that are refused, or continue at another version, after all gateways are lost
// at once, again and again, while two versions serve or the old one has just gone.
func TestStreamsContinueAfterLossOfAll(t *testing.T) {
	const streams = 20
	a, b := target("a", "v1"), target("b", "v2")
	for name, atLoss := range map[string]func(f *fleet){
		"both serve":           func(*fleet) {},
		"the old one has gone": func(f *fleet) { f.list(b) },
		"the new one has gone": func(f *fleet) { f.list(a) },
		"gone while all are away": func(f *fleet) {
			f.killAll()
			f.list(b)
		},
		"the store does not answer": func(f *fleet) { f.archive.down = true },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, fleetSize, a)
			f.listAndSettle(a, b)
			for i := range streams {
				f.begin(fmt.Sprint("g", i%fleetSize), attemptOf(i), []string{"a", "b"}[i%2])
			}
			f.settle()
			atLoss(f)
			for kill := range 3 {
				f.loseAll()
				f.archive.down = false
				f.clock.Advance(loadTime)
				f.settle()
				f.expect("a stream that nobody began", "g1", "none", "")
				for i := range streams {
					f.expectEverywhere(fmt.Sprint("after loss ", kill+1), attemptOf(i), []string{"v1", "v2"}[i%2])
				}
			}
		})
	}
}

// Guards against a guess for streams that began after the last batch, and against stored records of an
// era that the store has lost.
func TestUnstoredStreamsAreRefusedAfterLossOfAll(t *testing.T) {
	a, b := target("a", "v1"), target("b", "v2")
	f := newFleet(t, fleetSize, a)
	f.listAndSettle(a, b)
	f.begin("g0", "stored", "a")
	f.settle()
	f.begin("g0", "late", "a")
	f.loseAll()
	f.clock.Advance(loadTime)
	f.expectEverywhere("stored", "stored", "v1")
	f.expectEverywhere("begun after the last batch", "late", "")
	f.archive.save()
	f.killAll()
	f.archive.restore()
	f.startAll()
	f.clock.Advance(loadTime)
	f.expectEverywhere("the store came back from an older copy", "stored", "")
}

// Guards against records that stay in the store for ever, and against writes for services with one
// version.
func TestStoredRecordsAreDropped(t *testing.T) {
	a, b := target("a", "v1"), target("b", "v2")
	f := newFleet(t, fleetSize, a)
	f.begin("g0", "one version", "a")
	f.settle()
	if f.records.writes != 0 {
		t.Errorf("got %d writes with one version, want none", f.records.writes)
	}
	f.listAndSettle(a, b)
	for i := range 10 {
		f.begin("g0", attemptOf(i), "b")
		f.settle()
		f.clock.Advance(10 * time.Second)
	}
	f.kill("g2") // leaves its batches behind
	f.list(b)
	f.clock.Advance(maxLife)
	f.settle()
	if len(f.records.batches) > 0 && f.records.age() > 2*maxLife {
		t.Errorf("got a batch of age %v", f.records.age())
	}
	f.listAndSettle(a, b)
	for id, batch := range f.records.batches {
		for _, r := range batch.records {
			if f.clock.Now().Sub(r.At) >= coreorigin.MaxMemory {
				t.Errorf("batch %s is left with a record of age %v", id, f.clock.Now().Sub(r.At))
			}
		}
	}
}

// Guards against a fleet whose batches take more of the store than 40 writes a second.
func TestBatchesAreBoundedInLargeFleet(t *testing.T) {
	for _, members := range []int{3, 9, 58, 320, 985, 1970} {
		keepers := coreorigin.KeeperCount(members)
		perSecond := float64(keepers) / writeInterval(members).Seconds()
		t.Logf("%d gateways: %d keepers write every %v, %.0f batches a second", members, keepers, writeInterval(members), perSecond)
		if perSecond > maxWritesPerSecond+0.01 {
			t.Errorf("%d gateways: got %.1f writes a second, want %d at most", members, perSecond, maxWritesPerSecond)
		}
	}
}

// Guards against refusing a stream that began right before the loss of all gateways, and against going by
// a target that was tried and sent no event.
func TestAttemptIsStoredBeforeItsFirstEvent(t *testing.T) {
	a, b := target("a", "v1"), target("b", "v2")
	f := newFleet(t, fleetSize, a)
	f.listAndSettle(a, b)
	attempt := func(name, target string, try int) Attempt {
		return Attempt{Key: coreorigin.KeyOf(account, name), Service: service, Target: f.targets.Find(target), Try: try, SentAt: f.clock.Now()}
	}
	g := f.gateways["g0"]
	begun, retried := attempt("begun", "a", 1), attempt("retried", "b", 2)
	storedBegun := g.Sent(begun)
	g.Sent(attempt("retried", "a", 1))
	g.Sent(attempt("tried", "a", 1))
	storedRetried := g.Sent(retried)
	f.settle()
	f.expectEverywhere("no event yet", "tried", "")
	g.Began(begun, storedBegun)
	g.Began(retried, storedRetried)
	f.expectEverywhere("the second target sent the first event", "retried", "v2")
	f.loseAll()
	f.clock.Advance(loadTime)
	f.settle()
	f.expectEverywhere("begun right before the loss", "begun", "v1")
	f.expectEverywhere("begun at the second target right before the loss", "retried", "v2")
}

// Guards against a restarted keeper that goes by the stored record of a target which was tried and sent no
// event, while others that know of a later one cannot be asked.
func TestStoredRecordOfEarlierTargetIsNotUsedAlone(t *testing.T) {
	f := newFleet(t, 4, target("a", "v1"))
	f.listAndSettle(target("a", "v1"), target("b", "v2"))
	k := coreorigin.KeyOf(account, "one")
	keeper := coreorigin.Replicas(f.nodes("g0"), "g0", k)[0]
	first := Attempt{Key: k, Service: service, Target: f.targets.Find("a"), Try: 1, SentAt: f.clock.Now()}
	f.gateways["g0"].Sent(first)
	f.settle()
	second := first
	second.Target, second.Try = f.targets.Find("b"), 2
	f.gateways["g0"].Began(second, f.gateways["g0"].Sent(second))
	f.launch(keeper, false)
	f.useRecordStore(f.gateways[keeper])
	f.clock.Advance(loadTime)
	ask := f.gateways[keeper].opts.Ask
	silent := func(k coreorigin.Key, wide bool) []string { return []string{"g0"} }
	f.gateways[keeper].opts.Ask = silent
	known := f.gateways[keeper].Lookup(k)
	if !known.Found || !known.Record.Tentative {
		t.Fatalf("got record %+v, want the one of the first target from the store", known)
	}
	got := make(chan error)
	timers := f.clock.PendingTimers()
	go func() {
		_, err := f.gateways[keeper].Resolve(t.Context(), k, service)
		got <- err
	}()
	for f.clock.PendingTimers() == timers {
		runtime.Gosched()
	}
	f.clock.Advance(lookupTimeout)
	if err := <-got; !IsErrUnknown(err) {
		t.Errorf("others do not reply: got error %v, want ErrUnknown", err)
	}
	f.gateways[keeper].opts.Ask = ask
	f.expect("others reply", keeper, "one", "v2")
}
