// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package batch

import "time"

const (
	priorSeconds = 0.5  // weight of the prior speed, in seconds of prefill
	speedDecay   = 0.97 // weight that older samples keep with each new one
	minRead      = 256  // tokens from which a sample makes older ones decay
	firstGain    = 0.1  // weight of a new sample of a latency
	// mostFaster bounds the speedup over the estimate that one prompt can show, since
	// the prompt may have been cached.
	mostFaster = 2
	// leastFirst is less than any engine's time to the first event of a prompt that it
	// has to prefill. Faster ones were cached.
	leastFirst    = 10 * time.Millisecond
	leastSlotWait = 30 * time.Millisecond
	// readShare is the part of an idle engine's time that may be booked for prefill.
	// Each running request takes off readSharePerRun, down to readShareLeast, since
	// prefill slows down decoding for all of them.
	readShare       = 1.0
	readSharePerRun = 0.01
	readShareLeast  = 0.6
)

// pace estimates the prefill speed and backlog of an engine. Engines prefill prompts
// in the order of their arrival, so each first event shows how much is left.
type pace struct {
	clearAt   time.Time     // expected end of the prefill of all requests
	bookedTo  time.Time     // end of the booked prefill time
	read      float64       // prefilled tokens in the speed samples, decayed
	busy      float64       // seconds in the speed samples, decayed
	done      time.Duration // total prefill time until countedAt
	countedAt time.Time
	prior     *Prior
	first     time.Duration // latency of a first event beyond prefill
	stream    time.Duration // average time that a request occupies its slot
	lastBegan time.Time     // last first event
}

func (p *pace) speed() float64 {
	return (p.prior.speed()*priorSeconds + p.read) / (priorSeconds + p.busy)
}

// Prior is the prefill speed of engines of one kind, estimated from the samples of all
// of them. It is the initial estimate for a new engine.
type Prior struct {
	guess float64 // tokens per second, without samples
	read  float64 // prefilled tokens in the samples, decayed
	busy  float64 // seconds in the samples, decayed
}

// NewPrior returns a prior without samples.
func NewPrior(tokensPerSecond float64) *Prior { return &Prior{guess: tokensPerSecond} }

func (p *Prior) speed() float64 { return (p.guess*priorSeconds + p.read) / (priorSeconds + p.busy) }

func (p *pace) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.speed() * float64(time.Second))
}

// count adds the time since the last call in which the engine was busy with prefill.
// An engine whose first event is overdue counts as busy: it still prefills, or this
// process is cut off from its events.
func (p *pace) count(now time.Time, queue []*Run) {
	until := p.clearAt
	if len(queue) > 0 && now.After(queue[0].dueAt) || until.After(now) {
		until = now
	}
	if !p.countedAt.IsZero() && until.After(p.countedAt) {
		p.done += until.Sub(p.countedAt)
	}
	p.countedAt = later(p.countedAt, now)
}

// shareFor returns the share of time that may be booked for prefill beside running requests.
func shareFor(running int) float64 {
	return max(readShare-readSharePerRun*float64(running), readShareLeast)
}

// add appends a run to the backlog and returns the expected time of its first event.
// A copy takes no prefill time, since the engine prefills other prompts meanwhile.
func (p *pace) add(now time.Time, r *Run, running int) time.Time {
	read := p.readTime(r.Read)
	begins := later(later(p.clearAt, now), r.copyDoneAt)
	p.clearAt = later(p.clearAt, now).Add(read)
	p.bookedTo = later(p.bookedTo, now).Add(time.Duration(float64(read) / shareFor(running)))
	return begins.Add(read + p.first)
}

// resume recomputes the backlog from the queue after a first event, whose prompt was
// prefilled one first-event latency ago.
func (p *pace) resume(now time.Time, queue []*Run) {
	at := now.Add(-p.first)
	for _, r := range queue {
		read := p.readTime(r.Read)
		r.dueAt = later(later(at, r.startedAt), r.copyDoneAt).Add(read + p.first)
		at = later(at, r.startedAt).Add(read)
	}
	p.clearAt = at
}

// learn samples the speed if this prompt waited for the prefill of the one before it,
// and the first-event latency if the engine was idle.
func (p *pace) learn(now time.Time, r *Run) {
	defer func() { p.lastBegan = now }()
	before := p.lastBegan.Add(-p.first) // end of the prefill of the prompt before
	if r.copyDoneAt.After(before) && r.copyDoneAt.After(r.startedAt) {
		return // the copy may account for the time
	}
	if before.After(r.startedAt) {
		p.measure(r.Read, now.Sub(p.lastBegan))
		return
	}
	took := now.Sub(r.startedAt)
	spent := p.readTime(r.Read)
	if took < spent && took >= leastFirst {
		// Faster than the estimate. The prompt may have been cached, so the sample is bounded.
		p.measure(r.Read, max(took, spent/mostFaster))
		return
	}
	if p.first > 0 && took > 2*(spent+p.first) {
		p.measure(r.Read, took-p.first)
		return
	}
	over := max(took-spent, 0)
	if p.first == 0 {
		p.first = over
		return
	}
	p.first += time.Duration(firstGain * float64(over-p.first))
}

// ended samples the time that a request occupied its slot.
func (p *pace) ended(took time.Duration) {
	if p.stream == 0 {
		p.stream = took
	}
	p.stream += time.Duration(firstGain * float64(took-p.stream))
}

func (p *pace) measure(tokens int, took time.Duration) {
	decay := speedDecay
	if tokens < minRead {
		decay = 1
	}
	p.read = p.read*decay + float64(tokens)
	p.busy = p.busy*decay + took.Seconds()
	p.prior.read = p.prior.read*decay + float64(tokens)
	p.prior.busy = p.prior.busy*decay + took.Seconds()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
