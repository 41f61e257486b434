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
	// cachedQueryWorkers bounds the targets that are asked at the same time what they
	// keep, askKeptTime how long one may take.
	cachedQueryWorkers = 4
	cachedQueryTimeout = time.Second
	// cachedQueryInterval is how long after a cell was taken over its targets are not
	// asked once more.
	cachedQueryInterval = 5 * time.Second
)

// cachedPartsIn is what a target of a cell says it keeps.
type cachedPartsIn struct {
	key    cell.Key
	target string
	at     time.Time
	parts  []routing.PromptPart
}

func (cachedPartsIn) isInput() {}

// queryCachedParts asks the targets of a cell that this gateway schedules which parts of
// prompts they keep. Without that one that has just taken over would let them
// read again what the one before it had let them read. A gateway that stands in
// for a moment, or knows no other one yet, asks nobody; targets that take no work are
// not asked, since an operator wants nothing sent to them.
func (l *Loop) queryCachedParts(now time.Time, key cell.Key, s *cellScheduler) {
	g := l.layout.Group(key)
	if l.opts.FetchCachedParts == nil || g == nil || len(g.Schedulers()) < 2 || g.Schedulers()[0] != l.opts.Self.ID || now.Sub(s.cachedQueriedAt) < cachedQueryInterval {
		return
	}
	s.cachedQueriedAt = now
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
	// It may have said so while others were asked: each may take a second.
	now := l.opts.Follow.Targets().Find(t.ID)
	if _, closed := l.opts.Notices.Closed(t.ID); closed || now == nil || !now.AcceptsWork() {
		l.log.Info("Target not asked what it keeps.", "cell", key, "target", t.ID, "listed", now != nil, "rests", closed)
		return
	}
	ctx, cancel := context.WithTimeout(l.t.Context(context.Background()), cachedQueryTimeout)
	defer cancel()
	start := l.opts.Clock.Now()
	parts, err := l.opts.FetchCachedParts(ctx, t)
	took := l.opts.Clock.Now().Sub(start)
	if err != nil {
		l.log.Info("Target did not say what it keeps.", "cell", key, "target", t.ID, "took", took, "error", err)
		return
	}
	l.log.Debug("Target said what it keeps.", "cell", key, "target", t.ID, "parts", len(parts), "took", took)
	l.put(cachedPartsIn{key, t.ID, start, parts})
}
