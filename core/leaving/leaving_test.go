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
		t.Error("a life is news once, and another life of the same worker is another one")
	}
	if since, leaves := s.Since("a@1"); !leaves || since != start {
		t.Errorf("leaves %v since %v", leaves, since)
	}
	if s.Add(start, "") || s.Add(start, strings.Repeat("x", maxIDLen+1)) {
		t.Error("what names no life was taken")
	}
}

// Sets that tell each other all they know become the same, in whatever order, and nothing that
// one has forgotten comes back from the other for as long again.
func TestSetsConvergeAndExpire(t *testing.T) {
	a, b := New(), New()
	for i := range 5 {
		a.Add(start, fmt.Sprint("a", i))
		b.Add(start, fmt.Sprint("b", i))
	}
	tell := func(now time.Time, from, to *Set) (news int) {
		for _, told := range from.All(now) {
			if to.Merge(now, told) {
				news++
			}
		}
		return news
	}
	if n := tell(start, a, b) + tell(start, b, a); n != 10 || a.Len() != 10 || b.Len() != 10 {
		t.Errorf("%d news, %d and %d lives", n, a.Len(), b.Len())
	}
	late := start.Add(retention - time.Second)
	if tell(late, a, b) != 0 {
		t.Error("news that are none")
	}
	a.MarkListed(late, "a0")
	for _, s := range []*Set{a, b} {
		s.Expire(start.Add(retention))
	}
	if a.Len() != 1 || b.Len() != 0 {
		t.Errorf("%d and %d lives are left, want the one that was listed", a.Len(), b.Len())
	}
	if tell(start.Add(retention), a, b); b.Len() != 1 {
		t.Error("a life that is still listed was not taken again")
	}
	if b.Merge(start.Add(retention), Announcement{ID: "old", Age: retention}) || b.Merge(start, Announcement{ID: "x", Age: -1}) {
		t.Error("a life that is over, or of the future, was taken")
	}
}

func TestSetIsBounded(t *testing.T) {
	s := New()
	for i := range 2 * maxIncarnations {
		s.Add(start.Add(time.Duration(i)), fmt.Sprint(i))
	}
	if s.Len() != maxIncarnations {
		t.Errorf("%d lives", s.Len())
	}
	if _, leaves := s.Since(fmt.Sprint(2*maxIncarnations - 1)); !leaves {
		t.Error("the latest was dropped")
	}
}
