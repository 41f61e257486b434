// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package batch

import (
	"slices"
	"time"

	"madderway/models/routing"
)

// Outcome is the result of a run at an engine.
type Outcome uint8

// Outcomes of a run.
const (
	OutcomeDone     Outcome = iota + 1 // complete response
	OutcomeCanceled                    // the caller disconnected
	OutcomeNotSent                     // no connection to the engine
	OutcomeFull                        // the engine rejected the request without executing it
	OutcomeMoved                       // the address belongs to another target now
	OutcomeFailed                      // the engine responded with an error
	OutcomeBroken                      // the response broke off or was invalid
	OutcomeExpired                     // no response in time
	OutcomeUnlisted                    // the entry gateway did not send: the target is unknown to it, leaving or asked for a pause
)

// Beyond it demand may have changed, so that longer retention is worth no more.
const maxRetention = 20 * time.Second

// Run is one request at the engine.
type Run struct {
	Prompt        *routing.Prompt
	OutputTokens  int // expected output tokens
	PrefillTokens int // prompt tokens that the engine has to prefill
	startedAt     time.Time
	copyDoneAt    time.Time // expected end of the copy from another engine
	dueAt         time.Time // expected time of the first event
	begun         bool
	cacheKnown    bool // PrefillTokens follow from a cache that the engine has reported
}

// Begun reports whether the first event of the run has come.
func (r *Run) Begun() bool { return r.begun }

// Engine estimates the state of one target. It is not safe for concurrent use.
type Engine struct {
	slots        int
	cache        *cache
	runs         map[*Run]struct{}
	prefillQueue []*Run // runs without a first event, in the order of their start
	prefill      prefillEstimator
	health       health
	cacheKnown   bool      // the engine has reported its cache
	idleFrom     time.Time // end of the last run while no run is there
}

// NewEngine returns the model of an idle engine with an assumed prefill speed.
func NewEngine(slots, cacheTokens int, tokensPerSecond float64) *Engine {
	return NewEngineWithPrior(slots, cacheTokens, NewPrior(tokensPerSecond))
}

// NewEngineWithPrior returns the model of an idle engine that shares a Prior with others
// of its kind.
func NewEngineWithPrior(slots, cacheTokens int, p *Prior) *Engine {
	return &Engine{
		slots: max(slots, 1), cache: newCache(cacheTokens), runs: map[*Run]struct{}{}, prefill: prefillEstimator{prior: p},
	}
}

// Resize applies new sizes of the engine from the configuration.
func (e *Engine) Resize(slots, cacheTokens int) {
	e.slots = max(slots, 1)
	e.cache.capacity = cacheTokens
}

// PrefillSpeed returns the prefill speed in prompt tokens per second.
func (e *Engine) PrefillSpeed() float64 { return e.prefill.speed() }

// Running returns the number of requests at the engine.
func (e *Engine) Running() int { return len(e.runs) }

// IdleSince returns the end of the last run, the zero time if none has ended.
func (e *Engine) IdleSince() time.Time { return e.idleFrom }

// Idle reports whether no request is at the engine.
func (e *Engine) Idle() bool { return len(e.runs) == 0 }

// UncachedTokens returns the prompt tokens that the engine would have to prefill, at least 1.
func (e *Engine) UncachedTokens(p *routing.Prompt) int {
	return max(p.Tokens-e.cache.hitTokens(p.Parts), 1)
}

// PrefillTime returns the total time that the engine has spent on prefill. An engine
// whose first event is overdue counts as busy.
func (e *Engine) PrefillTime(now time.Time) time.Duration {
	e.prefill.countBusyTime(now, e.prefillQueue)
	return e.prefill.busyTime
}

// CopyableTokens returns the tokens at the beginning of the prompt that another engine
// can copy from this one.
func (e *Engine) CopyableTokens(p *routing.Prompt) int {
	return min(e.cache.copyableTokens(p.Parts), p.Tokens)
}

// Fits reports whether the engine has memory for a request.
func (e *Engine) Fits(uncached, output int) bool { return uncached+output <= e.cache.available() }

// Retention returns how long the engine has kept the part that more tokens would evict, at
// most maxRetention. It is maxRetention while there is room for them.
func (e *Engine) Retention(now time.Time, tokens int) time.Duration {
	if e.cache.usedTokens+e.cache.outputTokens+tokens <= e.cache.capacity {
		return maxRetention
	}
	part := e.cache.leastRecentlyUsed()
	if part == nil {
		return 0
	}
	return min(max(now.Sub(part.usedAt), 0), maxRetention)
}

// SlotWait returns the expected time until a slot is free.
func (e *Engine) SlotWait() time.Duration {
	if len(e.runs) < e.slots {
		return 0
	}
	return e.SlotInterval()
}

// Backlog returns the expected time until the engine has prefilled all its requests.
// The delay of an overdue first event is added, as it delays all later ones.
func (e *Engine) Backlog(now time.Time) time.Duration {
	late := time.Duration(0)
	if len(e.prefillQueue) > 0 {
		late = max(now.Sub(e.prefillQueue[0].dueAt), 0)
	}
	return max(e.prefill.doneAt.Sub(now), 0) + late
}

