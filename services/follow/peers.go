// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"context"
	"encoding/json"
	"time"

	"madderway/core/watch"
	"madderway/models/routing"
	"madderway/modules/collector"
)

const (
	fetchTimeout = time.Second
	// A fetch of this many changes takes megabytes. They are not kept for the next one: after a
	// loss of power all gateways of a fleet fetch the list at the same time.
	largeFetch    = 1000
	peerQueueSize = 64
)

// Versions describes a gateway's local copy and its age. State dumps use the field names.
type Versions struct {
	Configuration    uint64
	Evacuations      routing.Revision // of the newest change of an evacuation
	Targets          routing.Revision
	Leaving          uint64 // digest of the listed targets that leave
	ConfigurationAge time.Duration
	TargetsAge       time.Duration
	// Store is the sender's reading of the store's clock. ConfigurationAsOf and TargetsAsOf are
	// the times by that clock at which the copy was complete, 0 if unknown. Then the ages are
	// used, which do not include the transmission delay.
	Store             watch.Reading
	ConfigurationAsOf watch.StoreTime
	TargetsAsOf       watch.StoreTime
	// TargetsComplete is the newest revision of the store as of which the list of targets is complete.
	// It rises also while the list does not change.
	TargetsComplete routing.Revision
}

// Peers fetches state from other gateways.
type Peers interface {
	// FetchState returns the result of the peer's Service.State.
	FetchState(ctx context.Context, peer string, want StateRequest) ([]byte, error)
}

// StateRequest selects the state to fetch from a peer.
type StateRequest struct {
	// Targets selects the changes of targets after Since, otherwise the configuration and the
	// evacuations.
	Targets bool
	Since   routing.Revision
	Packed  bool // the state may be compressed
}

type peerReport struct {
	peer     string
	versions Versions
}

// Versions describes the local copy.
func (s *Service) Versions() Versions {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	v := Versions{
		Targets: s.table.revision, Leaving: s.leavingDigest, Evacuations: s.halls.revision, ConfigurationAge: s.watchConfiguration.Age(now), TargetsAge: s.watchTargets.Age(now),
		Store: s.storeClock.Reading(now), ConfigurationAsOf: s.storeClock.FromLocal(s.watchConfiguration.FreshAt()), TargetsAsOf: s.storeClock.FromLocal(s.watchTargets.FreshAt()),
		TargetsComplete: s.table.complete,
	}
	if x := s.index.Load(); x != nil {
		v.Configuration = x.Configuration.Version
	}
	return v
}

// ObservePeerVersions records the versions of a peer. If the local copy includes them it is as
// fresh as the peer's; otherwise the newer state is fetched from the peer.
func (s *Service) ObservePeerVersions(peer string, v Versions) {
	if s.observePeer(v) {
		return
	}
	select {
	case s.peerReports <- peerReport{peer, v}:
	default: // dropped: the next heartbeat repeats it
	}
}

// ObservePeerConfiguration fetches the configuration from a peer that has a newer one.
func (s *Service) ObservePeerConfiguration(peer string, version uint64) {
	if x := s.index.Load(); x != nil && version <= x.Configuration.Version {
		return
	}
	select {
	case s.peerReports <- peerReport{peer, Versions{Configuration: version}}:
	default: // dropped: heartbeats repeat it
	}
}

// observePeer records the age of a peer's copy and reports whether the local one includes it.
func (s *Service) observePeer(v Versions) bool {
	mine, now := s.Versions(), s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeStoreClock(now, v.Store)
	if v.Targets > mine.Targets {
		s.newerTargetsAt = now
	}
	hasOperator := v.Configuration <= mine.Configuration && v.Evacuations <= mine.Evacuations
	// The age of a copy of another era refers to a history that is no longer valid.
	sameEra := v.Targets.Era() == mine.Targets.Era()
	if sameEra && hasOperator && v.Configuration > 0 {
		s.watchConfiguration.ObservePeerAge(now, s.localAge(now, v.ConfigurationAsOf, v.ConfigurationAge))
	}
	if sameEra && v.Targets > 0 {
		age := s.localAge(now, v.TargetsAsOf, v.TargetsAge)
		s.watchTargets.ObservePeerCopy(now.Add(-age))
		if v.Targets <= mine.Targets {
			s.watchTargets.ObservePeerAge(now, age)
			s.table.complete = max(s.table.complete, v.TargetsComplete)
		}
	}
	hasLeaving := v.Leaving == 0 || v.Leaving == mine.Leaving
	return hasOperator && hasLeaving && v.Targets <= mine.Targets
}

