// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package overload

import "time"

const (
	// linkHigh is the use of the link from which a machine leaves scheduling to others:
	// packets begin to wait, and their headers are not in what is counted.
	linkHigh = 0.8
	// linkSpan is the least time over which the use is measured: a few bodies that come
	// at once fill a thin link for some hundred milliseconds.
	linkSpan = 500 * time.Millisecond
)

// Link tells how much of a machine's link is in use. It is not safe for concurrent
// use.
type Link struct {
	bytesPerSecond float64 // perSecond is how many bytes cross the link in a second, each way; 0 where that is not known.
	sampledAt      time.Time
	sent, received uint64
	utilization    float64
}

// NewLink returns a link of so many megabits a second, 0 where that is not known.
func NewLink(mbps float64) *Link { return &Link{bytesPerSecond: mbps * 1e6 / 8} }

// Full tells whether so much use of a link makes what crosses it late.
func Full(use float64) bool { return use >= linkHigh }

// Observe takes the bytes sent and received since the start and returns the use of
// the busier direction, 1 where it is full.
func (l *Link) Observe(now time.Time, sent, received uint64) float64 {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	span := now.Sub(l.sampledAt)
	if !l.sampledAt.IsZero() && span < linkSpan {
		return l.utilization
	}
	if !l.sampledAt.IsZero() {
		most := max(sent-l.sent, received-l.received)
		l.utilization = float64(most) / span.Seconds() / l.bytesPerSecond
	}
	l.sampledAt, l.sent, l.received = now, sent, received
	return l.utilization
}
