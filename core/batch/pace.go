// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package batch

import (
	"time"

	"madderway/modules/saturate"
)

const (
	priorSeconds   = 0.5  // weight of the prior speed, in seconds of prefill
	speedDecay     = 0.97 // weight that older samples keep with each new one
	minDecayTokens = 256  // tokens from which a sample makes older ones decay
	latencyGain    = 0.1  // weight of a new sample of a latency
	// maxSampleSeconds is the largest weight of one sample: a long one may be a standstill of a
	// gateway, and short ones would take long to outweigh it.
	maxSampleSeconds = 1.0
	// maxSpeedup bounds the speedup over the estimate that one prompt can show if it may have
	// been cached.
	maxSpeedup = 2
	// minFirstLatency is less than any engine's time to the first event of a prompt that it
	// has to prefill: a step of a batch and the round trip take longer. Faster ones were cached.
	minFirstLatency = 10 * time.Millisecond
	minSlotWait     = 30 * time.Millisecond
	// Bounds of an assumed speed, in prompt tokens per second: engines are neither slower nor faster.
	minSpeed = 1000
	maxSpeed = 10_000_000
	// defaultSpeed is assumed while no speed is known, in prompt tokens per second. Work that is
	// placed by it shows the engines' own.
	defaultSpeed = 20_000
	// maxPrefillShare is the part of an idle engine's time that may be booked for prefill.
	// Each running request takes off prefillSharePerRun, down to minPrefillShare, since
	// prefill slows down decoding for all of them: a token then takes as long as a piece of a
	// prompt, ten times longer than otherwise.
	maxPrefillShare    = 1.0
	prefillSharePerRun = 0.01
	minPrefillShare    = 0.6
	// maxDecodeTime is the booked time that may be left to decoding from before a run.
	maxDecodeTime = time.Second
	// idleReset is the time without a run after which nothing is booked at an engine.
	idleReset = 120 * time.Millisecond
)

// prefillEstimator estimates the prefill speed and backlog of an engine. Engines prefill
// prompts in the order of their arrival, so each first event shows how much is left.
type prefillEstimator struct {
	doneAt          time.Time     // expected end of the prefill of all requests
	bookedUntil     time.Time     // end of the booked prefill time
	sampleTokens    float64       // prefilled tokens in the speed samples, decayed
	sampleSeconds   float64       // seconds in the speed samples, decayed
	busyTime        time.Duration // total prefill time until countedAt
	countedAt       time.Time
	prior           *Prior
	reported        float64       // prior speed of this engine by another scheduler, 0 if unknown
	firstLatency    time.Duration // latency of a first event beyond prefill
	latencyReported bool          // firstLatency is another scheduler's
	slotTime        time.Duration // average time that a request occupies its slot
	lastFirstEvent  time.Time
	standstillAt    time.Time // end of the last standstill of this process; runs from before it are not sampled
}

func (p *prefillEstimator) speed() float64 {
	return (p.priorSpeed()*priorSeconds + p.sampleTokens) / (priorSeconds + p.sampleSeconds)
}

// Prior is the prefill speed of engines of one kind, estimated from the samples of all
// of them. It is the initial estimate for a new engine.
type Prior struct {
	initialSpeed  float64 // tokens per second, without samples
	sampleTokens  float64 // prefilled tokens in the samples, decayed
	sampleSeconds float64 // seconds in the samples, decayed
}

// NewPrior returns a prior without samples.
func NewPrior(tokensPerSecond float64) *Prior {
	p := &Prior{initialSpeed: defaultSpeed}
	p.SetInitialSpeed(tokensPerSecond)
	return p
}

// SetInitialSpeed replaces the speed that is assumed without samples. The configuration and the list
// of targets, which it follows from, may come late and change. A speed that no engine has counts as
// unknown and changes nothing: from one far too low it would take many requests to learn the true one.
func (p *Prior) SetInitialSpeed(tokensPerSecond float64) {
	if credible(tokensPerSecond) {
		p.initialSpeed = tokensPerSecond
	}
}

// credible reports whether an engine may have this speed, in prompt tokens per second.
func credible(tokensPerSecond float64) bool {
	return tokensPerSecond >= minSpeed && tokensPerSecond <= maxSpeed
}

func (p *Prior) speed() float64 {
	return (p.initialSpeed*priorSeconds + p.sampleTokens) / (priorSeconds + p.sampleSeconds)
}

func (p *prefillEstimator) durationFor(tokens int) time.Duration {
	return saturate.Seconds(float64(tokens) / p.speed())
}

