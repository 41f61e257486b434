// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package config

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"madderway/core/head"
	"madderway/models/conf"
	"madderway/models/result"
	"madderway/services/platform"
)

const (
	submitTimeout  = 10 * time.Second
	confirmWait    = 4 * time.Second
	notifyParallel = 32
)

// Change is a configuration submitted by an operator.
type Change struct {
	Document  *conf.Document
	Author    string
	Operation string // ID that makes a repeated submission harmless
	Base      uint64 // version that the change replaces, or head.AnyBase
}

const (
	StateInForce = "in_force"
	StatePending = "pending"
)

// Receipt is the state of an accepted change.
type Receipt struct {
	Version uint64    `json:"version"`
	Hash    string    `json:"hash"`
	State   string    `json:"state"`
	Missing []Missing `json:"missing"`
}

// Missing is a router that has not confirmed a version.
type Missing struct {
	Router  string `json:"router"`
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
}

// Submit validates a change, makes it the head and waits a few seconds for all routers to
// activate it.
func (s *Service) Submit(ctx context.Context, c Change) (Receipt, error) {
	if _, err := newSnapshot(0, "", c.Document); err != nil {
		return Receipt{}, err
	}
	manifest, chunks, err := c.Document.Split()
	if err != nil {
		return Receipt{}, result.Wrap(result.BadConfig, err)
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if err := s.source.store(ctx, manifest, chunks); err != nil {
		return Receipt{}, result.Wrap(result.PlatformDown, err).WithRetryAfter(time.Second)
	}
	version, err := s.accept(ctx, c, manifest.Hash)
	if err != nil {
		return Receipt{}, err
	}
	s.log.Info("Change accepted.", "version", version, "author", c.Author, "operation", c.Operation)
	return s.Confirm(ctx, head.Version{Number: version, Hash: manifest.Hash}), nil
}

// accept runs the submission's state machine against the table.
func (s *Service) accept(ctx context.Context, c Change, hash string) (uint64, error) {
	sub := head.NewSubmission(hash, c.Author, c.Operation, c.Base, s.opts.Clock.Now())
	action := sub.Begin()
	for {
		switch a := action.(type) {
		case head.ReadHead:
			if !s.sleep(ctx, a.After) {
				action = sub.OnDeadline()
				continue
			}
			observed, err := s.observe(ctx, c.Operation)
			action = sub.OnRead(err == nil, observed)
		case head.WriteHead:
			action = sub.OnWritten(s.writeHead(ctx, a, c.Operation))
		case head.Accepted:
			return a.Version, nil
		case head.Conflict:
			return 0, result.New(result.ConfigConflict, "your change was made for version %d; version %d (%.12s by %s) is in its place",
				a.Base.Version, a.Current.Version, a.Current.Hash, a.Current.Author)
		case head.Undecided:
			if !a.MayHaveCommitted {
				return 0, result.New(result.PlatformDown, "the platform's table gave no answer").WithRetryAfter(time.Second)
			}
			return 0, result.New(result.ConfigUnknown, "submit again with operation ID %s", c.Operation).WithRetryAfter(time.Second)
		}
	}
}

func (s *Service) sleep(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	if d == 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.opts.Clock.After(d):
		return true
	}
}

func (s *Service) observe(ctx context.Context, operation string) (head.Observed, error) {
	var o head.Observed
	row, err := s.opts.Table.Get(ctx, headKey)
	if err != nil {
		return o, err
	}
	o.HeadVersion = row.Version
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &o.Head); err != nil {
			return o, err
		}
	}
	// The operation is read after the head, so that a transaction committed between the two
	// reads counts as done and not as a conflict.
	op, err := s.opts.Table.Get(ctx, operationPrefix+operation)
	if err != nil || op.Version == 0 {
		return o, err
	}
	o.Done = &head.Operation{}
	return o, json.Unmarshal(op.Value, o.Done)
}

func (s *Service) writeHead(ctx context.Context, w head.WriteHead, operation string) head.Result {
	headValue, err := json.Marshal(w.Head)
	if err != nil {
		return head.ResultUnavailable
	}
	opValue, err := json.Marshal(head.Operation{Version: w.Head.Version, Hash: w.Head.Hash})
	if err != nil {
		return head.ResultUnavailable
	}
	key := operationPrefix + operation
	res := s.opts.Table.Commit(ctx, platform.Tx{
		Conditions: []platform.Condition{{Key: headKey, Version: w.IfVersion}, {Key: key}},
		Puts:       []platform.Put{{Key: headKey, Value: headValue}, {Key: key, Value: opValue}},
	})
	switch res.Outcome {
	case platform.OutcomeOK:
		return head.ResultOK
	case platform.OutcomeConflict:
		return head.ResultConflict
	case platform.OutcomeUnavailable:
		return head.ResultUnavailable
	default:
		return head.ResultUnknown
	}
}

// Confirm announces a version to all members and waits for them to activate it. The receipt's
// state is StateInForce if every member has activated the version, has stopped admitting
// requests, or has been dead for longer than the isolation time: such a member either follows
// the head row, or has stopped admitting since it reaches neither store nor peer.
func (s *Service) Confirm(ctx context.Context, v head.Version) Receipt {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	s.events.Put(s.t.Dying(), head.HeadSeen{Version: v, Exists: true})
	var (
		mu      sync.Mutex
		wg      sync.WaitGroup
		missing = []Missing{}
		slots   = make(chan struct{}, notifyParallel)
	)
	for _, m := range s.opts.Peers.Members() {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			if unconfirmed, ok := s.confirmOne(ctx, m, v); !ok {
				mu.Lock()
				missing = append(missing, unconfirmed)
				mu.Unlock()
			}
		}()
	}
	if current := s.Await(ctx, v.Number); current < v.Number {
		mu.Lock()
		missing = append(missing, Missing{Router: "self", Version: current, Reason: "the content could not be fetched"})
		mu.Unlock()
	}
	wg.Wait()
	receipt := Receipt{Version: v.Number, Hash: v.Hash, State: StateInForce, Missing: missing}
	if len(missing) > 0 {
		receipt.State = StatePending
	}
	return receipt
}

func (s *Service) confirmOne(ctx context.Context, m MemberInfo, v head.Version) (Missing, bool) {
	if s.isolationPassed(m.ID) {
		return Missing{}, true
	}
	wait := confirmWait / 2
	answer, err := s.opts.Peers.Notify(ctx, m.ID, v, wait)
	switch {
	case err != nil:
		return Missing{Router: m.ID, Reason: "not reached: " + err.Error()}, false
	case answer.Version >= v.Number || !answer.Admitting:
		return Missing{}, true
	default:
		return Missing{m.ID, answer.Version, fmt.Sprintf("not in force after %s", wait)}, false
	}
}

func (s *Service) isolationPassed(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, ok := s.deadSince[id]
	return ok && s.opts.Clock.Now().Sub(since) > s.opts.Isolation+s.opts.PollHead
}
