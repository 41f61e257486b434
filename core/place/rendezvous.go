// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package place assigns keys to nodes by rendezvous hashing: all routers that know the
// same nodes compute the same assignment without coordination. It also tracks the
// prefixes that a target probably caches.
package place

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is a router that keys can be assigned to.
type Node struct {
	ID       string
	DataHall string
	Region   string
	// Strength is the processor time that the router can spare for scheduling, in
	// percent of a core. 0 counts as a whole core.
	Strength uint32
}

// Site is the location of a target.
type Site struct {
	Name     string
	DataHall string
	Region   string
}

// Distance returns 0 for a node in the site's data hall, 1 in its region, 2 elsewhere.
func Distance(n Node, s Site) int {
	switch {
	case n.DataHall == s.DataHall:
		return 0
	case n.Region == s.Region:
		return 1
	default:
		return 2
	}
}

// Owner returns the node that schedules the target: the one with the highest hash
// among the nearest nodes. It returns false if there are no nodes.
func Owner(nodes []Node, target Site) (Node, bool) {
	best, bestDistance, bestHash := -1, 0, uint64(0)
	for i, n := range nodes {
		d, h := Distance(n, target), hash(n.ID, target.Name)
		if best < 0 || d < bestDistance || d == bestDistance && h > bestHash {
			best, bestDistance, bestHash = i, d, h
		}
	}
	if best < 0 {
		return Node{}, false
	}
	return nodes[best], true
}

// Top returns the IDs of the k nodes with the highest hash for a key.
func Top(nodes []Node, key string, k int) []string {
	return top(nodes, k, func(n Node) float64 { return Unit(hash(n.ID, key)) })
}

// strengthPower is the exponent of a node's weight. It is above 1 to keep weak nodes out of
// the top places while strong ones exist.
const strengthPower = 3

// Ranked is a node with its score for a key.
type Ranked struct {
	ID    string
	Score float64
}

// TopByStrength is like Top, but prefers strong nodes by weighted rendezvous hashing.
func TopByStrength(nodes []Node, key string, k int) []string {
	return top(nodes, k, func(n Node) float64 { return ScoreByStrength(n, key) })
}

// RankByStrength returns the nodes that TopByStrength selects, with their scores.
func RankByStrength(nodes []Node, key string, k int) []Ranked {
	return rank(nodes, k, func(n Node) float64 { return ScoreByStrength(n, key) })
}

// ScoreByStrength returns a node's score for a key; the strongest nodes mostly have the highest.
func ScoreByStrength(n Node, key string) float64 {
	strength := float64(n.Strength) / wholeCore
	if n.Strength == 0 {
		strength = 1
	}
	return Weighted(math.Pow(strength, strengthPower), hash(n.ID, key))
}

// Insert adds a node to the k highest-ranked ones.
func Insert(ranked []Ranked, r Ranked, k int) []Ranked {
	at := len(ranked)
	for at > 0 && ranked[at-1].Score < r.Score {
		at--
	}
	if at >= k {
		return ranked
	}
	ranked = slices.Insert(ranked, at, r)
	return ranked[:min(len(ranked), k)]
}

const wholeCore = 100 // percent

// Weighted returns the score of a choice with a weight in a weighted rendezvous hash. Choices get
// keys in proportion to their weights.
func Weighted(weight float64, hash uint64) float64 { return weight / -math.Log(Unit(hash)) }

// Unit maps a hash to the open interval (0, 1).
func Unit(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// top returns the IDs of the k nodes with the highest score.
func top(nodes []Node, k int, score func(n Node) float64) []string {
	ranked := rank(nodes, k, score)
	ids := make([]string, len(ranked))
	for i, r := range ranked {
		ids[i] = r.ID
	}
	return ids
}

func rank(nodes []Node, k int, score func(n Node) float64) []Ranked {
	ranked := make([]Ranked, 0, k+1)
	for _, n := range nodes {
		ranked = Insert(ranked, Ranked{n.ID, score(n)}, k)
	}
	return ranked
}

func hash(node, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Score returns the rendezvous hash of a node for a numeric key. The key belongs to
// the node with the highest score.
func Score(node string, key uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], key)
	_, _ = d.WriteString(node)
	_, _ = d.Write(raw[:])
	return d.Sum64()
}
