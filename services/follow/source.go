// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package follow keeps the configuration, the evacuations of data halls and the list of targets
// up to date. It polls the platform's store and fetches newer states from peers, whichever has
// them first. Readers get immutable snapshots: Service.Index and Service.Targets.
package follow

import (
	"context"
	"errors"
	"time"

	"madderway/core/watch"
	"madderway/models/routing"
)

// ErrHistoryGone means that the store no longer has the changes after a revision, so that the
// whole state must be read again.
var ErrHistoryGone = errors.New("the history after this revision is gone")

// IsErrHistoryGone reports whether err is ErrHistoryGone.
func IsErrHistoryGone(err error) bool { return errors.Is(err, ErrHistoryGone) }

// TargetChange is the new state of one worker. Peers exchange it as JSON, so the field names are
// part of the format.
type TargetChange struct {
	ID       string // the worker's name, the same for all its incarnations
	Revision routing.Revision
	Gone     bool
	// Unreadable is set with Gone if the entry is there but names no target.
	Unreadable bool `json:",omitempty"`
	Target     routing.Target
}

// HallChange is the evacuation state of a data hall as of a revision.
type HallChange struct {
	DataHall  string           `json:"data_hall"`
	Revision  routing.Revision `json:"revision"`
	Evacuated bool             `json:"evacuated"`
}

// OperatorUpdate holds the operator's settings, all of them or those changed after a revision.
type OperatorUpdate struct {
	Configuration *routing.Configuration // nil if there is none or it did not change
	Halls         []HallChange
	Stamp
}

// TargetUpdate holds all targets, or those changed after a revision.
type TargetUpdate struct {
	Targets []routing.Target // set by Source.Targets
	Changes []TargetChange   // set by Source.WatchTargets
	Stamp
}

// Stamp is the state of the store at the time of an answer.
type Stamp struct {
	Revision routing.Revision // the revision to watch from
	AsOf     watch.StoreTime  // on the store's clock, 0 if unknown
}

// BadRow identifies a row of the store that could not be decoded in whole or in part.
type BadRow struct{ Table, Key, Reason string }

// Source is the store of the operator's settings and the targets.
type Source interface {
	// Operator returns all settings of the operator.
	Operator(ctx context.Context) (OperatorUpdate, error)
	// WatchOperator waits up to the given time for changes after a revision.
	WatchOperator(ctx context.Context, since routing.Revision, wait time.Duration) (OperatorUpdate, error)
	// Targets returns all targets.
	Targets(ctx context.Context) (TargetUpdate, error)
	// WatchTargets waits up to the given time for changes after a revision.
	WatchTargets(ctx context.Context, since routing.Revision, wait time.Duration) (TargetUpdate, error)
}
