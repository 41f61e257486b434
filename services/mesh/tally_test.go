// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"testing"

	"madderway/core/cell"
)

// Service of several cells is sent as one row per account, and only if it has grown.
func TestServiceTotalsSendOnlyGrownRows(t *testing.T) {
	g := serviceTotals{}
	g.add([]cell.TallyRow{{Account: "b", Service: 5}, {Account: "a", Service: 2}})
	g.add([]cell.TallyRow{{Account: "b", Service: 7}})
	rows := g.grownRows()
	if len(rows) != 2 || rows[0].Account != "a" || rows[1].Service != 12 || rows[1].Before != 0 {
		t.Fatalf("rows = %v, want totals 2 of a and 12 of b", rows)
	}
	if rows := g.grownRows(); len(rows) != 0 {
		t.Errorf("rows = %v without new service, want none", rows)
	}
	g.add([]cell.TallyRow{{Account: "b", Service: 1}})
	if rows := g.grownRows(); len(rows) != 1 || rows[0].Service != 13 || rows[0].Before != 12 {
		t.Errorf("rows = %v, want total 13 of b, 12 of it already sent", rows)
	}
}
