// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine_test

import (
	"testing"

	"madderway/core/quarantine"
)

func identity() quarantine.Identity {
	return quarantine.Identity{Account: "a", Method: "POST", Host: "h", URI: "/p?q=1", Body: []byte("body")}
}

const sample = 32 // sampleSize of the package

// Guards against parts that are left out of the fingerprint or run together.
func TestFingerprintDistinguishesRequests(t *testing.T) {
	seen := map[quarantine.Fingerprint]int{}
	changes := []func(*quarantine.Identity){
		func(*quarantine.Identity) {},
		func(i *quarantine.Identity) { i.Account = "b" },
		func(i *quarantine.Identity) { i.Method = "GET" },
		func(i *quarantine.Identity) { i.Host = "g" },
		func(i *quarantine.Identity) { i.URI = "/p?q=2" },
		func(i *quarantine.Identity) { i.Body = []byte("Body") },
		func(i *quarantine.Identity) { i.Account, i.Method = "aP", "OST" },
		func(i *quarantine.Identity) { i.URI, i.Body = "/p?q=1b", []byte("ody") },
	}
	for n, change := range changes {
		i := identity()
		change(&i)
		if other, ok := seen[i.Fingerprint()]; ok {
			t.Errorf("change %d has the fingerprint of change %d", n, other)
		}
		seen[i.Fingerprint()] = n
	}
	for n, size := range []int{0, 1, sample - 1, sample, 3 * sample, 10 * sample} {
		i := identity()
		i.Body = make([]byte, size)
		if size > 0 {
			other := i
			other.Body = append([]byte("x"), i.Body[1:]...)
			if i.Outline() == other.Outline() {
				t.Errorf("size %d (case %d): same outline for bodies that differ in the first byte", size, n)
			}
		}
	}
	one, same := identity(), identity()
	if one.Fingerprint() != same.Fingerprint() || one.Outline() != same.Outline() {
		t.Error("equal requests have different fingerprints or outlines")
	}
}

func BenchmarkFingerprint(b *testing.B) {
	i := identity()
	i.Body = make([]byte, 16<<10)
	b.ReportAllocs()
	for b.Loop() {
		i.Fingerprint()
	}
}

func BenchmarkOutline(b *testing.B) {
	i := identity()
	b.ReportAllocs()
	for b.Loop() {
		i.Outline()
	}
}
