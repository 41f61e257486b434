// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"errors"
	"testing"
	"time"

	"madderway/core/quarantine"
	"madderway/modules/clock"
	"madderway/modules/log"
	requests "madderway/services/quarantine"
)

// A goroutine was about to send when the machine was suspended. Its target may have left, or
// begun another life, when it goes on: the place no longer holds, and nothing is sent.
func TestNothingIsSentToAStalePlace(t *testing.T) {
	c := clock.NewFake()
	q := requests.New(log.New("quarantine"), requests.Options{Clock: c, Tell: func(quarantine.Record) {}})
	j := &job{s: &Service{opts: Options{Clock: c, Requests: q}}, r: &Request{}, placedAt: c.Now()}
	c.Advance(placeHolds)
	if err := j.checkAtSend(); err != nil {
		t.Errorf("a place that still holds: %v", err)
	}
	c.Advance(3 * time.Second)
	if err := j.checkAtSend(); !errors.Is(err, errStalePlace) {
		t.Errorf("a stale place: %v", err)
	}
}
