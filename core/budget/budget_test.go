// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package budget

import "testing"

// Guards against retries multiplying the load when every attempt fails.
func TestRetriesDoNotMultiplyAnOutage(t *testing.T) {
	s := NewSet(0.2, 10)
	retries := 0
	for range 1000 {
		s.Attempt("alder", "chat")
		for range 3 {
			if s.Retry("alder", "chat") {
				retries++
			}
		}
	}
	if retries > 215 || retries < 190 {
		t.Errorf("%d retries for 1000 first attempts, want 190 to 215", retries)
	}
	// The pool's budget also limits its other accounts.
	if s.Retry("birch", "chat") {
		t.Error("retry allowed although the pool's budget is empty")
	}
	if !s.Retry("birch", "other") {
		t.Error("retry refused in a pool whose budget is full")
	}
}
