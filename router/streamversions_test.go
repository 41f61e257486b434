// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"madderway/lab/platform"
)

// A stream that continues must stay at the software version that began it, and most streams whose
// version is still served must continue.
func TestStreamContinuesAtItsSoftwareVersion(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"within one answer":                 testContinueInAnswer,
		"crash of workers":                  testContinueAfterCrash,
		"loss of the gateway":               testContinueAfterLoss(3, 1),
		"loss of half of the gateways":      testContinueAfterLoss(6, 3),
		"at a gateway that has restarted":   testContinueAtRestarted,
		"at a gateway that stood still":     testContinueAtSuspended,
		"version that comes later":          testContinueWhenVersionsBeginToDiffer,
		"loss of all gateways":              testContinueAfterLossOfAll,
		"loss of all, one version":          testContinueOneVersionAfterLossOfAll,
		"loss of all after a release":       testContinueAfterReleaseAndLossOfAll,
		"all of a version have left":        testContinueWithoutVersion,
		"upgrade in place, store is away":   testContinueAfterUpgrade,
		"unusable reference to the attempt": testContinueUnknown,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t)
		})
	}
}

const (
	oldSoftware = "v1"
	newSoftware = "v1.1"
	streamCount = 16 // spread over the targets of both versions
)

// versionSite is a site whose model workers run two software versions.
type versionSite struct {
	*noticeSite
	callers []*platform.StreamCaller
	open    sync.WaitGroup // attempts in flight
}

// newVersionSite starts a site with three workers of the old version and others of the new one.
func newVersionSite(t *testing.T, gateways, newWorkers int) *versionSite {
	t.Helper()
	s := &versionSite{noticeSite: newNoticeSite(t, platform.Kinds()[1], gateways)}
	s.addNew(newWorkers)
	t.Cleanup(s.open.Wait)
	return s
}

// addNew starts workers of the new version and waits until all gateways list them.
func (s *versionSite) addNew(workers int) {
	s.t.Helper()
	before := s.Gateway(0).Dump().Targets
	for range workers {
		if err := s.AddWorkerOf(true, newSoftware); err != nil {
			s.t.Fatal(err)
		}
	}
	s.awaitTargets(before + workers)
}

// replaceAll replaces all workers by two of the new version, and returns how many they were.
func (s *versionSite) replaceAll() int {
	s.t.Helper()
	old := s.Workers(s.kind)
	s.addNew(2)
	listed := s.Gateway(0).Dump().Targets
	for _, w := range old {
		w.Stop()
	}
	s.awaitTargets(listed - len(old))
	return len(old)
}

// awaitTargets waits until all gateways list so many targets.
func (s *versionSite) awaitTargets(n int) {
	s.t.Helper()
	for g := range s.GatewayCount() {
		s.await("a gateway has the list", func() bool { return s.Gateway(g).Dump().Targets == n })
	}
}

// awaitRecords waits until gateways have the records of all streams.
func (s *versionSite) awaitRecords(gateways ...int) {
	s.t.Helper()
	for _, g := range gateways {
		s.await("a gateway has the records", func() bool {
			var figures strings.Builder
			s.Gateway(g).WriteMetrics(&figures)
			return strings.Contains(figures.String(), fmt.Sprintf("madderway_gateway_stream_origins %d\n", streamCount))
		})
	}
}

// setFault sets the fault of all model workers.
func (s *versionSite) setFault(f platform.Fault) {
	for _, w := range s.Workers(s.kind) {
		w.SetFault(f)
	}
}

// begin begins streams at the first gateways that stop in the middle, and waits until each caller
// has a part of its stream.
func (s *versionSite) begin(gateways int) {
	s.t.Helper()
	var first []int
	for g := range gateways {
		first = append(first, g)
	}
	s.beginAt(s.t.Context(), first...)
}

