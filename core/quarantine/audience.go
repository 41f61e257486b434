// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine

import "madderway/core/place"

// firstDeathReplicas is the number of gateways that receive a record with a single death.
// They are chosen by fingerprint, so that all gateways report to the same ones; the second
// covers the loss of the first.
const firstDeathReplicas = 2

// Recipients returns the gateways to which a record is sent: a few that count deaths until
// the record is shared, then all, each through its neighbors.
func Recipients(r Record, nodes []place.Node, neighbors []string) []string {
	if r.IsShared() {
		return neighbors
	}
	return place.Top(nodes, string(r.Request[:]), firstDeathReplicas)
}
