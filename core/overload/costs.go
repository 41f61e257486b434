// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package overload

import "time"

const numVerdicts = 3

// verdictCounts counts requests by verdict, at index verdict-1.
type verdictCounts [numVerdicts]float64

func (n *verdictCounts) add(v Verdict) { n[v-1]++ }

func (n *verdictCounts) sum() float64 { return n[0] + n[1] + n[2] }

const (
	// Initial costs. The first window of an overload corrects the cost of serving, whatever the
	// machine; the ratios hold until windows differ in their mix of verdicts.
	initialServeCost     = time.Millisecond
	initialHandOverRatio = 0.35
	initialRefuseRatio   = 0.25
	// Standard deviations of the initial costs, relative to them: of the error that all
	// share, as the machine's speed is unknown, and of the error of each one.
	commonUncertainty = 3.0
	ownUncertainty    = 0.4
	// Drift of the costs per second, relative to them: the drift that all share, as other
	// load on the machine changes, and the drift of each one.
	commonDrift = 0.3
	ownDrift    = 0.1
	// measurementNoise is the error of a window's measured work, as a fraction of its length.
	measurementNoise = 0.15
	// maxInnovation limits the factor between the measured and the expected time of a
	// window, since a stopped process handles nothing.
	maxInnovation = 2.0
	// maxCost limits the estimated cost of serving, since other work makes a process late
	// too. For a request that is handed over or refused the limit is maxCostRatio of it.
	maxCost      = 100 * time.Millisecond
	maxCostRatio = 0.5
	// minCostRatio is the least cost of a request, as a fraction of that of serving.
	minCostRatio = 0.02
)

// costs estimates the time that a request of each verdict takes, in seconds of elapsed
// time of a process that is never idle. A single window says little about each verdict
// and the costs drift, so a Kalman filter is updated with the counts and the length of
// each window.
type costs struct {
	perRequest verdictCounts
	cov        [numVerdicts][numVerdicts]float64
}

func newCosts() costs {
	c := costs{perRequest: verdictCounts{Serve - 1: 1, HandOver - 1: initialHandOverRatio, Refuse - 1: initialRefuseRatio}}
	for i := range c.perRequest {
		c.perRequest[i] *= initialServeCost.Seconds()
	}
	for i, a := range c.perRequest {
		for j, b := range c.perRequest {
			c.cov[i][j] = commonUncertainty * commonUncertainty * a * b
		}
		c.cov[i][i] += ownUncertainty * ownUncertainty * a * a
	}
	return c
}

func (c *costs) of(v Verdict) float64 { return c.perRequest[v-1] }

// expect returns the expected time for these requests, in seconds.
func (c *costs) expect(n verdictCounts) float64 {
	sum := 0.0
	for i, each := range c.perRequest {
		sum += n[i] * each
	}
	return sum
}

// update corrects the estimate with the seconds that these requests took, known up to
// the standard deviation stddev.
func (c *costs) update(n verdictCounts, took, stddev float64) {
	expected := c.expect(n)
	if expected <= 0 || took <= 0 {
		return
	}
	took = min(max(took, expected/maxInnovation), expected*maxInnovation)
	for i, a := range c.perRequest {
		for j, b := range c.perRequest {
			c.cov[i][j] += commonDrift * commonDrift * a * b * took
		}
		c.cov[i][i] += ownDrift * ownDrift * a * a * took
	}
	var gain verdictCounts
	variance := measurementNoise*measurementNoise*took*took + stddev*stddev
	for i := range n {
		for j := range n {
			gain[i] += c.cov[i][j] * n[j]
		}
		variance += gain[i] * n[i]
	}
	for i := range n {
		c.perRequest[i] += gain[i] / variance * (took - expected)
		for j := range n {
			c.cov[i][j] -= gain[i] * gain[j] / variance
		}
	}
	c.clamp()
}

// clamp keeps the costs positive and none of them above the cost of serving.
func (c *costs) clamp() {
	serve := min(max(c.perRequest[Serve-1], c.perRequest[Refuse-1], c.perRequest[HandOver-1]), maxCost.Seconds())
	for i := range c.perRequest {
		most := serve
		if Verdict(i+1) != Serve {
			most = min(serve, maxCostRatio*maxCost.Seconds())
		}
		c.perRequest[i] = min(max(c.perRequest[i], minCostRatio*serve), most)
	}
}
