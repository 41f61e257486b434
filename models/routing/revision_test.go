// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package routing

import (
	"math"
	"testing"
)

// Guards against comparing change numbers across a restore of the store.
func TestRevisionOrdersByEraThenNumber(t *testing.T) {
	order := []Revision{0, NewRevision(0, 7), NewRevision(0, 500), NewRevision(1, 0), NewRevision(1, 480), NewRevision(2, 3), NewRevision(math.MaxUint64, math.MaxUint64)}
	for i := 1; i < len(order); i++ {
		if order[i] <= order[i-1] {
			t.Errorf("revision %v is not greater than %v", order[i], order[i-1])
		}
	}
	if r := NewRevision(3, 9); r.Era() != 3 || r.Number() != 9 || r.String() != "3.9" || NewRevision(0, 9).String() != "9" {
		t.Errorf("NewRevision(3, 9) = %v with era %d, number %d", r, r.Era(), r.Number())
	}
}
