// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxMemory is the longest time for which a version is remembered after its last target was removed.
const MaxMemory = 2 * time.Minute

// History holds the versions at which streams may have begun, for a store that outlasts all gateways.
type History struct {
	Coverage CoverageAge
	Versions []VersionState // sorted by service and software
}

// VersionState is a version of a service, listed or unlisted for a while.
type VersionState struct {
	Service, Software string
	Listed            bool
	UnlistedFor       time.Duration
}

// History returns the versions that are remembered.
func (v *Versions) History(now time.Time) History {
	h := History{Coverage: v.coverage.Age(now, MaxMemory)}
	for service, versions := range v.services {
		for software, l := range versions {
			if !l.remembered(now, MaxMemory) {
				continue
			}
			s := VersionState{Service: service, Software: software, Listed: l.targets > 0}
			if !s.Listed {
				s.UnlistedFor = now.Sub(l.unlistedAt)
			}
			h.Versions = append(h.Versions, s)
		}
	}
	slices.SortFunc(h.Versions, func(a, b VersionState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software))
	})
	return h
}

// LearnHistory adds what a stored history tells. A version that it has as listed, and that is not
// listed here, was removed at an unknown time, now at the latest. Whether the history names all versions
// since its beginning is for the caller to say. It returns the versions that were not known.
func (v *Versions) LearnHistory(now time.Time, h History, complete bool) []Unlisted {
	var news []Unlisted
	named := map[string]bool{}
	for _, s := range h.Versions {
		named[s.Service] = true
		u := Unlisted{s.Service, s.Software, s.UnlistedFor}
		if u.Age < MaxMemory && v.Learn(now, u) {
			news = append(news, u)
		}
	}
	if !complete {
		return news
	}
	known := h.Coverage.At(now)
	for service := range v.services {
		if !named[service] {
			known.Later[service] = now
		}
	}
	v.coverage = v.coverage.Join(known)
	return news
}

// ageSlack is a difference in ages for which the store is not written again.
const ageSlack = 5 * time.Second

// Includes reports whether a stored history tells all that another one does.
func (h History) Includes(other History) bool {
	stored := map[VersionState]time.Duration{}
	for _, s := range h.Versions {
		age := s.UnlistedFor
		s.UnlistedFor = 0
		stored[s] = age
	}
	for _, s := range other.Versions {
		age := s.UnlistedFor
		s.UnlistedFor = 0
		if storedAge, ok := stored[s]; !ok || storedAge > age+ageSlack {
			return false
		}
	}
	for service, age := range h.Coverage.Later {
		if other.Coverage.of(service) > age+ageSlack {
			return false
		}
	}
	return h.Coverage.All >= MaxMemory || other.Coverage.All <= h.Coverage.All+ageSlack
}

// Digest returns a hash of the listed versions.
func (h History) Digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range h.Versions {
		if s.Listed {
			_, _ = d.WriteString(s.Service + "\x00" + s.Software + "\x00")
		}
	}
	return d.Sum64()
}
