// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package loopback

import "testing"

// Guards against two processes whose IDs are equal modulo the number of networks, and that cannot bind
// the same ports.
func TestClaimsAtTheSameNumberDiffer(t *testing.T) {
	const first, claims = 7, 5
	seen := map[int]bool{}
	for range claims {
		c := claimFrom(first)
		if c.listener == nil {
			t.Fatal("got no listener")
		}
		defer c.listener.Close()
		if seen[c.network] || c.network < 1 || c.network > networks {
			t.Errorf("got network %d, want one from 1 to %d that is not in use", c.network, networks)
		}
		seen[c.network] = true
	}
}
