// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"gopkg.in/tomb.v2"

	coreorigin "madderway/core/origin"
	"madderway/core/watch"
	"madderway/models/routing"
	"madderway/modules/saturate"
)

// Archive stores the history of versions outside the fleet. Without it nobody knows after the loss
// of all gateways at which versions streams began.
type Archive interface {
	Read(ctx context.Context) (StoredHistory, error)
	// Write replaces a history that was read, or returns ErrReplaced if another gateway has done so.
	Write(ctx context.Context, old StoredHistory, h coreorigin.History) error
}

// ErrReplaced reports that the archived history is not the one that was read.
var ErrReplaced = errors.New("another gateway has replaced the history")

// StoredHistory is a history as it was read from the archive, empty if there was none.
type StoredHistory struct {
	coreorigin.History
	// Found is set if there was a history. WrittenIn is the era in which it was written, Era the
	// era in which it was read.
	Found          bool
	Era, WrittenIn uint64
	Revision       routing.Revision // of the history
	AsOf           watch.StoreTime  // of the read
}

// errGap reports that what was read may be older than a gap in the list of targets.
var errGap = errors.New("the list of targets was not followed during the read")

// complete reports whether nothing that was written later has been lost since.
func (h StoredHistory) complete() bool { return h.Found && h.WrittenIn == h.Era }

const (
	archiveTimeout = time.Second
	// archivePollInterval is the time between checks of contact, and of what is to be archived.
	archivePollInterval = 100 * time.Millisecond
	// Other gateways than the watchers write if none of these has, for otherDelay and a random part
	// of otherDelayPerMember for each gateway.
	otherDelay          = 2 * time.Second
	otherDelayPerMember = 10 * time.Millisecond
	minArchiveBackoff   = 100 * time.Millisecond
	maxArchiveBackoff   = 5 * time.Second
)

// archiving is the state of what the archive is to hold; guarded by Service.mu.
type archiving struct {
	wake      chan struct{}
	changes   uint64 // of versions, and other reasons to read the archive
	archived  uint64 // of these, included in the archive
	changedAt routing.Revision
	since     time.Time // of the first change that is not archived
	digest    uint64    // of the listed versions if these are archived, else 0
	gaps      uint64    // noted by NoteGap
}

func (a *archiving) pending() bool { return a.archived < a.changes }

// requestSync notes that the archive must be read and may have to be written; the caller holds mu.
func (s *Service) requestSync(now time.Time) {
	a := &s.archiving
	if !a.pending() {
		a.since = now
	}
	a.changes++
	a.changedAt, a.digest = s.targets.Revision, 0
}

// versionsChanged is requestSync without waiting for the next poll; the caller holds mu.
func (s *Service) versionsChanged(now time.Time) {
	s.requestSync(now)
	select {
	case s.archiving.wake <- struct{}{}:
	default:
	}
}

// noteArchived takes the digest of another gateway's listed versions that the archive holds; the
// caller holds mu.
func (s *Service) noteArchived(digest uint64) {
	a := &s.archiving
	if digest == 0 || !a.pending() || digest != s.versions.History(s.opts.Clock.Now()).Digest() {
		return
	}
	a.archived, a.digest = a.changes, digest
}

// EraChanged makes the history be written again, since the store was restored from an older copy.
func (s *Service) EraChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versionsChanged(s.opts.Clock.Now())
}

// ArchiveOptions configure the use of an archive.
type ArchiveOptions struct {
	Archive Archive
	// Fleet returns whether this gateway is one of the watchers, which use the archive for all, and
	// the number of gateways.
	Fleet func() (watcher bool, members int)
}

// RunArchive starts reading from and writing to the archive, until the tomb dies.
func (s *Service) RunArchive(t *tomb.Tomb, o ArchiveOptions) {
	t.Go(func() error {
		share, backoff := rand.Float64(), time.Duration(0)
		for {
			select {
			case <-t.Dying():
				return nil
			case <-s.archiving.wake:
			case <-s.opts.Clock.After(archivePollInterval):
			}
			s.checkContact()
			if !s.archiveDue(o.Fleet, share) {
				continue
			}
			err := s.syncArchive(t.Context(context.Background()), o.Archive)
			if err == nil {
				backoff = 0
				continue
			}
			backoff = min(max(2*backoff, minArchiveBackoff), maxArchiveBackoff)
			if !errors.Is(err, ErrReplaced) {
				s.counters.archiveFailures.Inc()
				s.log.Warn("Software versions are not archived, will retry.", "error", err, "retry_in", backoff)
			}
			select {
			case <-t.Dying():
				return nil
			case <-s.opts.Clock.After(backoff/2 + rand.N(backoff)):
			}
		}
	})
}

// checkContact notes a loss of contact, and what becomes known with time.
func (s *Service) checkContact() {
	if s.opts.CutOff() {
		s.NoteGap("lost contact", 0)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteCoverage(s.opts.Clock.Now(), "the age of the process")
}

// NoteGap notes that versions may have been listed unnoticed until now, for a reason. If the list of
// targets shows that, only gateways with a list as of the given revision or a later one know more.
func (s *Service) NoteGap(reason string, before routing.Revision) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.targets.Revision == 0 {
		return
	}
	s.versions.Uncover(now)
	s.gapAt = now
	s.archiving.gaps++
	s.noteCoverage(now, reason)
	s.requestSync(now)
	s.archiving.changedAt = max(s.archiving.changedAt, before)
}

// archiveDue reports whether the archive is to be read now. share is a random number from 0 to 1
// that spreads the gateways.
func (s *Service) archiveDue(fleet func() (bool, int), share float64) bool {
	watcher, members := fleet()
	inContact := s.opts.InContact()
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.archiving.pending() || !inContact:
		return false
	case watcher:
		return true
	}
	wait := otherDelay + saturate.Duration(share*float64(members)*float64(otherDelayPerMember))
	return now.Sub(s.archiving.since) >= wait
}

// syncArchive learns what the archive holds, and writes what it lacks.
func (s *Service) syncArchive(ctx context.Context, a Archive) error {
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	gaps := s.gapCount()
	stored, err := a.Read(ctx)
	if err != nil {
		return err
	}
	s.counters.archiveReads.Inc()
	if s.gapCount() != gaps {
		return errGap
	}
	own, changes := s.learnStored(stored)
	if !stored.complete() || !stored.Includes(own) {
		if err := a.Write(ctx, stored, own); err != nil {
			return err
		}
		s.counters.archiveWrites.Inc()
		s.log.Info("Software versions archived.", "versions", own.Versions, "covered_for", own.Coverage.All.Truncate(time.Second), "services_covered_later", len(own.Coverage.Later), "era", stored.Era)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.archiving.archived = max(s.archiving.archived, changes)
	if !s.archiving.pending() {
		s.archiving.digest = own.Digest()
	}
	return nil
}

func (s *Service) gapCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.archiving.gaps
}

// learnStored learns a stored history. It returns the history that the archive is to hold, with the
// number of the last change in it.
func (s *Service) learnStored(stored StoredHistory) (own coreorigin.History, changes uint64) {
	var records []coreorigin.Record
	s.mu.Lock()
	now := s.opts.Clock.Now()
	for _, u := range s.versions.LearnHistory(now, stored.History, stored.complete()) {
		s.log.Info("Learned of a software version.", "service", u.Service, "software", u.Software, "unlisted_for", u.Age, "from", "the archive")
		records = append(records, s.unshared(now, u.Service)...)
	}
	s.noteCoverage(now, "the archive")
	own, changes = s.versions.History(now), s.archiving.changes
	s.mu.Unlock()
	s.share(records)
	return own, changes
}
