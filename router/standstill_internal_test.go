// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router

import (
	"testing"
	"time"
)

// Guards against a stop that counts its grace from the end of a stall in which the signal came, and
// against one that counts a stall that was over long before.
func TestOnlyRecentStandstillCountsForAStop(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var s standstill
	if got := s.lastEnded(now); got != 0 {
		t.Errorf("without a standstill: got %v, want 0", got)
	}
	s.last.Store(&pastStandstill{endAt: now, length: 5 * time.Second})
	for after, want := range map[time.Duration]time.Duration{0: 5 * time.Second, recentStandstill: 5 * time.Second, recentStandstill + 1: 0} {
		if got := s.lastEnded(now.Add(after)); got != want {
			t.Errorf("%v after a standstill of 5 s: got %v, want %v", after, got, want)
		}
	}
}