// countBusyTime adds the time since the last call in which the engine was busy with
// prefill. An engine whose first event is overdue counts as busy: it still prefills, or
// this process is cut off from its events.
func (p *prefillEstimator) countBusyTime(now time.Time, queue []*Run) {
	until := p.doneAt
	if len(queue) > 0 && now.After(queue[0].dueAt) || until.After(now) {
		until = now
	}
	if !p.countedAt.IsZero() && until.After(p.countedAt) {
		p.busyTime += until.Sub(p.countedAt)
	}
	p.countedAt = later(p.countedAt, now)
}

// prefillShare returns the share of time that may be booked for prefill beside running requests.
func prefillShare(running int) float64 {
	return max(maxPrefillShare-prefillSharePerRun*float64(running), minPrefillShare)
}

// enqueue appends a run to the backlog and returns the expected time of its first event.
// A copy takes no prefill time, since the engine prefills other prompts meanwhile.
func (p *prefillEstimator) enqueue(now time.Time, r *Run, running int) time.Time {
	duration := p.durationFor(r.PrefillTokens)
	begins := later(later(p.doneAt, now), r.copyDoneAt)
	p.doneAt = later(p.doneAt, now).Add(duration)
	p.bookedUntil = later(p.bookedUntil, now).Add(saturate.Duration(float64(duration) / prefillShare(running)))
	return begins.Add(duration + p.firstLatency)
}

// resetBacklog recomputes the backlog from the queue after a run has left it. The prompt of a first
// event was prefilled one firstLatency ago.
func (p *prefillEstimator) resetBacklog(now time.Time, left *Run, queue []*Run) {
	at, queued := now.Add(-p.firstLatency), time.Duration(0)
	for _, r := range queue {
		duration := p.durationFor(r.PrefillTokens)
		r.dueAt = later(later(at, r.startedAt), r.copyDoneAt).Add(duration + p.firstLatency)
		at = later(at, r.startedAt).Add(duration)
		queued += duration
	}
	p.doneAt = at
	p.limitBooking(now, left, queued)
}

// limitBooking bounds the booked time after a run has left the queue, so that a wrong estimate for it
// ends with the run: decoding gets at most as long as the run was there, beside the queued prompts.
func (p *prefillEstimator) limitBooking(now time.Time, left *Run, queued time.Duration) {
	most := now.Add(maxDecodeTime + now.Sub(left.startedAt) + saturate.Duration(float64(queued)/minPrefillShare))
	if p.bookedUntil.After(most) {
		p.bookedUntil = most
	}
}

// observe samples the speed if this prompt waited for the prefill of the one before it,
// and the first-event latency if the engine was idle.
func (p *prefillEstimator) observe(now time.Time, r *Run) {
	defer func() { p.lastFirstEvent = now }()
	if !r.startedAt.After(p.standstillAt) {
		return
	}
	before := p.lastFirstEvent.Add(-p.firstLatency) // end of the prefill of the prompt before
	if r.copyDoneAt.After(before) && r.copyDoneAt.After(r.startedAt) {
		return // the copy may account for the time
	}
	if before.After(r.startedAt) {
		p.addSpeedSample(float64(r.PrefillTokens), now.Sub(p.lastFirstEvent))
		return
	}
	took := now.Sub(r.startedAt)
	spent := p.durationFor(r.PrefillTokens)
	if took < spent && took >= minFirstLatency {
		// Faster than the estimate.
		tokens := float64(r.PrefillTokens)
		if !r.cacheKnown {
			tokens = min(tokens, maxSpeedup*p.speed()*took.Seconds())
		}
		p.addSpeedSample(tokens, took)
		return
	}
	if p.firstLatency > 0 && took > 2*(spent+p.firstLatency) {
		p.addSpeedSample(float64(r.PrefillTokens), took-p.firstLatency)
		return
	}
	over := max(took-spent, 0)
	if p.firstLatency == 0 || p.latencyReported {
		p.firstLatency, p.latencyReported = over, false
		return
	}
	p.firstLatency += saturate.Duration(latencyGain * float64(over-p.firstLatency))
}

// observeSlotTime samples the time that a request occupied its slot.
func (p *prefillEstimator) observeSlotTime(took time.Duration) {
	if p.slotTime == 0 {
		p.slotTime = took
	}
	p.slotTime += saturate.Duration(latencyGain * float64(took-p.slotTime))
}

func (p *prefillEstimator) addSpeedSample(tokens float64, took time.Duration) {
	decay := speedDecay
	if tokens < minDecayTokens {
		decay = 1
	}
	seconds := took.Seconds()
	if seconds > maxSampleSeconds {
		tokens, seconds = tokens*maxSampleSeconds/seconds, maxSampleSeconds
	}
	p.sampleTokens = p.sampleTokens*decay + tokens
	p.sampleSeconds = p.sampleSeconds*decay + seconds
	p.fadeReported(decay)
	p.prior.sampleTokens = p.prior.sampleTokens*decay + tokens
	p.prior.sampleSeconds = p.prior.sampleSeconds*decay + seconds
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