// Booked returns the backlog, stretched by the time that is left to decoding. Schedulers
// should send nothing more while it is long. It is 0 for an engine that has been idle for a while,
// whatever its estimated speed, as only requests correct the estimate.
func (e *Engine) Booked(now time.Time) time.Duration {
	if e.Idle() && now.Sub(e.idleFrom) >= idleReset {
		return 0
	}
	return max(e.Backlog(now), e.prefill.bookedUntil.Sub(now))
}

// Start adds a request, whose uncached tokens the engine prefills.
func (e *Engine) Start(now time.Time, p *routing.Prompt, output int) *Run {
	return e.StartCopy(now, p, output, 0, 0)
}

// StartCopy adds a request for which the engine copies tokens of the prompt from
// another engine. The copy takes the given time.
func (e *Engine) StartCopy(now time.Time, p *routing.Prompt, output, tokens int, takes time.Duration) *Run {
	e.prefill.countBusyTime(now, e.prefillQueue)
	r := &Run{Prompt: p, OutputTokens: output, PrefillTokens: max(e.UncachedTokens(p)-tokens, 1), startedAt: now, copyDoneAt: now.Add(takes), cacheKnown: e.cacheKnown}
	e.runs[r] = struct{}{}
	e.prefillQueue = append(e.prefillQueue, r)
	e.cache.outputTokens += output
	e.cache.pin(now, p.Parts)
	r.dueAt = e.prefill.enqueue(now, r, len(e.runs))
	return r
}

// Begin records the first event of a run.
func (e *Engine) Begin(now time.Time, r *Run) {
	if r.begun {
		return
	}
	e.prefill.countBusyTime(now, e.prefillQueue)
	e.dequeue(r)
	e.cache.markPrefilled(r.Prompt.Parts)
	e.health.begun()
	e.prefill.observe(now, r)
	e.prefill.resetBacklog(now, r, e.prefillQueue)
}

// Adopt adds a request that another scheduler sent to the engine. If it has not begun,
// only its last part counts as uncached, since that scheduler chose a target with the
// shared parts in its cache.
func (e *Engine) Adopt(now time.Time, p *routing.Prompt, output int, begun bool) *Run {
	r := &Run{Prompt: p, OutputTokens: output, startedAt: now, copyDoneAt: now, begun: begun}
	e.runs[r] = struct{}{}
	e.cache.outputTokens += output
	e.cache.pin(now, p.Parts)
	if begun {
		e.cache.markPrefilled(p.Parts)
		return r
	}
	e.prefill.countBusyTime(now, e.prefillQueue)
	r.PrefillTokens = min(p.OwnTokens(), p.Tokens)
	e.prefillQueue = append(e.prefillQueue, r)
	r.dueAt = e.prefill.enqueue(now, r, len(e.runs))
	return r
}

// SyncCache replaces the estimated cache by the parts that the engine reported at a time.
func (e *Engine) SyncCache(at time.Time, parts []routing.PromptPart) {
	e.cache.sync(at, parts)
	e.cacheKnown = true
}

// EndStandstill reports that this process stood still until now, so that it hears late of what its
// runs have done.
func (e *Engine) EndStandstill(now time.Time) { e.prefill.standstillAt = now }

func (e *Engine) dequeue(r *Run) {
	r.begun = true
	if i := slices.Index(e.prefillQueue, r); i >= 0 {
		e.prefillQueue = slices.Delete(e.prefillQueue, i, i+1)
	}
}

// End removes a request and records its outcome.
func (e *Engine) End(now time.Time, r *Run, o Outcome) {
	if _, ok := e.runs[r]; !ok {
		return
	}
	delete(e.runs, r)
	e.idleFrom = now
	if r.begun && o == OutcomeDone {
		e.prefill.observeSlotTime(now.Sub(r.startedAt))
	}
	e.health.recordOutcome(now, r, o, e.silent(now))
	if !r.begun {
		e.prefill.countBusyTime(now, e.prefillQueue)
		e.dequeue(r)
		e.prefill.resetBacklog(now, r, e.prefillQueue)
	}
	e.cache.outputTokens -= r.OutputTokens
	if o == OutcomeDone {
		e.cache.markPrefilled(r.Prompt.Parts)
	}
	e.cache.unpin(now, r.Prompt.Parts)
	e.cache.dropNotPrefilled(r.Prompt.Parts)
}

// Usable reports whether new requests may be sent to the engine.
func (e *Engine) Usable(now time.Time) bool { return e.health.usable(now) && !e.silent(now) }

// ErrorRate returns the decayed share of failed runs.
func (e *Engine) ErrorRate(now time.Time) float64 { return e.health.errorRate(now) }

// silent reports whether a first event is long overdue and no other run has begun
// since.
func (e *Engine) silent(now time.Time) bool {
	if len(e.prefillQueue) == 0 {
		return false
	}
	r := e.prefillQueue[0]
	return r.startedAt.After(e.prefill.lastFirstEvent) && now.Sub(r.startedAt) > silentFactor*r.dueAt.Sub(r.startedAt)+silentSlack
}
