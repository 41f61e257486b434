// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"slices"
	"time"

	"madderway/core/member"
	"madderway/core/place"
	"madderway/modules/wire"
)

// setSeeds adds links to new seeds. Links to earlier seeds stay.
func (l *Loop) setSeeds(addresses []string) {
	for _, address := range addresses {
		if address == l.opts.Self.Address || slices.Contains(l.seedAddresses, address) {
			continue
		}
		l.seedAddresses = append(l.seedAddresses, address)
		l.seeds = append(l.seeds, l.newLink("", address))
	}
}

// callSeeds sends the seeds a heartbeat. A seed that does not know this gateway replies with all
// members that it knows.
func (l *Loop) callSeeds(now time.Time) {
	if now.Before(l.nextSeed) {
		return
	}
	alone := l.members.Count() == 0
	l.nextSeed = now.Add(seedDelay(l.members.Count()))
	links := l.seeds
	switch {
	case alone && !l.contacted && len(links) > 0:
		// One seed is enough if it is alive. All gateways of a fleet that starts would otherwise
		// connect to each of them.
		first := int(place.Score(l.opts.Self.ID, 0) % uint64(len(links)))
		links = links[first : first+1]
	case alone:
		links = slices.Concat(l.seeds, l.discovered)
	}
	l.contacted = true
	heartbeat := &wire.Frame{}
	l.addHeartbeat(heartbeat, member.SendHeartbeat{From: l.members.Self()})
	for _, link := range links {
		link.Send(heartbeat)
	}
}

// seedDelay returns the time until the next contact. It grows with the fleet, so that the seeds'
// load does not.
func seedDelay(others int) time.Duration {
	if others == 0 {
		return seedInterval
	}
	return max(minSeedInterval, time.Duration(others)*seedIntervalPerMember)
}