// beginAt is like begin at the given gateways. The callers' connections break when the context ends.
func (s *versionSite) beginAt(ctx context.Context, gateways ...int) {
	s.t.Helper()
	s.setFault(platform.FaultStall)
	for i := range streamCount {
		c := s.NewStreamCaller(s.kind, "account-0", s.seed.Add(1)<<8)
		s.callers = append(s.callers, c)
		s.open.Go(func() {
			for n, whole := 0, false; n == 0 && !whole && ctx.Err() == nil; n, whole = c.Events() {
				c.Try(ctx, gateways[i%len(gateways)])
			}
		})
	}
	for _, c := range s.callers {
		s.await("a stream begins", func() bool { n, _ := c.Events(); return n > 0 })
	}
	s.setFault(platform.FaultNone)
}

// comeBack has each caller try a gateway, and a second one if it is refused for a while, and returns
// how many streams became whole. The site's ledger reports streams of two versions.
func (s *versionSite) comeBack(gateways ...int) int {
	s.open.Wait()
	var whole atomic.Int64
	var callers sync.WaitGroup
	for i, c := range s.callers {
		callers.Go(func() {
			a := c.Try(s.t.Context(), gateways[i%len(gateways)])
			if a.Refused {
				time.Sleep(a.After)
				a = c.Try(s.t.Context(), gateways[(i+1)%len(gateways)])
			}
			if _, ok := c.Events(); ok {
				whole.Add(1)
			} else {
				s.t.Logf("stream %d: %+v", i, a)
			}
		})
	}
	callers.Wait()
	return int(whole.Load())
}

// expectShare checks that at least the share of the streams became whole.
func (s *versionSite) expectShare(whole int, share float64) {
	s.t.Helper()
	s.t.Logf("%d of %d streams whole", whole, streamCount)
	if least := int(share * streamCount); whole < least {
		s.t.Errorf("got %d of %d streams whole, want at least %d", whole, streamCount, least)
	}
}

// testContinueInAnswer has one worker of each version break its streams off.
func testContinueInAnswer(t *testing.T) {
	s := newVersionSite(t, 2, 3)
	workers := s.Workers(s.kind)
	workers[0].SetFault(platform.FaultCut)
	workers[len(workers)-1].SetFault(platform.FaultCut)
	whole := 0
	for range 4 {
		whole += s.burst(0) + s.burst(1)
	}
	s.expectShare(whole/4, 0.5)
}

// testContinueAfterCrash ends one worker of each version under its streams. Those that cannot
// continue within their answers break off, and their callers come back.
func testContinueAfterCrash(t *testing.T) {
	s := newVersionSite(t, 3, 3)
	s.begin(3)
	workers := s.Workers(s.kind)
	workers[0].Crash()
	workers[len(workers)-1].Crash()
	s.expectShare(s.comeBack(0, 1, 2), 0.5)
}

// testContinueAfterLoss kills the gateways at which streams began.
func testContinueAfterLoss(gateways, lost int) func(t *testing.T) {
	return func(t *testing.T) {
		s := newVersionSite(t, gateways, 3)
		s.begin(lost)
		var others []int
		for g := range gateways {
			if g < lost {
				s.RestartGateway(g)
			} else {
				others = append(others, g)
			}
		}
		s.expectShare(s.comeBack(others...), 0.5)
	}
}

// testContinueAtRestarted has callers come back to the gateway that was killed.
func testContinueAtRestarted(t *testing.T) {
	s := newVersionSite(t, 3, 3)
	s.begin(1)
	s.RestartGateway(0)
	if err := s.AwaitReady(waitTimeout); err != nil {
		t.Fatal(err)
	}
	s.expectShare(s.comeBack(0), 0.5)
}

// testContinueAtSuspended has half of the callers come back to a gateway that was suspended
// meanwhile. It refuses them until its state is refreshed, and they try another one.
func testContinueAtSuspended(t *testing.T) {
	s := newVersionSite(t, 3, 3)
	s.begin(1)
	s.Gateway(1).ReportStandstill(20 * time.Second)
	s.RestartGateway(0)
	s.expectShare(s.comeBack(1, 2), 0.5)
}

