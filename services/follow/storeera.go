// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"errors"
	"time"

	"madderway/core/leaving"
	"madderway/core/watch"
	"madderway/models/routing"
)

// Reasons for discarding an answer of the store.
var (
	errNewEra = errors.New("the store has come back from an older copy")
	errOldEra = errors.New("a late answer of the store as it was before it came back")
)

// fromHallHold is logged as the origin of a change when the hold of an evacuation ends.
const fromHallHold = "the end of a hold"

// ObserveEra records the era named in any answer of the store, including refusals and answers
// to writes. In a new era everything is read again, since change numbers are reused.
func (s *Service) ObserveEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.advanceEra(era, fromStore) {
		s.watchConfiguration.MarkGap()
		s.watchTargets.MarkGap()
	}
}

// Era returns the newest known era of the store.
func (s *Service) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// StoreTime returns the newest known era of the store and its clock, 0 if that is unknown, as of now.
func (s *Service) StoreTime() (era uint64, at watch.StoreTime, now time.Time) {
	now = s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era, s.storeClock.FromLocal(now), now
}

// advanceEra records the era and reports whether the store was restored since it was last read.
// The caller holds mu.
func (s *Service) advanceEra(era uint64, from string) bool {
	if era <= s.era {
		return false
	}
	restored := !s.watchTargets.FreshAt().IsZero()
	s.log.Info("Store entered a new era.", "era", era, "previous", s.era, "from", from, "restored", restored)
	s.era = era
	if restored && s.opts.OnNewEra != nil {
		s.t.Go(func() error {
			s.opts.OnNewEra()
			return nil
		})
	}
	return restored
}

// checkEra returns an error if an answer must be discarded: it belongs to an older era than the
// newest known one, or it lists changes since a revision of another era.
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

// enterEra prepares the table for a list of a newer era; the caller holds mu. Targets known to
// leave are kept as leaving, whatever the restored list says. The list may lack entries until
// their owners have written them again.
func (s *Service) enterEra(now time.Time, revision routing.Revision, from string) {
	if s.table.revision == 0 {
		s.era = max(s.era, revision.Era()) // the first known era
		return
	}
	if revision.Era() <= s.table.revision.Era() {
		return
	}
	s.advanceEra(revision.Era(), from)
	var announced []leaving.Announcement
	for _, ch := range s.table.known {
		if ch.Target.Leaving {
			announced = append(announced, leaving.Announcement{ID: ch.Target.ID})
		}
	}
	s.opts.LeavingTargets.MergeLeaving(announced)
	s.watchTargets.MarkUnsettled(now)
}

// scheduleRelease starts a goroutine that ends held evacuations when they are due; the caller
// holds mu.
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
