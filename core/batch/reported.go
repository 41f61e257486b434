// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package batch

import "time"

const (
	// maxReportedRatio bounds how far a reported speed may lie from the usual one.
	maxReportedRatio = 8
	// maxReportedLatency is longer than any usable engine's first event takes beyond prefill.
	maxReportedLatency = 300 * time.Millisecond
)

// Estimate holds an engine's prefill speed and first latency, measured by its first events.
type Estimate struct {
	TokensPerSecond float64
	FirstLatency    time.Duration // of a first event beyond prefill, 0 if unknown
}

// Estimate returns what was learned of the engine, or false without samples of its speed.
func (e *Engine) Estimate() (Estimate, bool) {
	p := &e.prefill
	return Estimate{p.speed(), p.firstLatency}, p.sampleSeconds > 0
}

// Seed replaces the prior of an engine without samples by what was learned of it elsewhere, or of
// others of its kind. A first latency out of bounds is ignored.
func (e *Engine) Seed(est Estimate) {
	p := &e.prefill
	if p.sampleSeconds > 0 {
		return
	}
	if credible(est.TokensPerSecond) {
		p.reported = est.TokensPerSecond
	}
	if p.firstLatency == 0 && est.FirstLatency > 0 && est.FirstLatency <= maxReportedLatency {
		p.firstLatency, p.latencyReported = est.FirstLatency, true
	}
}

// Within returns the estimate limited to some times a usual speed. A wrong report then costs little
// until samples replace it: an engine that is thought very slow would get no requests to sample.
// Without a usual speed it returns the estimate as it is.
func (e Estimate) Within(usual float64) Estimate {
	if usual <= 0 {
		return e
	}
	e.TokensPerSecond = min(max(e.TokensPerSecond, usual/maxReportedRatio), usual*maxReportedRatio)
	return e
}

// priorSpeed returns the speed that is assumed without samples.
func (p *prefillEstimator) priorSpeed() float64 {
	if p.reported > 0 {
		return p.reported
	}
	return p.prior.speed()
}

// fadeReported moves a reported speed towards that of all engines, as older samples lose weight.
func (p *prefillEstimator) fadeReported(keep float64) {
	if p.reported > 0 {
		p.reported = keep*p.reported + (1-keep)*p.prior.speed()
	}
}
