// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package member

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against a member that was suspended, heard nobody in that time and therefore
// suspects all others.
func TestSuspendedMemberSuspectsNobody(t *testing.T) {
	for _, n := range []int{9, 64} {
		for _, span := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second} {
			for _, asleep := range []int{1, 2} {
				if n > 9 && span != 3*time.Second {
					continue
				}
				t.Run(fmt.Sprintf("%d of %d for %v", asleep, n, span), func(t *testing.T) { testSuspension(t, n, asleep, span) })
			}
		}
	}
}

func testSuspension(t *testing.T, n, asleep int, span time.Duration) {
	f := newFleet(n)
	f.contactSeeds(f.ids)
	f.run(5 * time.Second)
	sleepers, awake := f.ids[n-asleep:], f.ids[:n-asleep]
	all := f.ids
	for range 2 {
		for _, id := range sleepers {
			f.partition[id] = 1 + slices.Index(sleepers, id)
		}
		f.ids = awake
		f.run(span)
		clear(f.partition)
		f.ids = all
		for range 30 {
			f.run(100 * time.Millisecond)
			for _, at := range all {
				if missing := f.missing(at, awake); len(missing) > 0 {
					t.Fatalf("%s does not list %v as alive, but they kept running", at, missing)
				}
			}
		}
	}
	f.run(3 * time.Second)
	if got := f.smallestView(f.ids); got != n {
		t.Errorf("smallest view has %d of %d members at the end", got, n)
	}
}

// missing returns the members of a list that another member does not see as alive.
func (f *fleet) missing(at string, of []string) []string {
	var out []string
	for _, id := range of {
		r, known := f.lists[at].Lookup(id)
		if id != at && (!known || r.State != StateAlive) {
			out = append(out, id)
		}
	}
	return out
}
