// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package origin keeps a gateway's knowledge of where streams began.
package origin

import (
	"sync"

	"madderway/core/origin"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
)

// Options are the dependencies of a Service.
type Options struct {
	Clock clock.Clock
}

// Service holds the software versions of the listed targets. It is safe for concurrent use.
type Service struct {
	log  log.Logger
	opts Options

	mu       sync.Mutex // guards the fields below
	versions *origin.Versions
	targets  *routing.TargetSet
}

// New returns a service that knows no targets.
func New(logger log.Logger, o Options) *Service {
	return &Service{log: logger, opts: o, versions: origin.NewVersions()}
}

// SetTargets takes a new list of targets.
func (s *Service) SetTargets(targets *routing.TargetSet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.versions.Apply(s.opts.Clock.Now(), targets.Changes(s.targets))
	s.targets = targets
	for _, service := range changed {
		s.log.Info("Software versions changed.", "service", service, "revision", targets.Revision, "targets", s.versions.Listed(service))
	}
}
