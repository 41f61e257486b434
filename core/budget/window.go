// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package budget

import "time"

// windowSlots is into how many pieces a window is divided.
const windowSlots = 20

// Window limits repeats to a share of the first sends within any span of its
// length, and a few more. Each gateway has a window of its own for each
// service; the shares of all of them add up to what the fleet may do.
type Window struct {
	ratio    float64
	slot     time.Duration
	start    time.Time
	newest   int64 // at is the number of the newest slot.
	attempts [windowSlots + 1]int
	retries  [windowSlots + 1]int
}

// NewWindow returns a window of this length that allows ratio repeats for each
// first send.
func NewWindow(length time.Duration, ratio float64) *Window {
	return &Window{ratio: ratio, slot: length / windowSlots}
}

func (w *Window) turn(now time.Time) int {
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

// First records a first send.
func (w *Window) First(now time.Time) { w.attempts[w.turn(now)]++ }

// Again takes one repeat where the window allows it; extra is how many this
// gateway may make beyond the ratio.
func (w *Window) Again(now time.Time, extra float64) bool {
	i := w.turn(now)
	first, again := 0, 0
	for j := range w.attempts {
		first += w.attempts[j]
		again += w.retries[j]
	}
	if float64(again+1) > w.ratio*float64(first)+extra {
		return false
	}
	w.retries[i]++
	return true
}
