// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"madderway/lab/platform"
	"madderway/router"
)

// A poison request must be refused by all gateways after three deaths of targets, however often
// its caller repeats it; other requests are served.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	for _, kind := range platform.Kinds() {
		t.Run(kind.Name, func(t *testing.T) {
			t.Parallel()
			sendPoisonToAll(t, kind)
		})
	}
}

// Gateways must share quarantines without the store.
func TestPoisonRequestIsQuarantinedWithoutStore(t *testing.T) {
	t.Parallel()
	site := newPoisonSite(t, 4)
	site.SetStoreDown(true)
	sendPoison(t, site, 4, platform.Kinds()[0])
}

// A poison request that an overloaded gateway hands over must be quarantined too.
func TestHandedOverPoisonRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	site := newPoisonSite(t, 6)
	stop := make(chan struct{})
	var reporter sync.WaitGroup
	reporter.Go(func() {
		reportLateness(site.Gateway(0), func(*router.Gateway) time.Duration { return time.Second }, stop)
	}) // gateway 3, in the same data hall, takes over
	sendPoison(t, site, 1, platform.Kinds()[0])
	close(stop)
	reporter.Wait()
	var figures strings.Builder
	site.Gateway(0).WriteMetrics(&figures)
	if strings.Contains(figures.String(), "\nmadderway_gateway_handed_over_total 0\n") {
		t.Error("no request was handed over")
	}
}

// Quarantines must survive the end of all gateways, by the store.
func TestQuarantineSurvivesFleetRestart(t *testing.T) {
	t.Parallel()
	site := newPoisonSite(t, 4)
	kind := platform.Kinds()[0]
	sendPoison(t, site, 4, kind)
	site.KillGateways()
	if err := site.AwaitReady(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	before := site.Crashes()
	for gateway := range 4 {
		for end := time.Now().Add(20 * time.Second); site.Gateway(gateway).Dump().Quarantined == 0; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("gateway %d did not load the quarantine", gateway)
			}
		}
		if refused, _ := site.AskPoison(t.Context(), gateway, kind, "account-0", uint64(1000+gateway)); !refused {
			t.Errorf("gateway %d did not refuse the request", gateway)
		}
	}
	if n := site.Crashes() - before; n > 0 {
		t.Errorf("got %d more deaths of targets, want 0", n)
	}
}

const (
	deathsToQuarantine = 3
	maxInFlight        = 3 // sends that may start before all gateways know
	rounds             = 8 // requests to each gateway
)

func sendPoisonToAll(t *testing.T, kind platform.Kind) { sendPoison(t, newPoisonSite(t, 4), 4, kind) }

func newPoisonSite(t *testing.T, gateways int) *platform.Site {
	site, err := platform.Start(platform.Options{Gateways: gateways, Models: 4, Plains: 4, Accounts: 2, Length: time.Minute, Seed: 7})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	if err := site.AwaitReady(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	return site
}

// sendPoison sends a poison request to gateways in turn, each followed by an ordinary one.
func sendPoison(t *testing.T, site *platform.Site, gateways int, kind platform.Kind) {
	seed := uint64(0)
	refusals, after := 0, time.Duration(0)
	for range rounds {
		for gateway := range gateways {
			seed++
			refused := false
			if refused, after = site.AskPoison(t.Context(), gateway, kind, "account-0", seed); refused {
				refusals++
			} else {
				refusals = 0
			}
			if err := site.RestartCrashed(); err != nil {
				t.Fatal(err)
			}
			seed++
			site.AskStream(t.Context(), gateway, "account-1", seed)
		}
	}
	if n := site.Crashes(); n < deathsToQuarantine || n > deathsToQuarantine+maxInFlight {
		t.Errorf("got %d deaths of targets by one request, want %d and at most %d more", n, deathsToQuarantine, maxInFlight)
	}
	if refusals < gateways || after < time.Minute {
		t.Errorf("got the last %d tries refused, the last one with a retry delay of %v, want a refusal by each gateway and at least a minute", refusals, after)
	}
	for _, b := range site.Violations() {
		t.Error(b)
	}
}
