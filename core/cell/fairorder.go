// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import "slices"

// forEachInFairOrder calls visit for the waiting requests in the order in which they would
// be placed. A request for which visit returns true counts as service of its account.
func (c *Cell) forEachInFairOrder(accounts []*account, visit func(*waiter) bool) {
	waiting := accounts[:0]
	for _, a := range accounts {
		if len(a.queue) > 0 {
			a.ahead, a.next = a.level, 0
			waiting = append(waiting, a)
		}
	}
	slices.SortFunc(waiting, compareAhead)
	for len(waiting) > 0 {
		a := waiting[0]
		w := a.queue[a.next]
		a.next++
		kept := visit(w)
		if a.next == len(a.queue) {
			waiting = waiting[1:]
			continue
		}
		if kept {
			a.ahead += float64(w.ask.Prompt.Tokens + outputWeight*w.ask.Prompt.OutputEstimate())
			moveBack(waiting)
		}
	}
}

// moveBack moves the first account behind those that are served before its next request.
func moveBack(waiting []*account) {
	first := waiting[0]
	i := 1
	for i < len(waiting) && compareAhead(waiting[i], first) < 0 {
		waiting[i-1] = waiting[i]
		i++
	}
	waiting[i-1] = first
}

func compareAhead(a, b *account) int {
	if a.ahead < b.ahead || a.ahead == b.ahead && a.name < b.name {
		return -1
	}
	return 1
}
