// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package claim

import (
	"context"
	"encoding/json"
	"time"

	core "madderway/core/claim"
	"madderway/services/platform"
)

const (
	sweepInterval = time.Minute
	sweepLimit    = 500
)

// Sweep starts to delete expired rows while mine reports true; one router of
// the fleet does it.
func (s *Service) Sweep(mine func() bool) {
	s.t.Go(func() error {
		for {
			select {
			case <-s.t.Dying():
				return nil
			case <-s.opts.Clock.After(sweepInterval):
			}
			if mine() {
				s.SweepOnce()
			}
		}
	})
}

// SweepOnce deletes expired rows, each on condition that it has not changed.
// It returns how many it deleted. Each call goes on where the last one ended,
// and only one goroutine may call it.
func (s *Service) SweepOnce() int {
	ctx, cancel := context.WithTimeout(s.t.Context(context.Background()), s.opts.Timeout)
	defer cancel()
	rows, err := s.opts.Table.Scan(ctx, KeyPrefix, s.sweepAfter, sweepLimit)
	if err != nil {
		return 0
	}
	s.sweepAfter = ""
	if len(rows) == sweepLimit {
		s.sweepAfter = rows[len(rows)-1].Key
	}
	now := s.opts.Clock.Now()
	var tx platform.Tx
	deleted := 0
	for _, row := range rows {
		var r core.Row
		if json.Unmarshal(row.Value, &r) != nil || r.Expires.After(now) {
			continue
		}
		tx.Conditions = append(tx.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
		tx.Deletes = append(tx.Deletes, row.Key)
	}
	if len(tx.Deletes) > 0 && s.opts.Table.Commit(ctx, tx).Outcome == platform.OutcomeOK {
		deleted = len(tx.Deletes)
		s.log.Info("Deleted expired claims.", "rows", deleted)
	}
	return deleted
}
