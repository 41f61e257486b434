// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router_test

import (
	"testing"
	"time"

	"madderway/lab/platform"
)

// After a standstill a gateway must refuse requests as not run until its state is fresh, or
// for a limited time if neither the store nor a peer answers.
func TestGatewayRefusesUntilResyncedAfterStandstill(t *testing.T) {
	site, err := platform.Start(platform.Options{Gateways: 3, Models: 2, Plains: 1, Accounts: 1, Length: time.Minute, Seed: 3})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	if err := site.AwaitReady(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	for n, away := range []bool{false, true} {
		site.SetStoreDown(away)
		g := site.Gateway(0)
		g.ReportStandstill(4 * time.Second)
		if away && (!g.Resyncing() || g.Ready()) {
			t.Error("the gateway is ready before it has resynced")
		}
		if away && site.AskStream(t.Context(), 0, "account-0", 7) {
			t.Error("the gateway serves before it has resynced")
		}
		for end := time.Now().Add(20 * time.Second); !g.Ready(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the gateway was not ready again within 20 s")
			}
		}
		if !site.AskStream(t.Context(), 0, "account-0", uint64(100+n)) {
			t.Error("the gateway does not serve after it has resynced")
		}
	}
	for _, b := range site.Violations() {
		t.Error(b)
	}
}
