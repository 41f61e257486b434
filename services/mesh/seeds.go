// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"slices"
	"time"

	"madderway/core/member"
	"madderway/modules/wire"
)

// setSeeds adds links to seeds that are new; links to old ones stay, idle.
func (l *Loop) setSeeds(addresses []string) {
	for _, address := range addresses {
		if address == l.opts.Self.Address || slices.Contains(l.seedAddresses, address) {
			continue
		}
		l.seedAddresses = append(l.seedAddresses, address)
		l.seeds = append(l.seeds, l.newLink("", address))
	}
}

// callSeeds makes this gateway known to the seeds, often until any member is
// known. Later it only says that it is there: a seed that does not know it answers
// with all that it knows.
func (l *Loop) callSeeds(now time.Time) {
	if now.Before(l.nextSeed) {
		return
	}
	alone := l.members.Count() == 0
	l.nextSeed = now.Add(seedDelay(l.members.Count()))
	call := l.seeds
	if alone {
		call = slices.Concat(l.seeds, l.discovered)
	}
	hello := &wire.Frame{}
	l.addHeartbeat(hello, member.SendHeartbeat{From: l.members.Self()})
	for _, link := range call {
		link.Send(hello)
	}
}

// seedDelay returns how long after a call to the seeds the next one follows. All
// gateways together call as often as a small fleet does.
func seedDelay(others int) time.Duration {
	if others == 0 {
		return seedInterval
	}
	return max(minSeedInterval, time.Duration(others)*seedIntervalPerMember)
}
