// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"context"
	"encoding/json"
	"time"

	"madderway/core/watch"
	"madderway/models/routing"
)

const (
	fetchTimeout  = time.Second
	peerQueueSize = 64
)

// Versions are what a gateway knows, and how old that is.
type Versions struct {
	Configuration    uint64
	Evacuations      routing.Revision // Evacuations is the revision of the newest change of evacuations.
	Targets          routing.Revision
	Leaving          uint64 // Leaving sums up the listed targets that have said that they leave.
	ConfigurationAge time.Duration
	TargetsAge       time.Duration
	// Store is what the sender tells of the store's clock; ConfigurationAsOf and TargetsAsOf are
	// when what is known was all there was, by that clock. 0 is not known: then the ages are
	// taken, which the way of the message makes younger.
	Store             watch.Reading
	ConfigurationAsOf watch.StoreTime
	TargetsAsOf       watch.StoreTime
}

// Peers asks other gateways for what they know.
type Peers interface {
	// FetchState returns what a peer's State does.
	FetchState(ctx context.Context, peer string, want StateRequest) ([]byte, error)
}

// StateRequest is what a gateway asks a peer for.
type StateRequest struct {
	// Targets asks for what has changed of the targets after the revision Since, else for the
	// configuration and evacuations.
	Targets bool
	Since   routing.Revision
	Packed  bool // Packed tells that the state may be compressed.
}

type peerReport struct {
	peer     string
	versions Versions
}

// Versions returns what is known here.
func (s *Service) Versions() Versions {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	v := Versions{
		Targets: s.table.revision, Leaving: s.leavingDigest, Evacuations: s.halls.revision, ConfigurationAge: s.watchConfiguration.Age(now), TargetsAge: s.watchTargets.Age(now),
		Store: s.storeClock.Reading(now), ConfigurationAsOf: s.storeClock.FromLocal(s.watchConfiguration.FreshAt()), TargetsAsOf: s.storeClock.FromLocal(s.watchTargets.FreshAt()),
	}
	if x := s.index.Load(); x != nil {
		v.Configuration = x.Configuration.Version
	}
	return v
}

// ObservePeerVersions takes what a peer says that it knows. Where that is no more than
// what is known here, this gateway's knowledge is as fresh as the peer's.
func (s *Service) ObservePeerVersions(peer string, v Versions) {
	if s.observePeer(v) {
		return
	}
	select {
	case s.peerReports <- peerReport{peer, v}:
	default: // the peer will say it again
	}
}

// observePeer tells whether all that the peer knows is known here.
func (s *Service) observePeer(v Versions) bool {
	mine, now := s.Versions(), s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeStoreClock(now, v.Store)
	sameOperator := v.Configuration <= mine.Configuration && v.Evacuations <= mine.Evacuations
	// What a peer has of an older era is fresh as of a history that no longer is.
	sameEra := v.Targets.Era() == mine.Targets.Era()
	if sameEra && sameOperator && v.Configuration > 0 {
		s.watchConfiguration.ObservePeerAge(now, s.localAge(now, v.ConfigurationAsOf, v.ConfigurationAge))
	}
	if sameEra && v.Targets <= mine.Targets {
		s.watchTargets.ObservePeerAge(now, s.localAge(now, v.TargetsAsOf, v.TargetsAge))
	}
	sameLeaving := v.Leaving == 0 || v.Leaving == mine.Leaving
	return sameOperator && sameLeaving && v.Targets <= mine.Targets
}

// localAge returns how old knowledge is that was all there was at a time of the store; told is its
// age as the sender told it. mu is held.
func (s *Service) localAge(now time.Time, asOf watch.StoreTime, told time.Duration) time.Duration {
	at, known := s.storeClock.ToLocal(asOf)
	if !known {
		return told
	}
	return max(now.Sub(at), 0)
}

// followPeers fetches from peers what is not known here.
func (s *Service) followPeers() error {
	var asked leavingFetch
	for {
		select {
		case <-s.t.Dying():
			return nil
		case n := <-s.peerReports:
			mine := s.Versions()
			if n.versions.Configuration > mine.Configuration || n.versions.Evacuations > mine.Evacuations {
				s.fetchOperator(n.peer)
			}
			if n.versions.Targets > mine.Targets || asked.due(s.opts.Clock.Now(), mine.Leaving, n.versions.Leaving) {
				s.fetchTargets(n.peer, mine.Targets)
			}
		}
	}
}

func (s *Service) fetch(peer string, targets bool, since routing.Revision, into any) bool {
	ctx, cancel := context.WithTimeout(s.t.Context(context.Background()), fetchTimeout)
	defer cancel()
	s.fetches.Add(1)
	content, err := s.opts.Peers.FetchState(ctx, peer, StateRequest{Targets: targets, Since: since, Packed: true})
	if err == nil && !isJSON(content) {
		content, err = unpack(content)
	}
	if err == nil {
		err = json.Unmarshal(content, into)
	}
	if err != nil {
		s.log.Warn("Peer gave no state.", "peer", peer, "targets", targets, "reason", err)
	}
	return err == nil
}

// operatorState is what a peer is told of the operator's settings.
type operatorState struct {
	*routing.Configuration
	Halls []HallChange `json:"halls,omitempty"`
}

func (s *Service) fetchOperator(peer string) {
	state := operatorState{Configuration: &routing.Configuration{}}
	if !s.fetch(peer, false, 0, &state) {
		return
	}
	s.changeHalls(peer, func(time.Time) []HallChange { return s.halls.apply(state.Halls) })
	if state.Version > 0 {
		s.adopt(state.Configuration, peer)
	}
}

func (s *Service) fetchTargets(peer string, since routing.Revision) {
	var news targetState
	if !s.fetch(peer, true, since, &news) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	news.Changes = s.table.toLocalChanges(now, news.Changes)
	s.enterEra(now, news.Revision, peer)
	changed := s.table.merge(news)
	if s.mergeLeaving(peer, news.Leaving) || changed {
		s.publish(peer)
	}
}

// isJSON tells whether a state is not packed: each is an object.
func isJSON(content []byte) bool { return len(content) > 0 && content[0] == '{' }

// State returns what a peer that fetches gets: JSON, packed where it may be.
func (s *Service) State(want StateRequest) ([]byte, error) {
	if !want.Packed {
		return s.plainState(want)
	}
	return s.packCache.state(want, s.Versions(), func() ([]byte, error) { return s.plainState(want) })
}

func (s *Service) plainState(want StateRequest) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if want.Targets {
		news := setColdFor(s.opts.Clock.Now(), s.table.since(want.Since))
		news.Leaving = s.opts.Leavers.Leaving()
		return json.Marshal(news)
	}
	state := operatorState{Halls: s.halls.all()}
	if x := s.index.Load(); x != nil {
		state.Configuration = x.Configuration
	}
	return json.Marshal(state)
}
