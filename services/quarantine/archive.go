// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/core/quarantine"
)

// Archive keeps what is refused where it outlasts the processes of the fleet: after the
// loss of all machines each refused request would end three more targets.
type Archive interface {
	// Records returns all that is kept, the time of its ends aside.
	Records(ctx context.Context) ([]quarantine.Record, error)
	Put(ctx context.Context, r quarantine.Record) error
	Drop(ctx context.Context, requests []quarantine.Fingerprint) error
}

const (
	// archiveTimeout bounds one call of the archive.
	archiveTimeout = 2 * time.Second
	// archiveQueueSize is how many changes may wait for the archive; it is away for seconds, and
	// few requests are refused.
	archiveQueueSize = 64
	// archiveBackoff is the pause after a call that failed; it doubles up to archiveMost.
	archiveBackoff    = time.Second
	maxArchiveBackoff = 10 * time.Second
	// firstReadDelay is how long after its start a gateway looks into the archive. By then it
	// knows whether others are there, and three of the fleet look for all.
	firstReadDelay = 700 * time.Millisecond
	// maxDeletes is how many rows one call may drop.
	maxDeletes = 90
)

// change is one of the archive: a record to put, or requests to drop.
type change struct {
	put     *quarantine.Record
	deletes []quarantine.Fingerprint
}

// ArchiveOptions is what a Service needs to keep what is refused.
type ArchiveOptions struct {
	Archive Archive
	// IsReader tells whether this gateway is one of those that read the archive for all.
	IsReader func() bool
	// FirstStart tells that nothing can be kept yet: the whole fleet starts for the first time.
	FirstStart bool
}

// RunArchive starts to keep what is refused; it ends with the tomb.
func (s *Service) RunArchive(t *tomb.Tomb, k ArchiveOptions) {
	t.Go(func() error {
		s.readAtStart(t, k)
		for {
			select {
			case <-t.Dying():
				return nil
			case c := <-s.changes:
				s.apply(t, k.Archive, c)
			}
		}
	})
}

// readAtStart reads the archive soon after the start.
func (s *Service) readAtStart(t *tomb.Tomb, k ArchiveOptions) {
	if k.FirstStart {
		return
	}
	pause := firstReadDelay
	for {
		select {
		case <-t.Dying():
			return
		case <-s.opts.Clock.After(pause):
		}
		if !k.IsReader() || s.readArchive(t, k.Archive) {
			return
		}
		pause = min(max(2*pause, archiveBackoff), maxArchiveBackoff)
	}
}

// RewriteArchive puts what is refused into the archive once more: that has come back from an older
// copy. A request that was refused since then would end three more targets after the loss of
// all gateways.
func (s *Service) RewriteArchive() {
	for _, r := range s.Shared() {
		if standing, _ := s.Standing(r.Request); standing == quarantine.Quarantined {
			s.enqueue(change{put: &r})
		}
	}
}

// readArchive takes what is kept, tells it on and drops what is no longer of use.
func (s *Service) readArchive(t *tomb.Tomb, a Archive) bool {
	ctx, cancel := context.WithTimeout(t.Context(context.Background()), archiveTimeout)
	defer cancel()
	records, err := a.Records(ctx)
	if err != nil {
		s.log.Warn("What is refused cannot be read, will try again.", "error", err)
		return false
	}
	s.log.Info("Read what is refused.", "requests", len(records))
	now := s.opts.Clock.Now()
	for i := range records {
		setDeathTimes(&records[i], now)
	}
	for _, r := range s.Merge("archive", records, func(quarantine.Fingerprint) bool { return false }) {
		s.opts.Share(r)
	}
	var useless []quarantine.Fingerprint
	for _, r := range records {
		if standing, _ := s.Standing(r.Request); standing == quarantine.Unsuspected {
			useless = append(useless, r.Request)
		}
	}
	s.enqueue(change{deletes: useless})
	return true
}

// setDeathTimes gives the ends of a record times from now back: the archive's are of another clock.
func setDeathTimes(r *quarantine.Record, now time.Time) {
	const apart = 2 * time.Second // more than ends of one target can be told apart by
	for i := range r.Deaths {
		r.Deaths[i].At = now.Add(-time.Duration(i) * apart)
	}
}

// enqueue has the archive changed, where one is kept.
func (s *Service) enqueue(c change) {
	if c.put == nil && len(c.deletes) == 0 {
		return
	}
	select {
	case s.changes <- c:
	default:
		s.log.Warn("Too many changes wait for the archive, one left out.")
	}
}

// apply makes one change; a put is tried until it is done, a drop once: it is made up for
// when the archive is read.
func (s *Service) apply(t *tomb.Tomb, a Archive, c change) {
	if c.put == nil {
		s.deleteArchived(t, a, c.deletes)
		return
	}
	for pause := archiveBackoff; ; pause = min(2*pause, maxArchiveBackoff) {
		ctx, cancel := context.WithTimeout(t.Context(context.Background()), archiveTimeout)
		err := a.Put(ctx, *c.put)
		cancel()
		if err == nil {
			return
		}
		s.log.Warn("A refused request is not kept, will try again.", "request", c.put.Request, "error", err)
		select {
		case <-t.Dying():
			return
		case <-s.opts.Clock.After(pause):
		}
	}
}

func (s *Service) deleteArchived(t *tomb.Tomb, a Archive, requests []quarantine.Fingerprint) {
	for len(requests) > 0 {
		n := min(len(requests), maxDeletes)
		ctx, cancel := context.WithTimeout(t.Context(context.Background()), archiveTimeout)
		err := a.Drop(ctx, requests[:n])
		cancel()
		if err != nil {
			s.log.Warn("Requests that are no longer refused stay in the archive.", "requests", len(requests), "error", err)
			return
		}
		requests = requests[n:]
	}
}
