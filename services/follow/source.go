// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package follow keeps the configuration, the evacuations of data halls and the list
// of targets up to date from the platform's store and from peers, whichever learns
// first.
package follow

import (
	"context"
	"errors"
	"time"

	"madderway/core/watch"
	"madderway/models/routing"
)

// ErrHistoryGone tells that changes after a revision can no longer be had; the
// whole state has to be read again.
var ErrHistoryGone = errors.New("the history after this revision is gone")

// IsErrHistoryGone reports whether err is ErrHistoryGone.
func IsErrHistoryGone(err error) bool { return errors.Is(err, ErrHistoryGone) }

// TargetChange is a new state of one worker.
type TargetChange struct {
	ID       string // ID is the worker's name, the same in all its lives.
	Revision routing.Revision
	Gone     bool
	Target   routing.Target
}

// HallChange tells whether a data hall is evacuated, as of a revision.
type HallChange struct {
	DataHall  string           `json:"data_hall"`
	Revision  routing.Revision `json:"revision"`
	Evacuated bool             `json:"evacuated"`
}

// OperatorUpdate is what the operator has written: all of it, or what came after a
// revision.
type OperatorUpdate struct {
	Configuration *routing.Configuration // Configuration is nil where there is none, or no new one.
	Halls         []HallChange
	Stamp
}

// TargetUpdate is what targets have written: all of them, or what came after a revision.
type TargetUpdate struct {
	Targets []routing.Target // Targets are all of them, where all were asked for.
	Changes []TargetChange   // Changes are what came after the revision.
	Stamp
}

// Stamp tells when the store answered, by its own count and clock.
type Stamp struct {
	Revision routing.Revision // Revision is where to watch from.
	AsOf     watch.StoreTime  // AsOf is the store's clock, 0 where it does not tell.
}

// BadRow tells of a row that could not be read, in whole or in part.
type BadRow struct{ Table, Key, Reason string }

// Source is where the operator's settings and the targets are kept.
type Source interface {
	// Operator returns all that the operator has set.
	Operator(ctx context.Context) (OperatorUpdate, error)
	// WatchOperator waits for changes after a revision.
	WatchOperator(ctx context.Context, since routing.Revision, wait time.Duration) (OperatorUpdate, error)
	// Targets returns all targets.
	Targets(ctx context.Context) (TargetUpdate, error)
	// WatchTargets waits for changes after a revision.
	WatchTargets(ctx context.Context, since routing.Revision, wait time.Duration) (TargetUpdate, error)
}
