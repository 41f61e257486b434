// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package place

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func nodes(n int) []Node {
	var out []Node
	for i := range n {
		out = append(out, Node{ID: fmt.Sprintf("r%d", i), DataHall: fmt.Sprintf("h%d", i%4), Region: fmt.Sprintf("g%d", i%2)})
	}
	return out
}

func TestOwnerIsNearAndStable(t *testing.T) {
	all := nodes(12)
	moved, owned := 0, map[string]int{}
	for i := range 400 {
		site := Site{Name: fmt.Sprintf("t%d", i), DataHall: fmt.Sprintf("h%d", i%4), Region: fmt.Sprintf("g%d", i%2)}
		owner, ok := Owner(all, site)
		if !ok || Distance(owner, site) != 0 {
			t.Fatalf("%s is owned by %+v", site.Name, owner)
		}
		owned[owner.ID]++
		after, _ := Owner(all[1:], site) // without r0
		if owner.ID != "r0" && after != owner {
			moved++
		}
		if owner.ID == "r0" && Distance(after, site) != 0 {
			t.Errorf("%s moved out of its hall when r0 was removed", site.Name)
		}
	}
	if moved != 0 {
		t.Errorf("%d targets that r0 did not own moved when it was removed, want 0", moved)
	}
	for id, n := range owned {
		if n > 70 {
			t.Errorf("%s owns %d of 400 targets, want at most 70", id, n)
		}
	}
	if _, ok := Owner(nil, Site{}); ok {
		t.Error("got an owner without nodes")
	}
}

func TestPrefixMapClearsOnGap(t *testing.T) {
	now := time.Unix(0, 0)
	m := NewPrefixMap(time.Minute, 3)
	m.Apply(now, CacheEvent{1, "a", true})
	m.Apply(now, CacheEvent{2, "b", true})
	m.Apply(now, CacheEvent{2, "b", false}) // repeated
	if !m.Holds(now, "a") || !m.Holds(now, "b") {
		t.Fatal("stored prefixes are not held")
	}
	m.Apply(now, CacheEvent{4, "c", true})
	if m.Holds(now, "a") || !m.Holds(now, "c") || m.Gaps != 1 {
		t.Fatal("the gap did not clear the map")
	}
	if m.Holds(now.Add(2*time.Minute), "c") {
		t.Fatal("an entry older than the maximum age is held")
	}
	for i := range 10 {
		m.Note(now, fmt.Sprint(i))
	}
	if m.Len() != 3 {
		t.Fatalf("got %d entries, want 3", m.Len())
	}
}

// Weak nodes get keys while strong ones exist, equal nodes get unequal parts, or
// removing a node moves the keys of others.
func TestTopByStrengthPrefersStrongNodes(t *testing.T) {
	var fleet []Node
	for i := range 300 {
		n := Node{ID: fmt.Sprintf("g%03d", i), Strength: 19}
		if i < 20 {
			n.Strength = 80
		}
		fleet = append(fleet, n)
	}
	strong, moved := 0, 0
	const keys = 1000
	for i := range keys {
		key := fmt.Sprint("s/", i)
		first := TopByStrength(fleet, key, 3)[0]
		if first < "g020" {
			strong++
		}
		if first != fleet[7].ID && TopByStrength(append(slices.Clone(fleet[:7]), fleet[8:]...), key, 3)[0] != first {
			moved++
		}
	}
	if strong < keys*3/4 || moved != 0 {
		t.Errorf("%d of %d keys on strong nodes, want at least 3/4; %d moved, want 0", strong, keys, moved)
	}
	chosen := map[string]int{}
	for i := range keys {
		chosen[TopByStrength(fleet[:10], fmt.Sprint("s/", i), 3)[0]]++
	}
	for id, n := range chosen {
		if n < keys/20 || n > keys/5 {
			t.Errorf("%s of ten equal nodes has %d of %d keys", id, n, keys)
		}
	}
}
