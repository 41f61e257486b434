// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"madderway/models/routing"
	"madderway/services/upstream"
)

// ending is the way in which the body of a target's answer ended.
type ending string

// Endings of an answer. A body that ends with its connection ends without an error whether it is
// complete or not.
const (
	endedWhole       ending = "whole"
	endedInsideEvent ending = "inside_event" // without an error, but in the middle of an event
	endedEmpty       ending = "empty"        // with its connection, before the first event
	endedByExit      ending = "exit"         // with its connection, as the target had exited
	endedShort       ending = "short"        // before the announced length or the last chunk
	endedByReset     ending = "reset"
	endedByTimeout   ending = "timeout"
	endedHere        ending = "closed_here" // this gateway closed the connection
	endedOtherwise   ending = "error"
)

// endingOf returns the ending of a body that was read until err.
func endingOf(err error) ending {
	var timeout net.Error
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return endedWhole
	case errors.Is(err, io.ErrUnexpectedEOF):
		return endedShort
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return endedByReset
	case errors.Is(err, net.ErrClosed):
		return endedHere
	case errors.As(err, &timeout) && timeout.Timeout():
		return endedByTimeout
	default:
		return endedOtherwise
	}
}

// endedWithTarget reports whether a body that ended with its connection may be incomplete, since the
// target has exited without an announcement: the kernel closes the connections of a process that is
// killed in order, between two events too. A leaving target may exit once its answers are whole.
func (j *job) endedWithTarget(a *upstream.Answer, t *routing.Target) bool {
	if a.Framing != upstream.FramedByClose || a.Info.Leaving {
		return false
	}
	if listed := j.s.opts.Targets.Targets().Find(t.ID); listed == nil || !listed.AcceptsWork() {
		return false
	}
	began := j.s.opts.Clock.Now()
	exited, _ := j.s.opts.Client.HasExitedNow(context.WithoutCancel(j.ctx), t)
	j.s.log.Request("Unframed answer ended with its connection.", "id", j.r.Call.ID, "target", t.ID, "exited", exited, "check_took", j.s.opts.Clock.Now().Sub(began))
	return exited
}

// recordEnding notes how the body of a target's answer ended, for the log, and counts it.
func (j *job) recordEnding(a *upstream.Answer, e ending) {
	j.framing, j.ending = a.Framing.String(), e
	j.s.counters.endings(j.framing, e).Inc()
}

// endings returns the counter of answers by framing and ending.
func (c *counters) endings(framing string, e ending) *metrics.Counter {
	key := [2]string{framing, string(e)}
	if n, ok := c.byEnding.Load(key); ok {
		return n.(*metrics.Counter)
	}
	n := c.set.GetOrCreateCounter(fmt.Sprintf("madderway_gateway_target_answers_ended_total{framing=%q,end=%q}", framing, e))
	c.byEnding.Store(key, n)
	return n
}
