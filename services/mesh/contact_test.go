// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"testing"
	"time"
)

// Guards against a cut-off gateway that forgets how many others there were, and against counting
// those that went long before.
func TestMemberHistory(t *testing.T) {
	start := time.Unix(1000, 0)
	var h memberHistory
	for i, members := range []int{1, 8, 6, 7, 2} {
		h.set(start.Add(time.Duration(i)*time.Second), members)
	}
	for since, want := range map[time.Duration]int{0: 8, 2 * time.Second: 8, 3 * time.Second: 7, 4 * time.Second: 7, 5 * time.Second: 2} {
		if got := h.mostSince(start.Add(since)); got != want {
			t.Errorf("since %v: got %d members, want %d", since, got, want)
		}
	}
	for i := range 2 * maxDrops {
		h.set(start.Add(time.Hour), 10+i%2)
	}
	if got := h.mostSince(start.Add(time.Minute)); got != 11 || len(h.drops) > maxDrops {
		t.Errorf("got %d members of %d kept decreases, want 11 and at most %d", got, len(h.drops), maxDrops)
	}
}
