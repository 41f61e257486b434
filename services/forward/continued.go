// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import "fmt"

// Values of the labels of madderway_gateway_streams_continued_total.
const (
	continuedInAnswer = "answer" // within one answer, at another target
	continuedByCaller = "caller" // the caller came back with another attempt

	softwareSame  = "same" // as at the target that began the stream
	softwareOther = "other"
)

// countContinued counts a response that continues a stream, by whether its target runs the
// software that began the stream.
func (j *job) countContinued() {
	if !j.binding.bound {
		return
	}
	way, software := continuedByCaller, softwareOther
	if j.headOut {
		way = continuedInAnswer
	}
	if j.binding.allows(j.target) {
		software = softwareSame
	}
	j.s.counters.set.GetOrCreateCounter(fmt.Sprintf("madderway_gateway_streams_continued_total{in=%q,software=%q}", way, software)).Inc()
}
