// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package entry

import (
	"testing"
	"time"

	"madderway/core/cell"
)

// Guards against a gateway that schedules alone right after its start: every gateway would
// do so after the loss of all, and have the same prompts read at the same targets.
func TestRequestsAreHeldUntilGatewaySettles(t *testing.T) {
	f := setUp(t)
	known := f.layout
	f.Step(f.now, LayoutSeen{oneCell(nil)})
	f.Step(f.now, SettleSeen{f.now.Add(200 * time.Millisecond)})
	held := submit(1)
	held.Settle = true
	if got := asked(f.after(0, held)); got != "" {
		t.Errorf("a request was asked of %q before the gateway knew the others", got)
	}
	if got := asked(f.after(0, submit(2))); got != f.self {
		t.Errorf("a request that need not be held was asked of %q, want this gateway", got)
	}
	f.after(50*time.Millisecond, LayoutSeen{known})
	if got := asked(f.after(50*time.Millisecond, Tick{})); got != "" {
		t.Errorf("a held request was asked of %q before the gateway settled", got)
	}
	if got := asked(f.after(100*time.Millisecond, Tick{})); got != f.first {
		t.Errorf("after the gateway settled the request was asked of %q, want the first scheduler", got)
	}
}

// Guards against messages about requests that no scheduler knows.
func TestHeldRequestIsWithdrawnSilently(t *testing.T) {
	f := setUp(t)
	f.Step(f.now, SettleSeen{f.now.Add(time.Second)})
	held := submit(1)
	held.Settle = true
	f.after(0, held)
	if got := f.after(0, Withdrawn{cell.RequestID(1)}); len(got) != 0 {
		t.Errorf("got %+v for a request that was not asked for", got)
	}
	if f.Pending() != 0 {
		t.Error("the withdrawn request is still pending")
	}
}
