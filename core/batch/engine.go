// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package batch

import (
	"slices"
	"time"

	"madderway/models/routing"
)

// Outcome is how a run at an engine ended.
type Outcome uint8

// The outcomes.
const (
	OutcomeDone     Outcome = iota + 1 // a whole answer
	OutcomeCanceled                    // the caller has gone
	OutcomeNotSent                     // no connection could be had
	OutcomeFull                        // the engine did not execute the request
	OutcomeMoved                       // another target has the address
	OutcomeFailed                      // the engine answered with a failure
	OutcomeBroken                      // the answer was cut or was no answer
	OutcomeExpired                     // nothing came in time
	OutcomeUnlisted                    // the entry gateway sent nothing: it does not list the target, or that leaves or wants rest
)

// Run is one request at the engine.
type Run struct {
	Prompt  *routing.Prompt
	Output  int // tokens that are thought to be made
	Read    int // tokens that were thought to be read anew
	granted time.Time
	copied  time.Time // copied is when what is copied from another engine will be there.
	dueAt   time.Time // dueAt is when the first event is expected.
	begun   bool
}

// Begun tells whether the first event of the run came.
func (r *Run) Begun() bool { return r.begun }

// Engine is the model of one target. It is not safe for concurrent use.
type Engine struct {
	slots  int
	cache  *cache
	runs   map[*Run]struct{}
	queue  []*Run // queue holds the runs without a first event, in the order of their grants.
	pace   pace
	health health
}

// NewEngine returns the model of an idle engine that is thought to read this
// many tokens a second.
func NewEngine(slots, cacheTokens int, tokensPerSecond float64) *Engine {
	return NewEngineWithPrior(slots, cacheTokens, NewPrior(tokensPerSecond))
}

// NewEngineWithPrior returns an engine that is expected to be as fast as others of its kind.
func NewEngineWithPrior(slots, cacheTokens int, p *Prior) *Engine {
	return &Engine{
		slots: max(slots, 1), cache: newCache(cacheTokens), runs: map[*Run]struct{}{}, pace: pace{prior: p},
	}
}

// Speed returns how many tokens of prompts the engine reads in a second.
func (e *Engine) Speed() float64 { return e.pace.speed() }

// Running returns the number of requests at the engine.
func (e *Engine) Running() int { return len(e.runs) }

// Empty tells whether nothing runs at the engine.
func (e *Engine) Empty() bool { return len(e.runs) == 0 }

// Missing returns the tokens of the prompt that the engine has to read.
func (e *Engine) Missing(p *routing.Prompt) int { return max(p.Tokens-e.cache.hit(p.Parts), 1) }

// ReadingTime returns how long the engine has been reading until now, since it is
// known. One that owes a first event is taken to read on.
func (e *Engine) ReadingTime(now time.Time) time.Duration {
	e.pace.count(now, e.queue)
	return e.pace.done
}

// Ready returns the tokens at the beginning of the prompt that another engine can
// copy from this one.
func (e *Engine) Ready(p *routing.Prompt) int { return min(e.cache.ready(p.Parts), p.Tokens) }

// Fits tells whether the engine has memory for a request.
func (e *Engine) Fits(missing, output int) bool { return missing+output <= e.cache.room() }

// SlotWait returns how long it will probably take until a slot is free, 0 where
// one is.
func (e *Engine) SlotWait() time.Duration {
	if len(e.runs) < e.slots {
		return 0
	}
	return max(e.pace.stream/time.Duration(e.slots), leastSlotWait)
}

// Backlog returns how long the engine will be reading what was sent to it. An
// engine that owes a first event is taken to be as far behind with all the rest.
func (e *Engine) Backlog(now time.Time) time.Duration {
	late := time.Duration(0)
	if len(e.queue) > 0 {
		late = max(now.Sub(e.queue[0].dueAt), 0)
	}
	return max(e.pace.clearAt.Sub(now), 0) + late
}

