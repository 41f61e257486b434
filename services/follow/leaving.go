// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"time"

	"madderway/core/leaving"
	"madderway/models/routing"
)

// Leavers knows which lives of targets have said in their answers that they leave. The store
// may list them as ready: it is told later than callers are, or cannot be told at all.
type Leavers interface {
	// Leaves tells whether a life that is listed here leaves.
	Leaves(target string) bool
	// Leaving returns all such lives.
	Leaving() []leaving.Announcement
	// MergeLeaving takes what another gateway knows, and returns the lives that are news.
	MergeLeaving(told []leaving.Announcement) []string
}

// fromAnswer is where a list has changed since a target said that it leaves.
const fromAnswer = "an answer"

// leavingFetchInterval is how long a peer is not asked once more for the lives that leave, while what it
// and this gateway know of them differs in the same way: its list of targets may be another one.
const leavingFetchInterval = time.Second

// leavingFetch is what a peer was last asked for.
type leavingFetch struct {
	at           time.Time
	mine, theirs uint64 // the digests at that time
}

// due tells whether a peer that knows other lives is to be asked for them.
func (a *leavingFetch) due(now time.Time, mine, theirs uint64) bool {
	if theirs == 0 || theirs == mine || a.mine == mine && a.theirs == theirs && now.Sub(a.at) < leavingFetchInterval {
		return false
	}
	*a = leavingFetch{now, mine, theirs}
	return true
}

// LeavingChanged puts what an answer has told in force: targets that leave get nothing new.
func (s *Service) LeavingChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(fromAnswer)
}

// markLeaving marks the targets that have said that they leave, and returns how many there are
// and a digest of them.
func (s *Service) markLeaving(set *routing.TargetSet) (n int, digest uint64) {
	for i := range set.Targets {
		t := &set.Targets[i]
		if s.opts.Leavers.Leaves(t.ID) {
			t.Leaving = true
			digest ^= leaving.Digest(t.ID)
			n++
		}
	}
	return n, digest
}

// mergeLeaving takes what a peer knows of lives that leave; mu is held.
func (s *Service) mergeLeaving(peer string, told []leaving.Announcement) bool {
	news := s.opts.Leavers.MergeLeaving(told)
	if len(news) > 0 {
		s.log.Info("Targets leave, a peer has heard.", "targets", news, "from", peer)
	}
	return len(news) > 0
}

// noLeavers is used where no answers are heard.
type noLeavers struct{}

func (noLeavers) Leaves(string) bool                           { return false }
func (noLeavers) Leaving() []leaving.Announcement              { return nil }
func (noLeavers) MergeLeaving([]leaving.Announcement) []string { return nil }
