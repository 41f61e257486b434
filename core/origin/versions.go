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
}

// listing counts the targets of one service and version.
type listing struct {
	targets    int
	unlistedAt time.Time // when the last target was removed, if targets is 0
}

// NewVersions returns a tracker without targets.
func NewVersions() *Versions { return &Versions{services: map[string]map[string]*listing{}} }

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
