// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"slices"
	"time"
)

// culprit is a set of parts that no death tells apart, of which at least one ends targets. If there
// are several, a prompt with one of them may run as a trial, which tells more; others are refused.
type culprit struct {
	parts []Part
	until time.Time // end of the hold, from which on the owner may start a trial
	open  time.Time // from then on any gateway may
}

// localize returns the parts that explain the deaths, by a greedy set cover: the part with the most
// episodes explains its deaths, which then count no longer against the parts that stood beside it in
// prompts.
func localize(records map[Part]*PartRecord) []culprit {
	candidates := make([]*PartRecord, 0, len(records))
	for _, r := range records {
		if len(r.Deaths) >= PartThreshold && r.isRefused() {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, compareParts)
	var explained []PartDeath
	var culprits []culprit
	for {
		best, most := (*PartRecord)(nil), PartThreshold-1
		for _, r := range candidates {
			if n := episodes(r.counted(explained)); n > most {
				best, most = r, n
			}
		}
		if best == nil {
			return culprits
		}
		c := culprit{}
		deaths := best.counted(explained)
		for _, r := range candidates {
			if sameDeaths(deaths, r.counted(explained)) {
				c.parts = append(c.parts, r.Part)
			}
		}
		c.until, c.open = best.heldUntil()
		culprits = append(culprits, c)
		explained = append(explained, deaths...)
	}
}

// count returns how many of its parts a prompt has.
func (c *culprit) count(prompt []Part) int {
	n := 0
	for _, p := range c.parts {
		if slices.Contains(prompt, p) {
			n++
		}
	}
	return n
}
