// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package leaving

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func TestIncarnationIsAddedOnce(t *testing.T) {
	s := New()
	if !s.Add(start, "a@1") || s.Add(start.Add(time.Second), "a@1") || !s.Add(start, "a@2") {
		t.Error("an incarnation must be new once, and distinct from others of the same worker")
	}
	if since, leaves := s.Since("a@1"); !leaves || since != start {
		t.Errorf("leaves = %v since %v, want true since the start of the test", leaves, since)
	}
	if s.Add(start, "") || s.Add(start, strings.Repeat("x", maxIDLen+1)) {
		t.Error("empty or oversized ID was added")
	}
}

// Guards against sets that differ after an exchange, and against expired entries that another
// process reintroduces.
func TestSetsConvergeAndExpire(t *testing.T) {
	a, b := New(), New()
	for i := range 5 {
		a.Add(start, fmt.Sprint("a", i))
		b.Add(start, fmt.Sprint("b", i))
	}
	send := func(now time.Time, from, to *Set) (added int) {
		for _, announcement := range from.All(now) {
			if to.Merge(now, announcement) {
				added++
			}
		}
		return added
	}
	if n := send(start, a, b) + send(start, b, a); n != 10 || a.Len() != 10 || b.Len() != 10 {
		t.Errorf("%d added, %d and %d incarnations, want 10 each", n, a.Len(), b.Len())
	}
	late := start.Add(retention - time.Second)
	if send(late, a, b) != 0 {
		t.Error("known incarnation reported as new")
	}
	a.MarkListed(late, "a0")
	for _, s := range []*Set{a, b} {
		s.Expire(start.Add(retention))
	}
	if a.Len() != 1 || b.Len() != 0 {
		t.Errorf("%d and %d incarnations left, want 1 and 0", a.Len(), b.Len())
	}
	if send(start.Add(retention), a, b); b.Len() != 1 {
		t.Error("incarnation that is still listed was not added again")
	}
	if b.Merge(start.Add(retention), Announcement{ID: "old", Age: retention}) || b.Merge(start, Announcement{ID: "x", Age: -1}) {
		t.Error("expired announcement, or one with a negative age, was added")
	}
}

func TestSetIsBounded(t *testing.T) {
	s := New()
	for i := range 2 * maxIncarnations {
		s.Add(start.Add(time.Duration(i)), fmt.Sprint(i))
	}
	if s.Len() != maxIncarnations {
		t.Errorf("got %d incarnations, want the maximum", s.Len())
	}
	if _, leaves := s.Since(fmt.Sprint(2*maxIncarnations - 1)); !leaves {
		t.Error("newest incarnation was evicted")
	}
}