// localAge returns the age of a copy that was complete at a time of the store's clock, or
// reported if that clock is unknown; the caller holds mu.
func (s *Service) localAge(now time.Time, asOf watch.StoreTime, reported time.Duration) time.Duration {
	at, known := s.storeClock.ToLocal(asOf)
	if !known {
		return reported
	}
	return max(now.Sub(at), 0)
}

// followPeers fetches state that is newer than the local copy.
func (s *Service) followPeers() error {
	var lastFetch leavingFetch
	for {
		select {
		case <-s.t.Dying():
			return nil
		case r := <-s.peerReports:
			mine := s.Versions()
			if r.versions.Configuration > mine.Configuration || r.versions.Evacuations > mine.Evacuations {
				s.fetchOperator(r.peer)
			}
			if r.versions.Targets > mine.Targets || lastFetch.due(s.opts.Clock.Now(), mine.Leaving, r.versions.Leaving) {
				s.fetchTargets(r.peer, mine.Targets)
			}
		}
	}
}

func (s *Service) fetch(peer string, targets bool, since routing.Revision, decode func(*json.Decoder) error) bool {
	ctx, cancel := context.WithTimeout(s.t.Context(context.Background()), fetchTimeout)
	defer cancel()
	s.fetches.Add(1)
	content, err := s.opts.Peers.FetchState(ctx, peer, StateRequest{Targets: targets, Since: since, Packed: true})
	if err == nil {
		err = decode(stateDecoder(content))
	}
	if err != nil {
		s.log.Warn("Could not fetch state from a peer.", "peer", peer, "targets", targets, "error", err)
	}
	return err == nil
}

// operatorState is the state that a peer fetches about the operator's settings.
type operatorState struct {
	*routing.Configuration
	Halls []HallChange `json:"halls,omitempty"`
}

func (s *Service) fetchOperator(peer string) {
	state := operatorState{Configuration: &routing.Configuration{}}
	if !s.fetch(peer, false, 0, func(d *json.Decoder) error { return d.Decode(&state) }) {
		return
	}
	s.changeHalls(peer, func(time.Time) []HallChange { return s.halls.apply(state.Halls) })
	if state.Version > 0 {
		s.adopt(state.Configuration, peer)
	}
}

func (s *Service) fetchTargets(peer string, since routing.Revision) {
	var state targetState
	if !s.fetch(peer, true, since, state.decode) {
		return
	}
	if len(state.Changes) >= largeFetch {
		defer collector.Release()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	state.Changes = s.table.toLocalChanges(now, state.Changes)
	s.enterEra(now, state.Revision, peer)
	changed := s.table.merge(state)
	s.reportGap()
	if s.mergeLeaving(peer, state.Leaving) || changed {
		s.publish(peer)
	}
}

// State returns the requested state as JSON, compressed if the request allows it.
func (s *Service) State(want StateRequest) ([]byte, error) {
	if !want.Packed {
		return s.plainState(want)
	}
	plain := func() ([]byte, error) { return s.plainState(want) }
	now := s.opts.Clock.Now()
	if !want.Targets {
		v := s.Versions()
		return s.packCache.get(now, &s.packCache.operator, operatorVersions{v.Configuration, v.Evacuations}, false, plain)
	}
	version, timed, whole := s.wholeList(now, want.Since)
	if whole {
		return s.packCache.get(now, &s.packCache.targets, version, timed, plain)
	}
	content, err := plain()
	if err != nil {
		return nil, err
	}
	return packLarge(content)
}

// wholeList reports whether a peer that has the list as of a revision needs the whole list, with
// the version of that list and whether it holds times.
func (s *Service) wholeList(now time.Time, since routing.Revision) (version targetsVersion, timed, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version = targetsVersion{s.table.changes, s.table.revision, len(s.opts.LeavingTargets.Leaving())}
	return version, version.announced > 0 || s.table.lastCold.After(now), s.table.needsWhole(since)
}

func (s *Service) plainState(want StateRequest) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if want.Targets {
		state := setColdFor(s.opts.Clock.Now(), s.table.since(want.Since))
		state.Leaving = s.opts.LeavingTargets.Leaving()
		return json.Marshal(state)
	}
	state := operatorState{Halls: s.halls.all()}
	if x := s.index.Load(); x != nil {
		state.Configuration = x.Configuration
	}
	return json.Marshal(state)
}
