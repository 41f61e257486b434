// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package overload

import "time"

// numVerdicts is how many numVerdicts there are.
const numVerdicts = 3

// verdictCounts counts handled requests by what became of them; a verdict's place is its value less
// one.
type verdictCounts [numVerdicts]float64

func (n *verdictCounts) add(v Verdict) { n[v-1]++ }

func (n *verdictCounts) sum() float64 { return n[0] + n[1] + n[2] }

const (
	// Before anything was learned a request that is served takes initialServeCost, and one that is
	// handed over or refused these parts of it. The first window of a flood corrects the
	// former, whatever the machine; the latter hold until windows differ in their mix.
	initialServeCost     = time.Millisecond
	initialHandOverRatio = 0.35
	initialRefuseRatio   = 0.25
	// How far the first estimates may be off, as parts of them: all together, by the strength
	// of the machine, and each for itself.
	commonUncertainty = 3.0
	ownUncertainty    = 0.4
	// How far the costs may move in a second, as parts of them: all together, since what else
	// runs on the machine changes, and each for itself.
	commonDrift = 0.3
	ownDrift    = 0.1
	// measurementNoise is how far the time of a window may differ from the work in it, as a part of the
	// window.
	measurementNoise = 0.15
	// maxInnovation bounds how far the time of one window is believed to differ from what was
	// expected, as a factor: a process that was stopped for a while handled nothing.
	maxInnovation = 2.0
	// maxCost is the most that a request is taken to cost: what else makes a process late says
	// nothing of requests. mostPart is the part of that which one costs at most that is handed
	// over or refused.
	maxCost      = 100 * time.Millisecond
	maxCostRatio = 0.5
	// minCostRatio is the least that a request costs, as a part of one that is served.
	minCostRatio = 0.02
)

// costs estimates how much time each kind of request takes of a process that is never idle,
// in seconds of elapsed time. Each window gives one equation, the counts of the requests in it
// and its length; a Kalman filter solves them, since the mix of a window says little about
// each kind, and the costs move.
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

// expect returns how long so many requests take.
func (c *costs) expect(n verdictCounts) float64 {
	sum := 0.0
	for i, each := range c.perRequest {
		sum += n[i] * each
	}
	return sum
}

// update takes that so many requests have taken a time.
func (c *costs) update(n verdictCounts, took, doubt float64) {
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
	variance := measurementNoise*measurementNoise*took*took + doubt*doubt
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

// clamp keeps the costs where they can be: none is nothing, and none is above serving.
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
