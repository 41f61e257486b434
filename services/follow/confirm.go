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

// Reasons for which a read does not confirm the list.
var (
	errNoCopy    = errors.New("the list of targets is not known")
	errUnsettled = errors.New("entries may be missing after a silence of the store")
)

const (
	// maxConfirmsPerSecond bounds the reads of a whole fleet for Confirm.
	maxConfirmsPerSecond = 1000
	// confirmTimeout bounds the wait of Confirm, besides the one for the reads of other gateways. It
	// exceeds that for two answers of a slow store.
	confirmTimeout = 500 * time.Millisecond
)

// confirmations shares reads of the targets' changes among concurrent calls of Confirm.
type confirmations struct {
	mu    sync.Mutex
	next  *confirmation // not begun yet, nil if nobody waits for it
	busy  bool
	pause func() // waits until the next read may begin; may be nil
}

type confirmation struct {
	done chan struct{}
	err  error
}

// Confirm updates the list of targets by a read of the store that begins after the call, so that the
// list includes all that the store had taken by then. It fails if the store does not answer in time.
func (s *Service) Confirm(ctx context.Context) error {
	_, members := s.opts.Fleet()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout+confirmInterval(members))
	defer cancel()
	c := s.confirmations.join(func() error { return s.confirmTargets(s.t.Context(context.Background())) })
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
	next := c.next
	if !c.busy {
		c.busy = true
		go c.run(read)
	}
	return next
}

func (c *confirmations) run(read func() error) {
	for c.isNeeded() {
		if c.pause != nil {
			c.pause()
		}
		current := c.begin()
		current.err = read()
		close(current.done)
	}
}

// isNeeded reports whether somebody waits for the next read; otherwise run ends.
func (c *confirmations) isNeeded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = c.next != nil
	return c.busy
}

// begin returns the read that begins now. Later calls wait for the one after it.
func (c *confirmations) begin() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.next
	c.next = nil
	return current
}

// pauseConfirmations waits so long after the last read that the whole fleet stays within its bound.
func (s *Service) pauseConfirmations() {
	_, members := s.opts.Fleet()
	if wait := confirmWait(s.opts.Clock.Now(), s.lastConfirm, members); wait > 0 {
		s.sleep(wait)
	}
	s.lastConfirm = s.opts.Clock.Now()
}

// confirmWait returns the time until the next read may begin.
func confirmWait(now, last time.Time, members int) time.Duration {
	return max(last.Add(confirmInterval(members)).Sub(now), 0)
}

// confirmInterval returns the least time between two reads of a gateway.
func confirmInterval(members int) time.Duration {
	return time.Duration(members) * time.Second / maxConfirmsPerSecond
}

// confirmTargets reads the changes of targets and reports whether the list is complete as of a time
// after the call.
func (s *Service) confirmTargets(ctx context.Context) error {
	asked := s.opts.Clock.Now()
	err := s.readTargetChanges(ctx)
	if IsErrHistoryGone(err) {
		err = s.readAllTargets(ctx)
	}
	if err != nil {
		return err
	}
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchTargets.Confirmed(asked)
	if s.watchTargets.Unsettled(now) {
		return errUnsettled
	}
	return nil
}

// readTargetChanges reads the changes since the local copy, without waiting for one.
func (s *Service) readTargetChanges(ctx context.Context) error {
	s.mu.Lock()
	since, known := max(s.table.revision, s.table.complete), !s.watchTargets.FreshAt().IsZero()
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
	s.applyTargetChanges(update)
	return nil
}

func (s *Service) readAllTargets(ctx context.Context) error {
	s.countCall("targets", reasonConfirm)
	asked := s.opts.Clock.Now()
	update, err := s.opts.Source.Targets(ctx)
	if err != nil {
		return err
	}
	if err := s.checkEra(update.Revision, 0, true); err != nil {
		return err
	}
	s.replaceTargets(update, asked)
	return nil
}

// reasonConfirm is the reason of a read for Confirm.
const reasonConfirm = watch.Reason("confirm")
