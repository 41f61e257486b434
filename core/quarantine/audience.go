// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine

import "madderway/core/place"

// firstDeathReplicas is how many gateways are told of a request under which one target has ended,
// drawn by its fingerprint: whoever sees the next end tells the same ones. The second is
// there for the loss of the first.
const firstDeathReplicas = 2

// Recipients returns which gateways are to be told of a record: a few that are to count while
// one target has ended, then all, each by its neighbours.
func Recipients(r Record, nodes []place.Node, neighbours []string) []string {
	if r.IsShared() {
		return neighbours
	}
	return place.Top(nodes, string(r.Request[:]), firstDeathReplicas)
}
