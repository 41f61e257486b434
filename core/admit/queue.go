// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package admit

import (
	"slices"
	"time"

	"github.com/google/btree"

	"madderway/modules/saturate"
)

const (
	btreeDegree = 8
	// scanLimit is the number of waiting requests of the best rank that are compared by their
	// affinity to a granted target.
	scanLimit = 8
	// startIntervalWeight is the weight of the newest sample in the average start interval.
	startIntervalWeight = 0.2
)

type waiting struct {
	Request
	seq     uint64
	arrived time.Time
}

func lessWaiting(a, b *waiting) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.seq < b.seq
}

type queueKey struct{ account, pool string }

// queue holds the waiting requests of one account for one pool.
type queue struct {
	key           queueKey
	tree          *btree.BTreeG[*waiting]
	bytes         int64
	interactive   int
	demands       map[string]*demandState
	widenAt       time.Time
	widenBy       int
	lastStart     time.Time
	startInterval time.Duration // moving average of the time between two starts
}

// demandState is the demand that one scheduler has from a queue.
type demandState struct {
	remaining   int // grants that the scheduler may still send for it
	interactive bool
	sentAt      time.Time
	withdrawAt  time.Time
}

func newQueue(key queueKey) *queue {
	return &queue{key: key, tree: btree.NewG(btreeDegree, lessWaiting), demands: map[string]*demandState{}}
}

func (q *queue) push(w *waiting) {
	q.tree.ReplaceOrInsert(w)
	q.bytes += w.Bytes
	if w.Interactive {
		q.interactive++
	}
}

func (q *queue) remove(w *waiting) {
	if _, ok := q.tree.Delete(w); !ok {
		return
	}
	q.bytes -= w.Bytes
	if w.Interactive {
		q.interactive--
	}
}

func (q *queue) head() *waiting {
	w, _ := q.tree.Min()
	return w
}

// pick returns the request that suits the target best: the lowest rank first, then the
// highest affinity among the oldest scanLimit of that rank.
func (q *queue) pick(target string, interactiveOnly bool) *waiting {
	var best *waiting
	scanned := 0
	q.tree.Ascend(func(w *waiting) bool {
		if interactiveOnly && !w.Interactive || slices.Contains(w.Deny, target) {
			return true
		}
		if best != nil && w.Rank != best.Rank {
			return false
		}
		if best == nil || w.Prefer[target] > best.Prefer[target] {
			best = w
		}
		scanned++
		return scanned < scanLimit
	})
	return best
}

func (q *queue) recordStart(now time.Time) {
	if !q.lastStart.IsZero() {
		gap := now.Sub(q.lastStart)
		q.startInterval = saturate.Duration(startIntervalWeight*float64(gap) + (1-startIntervalWeight)*float64(q.startInterval))
	}
	q.lastStart = now
}

// retryAfter estimates when about half of the queue will have started, which is when a
// refused caller should retry.
func (q *queue) retryAfter() time.Duration {
	d := q.startInterval * time.Duration(q.tree.Len()) / 2
	return min(max(d, minRetryAfter), maxRetryAfter)
}
