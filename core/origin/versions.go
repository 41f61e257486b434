// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package origin tracks at which software version of a service each resumable stream began. A
// stream may continue only at targets of that version.
package origin

import (
	"slices"
	"time"

	"madderway/models/routing"
)

// Versions tracks the software versions of the targets of each service. It is not safe for
// concurrent use.
type Versions struct {
	services map[string]map[string]*listing
	coverage Coverage
}

// listing counts the targets of one service and version.
type listing struct {
	targets    int
	unlistedAt time.Time // when the last target was removed, if targets is 0
}

// NewVersions returns a tracker without targets that is to be told of all versions from a time on, or
// of all that ever were if the time is zero.
func NewVersions(since time.Time) *Versions {
	return &Versions{services: map[string]map[string]*listing{}, coverage: Coverage{Since: since}}
}

// Uncover records that versions may have been listed unnoticed before now.
func (v *Versions) Uncover(now time.Time) { v.coverage = Coverage{Since: now} }

// Cover records that all versions are known that another gateway knows.
func (v *Versions) Cover(c Coverage) { v.coverage = v.coverage.Join(c) }

// Coverage returns since when all versions are known.
func (v *Versions) Coverage() Coverage { return v.coverage }

// Apply applies the changes of a list of targets. It returns the services in which a version was
// added or removed. Its cost depends on the number of changes.
func (v *Versions) Apply(now time.Time, changes []routing.TargetChange) []string {
	var changed []string
	note := func(t *routing.Target, by int) {
		if v.add(now, t.Service, t.Software, by) && !slices.Contains(changed, t.Service) {
			changed = append(changed, t.Service)
		}
	}
	for _, ch := range changes {
		if ch.Before != nil && ch.After != nil && ch.Before.Service == ch.After.Service && ch.Before.Software == ch.After.Software {
			continue
		}
		if ch.After != nil {
			note(ch.After, 1)
		}
		if ch.Before != nil {
			note(ch.Before, -1)
		}
	}
	return changed
}

// add changes the number of targets of a version and reports whether the version was added or
// removed.
func (v *Versions) add(now time.Time, service, software string, by int) bool {
	versions := v.services[service]
	if versions == nil {
		versions = map[string]*listing{}
		v.services[service] = versions
	}
	l := versions[software]
	if l == nil {
		l = &listing{}
		versions[software] = l
	}
	before := l.targets
	l.targets += by
	if l.targets == 0 {
		l.unlistedAt = now
	}
	return (before == 0) != (l.targets == 0)
}

// Listed returns the versions of a service that have targets, and the number of targets of each.
func (v *Versions) Listed(service string) map[string]int {
	out := map[string]int{}
	for software, l := range v.services[service] {
		if l.targets > 0 {
			out[software] = l.targets
		}
	}
	return out
}

// Mixed reports whether a service has targets of several versions, or had within the memory:
// streams that began at each of them may continue.
func (v *Versions) Mixed(now time.Time, service string, memory time.Duration) bool {
	n := 0
	for _, l := range v.services[service] {
		if l.remembered(now, memory) {
			n++
		}
	}
	return n > 1
}

// AnyMixed reports whether that is so for any service.
func (v *Versions) AnyMixed(now time.Time, memory time.Duration) bool {
	for service := range v.services {
		if v.Mixed(now, service, memory) {
			return true
		}
	}
	return false
}

// Only returns the version of all targets of a service, false if there are several or none.
func (v *Versions) Only(service string) (software string, ok bool) {
	n := 0
	for name, l := range v.services[service] {
		if l.targets > 0 {
			software, n = name, n+1
		}
	}
	return software, n == 1
}

// Unlisted is a version of a service whose last target was removed a while ago.
type Unlisted struct {
	Service, Software string
	Age               time.Duration
}

// Unlisted returns the versions without targets that are remembered, and drops the others.
func (v *Versions) Unlisted(now time.Time) []Unlisted {
	var out []Unlisted
	for service, versions := range v.services {
		for software, l := range versions {
			switch {
			case !l.remembered(now, MaxMemory):
				delete(versions, software)
			case l.targets == 0:
				out = append(out, Unlisted{service, software, now.Sub(l.unlistedAt)})
			}
		}
	}
	return out
}

// Learn records that another gateway remembers a version, and reports whether that is news.
func (v *Versions) Learn(now time.Time, u Unlisted) bool {
	versions := v.services[u.Service]
	if versions == nil {
		versions = map[string]*listing{}
		v.services[u.Service] = versions
	}
	l := versions[u.Software]
	if l == nil {
		versions[u.Software] = &listing{unlistedAt: now.Add(-u.Age)}
		return true
	}
	if at := now.Add(-u.Age); l.targets == 0 && at.After(l.unlistedAt) {
		l.unlistedAt = at
	}
	return false
}

func (l *listing) remembered(now time.Time, memory time.Duration) bool {
	return l.targets > 0 || now.Sub(l.unlistedAt) < memory
}
