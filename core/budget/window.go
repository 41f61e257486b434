// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package budget

import "time"

// windowSlots is the number of slots into which the length of a window is divided.
const windowSlots = 20

// Window limits retries to a fraction of the first attempts, plus a few, within any span of
// its length. Each gateway has one window per service; their limits add up to the limit of
// the fleet.
type Window struct {
	ratio    float64
	slot     time.Duration
	start    time.Time
	newest   int64 // number of the newest slot, counted from start
	attempts [windowSlots + 1]int
	retries  [windowSlots + 1]int
}

// NewWindow returns a window of this length that allows ratio retries for each first
// attempt.
func NewWindow(length time.Duration, ratio float64) *Window {
	return &Window{ratio: ratio, slot: length / windowSlots}
}

func (w *Window) advance(now time.Time) int {
	if w.start.IsZero() {
		w.start = now
	}
	at := int64(now.Sub(w.start) / w.slot)
	for w.newest < at {
		w.newest++
		if at-w.newest > windowSlots {
			w.newest = at - windowSlots
		}
		i := int(w.newest % (windowSlots + 1))
		w.attempts[i], w.retries[i] = 0, 0
	}
	return int(w.newest % (windowSlots + 1))
}

// Attempt records a first attempt.
func (w *Window) Attempt(now time.Time) { w.attempts[w.advance(now)]++ }

// Retry takes a retry and returns true if the window allows it; extra is how many this
// gateway may make beyond the ratio.
func (w *Window) Retry(now time.Time, extra float64) bool {
	i := w.advance(now)
	attempts, retries := 0, 0
	for j := range w.attempts {
		attempts += w.attempts[j]
		retries += w.retries[j]
	}
	if float64(retries+1) > w.ratio*float64(attempts)+extra {
		return false
	}
	w.retries[i]++
	return true
}

// extraMargin is the part of a fleet's extra retries that is given out, since counts and windows of
// gateways differ for a while.
const extraMargin = 0.7

// ExtraShare returns how many of a fleet's extra retries one gateway may make. known counts all
// gateways that it ever heard of, itself included: those that it no longer hears may only be cut off.
// One that has just started and knows no other may be one of many.
func ExtraShare(extra float64, known int, age, window time.Duration) float64 {
	if known <= 1 && age < window {
		return 0
	}
	return extraMargin * extra / float64(max(known, 1))
}
