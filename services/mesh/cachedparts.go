// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"context"
	"time"

	"madderway/core/cell"
	"madderway/models/routing"
)

const (
	// Bounds concurrent queries of a cell's targets.
	cachedQueryWorkers = 4
	cachedQueryTimeout = time.Second
	// Longest wait for the answers before shared parts are prefilled that may be cached.
	cachedQueryPatience = 250 * time.Millisecond
	// Least time between two queries of a cell's targets.
	cachedQueryInterval = 5 * time.Second
)

// cachedPartsIn reports the prompt parts that a target has in its cache.
type cachedPartsIn struct {
	key    cell.Key
	target string
	at     time.Time
	parts  []routing.PromptPart
}

func (cachedPartsIn) isInput() {}

// queryCachedParts asks the targets of a cell for the prompt parts in their caches. A new scheduler
// that does not know them would have the parts read again. Only the cell's first scheduler asks, and
// only if the cell has others, and not before it has a list of targets. Targets that accept no work are not asked: an operator wants no
// traffic there.
func (l *Loop) queryCachedParts(now time.Time, key cell.Key, s *cellScheduler) {
	g := l.layout.Group(key)
	if l.opts.FetchCachedParts == nil || g == nil || len(g.Targets) == 0 || len(g.Schedulers()) < 2 || g.Schedulers()[0] != l.opts.Self.ID || now.Sub(s.cachedQueriedAt) < cachedQueryInterval {
		return
	}
	s.cachedQueriedAt = now
	l.applyToCell(now, key, s, cell.CachedPartsAsked{Until: now.Add(cachedQueryPatience)})
	targets := make(chan *routing.Target, len(g.Targets))
	for _, t := range g.Targets {
		if t.AcceptsWork() {
			targets <- t
		}
	}
	close(targets)
	for range min(cachedQueryWorkers, len(g.Targets)) {
		l.t.Go(func() error {
			for t := range targets {
				l.queryTarget(key, t)
			}
			return nil
		})
	}
}

func (l *Loop) queryTarget(key cell.Key, t *routing.Target) {
	// The target may have changed while others were queried.
	listed := l.opts.Follow.Targets().Find(t.ID)
	if _, paused := l.opts.Notices.Blocked(t.ID); paused || listed == nil || !listed.AcceptsWork() {
		l.log.Info("Target not queried for cached parts.", "cell", key, "target", t.ID, "listed", listed != nil, "paused", paused)
		return
	}
	ctx, cancel := context.WithTimeout(l.t.Context(context.Background()), cachedQueryTimeout)
	defer cancel()
	start := l.opts.Clock.Now()
	parts, err := l.opts.FetchCachedParts(ctx, t)
	took := l.opts.Clock.Now().Sub(start)
	if err != nil {
		l.log.Info("Query for cached parts failed.", "cell", key, "target", t.ID, "took", took, "error", err)
		return
	}
	l.log.Debug("Target reported cached parts.", "cell", key, "target", t.ID, "parts", len(parts), "took", took)
	l.put(cachedPartsIn{key, t.ID, start, parts})
}
