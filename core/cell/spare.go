// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"time"

	"madderway/modules/saturate"
)

// Least idle share of a cell's targets for which it has room. A prompt read anew takes the
// time of several requests whose beginnings are cached, which a busier cell would refuse for it.
const minIdleShare = 0.5

// Room returns the room of this cell, or false if no target is usable.
func (c *Cell) Room(now time.Time, key Key) (Room, bool) {
	if !c.rules.Room {
		return Room{}, false
	}
	c.refreshViews(now)
	room, spare, speed := Room{Cell: key, Wait: -1}, 0.0, 0.0
	usable := 0
	for i := range c.views {
		v := &c.views[i]
		if !v.usable {
			continue
		}
		usable++
		speed += v.speed
		if room.Wait < 0 || v.baseWait < room.Wait {
			room.Wait = v.baseWait
		}
		if v.accepts(backlogLimit) {
			spare += (backlogLimit - max(v.booked, 0)).Seconds() * v.speed
		}
	}
	if room.Wait < 0 || speed <= 0 {
		return Room{}, false
	}
	ahead := float64(c.waitingTokens())
	room.Wait += seconds(ahead / speed)
	if idle, share := c.idleTime(now, usable); share >= minIdleShare {
		room.SpareTokens = saturate.Int(max(spare+speed*idle.Seconds()-ahead, 0))
	}
	return room, true
}

// idleTime returns for how long an average one of the usable targets was idle since the last
// call, and its share of the time; 0 if the last call is longer ago than maxRoomAge. As much is
// expected until the next call.
func (c *Cell) idleTime(now time.Time, targets int) (time.Duration, float64) {
	before, reading := c.lastRoom, c.Counts(now).Reading
	c.lastRoom = readingSample{now, reading}
	span := now.Sub(before.at)
	if span <= 0 || span > maxRoomAge || targets == 0 {
		return 0, 0
	}
	idle := max(span-(reading-before.reading)/time.Duration(targets), 0)
	return idle, float64(idle) / float64(span)
}

// readingSample is the prefill time of all targets up to a time.
type readingSample struct {
	at      time.Time
	reading time.Duration
}

// waitingTokens returns the prompt tokens that targets have to prefill for the waiting
// requests.
func (c *Cell) waitingTokens() int {
	tokens := 0
	for _, w := range c.waiting {
		if w.best != nil {
			tokens += w.best.engine.UncachedTokens(w.ask.Prompt)
		} else {
			tokens += w.ask.Prompt.Tokens
		}
	}
	return tokens
}
