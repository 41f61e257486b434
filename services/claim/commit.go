// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	core "madderway/core/claim"
	"madderway/modules/ring"
	"madderway/services/platform"
)

const (
	// committers is the number of transactions that may be in flight at once.
	committers = 4
	// maxGroupRows bounds the rows of one transaction.
	maxGroupRows = 32
)

// write is a conditional write of one claim.
type write struct {
	key    string
	action core.Write
	answer chan core.Event
}

func (s *Service) enqueue(w write) {
	if !s.writes.Put(s.t.Dying(), w) {
		return
	}
}

// commit writes the queued rows in groups. While one group is in flight the next one
// accumulates, so groups grow with the load.
func (s *Service) commit() error {
	for {
		select {
		case <-s.t.Dying():
			return nil
		case first := <-s.writes.Out():
			s.commitGroup(s.gather(first))
		}
	}
}

func (s *Service) gather(first write) []write {
	group := []write{first}
	for len(group) < maxGroupRows {
		select {
		case w := <-s.writes.Out():
			group = append(group, w)
		default:
			return group
		}
	}
	return group
}

// commitGroup commits a group in one transaction. If one row conflicts, the whole transaction
// fails and the rows are written one by one. After an unknown outcome each claim reads its row.
func (s *Service) commitGroup(group []write) {
	group, again := splitDuplicates(group)
	defer func() {
		for _, w := range again {
			s.commitGroup([]write{w})
		}
	}()
	res := s.transact(group)
	if res.Outcome == platform.OutcomeConflict && len(group) > 1 {
		for _, w := range group {
			s.commitGroup([]write{w})
		}
		return
	}
	for _, w := range group {
		w.reply(s, res)
	}
}

// splitDuplicates separates repeated writes to the same row, which one transaction cannot hold.
func splitDuplicates(group []write) (unique, again []write) {
	seen := map[string]bool{}
	for _, w := range group {
		if seen[w.key] {
			again = append(again, w)
			continue
		}
		seen[w.key] = true
		unique = append(unique, w)
	}
	return unique, again
}

func (s *Service) transact(group []write) platform.TxResult {
	var tx platform.Tx
	for _, w := range group {
		value, err := json.Marshal(w.action.Row)
		if err != nil {
			return platform.TxResult{Outcome: platform.OutcomeUnavailable}
		}
		tx.Conditions = append(tx.Conditions, platform.Condition{Key: w.key, Version: w.action.IfVersion})
		tx.Puts = append(tx.Puts, platform.Put{Key: w.key, Value: value})
	}
	ctx, cancel := context.WithTimeout(s.t.Context(context.Background()), s.opts.Timeout)
	defer cancel()
	res := s.opts.Table.Commit(ctx, tx)
	if res.Outcome == platform.OutcomeOK {
		s.transactions.Add(1)
		s.committed.Add(uint64(len(group)))
	}
	return res
}

func (w write) reply(s *Service, res platform.TxResult) {
	ev := core.Written{}
	switch res.Outcome {
	case platform.OutcomeOK:
		ev.Result = core.ResultOK
		ev.Current = core.Versioned{Row: w.action.Row, Version: res.Row(w.key).Version}
	case platform.OutcomeConflict:
		current, err := decode(res.Row(w.key))
		ev.Result, ev.Current = core.ResultConflict, current
		if err != nil {
			ev.Result = core.ResultUnknown
		}
	case platform.OutcomeUnavailable:
		ev.Result = core.ResultUnavailable
	default:
		ev.Result = core.ResultUnknown
	}
	select {
	case w.answer <- ev:
	case <-s.t.Dying():
	}
}

func digest(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// State is the state of the claims in a dump.
type State struct {
	Open      int64      `json:"open"`
	Committed uint64     `json:"rows_committed_total"`
	Batches   uint64     `json:"transactions_total"`
	Ring      ring.State `json:"ring"`
}

// State returns a snapshot for a dump.
func (s *Service) State() State {
	return State{s.open.Load(), s.committed.Load(), s.transactions.Load(), s.writes.State()}
}
