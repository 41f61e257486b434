// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"time"

	"madderway/core/attempt"
	"madderway/modules/saturate"
)

const (
	// recentDecay is the time in which the excess of a slow response loses most of its weight.
	// Targets slow down for some hundred milliseconds at a time, and a gateway may see only a
	// response or two of each target in that time.
	recentDecay = 500 * time.Millisecond
	// recentGain is the weight of a response that is quicker than those before.
	recentGain = 0.5
	// recentLatencyGain is the weight of a new sample in a target's average. With few samples the
	// usual weight takes seconds to tell a slow target.
	recentLatencyGain = 0.4
	// recentHallFactor is the cost factor of a target in another data hall. The gateways of a hall
	// that share a target see more of its responses than if each spreads its requests; a higher
	// factor keeps them at a target that is slow.
	recentHallFactor = 1.5
	// lossPause is the time for which requests that must not run twice avoid a target that lost a
	// response: they are lost with it, and a target that loses responses does so for seconds. The
	// others still go there, so that the remaining targets are not crowded.
	lossPause = avoidMax
	// cutFactor is the multiple of the usual latency that a first attempt gets at least, and that
	// is left for the next one.
	cutFactor = 2
)

// recentExcess is the time by which the last responses of a target took longer than usual.
type recentExcess struct {
	excess time.Duration
	at     time.Time
}

// observe records by how much a response took longer than usual. A slow one counts in full at
// once.
func (r *recentExcess) observe(now time.Time, excess time.Duration) {
	excess = max(excess, 0)
	before := r.value(now)
	if excess < before {
		excess = before - saturate.Duration(recentGain*float64(before-excess))
	}
	r.excess, r.at = excess, now
}

// value returns the excess that is still expected.
func (r *recentExcess) value(now time.Time) time.Duration {
	if r.excess == 0 {
		return 0
	}
	return saturate.Duration(float64(r.excess) * math.Exp(-now.Sub(r.at).Seconds()/recentDecay.Seconds()))
}

// ChooseByRecent makes Choose follow the last responses more than their average, and prefer the
// own data hall more. It answers many gateways before few targets: each gateway sees few
// responses, and the average of all of them hides a target that is slow now.
func (b *Balancer) ChooseByRecent(on bool) { b.byRecent = on }

// expected returns the latency that a request to a target has to expect.
func (b *Balancer) expected(now time.Time, s *targetState) time.Duration {
	latency := b.latencyOf(s)
	if !b.byRecent {
		return latency
	}
	latency += s.recent.value(now)
	for _, since := range s.inFlight {
		latency = max(latency, now.Sub(since))
	}
	return latency
}

func (b *Balancer) latencyGain() float64 {
	if b.byRecent {
		return recentLatencyGain
	}
	return latencyGain
}

func (b *Balancer) otherHallFactor() float64 {
	if b.byRecent {
		return recentHallFactor
	}
	return otherHallFactor
}

// CutAfter returns the time after which an attempt at a target is slow enough to cut, and another
// target can still respond within the remaining objective. It returns false if there is none.
func (b *Balancer) CutAfter(id string, remaining time.Duration) (time.Duration, bool) {
	after := remaining - cutFactor*b.latency
	return after, b.byRecent && after >= cutFactor*b.Latency(id)
}

// Cut records an attempt that was cut since it was slow. Unlike a lost response it tells nothing
// but that.
func (b *Balancer) Cut(now time.Time, p *Pick) {
	if !b.byRecent {
		b.Failed(now, p, attempt.Unknown)
		return
	}
	s := b.state(p.Target.ID)
	s.recent.observe(now, now.Sub(s.inFlight[p.number])-b.latencyOf(s))
	delete(s.inFlight, p.number)
}
