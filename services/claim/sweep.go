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

// Sweep starts to delete expired rows periodically while isSweeper returns true, which it must
// do at one router of the fleet only.
func (s *Service) Sweep(isSweeper func() bool) {
	s.t.Go(func() error {
		for {
			select {
			case <-s.t.Dying():
				return nil
			case <-s.opts.Clock.After(sweepInterval):
			}
			if isSweeper() {
				s.SweepOnce()
			}
		}
	})
}

// SweepOnce deletes expired rows that have not changed since they were read and returns their
// number. An expired claim without an outcome is kept as one whose outcome is unknown for another
// retention: its router may still run the call. Each call continues where the last one ended. It is
// not safe for concurrent use.
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
	unknown := 0
	for _, row := range rows {
		var r core.Row
		if json.Unmarshal(row.Value, &r) != nil || r.Expires.After(now) {
			continue
		}
		if r.State == core.StateClaimed {
			r.State, r.Expires = core.StateUnknown, now.Add(s.opts.Retention)
			value, err := json.Marshal(r)
			if err != nil {
				continue
			}
			tx.Puts = append(tx.Puts, platform.Put{Key: row.Key, Value: value})
			unknown++
		} else {
			tx.Deletes = append(tx.Deletes, row.Key)
		}
		tx.Conditions = append(tx.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
	}
	if len(tx.Conditions) == 0 || s.opts.Table.Commit(ctx, tx).Outcome != platform.OutcomeOK {
		return 0
	}
	s.log.Info("Deleted expired claims.", "rows", len(tx.Deletes), "outcome_unknown", unknown)
	return len(tx.Deletes)
}
