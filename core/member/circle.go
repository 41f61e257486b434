// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package member

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ring is a consistent-hash ring of the members, sorted by hash. Rings with different
// salts give each member independent successors. Lookups are binary searches, and a
// change of one member affects only its neighbors.
type ring struct {
	salt   uint64
	points []ringPoint
}

type ringPoint struct {
	hash uint64
	id   string
}

func (r *ring) pointOf(id string) ringPoint {
	var d xxhash.Digest
	d.ResetWithSeed(r.salt)
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], r.salt)
	_, _ = d.Write(raw[:])
	_, _ = d.WriteString(id)
	return ringPoint{d.Sum64(), id}
}

func comparePoints(a, b ringPoint) int {
	switch {
	case a.hash < b.hash:
		return -1
	case a.hash > b.hash:
		return 1
	case a.id < b.id:
		return -1
	case a.id > b.id:
		return 1
	default:
		return 0
	}
}

func (r *ring) insert(id string) {
	p := r.pointOf(id)
	if at, found := slices.BinarySearchFunc(r.points, p, comparePoints); !found {
		r.points = slices.Insert(r.points, at, p)
	}
}

func (r *ring) remove(id string) {
	if at, found := slices.BinarySearchFunc(r.points, r.pointOf(id), comparePoints); found {
		r.points = slices.Delete(r.points, at, at+1)
	}
}

// forward visits each other member once, starting with the successor of id, until
// visit returns false.
func (r *ring) forward(id string, visit func(id string) bool) {
	at, _ := slices.BinarySearchFunc(r.points, r.pointOf(id), comparePoints)
	n := len(r.points)
	for i := range n {
		next := r.points[(at+i)%n].id
		if next != id && !visit(next) {
			return
		}
	}
}

// backward is like forward but starts with the predecessor.
func (r *ring) backward(id string, visit func(id string) bool) {
	at, _ := slices.BinarySearchFunc(r.points, r.pointOf(id), comparePoints)
	n := len(r.points)
	for i := range n {
		next := r.points[(at-1-i+2*n)%n].id
		if next != id && !visit(next) {
			return
		}
	}
}
