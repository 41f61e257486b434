// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"errors"
	"time"

	"madderway/core/leaving"
	"madderway/models/routing"
)

// The reasons why an answer of the store changes nothing.
var (
	errNewEra = errors.New("the store has come back from an older copy")
	errOldEra = errors.New("a late answer of the store as it was before it came back")
)

// fromHallHold is where evacuations end that a store which came back older does not name.
const fromHallHold = "the end of a hold"

// ObserveEra takes the era that the store names in an answer, a refusal or the answer to a write
// among them. In a new one everything is read anew: what follows in it counts the same numbers
// for other changes.
func (s *Service) ObserveEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.advanceEra(era, fromStore) {
		s.watchConfiguration.MarkGap()
		s.watchTargets.MarkGap()
	}
}

// Era returns the newest era of the store that was heard of.
func (s *Service) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// advanceEra takes an era, and reports whether the store has come back since something was known of
// it; mu is held.
func (s *Service) advanceEra(era uint64, from string) bool {
	if era <= s.era {
		return false
	}
	cameBack := !s.watchTargets.FreshAt().IsZero()
	s.log.Info("Store in another era.", "era", era, "before", s.era, "from", from, "came_back", cameBack)
	s.era = era
	if cameBack && s.opts.OnNewEra != nil {
		s.t.Go(func() error {
			s.opts.OnNewEra()
			return nil
		})
	}
	return cameBack
}

// checkEra tells whether an answer may be applied: it belongs to the newest era, and where it
// holds changes after a revision, to the era of that.
func (s *Service) checkEra(revision, since routing.Revision, all bool) error {
	s.ObserveEra(revision.Era())
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case revision.Era() < s.era:
		return errOldEra
	case !all && revision.Era() != since.Era():
		return errNewEra
	default:
		return nil
	}
}

// enterEra prepares the table for a list of a later era than what it holds; mu is held. What
// is known of lives is not undone by an older list: those that leave go on leaving. Entries may
// be missing until their owners have written them again.
func (s *Service) enterEra(now time.Time, revision routing.Revision, from string) {
	if s.table.revision == 0 {
		s.era = max(s.era, revision.Era()) // the first that is known here
		return
	}
	if revision.Era() <= s.table.revision.Era() {
		return
	}
	s.advanceEra(revision.Era(), from)
	var told []leaving.Announcement
	for _, ch := range s.table.known {
		if ch.Target.Leaving {
			told = append(told, leaving.Announcement{ID: ch.Target.ID})
		}
	}
	s.opts.Leavers.MergeLeaving(told)
	s.watchTargets.MarkUnsettled(now)
}

// scheduleRelease ends evacuations that are only held when their time is over; mu is held.
func (s *Service) scheduleRelease(now time.Time) {
	wait := s.halls.nextRelease(now)
	if wait == 0 || s.releaseScheduled {
		return
	}
	s.releaseScheduled = true
	s.t.Go(func() error {
		alive := s.sleep(wait)
		s.mu.Lock()
		s.releaseScheduled = false
		s.mu.Unlock()
		if alive {
			s.changeHalls(fromHallHold, func(now time.Time) []HallChange {
				return s.halls.release(now)
			})
		}
		return nil
	})
}
