// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"madderway/lab/platform"
)

// Guards against streams that began at a new software version and go on at the old one, as they are taken
// up at a gateway that is cut off and has not heard of the new version.
func TestStreamsKeepTheirVersionAtGatewayCutOff(t *testing.T) {
	const workers, newWorkers = 3, 6
	kind := platform.Kinds()[1]
	kind.Prefixes <<= 20 // a prompt that no worker has cached may go to any of them
	site, err := platform.Start(platform.Options{Gateways: 3, Models: workers, Accounts: 1, Length: time.Minute, Seed: 9, CutLinks: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	if err := site.AwaitReady(waitTimeout); err != nil {
		t.Fatal(err)
	}
	s := &versionSite{noticeSite: &noticeSite{Site: site, t: t, kind: kind}}
	t.Cleanup(s.open.Wait)
	for g := range 3 {
		s.await("a gateway serves", func() bool { return s.Ask(t.Context(), g, kind, "account-0", s.seed.Add(1)).Served })
	}
	cut := 0
	s.await("a gateway schedules", func() bool {
		cut = slices.IndexFunc([]int{0, 1, 2}, func(g int) bool { return len(s.Gateway(g).Dump().Mesh.Cells) > 0 })
		return cut >= 0
	})
	// The list of the gateway is fresh when it is cut off.
	if err := s.AddWorker(true); err != nil {
		t.Fatal(err)
	}
	s.awaitTargets(workers + 1)
	others := []int{(cut + 1) % 3, (cut + 2) % 3}
	s.CutGateway(cut, platform.TroubleCutAll)
	for range newWorkers {
		if err := s.AddWorkerOf(true, newSoftware); err != nil {
			t.Fatal(err)
		}
	}
	for _, g := range others {
		s.await("a gateway has the new list", func() bool { return s.Gateway(g).Dump().Targets == workers+1+newWorkers })
	}
	beginning, breakOff := context.WithCancel(t.Context())
	defer breakOff()
	s.beginAt(beginning, others...)
	began := 0
	for _, c := range s.callers {
		if _, software := c.Versions(); slices.Equal(software, []string{newSoftware}) {
			began++
		}
	}
	if began == 0 {
		t.Fatalf("got 0 of %d streams begun at the new version", streamCount)
	}
	breakOff()
	if n := s.Gateway(cut).Dump().Targets; n != workers+1 {
		t.Fatalf("got %d targets at the gateway that is cut off, want %d", n, workers+1)
	}
	t.Logf("%d of %d streams whole, %d had begun at the new version", s.comeBack(cut), streamCount, began)
	for _, c := range s.callers {
		if id, software := c.Versions(); len(software) != 1 {
			t.Errorf("stream %s taken up at the gateway that is cut off has events of %v, want one version", id, software)
		}
	}
	if t.Failed() {
		return
	}
	s.HealLinks()
	for _, c := range s.callers {
		s.await("a stream goes on once the gateway is in step", func() bool {
			c.Try(t.Context(), cut)
			_, whole := c.Events()
			return whole
		})
	}
	for _, v := range s.Violations() {
		t.Error(v)
	}
}
