// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package overload

import "time"

const (
	// fullUtilization is the utilization from which packets begin to queue; it is below 1
	// because packet headers are not counted.
	fullUtilization = 0.8
	// minLinkSpan is the shortest measuring interval, so that a short burst of large bodies
	// does not count as a full link.
	minLinkSpan = 500 * time.Millisecond
)

// Link measures the utilization of a machine's network link. It is not safe for
// concurrent use.
type Link struct {
	bytesPerSecond float64 // capacity in each direction; 0 if unknown
	sampledAt      time.Time
	sent, received uint64
	utilization    float64
}

// NewLink returns a link with this capacity in megabits per second, 0 if unknown.
func NewLink(mbps float64) *Link { return &Link{bytesPerSecond: mbps * 1e6 / 8} }

// Full reports whether a link at this utilization delays its traffic.
func Full(utilization float64) bool { return utilization >= fullUtilization }

// Observe takes the bytes sent and received since the start and returns the utilization
// of the busier direction: 1 is full, and 0 is returned if the capacity is unknown.
func (l *Link) Observe(now time.Time, sent, received uint64) float64 {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	span := now.Sub(l.sampledAt)
	if !l.sampledAt.IsZero() && span < minLinkSpan {
		return l.utilization
	}
	if !l.sampledAt.IsZero() {
		most := max(sent-l.sent, received-l.received)
		l.utilization = float64(most) / span.Seconds() / l.bytesPerSecond
	}
	l.sampledAt, l.sent, l.received = now, sent, received
	return l.utilization
}