// Booked returns how long the engine's time for reading is given away; nothing
// more should be sent while that is long.
func (e *Engine) Booked(now time.Time) time.Duration {
	return max(e.Backlog(now), e.pace.bookedTo.Sub(now))
}

// Start puts a request onto the engine, which reads all that it does not keep.
func (e *Engine) Start(now time.Time, p *routing.Prompt, output int) *Run {
	return e.StartCopy(now, p, output, 0, 0)
}

// StartCopy puts a request onto the engine, which first copies so many tokens of
// the prompt from another engine; that takes so long.
func (e *Engine) StartCopy(now time.Time, p *routing.Prompt, output, tokens int, takes time.Duration) *Run {
	e.pace.count(now, e.queue)
	r := &Run{Prompt: p, Output: output, Read: max(e.Missing(p)-tokens, 1), granted: now, copied: now.Add(takes)}
	e.runs[r] = struct{}{}
	e.queue = append(e.queue, r)
	e.cache.outputs += output
	e.cache.pin(now, p.Parts)
	r.dueAt = e.pace.add(now, r, len(e.runs))
	return r
}

// Begin tells that the first event of a run came.
func (e *Engine) Begin(now time.Time, r *Run) {
	if r.begun {
		return
	}
	e.pace.count(now, e.queue)
	e.unqueue(r)
	e.cache.markRead(r.Prompt.Parts)
	e.health.begun()
	e.pace.learn(now, r)
	e.pace.resume(now, e.queue)
}

// Adopt puts a request onto the engine that another scheduler sent there. One
// that has begun has been read; of another only the own part is to be read, since
// that scheduler chose a target that keeps the rest.
func (e *Engine) Adopt(now time.Time, p *routing.Prompt, output int, begun bool) *Run {
	r := &Run{Prompt: p, Output: output, granted: now, copied: now, begun: begun}
	e.runs[r] = struct{}{}
	e.cache.outputs += output
	e.cache.pin(now, p.Parts)
	if begun {
		e.cache.markRead(p.Parts)
		return r
	}
	e.pace.count(now, e.queue)
	r.Read = min(p.Own(), p.Tokens)
	e.queue = append(e.queue, r)
	r.dueAt = e.pace.add(now, r, len(e.runs))
	return r
}

// Learn takes the parts of prompts that the engine itself says it kept at a time.
func (e *Engine) Learn(at time.Time, parts []routing.PromptPart) { e.cache.learn(at, parts) }

func (e *Engine) unqueue(r *Run) {
	r.begun = true
	if i := slices.Index(e.queue, r); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
	}
}

// End takes a request off the engine.
func (e *Engine) End(now time.Time, r *Run, o Outcome) {
	if _, ok := e.runs[r]; !ok {
		return
	}
	delete(e.runs, r)
	if r.begun && o == OutcomeDone {
		e.pace.ended(now.Sub(r.granted))
	}
	e.health.ended(now, r, o, e.silent(now))
	if !r.begun {
		e.pace.count(now, e.queue)
		e.unqueue(r)
		e.pace.resume(now, e.queue)
	}
	e.cache.outputs -= r.Output
	if o == OutcomeDone {
		e.cache.markRead(r.Prompt.Parts)
	}
	e.cache.unpin(now, r.Prompt.Parts)
	e.cache.forgetUnread(r.Prompt.Parts)
}

// Usable tells whether new work may be sent to the engine.
func (e *Engine) Usable(now time.Time) bool { return e.health.usable(now) && !e.silent(now) }

// Errors returns the share of runs that failed lately.
func (e *Engine) Errors(now time.Time) float64 { return e.health.share(now) }

// silent tells whether the engine owes a first event for far too long and has
// given no other sign since.
func (e *Engine) silent(now time.Time) bool {
	if len(e.queue) == 0 {
		return false
	}
	r := e.queue[0]
	return r.granted.After(e.pace.lastBegan) && now.Sub(r.granted) > lateFactor*r.dueAt.Sub(r.granted)+lateSlack
}
