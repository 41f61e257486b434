// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gate

import (
	"testing"
	"time"
)

// Requests beyond the limit wait, enter in order of arrival, and make the gate full when the first of
// them has waited for too long.
func TestRequestsWaitBeyondTheLimit(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var g Gate[int]
	for i := range maxInside {
		if !g.Enter(now, i) {
			t.Fatalf("request %d had to wait", i)
		}
	}
	if g.Enter(now, 100) || g.Enter(now.Add(maxWait), 101) {
		t.Fatal("a request entered beyond the limit")
	}
	if g.Full(now.Add(maxWait)) || !g.Full(now.Add(maxWait+1)) {
		t.Error("the gate is not full from maxWait on")
	}
	if next, ok := g.Leave(); !ok || next != 100 {
		t.Errorf("Leave returned %d, %v, want 100", next, ok)
	}
	if w := g.Wait(now.Add(maxWait + time.Second)); w != time.Second || g.Full(now.Add(maxWait+1)) {
		t.Errorf("the next one has waited for %v, want 1s", w)
	}
	if next, ok := g.Leave(); !ok || next != 101 {
		t.Errorf("Leave returned %d, %v, want 101", next, ok)
	}
	if _, ok := g.Leave(); ok || g.Wait(now.Add(time.Hour)) != 0 {
		t.Error("a request waits at an empty gate")
	}
	if !g.Enter(now, 102) || g.Enter(now, 103) {
		t.Error("the place of a request that has left was not given away once")
	}
}
