// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package worktime

import (
	"testing"
	"time"
)

func TestWithinCountsLatestRequests(t *testing.T) {
	var r Recent
	expect := func(d time.Duration, wantEnded, wantAll int) {
		t.Helper()
		if ended, all := r.Within(d); ended != wantEnded || all != wantAll {
			t.Errorf("within %v: got %d of %d, want %d of %d", d, ended, all, wantEnded, wantAll)
		}
	}
	expect(time.Hour, 0, 0)
	r.Add(time.Second)
	r.Add(3 * time.Second)
	expect(999*time.Millisecond, 0, 2)
	expect(time.Second, 1, 2)
	expect(3*time.Second, 2, 2)
	for range size - 1 {
		r.Add(time.Minute)
	}
	expect(3*time.Second, 1, size)
	r.Add(time.Minute)
	expect(3*time.Second, 0, size)
}
