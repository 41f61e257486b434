// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package batch

import "time"

// PrefillShare returns the part of the engine's time that may be booked for prefill beside
// the running requests.
func (e *Engine) PrefillShare() float64 { return prefillShare(len(e.runs)) }

// FirstLatency returns the time from the end of a prefill to the first event, at least what
// any engine takes.
func (e *Engine) FirstLatency() time.Duration { return max(e.prefill.firstLatency, minFirstLatency) }

// FreeSlots returns the number of free slots.
func (e *Engine) FreeSlots() int { return max(e.slots-len(e.runs), 0) }

// SlotInterval returns the expected time between two slots that become free while all are
// taken.
func (e *Engine) SlotInterval() time.Duration {
	return max(e.prefill.slotTime/time.Duration(e.slots), minSlotWait)
}
