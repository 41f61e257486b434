// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package order sends orders to engines. Each order is fenced by the epoch of a lease in the
// platform's table, so that an engine can reject an outdated one.
package order

import (
	"context"
	"encoding/json"
	"time"

	"madderway/core/lease"
	"madderway/models/conf"
	"madderway/models/result"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/services/engine"
	"madderway/services/platform"
)

const keyPrefix = "lease/"

// Sender sends an order to a target.
type Sender interface {
	// Send returns an error if the target refused or was unreachable.
	Send(ctx context.Context, address string, o engine.Order) error
}

// Options are the settings and dependencies of a Service.
type Options struct {
	RouterID    string
	Incarnation uint64
	Clock       clock.Clock
	Table       platform.Table
	Sender      Sender
	Lease       lease.Config
	Timeout     time.Duration
}

// Service sends fenced orders.
type Service struct {
	log  log.Logger
	opts Options
}

func New(logger log.Logger, o Options) *Service { return &Service{logger, o} }

// Give acquires the lease of a target, sends it one order with a new epoch and returns the epoch.
// The error is an ErrResult.
func (s *Service) Give(ctx context.Context, target *conf.Target, o engine.Order) (uint64, error) {
	l := lease.New(s.opts.Lease, s.opts.RouterID, s.opts.Incarnation, target.ChecksOrders)
	key := keyPrefix + target.Name
	action := l.Begin()
	version := uint64(0)
	for {
		if ctx.Err() != nil {
			return 0, result.New(result.OrderRefused, "the lease of %s was not to be had in time", target.Name).WithRetryAfter(time.Second)
		}
		switch a := action.(type) {
		case lease.ReadRow:
			action, version = s.read(ctx, l, key, a)
		case lease.WriteRow:
			action, version = s.write(ctx, l, key, a)
		case lease.GiveUp:
			return 0, result.New(result.OrderRefused, "%s: %s", target.Name, a.Reason).WithRetryAfter(time.Second)
		case lease.GiveOrder:
			return a.Epoch, s.send(ctx, l, key, version, target, a, o)
		}
	}
}

func (s *Service) read(ctx context.Context, l *lease.Lease, key string, a lease.ReadRow) (lease.Action, uint64) {
	if a.After > 0 {
		select {
		case <-ctx.Done():
		case <-s.opts.Clock.After(a.After):
		}
	}
	row, err := s.opts.Table.Get(ctx, key)
	var r lease.Row
	if err == nil && row.Version > 0 {
		err = json.Unmarshal(row.Value, &r)
	}
	return l.OnRead(s.opts.Clock.Now(), err == nil, r, row.Version), row.Version
}

func (s *Service) write(ctx context.Context, l *lease.Lease, key string, a lease.WriteRow) (lease.Action, uint64) {
	res := s.commit(ctx, key, a.Row, a.IfVersion)
	return l.OnWritten(s.opts.Clock.Now(), leaseResult(res.Outcome)), res.Row(key).Version
}

func (s *Service) commit(ctx context.Context, key string, r lease.Row, version uint64) platform.TxResult {
	value, err := json.Marshal(r)
	if err != nil {
		return platform.TxResult{Outcome: platform.OutcomeUnavailable}
	}
	return s.opts.Table.Commit(ctx, platform.Tx{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Puts:       []platform.Put{{Key: key, Value: value}},
	})
}

func leaseResult(o platform.Outcome) lease.Result {
	switch o {
	case platform.OutcomeOK:
		return lease.ResultOK
	case platform.OutcomeConflict:
		return lease.ResultConflict
	case platform.OutcomeUnavailable:
		return lease.ResultUnavailable
	default:
		return lease.ResultUnknown
	}
}

func (s *Service) send(ctx context.Context, l *lease.Lease, key string, version uint64, target *conf.Target, g lease.GiveOrder, o engine.Order) error {
	if !l.MaySend(s.opts.Clock.Now(), g) {
		return result.New(result.OrderRefused, "the lease of %s lapsed before the order was sent", target.Name).WithRetryAfter(time.Second)
	}
	o.Epoch = g.Epoch
	sendCtx, cancel := context.WithTimeout(ctx, s.opts.Lease.MaxSend)
	defer cancel()
	err := s.opts.Sender.Send(sendCtx, target.Address, o)
	s.log.Info("Order sent.", "target", target.Name, "action", o.Action, "epoch", o.Epoch, "error", err)
	if err != nil {
		// The order may still arrive, so the lease is left to expire.
		return result.Wrap(result.OrderRefused, err)
	}
	s.commit(ctx, key, l.Release(), version)
	return nil
}
