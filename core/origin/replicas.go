// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import (
	"cmp"
	"math"
	"slices"

	"madderway/core/place"
	"madderway/modules/saturate"
)

const (
	// replicas is the number of gateways that hold a record besides the one that serves the
	// attempt. Of the records, one in eight is lost with half of all gateways.
	replicas = 3
	// backups is the number of gateways that hold the records of a gateway's streams while their
	// service has one version. Both must be lost together with it for a stream to be refused later.
	backups = 2
	// The gateways that are asked for a record are the first of each data hall and the first of
	// all. They include the replicas also if the view of the sender lacks a gateway.
	askedPerHall = 2
	askedOfAll   = replicas + 2
	maxAsked     = 12
	// MaxAsked is the number of gateways that are asked at most, also where any may have the record.
	MaxAsked = 64
	// Records are kept by all gateways of a small fleet, and by a part of a larger one that grows
	// with its square root: neither the connections of a gateway nor the records of a keeper
	// then grow like the fleet.
	allKeep        = 32
	keepersPerRoot = 4
	keeperKey      = "stream origins"
)

// KeeperCount returns the number of gateways that keep records in a fleet of a size.
func KeeperCount(members int) int {
	return min(members, max(allKeep, saturate.Int(keepersPerRoot*math.Sqrt(float64(members)))))
}

// Keepers returns the gateways of a fleet that keep records.
func Keepers(nodes []place.Node) []place.Node {
	n := KeeperCount(len(nodes))
	if len(nodes) <= n {
		return nodes
	}
	chosen := map[string]bool{}
	for _, id := range place.Top(nodes, keeperKey, n) {
		chosen[id] = true
	}
	return slices.DeleteFunc(slices.Clone(nodes), func(node place.Node) bool { return !chosen[node.ID] })
}

// ranked is a gateway with its hash for a key.
type ranked struct {
	id, dataHall string
	score        uint64
}

// Replicas returns the keepers that are to hold the record of a stream, in different data halls if
// possible.
func Replicas(keepers []place.Node, self string, k Key) []string {
	all := scores(keepers, self, k)
	first := firstOfHalls(all, 1)
	return ids(union(first[:min(len(first), replicas)], firstOf(all, replicas), replicas))
}

// Backups returns the gateways that hold the records of all streams that a gateway serves while their
// service has one version, in different data halls if possible. Each gateway has its own, so that
// all hold about as many.
func Backups(nodes []place.Node, self string) []string {
	all := scores(nodes, self, KeyOf("", self))
	first := firstOfHalls(all, 1)
	return ids(union(first[:min(len(first), backups)], firstOf(all, backups), backups))
}

// Holders returns the keepers that may hold the record of a stream.
func Holders(keepers []place.Node, self string, k Key) []string {
	all := scores(keepers, self, k)
	return ids(union(firstOf(all, askedOfAll), firstOfHalls(all, askedPerHall), maxAsked))
}

// WideHolders returns the gateways that may have the record of a stream which began while its service
// had one version: all others of a small fleet, and the keepers of a larger one.
func WideHolders(nodes, keepers []place.Node, self string, k Key) []string {
	if len(nodes) > MaxAsked {
		return Holders(keepers, self, k)
	}
	var out []string
	for _, n := range nodes {
		if n.ID != self {
			out = append(out, n.ID)
		}
	}
	return out
}

// scores returns the hashes of all nodes but self for a key.
func scores(nodes []place.Node, self string, k Key) []ranked {
	out := make([]ranked, 0, len(nodes))
	for _, n := range nodes {
		if n.ID != self {
			out = append(out, ranked{n.ID, n.DataHall, place.Score(n.ID, uint64(k))})
		}
	}
	return out
}

// firstOf returns the n gateways with the highest hash, the highest first.
func firstOf(all []ranked, n int) []ranked {
	var out []ranked
	for _, r := range all {
		out = insert(out, r, n)
	}
	return out
}

// firstOfHalls returns the n gateways of each data hall with the highest hash, the highest first.
func firstOfHalls(all []ranked, n int) []ranked {
	halls := map[string][]ranked{}
	for _, r := range all {
		halls[r.dataHall] = insert(halls[r.dataHall], r, n)
	}
	var out []ranked
	for _, hall := range halls {
		out = append(out, hall...)
	}
	slices.SortFunc(out, compare)
	return out
}

func compare(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
}

// insert adds a gateway to the n gateways with the highest hash.
func insert(top []ranked, r ranked, n int) []ranked {
	at, _ := slices.BinarySearchFunc(top, r, compare)
	if at == n {
		return top
	}
	top = slices.Insert(top, at, r)
	return top[:min(len(top), n)]
}

// union returns the elements of both lists, up to most, without repetitions.
func union(a, b []ranked, most int) []ranked {
	out := slices.Clone(a)
	for _, r := range b {
		if len(out) < most && !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	return out
}

func ids(rs []ranked) []string {
	out := make([]string, len(rs))
	for i, r := range rs {
		out[i] = r.id
	}
	return out
}
