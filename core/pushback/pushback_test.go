// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package pushback

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func mayStart(t *Table, now time.Time) bool {
	_, ok := t.TryStart(now, "t")
	return ok
}

func TestNoRequestsDuringPause(t *testing.T) {
	for _, d := range []time.Duration{200 * time.Millisecond, 3 * time.Second, 30 * time.Second} {
		table := New()
		table.Pause(start, "t", d)
		for _, share := range []float64{0, 0.5, 0.999} {
			now := start.Add(time.Duration(share * float64(d)))
			if left, closed := table.Blocked(now, "t"); mayStart(table, now) || !closed || left != start.Add(d).Sub(now) {
				t.Errorf("%v of a rest of %v: sent, or closed %v for %v", share, d, closed, left)
			}
		}
		if !mayStart(table, start.Add(d)) {
			t.Errorf("nothing is sent after a rest of %v", d)
		}
		if _, ok := table.TryStart(start, "other"); !ok {
			t.Error("another target rests, too")
		}
	}
}

// The latest end holds, whichever answer comes first.
func TestLatestPauseEndWins(t *testing.T) {
	table := New()
	table.Pause(at(0), "t", 3*time.Second)
	if until := table.Pause(at(1), "t", time.Second); until != at(3) {
		t.Errorf("a shorter rest ends at %v", until)
	}
	if until := table.Pause(at(2), "t", 3*time.Second); until != at(5) {
		t.Errorf("a later rest ends at %v", until)
	}
	if until := table.Pause(at(2), "t", math.MaxInt64); until != at(2).Add(MaxPause) {
		t.Errorf("a rest without end ends at %v", until)
	}
}

// After a rest one request goes first; each that the target takes doubles how many may be under
// way, and one that it turns away begins anew.
func TestSlowStartAfterPause(t *testing.T) {
	table := New()
	table.Pause(at(0), "t", time.Second)
	under := func() int {
		n := 0
		for mayStart(table, at(1)) {
			if n++; n > 2*slowStartDone {
				break
			}
		}
		return n
	}
	for _, want := range []int{1, 2, 4} {
		if n := under(); n != want {
			t.Errorf("%d under way at once, want %d", n, want)
		}
		for i := range want {
			table.Done("t", i == 0)
		}
	}
	if n := under(); n <= slowStartDone || table.Len() != 0 {
		t.Errorf("%d under way to a target that has returned", n)
	}
	table.Pause(at(1), "t", time.Second)
	table.TryStart(at(2), "t")
	table.Pause(at(2), "t", time.Second)
	table.Done("t", false)
	if mayStart(table, at(2.5)) || !mayStart(table, at(3)) || mayStart(table, at(3)) {
		t.Error("a second rest is no rest, or more than one goes first after it")
	}
}

// A target to which nothing is sent after its rest is soon like any other; one whose answer has
// not begun is not.
func TestSlowStartExpires(t *testing.T) {
	table := New()
	table.Pause(at(0), "t", time.Second)
	table.TryStart(at(1), "t")
	table.Expire(at(1).Add(slowStartTimeout))
	if table.Len() != 1 {
		t.Error("forgotten while a request is under way")
	}
	table.Done("t", false)
	table.Expire(at(1).Add(slowStartTimeout))
	if table.Len() != 0 {
		t.Error("not forgotten")
	}
	table.Done("t", true) // of a send that began before
}

func TestTableIsBounded(t *testing.T) {
	table := New()
	for i := range 2 * maxPauses {
		table.Pause(at(float64(i)/1000), fmt.Sprint("t", i), time.Minute)
	}
	if table.Len() > maxPauses {
		t.Errorf("%d rests", table.Len())
	}
	if _, closed := table.Blocked(at(8), fmt.Sprint("t", 2*maxPauses-1)); !closed {
		t.Error("the latest was dropped")
	}
}
