// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package fair

import (
	"github.com/cespare/xxhash/v2"
	"github.com/google/btree"
)

const queueDegree = 16

type item struct {
	key  float64
	tie  uint64
	name string
}

func lessItem(a, b item) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	if a.tie != b.tie {
		return a.tie < b.tie
	}
	return a.name < b.name
}

// Queue holds the waiting accounts in ascending order of a key. Each operation takes
// logarithmic time.
type Queue struct {
	salt string
	tree *btree.BTreeG[item]
	keys map[string]float64
}

// NewQueue returns an empty queue. The salt orders accounts with equal keys, so that
// schedulers without reports of each other do not all choose the same one.
func NewQueue(salt string) *Queue {
	return &Queue{salt: salt, tree: btree.NewG(queueDegree, lessItem), keys: map[string]float64{}}
}

func (q *Queue) item(name string, key float64) item {
	return item{key, xxhash.Sum64String(q.salt + name), name}
}

// Set inserts the account or moves it to a new key.
func (q *Queue) Set(name string, key float64) {
	old, ok := q.keys[name]
	if ok && old == key {
		return
	}
	if ok {
		q.tree.Delete(q.item(name, old))
	}
	q.keys[name] = key
	q.tree.ReplaceOrInsert(q.item(name, key))
}

// Remove removes the account.
func (q *Queue) Remove(name string) {
	old, ok := q.keys[name]
	if !ok {
		return
	}
	delete(q.keys, name)
	q.tree.Delete(q.item(name, old))
}

// Has reports whether the account is queued.
func (q *Queue) Has(name string) bool {
	_, ok := q.keys[name]
	return ok
}

// Len returns the number of queued accounts.
func (q *Queue) Len() int { return len(q.keys) }

// Ascend calls visit for each account in ascending order of keys until it returns false.
func (q *Queue) Ascend(visit func(name string, key float64) bool) {
	q.tree.Ascend(func(it item) bool { return visit(it.name, it.key) })
}

// Min returns the account with the lowest key.
func (q *Queue) Min() (name string, key float64, ok bool) {
	it, ok := q.tree.Min()
	return it.name, it.key, ok
}
