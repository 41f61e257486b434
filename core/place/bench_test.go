// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package place

import (
	"fmt"
	"testing"
)

// BenchmarkOwner measures finding the owner of a target among n routers.
func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{9, 80, 320} {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			all := nodes(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				Owner(all, Site{Name: "target-17", DataHall: "h1", Region: "g1"})
			}
		})
	}
}
