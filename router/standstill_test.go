// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router_test

import (
	"testing"
	"time"

	"madderway/lab/platform"
)

// A gateway whose process stood still takes nothing for true that it knew before: it is not
// ready and refuses requests as not run until it has heard anew what holds, and serves then.
// Where nobody answers it goes on with what it knows after a while.
func TestStandstillIsSettledBeforeServing(t *testing.T) {
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
		if away && (!g.Unsettled() || g.Ready()) {
			t.Error("it is ready without having heard anything")
		}
		if away && site.AskStream(t.Context(), 0, "account-0", 7) {
			t.Error("it serves without having heard anything")
		}
		for end := time.Now().Add(20 * time.Second); !g.Ready(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("it is never ready again")
			}
		}
		if !site.AskStream(t.Context(), 0, "account-0", uint64(100+n)) {
			t.Error("it does not serve when it has settled")
		}
	}
	for _, b := range site.Violations() {
		t.Error(b)
	}
}
