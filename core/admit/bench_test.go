// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package admit

import (
	"fmt"
	"testing"

	"madderway/core/fair"
	"madderway/core/message"
)

// BenchmarkRequest takes one request through the queue, for several numbers of targets and
// accounts.
func BenchmarkRequest(b *testing.B) {
	for _, targets := range []int{9, 60, 600} {
		for _, accounts := range []int{31, 310} {
			b.Run(fmt.Sprintf("targets=%d/accounts=%d", targets, accounts), func(b *testing.B) {
				q := New(fair.Reporter{ID: "entry", Incarnation: 1})
				var schedulers []string
				for i := range targets {
					schedulers = append(schedulers, fmt.Sprint(i))
				}
				q.Step(epoch, routesOf("chat", schedulers...))
				b.ReportAllocs()
				for i := 1; b.Loop(); i++ {
					r := request(RequestID(i))
					r.Account = fmt.Sprint("a", i%accounts)
					q.Step(epoch, Arrived{r})
					q.Step(epoch, GrantSeen{"0", message.Grant{ID: message.GrantID(i), Account: r.Account, Pool: "chat", Target: "target-0"}})
					q.Step(epoch, Finished{ID: r.ID, Cost: 90})
				}
			})
		}
	}
}
