// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forecast

import (
	"math/bits"
	"time"

	"madderway/modules/saturate"
)

const (
	// slackPeriod is the age at which a request counts no longer, up to twice that.
	slackPeriod = 2 * time.Second
	// rareShare is the part of the requests that is left out: repeated attempts have little
	// left of their objective.
	rareShare = 0.1
	// Times are told apart by stepsPerOctave, from about a millisecond to a minute.
	stepsPerOctave          = 4
	firstOctave, lastOctave = 20, 35
)

// Slack estimates the least time that recent requests had to spare: what their objectives
// leave if they are placed at an idle engine.
type Slack struct {
	current, last slackCounts
	since         time.Time // start of current
}

type slackCounts struct {
	total int
	steps [stepsPerOctave * (lastOctave - firstOctave + 1)]slackStep
}

// slackStep counts times of similar length.
type slackStep struct {
	count int
	least time.Duration
}

// Observe records the time that a request has to spare. Requests without any say nothing.
func (o *Slack) Observe(now time.Time, spare time.Duration) {
	if spare <= 0 {
		return
	}
	if age := now.Sub(o.since); age >= slackPeriod {
		o.last = o.current
		if age >= 2*slackPeriod {
			o.last = slackCounts{}
		}
		o.current, o.since = slackCounts{}, now
	}
	s := &o.current.steps[stepOf(spare)]
	if s.count == 0 || spare < s.least {
		s.least = spare
	}
	s.count++
	o.current.total++
}

func stepOf(d time.Duration) int {
	d = min(max(d, 1<<firstOctave), 1<<(lastOctave+1)-1)
	octave := bits.Len64(uint64(d)) - 1
	fraction := (uint64(d) - 1<<octave) * stepsPerOctave >> octave
	return (octave-firstOctave)*stepsPerOctave + int(fraction)
}

// Tightest returns the least time to spare lately, without rare ones, or 0 without requests.
func (o *Slack) Tightest() time.Duration {
	rare := saturate.Int(rareShare * float64(o.current.total+o.last.total))
	seen := 0
	for i := range o.current.steps {
		a, b := &o.current.steps[i], &o.last.steps[i]
		if seen += a.count + b.count; seen <= rare {
			continue
		}
		if a.count == 0 || b.count > 0 && b.least < a.least {
			return b.least
		}
		return a.least
	}
	return 0
}