// testContinueWhenVersionsBeginToDiffer starts the new version after the streams have begun.
func testContinueWhenVersionsBeginToDiffer(t *testing.T) {
	s := newVersionSite(t, 3, 0)
	s.begin(1)
	s.addNew(6)
	s.awaitRecords(1, 2)
	s.RestartGateway(0)
	s.expectShare(s.comeBack(1, 2), 0.5)
}

// testContinueAfterLossOfAll kills all gateways. Nobody knows where the streams began.
func testContinueAfterLossOfAll(t *testing.T) {
	s := newVersionSite(t, 3, 3)
	s.begin(3)
	s.KillGateways()
	if err := s.AwaitReady(waitTimeout); err != nil {
		t.Fatal(err)
	}
	s.comeBack(0, 1, 2)
}

// testContinueOneVersionAfterLossOfAll kills all gateways while there is one version only.
func testContinueOneVersionAfterLossOfAll(t *testing.T) {
	s := newVersionSite(t, 3, 0)
	s.begin(3)
	s.KillGateways()
	if err := s.AwaitReady(waitTimeout); err != nil {
		t.Fatal(err)
	}
	s.expectShare(s.comeBack(0, 1, 2), 0.9)
}

// testContinueAfterReleaseAndLossOfAll replaces all workers by those of another version before all
// gateways are killed, so that the gateways which start again list the new version only.
func testContinueAfterReleaseAndLossOfAll(t *testing.T) {
	s := newVersionSite(t, 3, 0)
	s.begin(3)
	s.replaceAll()
	s.KillGateways()
	if err := s.AwaitReady(waitTimeout); err != nil {
		t.Fatal(err)
	}
	if whole := s.comeBack(0, 1, 2); whole > 0 {
		t.Errorf("got %d streams whole whose version has no target, want 0", whole)
	}
}

// testContinueWithoutVersion ends all workers of the old version, so that its streams are
// refused at once, also at a gateway that never listed it.
func testContinueWithoutVersion(t *testing.T) {
	s := newVersionSite(t, 3, 0)
	s.begin(1)
	replaced := s.replaceAll()
	s.RestartGateway(0)
	if err := s.AwaitReady(waitTimeout); err != nil {
		t.Fatal(err)
	}
	before := arrivals(s.Workers(s.kind)[replaced:])
	s.open.Wait()
	for i, c := range s.callers {
		start := time.Now()
		if a := c.Try(t.Context(), i%3); !a.Refused || a.After <= 0 {
			t.Errorf("stream %d: got %+v after %v, want a refusal with a retry delay", i, a, time.Since(start))
		}
	}
	if n := arrivals(s.Workers(s.kind)[replaced:]) - before; n > 0 {
		t.Errorf("got %d streams at workers of another version, want 0", n)
	}
}

// testContinueAfterUpgrade restarts workers with other software under the same ID while the store
// cannot tell.
func testContinueAfterUpgrade(t *testing.T) {
	s := newVersionSite(t, 3, 3)
	s.begin(1)
	s.SetStoreDown(true)
	for _, w := range s.Workers(s.kind)[:3] {
		if _, err := s.UpgradeWorker(w, newSoftware); err != nil {
			t.Fatal(err)
		}
	}
	s.comeBack(1, 2)
}

// testContinueUnknown has callers name attempts that began no stream.
func testContinueUnknown(t *testing.T) {
	s := newVersionSite(t, 2, 3)
	s.begin(1)
	s.RestartGateway(0)
	s.open.Wait()
	for _, c := range s.callers {
		c.Rename("ffffffffffffffff")
	}
	if whole := s.comeBack(1); whole > 0 {
		t.Errorf("got %d streams whole that nobody began, want 0", whole)
	}
}
