// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import "testing"

// What a cell tells the others in a second must not grow with their number: with 3,000
// targets there are 256 cells.
func TestTalliesStayBounded(t *testing.T) {
	for _, cells := range []int{1, 2, 16, 32, 64, 256, 1024} {
		perSecond := float64(cells-1) / tallyPause(cells).Seconds()
		if perSecond > 64 {
			t.Errorf("with %d cells each sends %.0f tallies a second", cells, perSecond)
		}
		if cells <= 32 && tallyPause(cells) != tallyEvery {
			t.Errorf("with %d cells tallies wait %v", cells, tallyPause(cells))
		}
	}
}
