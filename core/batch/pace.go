// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package batch

import "time"

// Weights of what is measured.
const (
	// priorSeconds is how many seconds of reading the first guess of the speed
	// weighs against what is measured.
	priorSeconds = 0.5
	speedDecay   = 0.97 // of the weight of older measurements, for each new one
	minRead      = 256  // tokens below which a request says nothing of the speed
	firstGain    = 0.1
	// mostFaster is how many times faster than the estimate one prompt may show an
	// engine to be that reads nothing else.
	mostFaster = 2
	// leastFirst is the time before which no engine gives a first event of a prompt that
	// it has to read: a step of a batch and the way there and back take longer.
	leastFirst = 10 * time.Millisecond
	// leastSlotWait is what a full engine is waited for at least.
	leastSlotWait = 30 * time.Millisecond
	// readShare is the part of an engine's time that is given to reading where
	// nothing runs there, readSharePerRun what each running stream takes off it.
	// While an engine reads, a token of all its streams takes a whole piece of a
	// prompt; in the rest of the time tokens come ten times faster.
	readShare       = 1.0
	readSharePerRun = 0.01
	readShareLeast  = 0.6
)

// pace is how fast an engine reads, and how far it is with what it has. Engines
// read prompts in the order in which they arrive, so each first event tells how
// much is left.
type pace struct {
	clearAt   time.Time     // clearAt is when all that was sent will have been read.
	bookedTo  time.Time     // bookedTo is until when the time for reading is given away.
	read      float64       // tokens read while busy, older ones weigh less
	busy      float64       // the seconds that this took
	done      time.Duration // done is how long the engine has been reading until countedAt.
	countedAt time.Time
	prior     *Prior
	first     time.Duration
	stream    time.Duration // stream is how long a request usually keeps its slot.
	lastBegan time.Time
}

func (p *pace) speed() float64 {
	return (p.prior.speed()*priorSeconds + p.read) / (priorSeconds + p.busy)
}

// Prior is how fast engines of one kind read, as far as any of them has shown: what is
// expected of one that has shown nothing yet.
type Prior struct {
	guess float64 // tokens a second, before anything was measured
	read  float64 // tokens read while busy, older ones weigh less
	busy  float64 // the seconds that this took
}

// NewPrior returns a prior of engines that are guessed to read so many tokens a second.
func NewPrior(tokensPerSecond float64) *Prior { return &Prior{guess: tokensPerSecond} }

func (p *Prior) speed() float64 { return (p.guess*priorSeconds + p.read) / (priorSeconds + p.busy) }

func (p *pace) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.speed() * float64(time.Second))
}

// count adds the time since the last call in which the engine was reading. It does
// not hang on first events: where none come, the engine still reads, or the process
// that should hear of them is cut off.
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

// shareFor returns the part of the time for reading beside so many streams.
func shareFor(running int) float64 {
	return max(readShare-readSharePerRun*float64(running), readShareLeast)
}

// add puts a run to the end of what is to be read beside so many streams, and
// returns when its first event is due. While a run waits for its copy the engine
// reads others, so that a copy takes none of its time.
func (p *pace) add(now time.Time, r *Run, running int) time.Time {
	read := p.readTime(r.Read)
	begins := later(later(p.clearAt, now), r.copied)
	p.clearAt = later(p.clearAt, now).Add(read)
	p.bookedTo = later(p.bookedTo, now).Add(time.Duration(float64(read) / shareFor(running)))
	return begins.Add(read + p.first)
}

// resume makes the backlog what the queue holds, as of a first event that has
// just come: what was read by then was read the time of a first event ago.
func (p *pace) resume(now time.Time, queue []*Run) {
	at := now.Add(-p.first)
	for _, r := range queue {
		read := p.readTime(r.Read)
		r.dueAt = later(later(at, r.granted), r.copied).Add(read + p.first)
		at = later(at, r.granted).Add(read)
	}
	p.clearAt = at
}

// learn measures the speed where this prompt had to wait for the one before it
// to be read, and the time to the first event where the engine was idle.
func (p *pace) learn(now time.Time, r *Run) {
	defer func() { p.lastBegan = now }()
	before := p.lastBegan.Add(-p.first) // when the prompt before was read
	if r.copied.After(before) && r.copied.After(r.granted) {
		return // the copy may have taken the time
	}
	if before.After(r.granted) {
		p.measure(r.Read, now.Sub(p.lastBegan))
		return
	}
	took := now.Sub(r.granted)
	spent := p.readTime(r.Read)
	if took < spent && took >= leastFirst {
		// Faster than it reads by the estimate, whatever else the time went into. What
		// it was thought not to keep it may have kept, so one prompt proves little.
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

// ended takes how long a request kept its slot.
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
