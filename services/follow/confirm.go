// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"madderway/core/watch"
)

// errNoCopy reports that the list of targets was never read.
var errNoCopy = errors.New("the list of targets is not known")

// confirmations shares reads of the targets' changes among concurrent calls of Confirm.
type confirmations struct {
	mu   sync.Mutex
	next *confirmation // not begun yet, nil if nobody waits for it
	busy bool
}

type confirmation struct {
	done chan struct{}
	err  error
}

// Confirm reads the changes of targets from the store and applies them. The read begins after the
// call, so that the list includes all that the store had taken by then.
func (s *Service) Confirm(ctx context.Context) error {
	c := s.confirmations.join(func() error { return s.readTargetChanges(s.t.Context(context.Background())) })
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns the next read, and starts it unless another one is running.
func (c *confirmations) join(read func() error) *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &confirmation{done: make(chan struct{})}
	}
	if !c.busy {
		c.busy = true
		go c.run(read)
	}
	return c.next
}

func (c *confirmations) run(read func() error) {
	for {
		c.mu.Lock()
		current := c.next
		c.next = nil
		c.busy = current != nil
		c.mu.Unlock()
		if current == nil {
			return
		}
		current.err = read()
		close(current.done)
	}
}

// readTargetChanges reads the changes since the local copy, without waiting for one.
func (s *Service) readTargetChanges(ctx context.Context) error {
	s.mu.Lock()
	since, known := s.table.revision, !s.watchTargets.FreshAt().IsZero()
	s.mu.Unlock()
	if !known {
		return errNoCopy
	}
	s.countCall("targets", reasonConfirm)
	update, err := s.opts.Source.WatchTargets(ctx, since, 0)
	if err != nil {
		return err
	}
	if err := s.checkEra(update.Revision, since, false); err != nil {
		return err
	}
	s.applyTargets(func(now time.Time) bool { return s.table.apply(s.table.toLocalChanges(now, update.Changes)) })
	return nil
}

// reasonConfirm is the reason of a read for Confirm.
const reasonConfirm = watch.Reason("confirm")
