// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"time"

	"madderway/core/leaving"
	"madderway/models/routing"
)

// LeavingTargets is the set of target incarnations that announced in their responses that they
// leave. The store may still list them as ready: it learns of it later, or not at all.
type LeavingTargets interface {
	// Leaves reports whether a listed incarnation leaves.
	Leaves(target string) bool
	// Leaving returns an announcement of each leaving incarnation.
	Leaving() []leaving.Announcement
	// MergeLeaving adds announcements from another gateway and returns the new IDs.
	MergeLeaving(announced []leaving.Announcement) []string
}

// fromAnswer is logged as the origin of a change that a target announced in an answer.
const fromAnswer = "an answer"

// leavingFetchInterval is the shortest time between two fetches from a peer while both digests
// stay the same: they may differ for good if the peer lists other targets.
const leavingFetchInterval = time.Second

// leavingFetch is the last fetch of leaving targets from a peer.
type leavingFetch struct {
	at           time.Time
	mine, theirs uint64 // digests of both sides at that time
}

// due reports whether to fetch from a peer with this digest, and if so records the fetch.
func (f *leavingFetch) due(now time.Time, mine, theirs uint64) bool {
	if theirs == 0 || theirs == mine || f.mine == mine && f.theirs == theirs && now.Sub(f.at) < leavingFetchInterval {
		return false
	}
	*f = leavingFetch{now, mine, theirs}
	return true
}

// LeavingChanged publishes the targets again after the set of leaving incarnations changed.
func (s *Service) LeavingChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(fromAnswer)
}

// markLeaving returns the set with Leaving set on the targets that announced it, with their number
// and digest.
func (s *Service) markLeaving(set, before *routing.TargetSet) (marked *routing.TargetSet, n int, digest uint64) {
	announced := s.opts.LeavingTargets.Leaving()
	if len(announced) == 0 {
		return set, 0, 0
	}
	e := set.Edit()
	for _, a := range announced {
		t := set.Find(a.ID)
		if t == nil || !s.opts.LeavingTargets.Leaves(a.ID) {
			continue
		}
		n++
		digest ^= leaving.Digest(a.ID)
		if !t.Leaving {
			leaves := *t
			leaves.Leaving = true
			e.Put(sharedWith(before, &leaves))
		}
	}
	return e.Done(set.Revision), n, digest
}

// mergeLeaving adds a peer's announcements and reports whether any is new; the caller holds mu.
func (s *Service) mergeLeaving(peer string, announced []leaving.Announcement) bool {
	added := s.opts.LeavingTargets.MergeLeaving(announced)
	if len(added) > 0 {
		s.log.Info("Learned from a peer that targets leave.", "targets", added, "from", peer)
	}
	return len(added) > 0
}

// noLeavers is the empty set, used if Options.LeavingTargets is nil.
type noLeavers struct{}

func (noLeavers) Leaves(string) bool                           { return false }
func (noLeavers) Leaving() []leaving.Announcement              { return nil }
func (noLeavers) MergeLeaving([]leaving.Announcement) []string { return nil }
