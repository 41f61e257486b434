// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"context"
	"slices"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/core/quarantine"
)

// Archive stores quarantined requests and refused parts of prompts outside the fleet. Without it a
// loss of all gateways would let each of them kill three more targets.
type Archive interface {
	// Records returns all records, without the times of their deaths.
	Records(ctx context.Context) ([]quarantine.Record, []quarantine.PartRecord, error)
	// Put writes the record of a quarantined request, and PutPart that of a refused part.
	Put(ctx context.Context, r quarantine.Record) error
	PutPart(ctx context.Context, r quarantine.PartRecord) error
	// Drop deletes the records of the requests, and DropParts those of the parts.
	Drop(ctx context.Context, requests []quarantine.Fingerprint) error
	DropParts(ctx context.Context, parts []quarantine.Part) error
}

const (
	// archiveTimeout bounds each call of the archive.
	archiveTimeout = 2 * time.Second
	// archiveQueueSize bounds the changes that wait while the archive is unavailable.
	archiveQueueSize = 64
	// archiveBackoff is the wait after a failed call. It doubles up to maxArchiveBackoff.
	archiveBackoff    = time.Second
	maxArchiveBackoff = 10 * time.Second
	// firstReadDelay is the time after the start at which a gateway first considers reading the
	// archive. By then it knows the other gateways, of which three read for all.
	firstReadDelay = 700 * time.Millisecond
	// maxDeletes bounds the rows that one call deletes.
	maxDeletes = 90
)

// change is a queued write to the archive: a record to put, or requests or parts to delete.
type change struct {
	put          *quarantine.Record
	putPart      *quarantine.PartRecord
	deletes      []quarantine.Fingerprint
	deletedParts []quarantine.Part
}

func (c change) isEmpty() bool {
	return c.put == nil && c.putPart == nil && len(c.deletes) == 0 && len(c.deletedParts) == 0
}

// ArchiveOptions configure the use of an archive.
type ArchiveOptions struct {
	Archive Archive
	// IsReader reports whether this gateway is one of those that read the archive for all.
	IsReader func() bool
	// FirstStart is true if the fleet has never run before, so the archive is empty.
	FirstStart bool
}

// RunArchive starts reading from and writing to the archive, until the tomb dies.
func (s *Service) RunArchive(t *tomb.Tomb, o ArchiveOptions) {
	t.Go(func() error {
		s.readAtStart(t, o)
		for {
			select {
			case <-t.Dying():
				return nil
			case c := <-s.changes:
				s.apply(t, o.Archive, c)
			}
		}
	})
}

// readAtStart reads the archive, with retries, if this gateway is one of its readers.
func (s *Service) readAtStart(t *tomb.Tomb, o ArchiveOptions) {
	if o.FirstStart {
		return
	}
	backoff := firstReadDelay
	for {
		select {
		case <-t.Dying():
			return
		case <-s.opts.Clock.After(backoff):
		}
		if !o.IsReader() || s.readArchive(t, o.Archive) {
			return
		}
		backoff = min(max(2*backoff, archiveBackoff), maxArchiveBackoff)
	}
}

// RewriteArchive writes all quarantined requests again, after the archive was restored from an
// older copy that may lack some.
func (s *Service) RewriteArchive() {
	for _, r := range s.Shared() {
		if standing, _ := s.Standing(r.Request); standing == quarantine.Quarantined {
			s.enqueue(change{put: &r})
		}
	}
	for _, r := range s.parts.refusedRecords() {
		s.enqueue(change{putPart: &r})
	}
}

// readArchive merges the archived records, shares them with other gateways and deletes those
// that have expired.
func (s *Service) readArchive(t *tomb.Tomb, a Archive) bool {
	ctx, cancel := context.WithTimeout(t.Context(context.Background()), archiveTimeout)
	defer cancel()
	records, parts, err := a.Records(ctx)
	if err != nil {
		s.log.Warn("Failed to read quarantined requests from the archive, will retry.", "error", err)
		return false
	}
	s.log.Info("Read quarantined requests from the archive.", "requests", len(records), "prompt_parts", len(parts))
	now := s.opts.Clock.Now()
	for i := range records {
		setDeathTimes(&records[i], now)
	}
	for _, r := range s.Merge("archive", records, func(quarantine.Fingerprint) bool { return false }) {
		s.opts.Share(r)
	}
	parts = slices.DeleteFunc(parts, func(r quarantine.PartRecord) bool { return s.parts.knows(r.Part) })
	for i := range parts {
		deaths := parts[i].Deaths
		for n := range deaths {
			deaths[n].At = archivedDeathTime(now, len(deaths)-1-n)
		}
	}
	for _, n := range s.parts.Merge("archive", parts, func(quarantine.Part) bool { return false }) {
		s.opts.SharePart(n)
	}
	var expired []quarantine.Fingerprint
	for _, r := range records {
		if standing, _ := s.Standing(r.Request); standing == quarantine.Unsuspected {
			expired = append(expired, r.Request)
		}
	}
	s.enqueue(change{deletes: expired})
	return true
}

// setDeathTimes sets the times of a record's deaths, at intervals before now. The archive holds
// none, since its writers' clocks may differ.
func setDeathTimes(r *quarantine.Record, now time.Time) {
	for i := range r.Deaths {
		r.Deaths[i].At = archivedDeathTime(now, i)
	}
}

// archivedDeathTime returns the time of the n-th death of an archived record.
func archivedDeathTime(now time.Time, n int) time.Time {
	const interval = 2 * time.Second // long enough for the deaths to count as separate ones
	return now.Add(-time.Duration(n) * interval)
}

// enqueue queues a change for the archive.
func (s *Service) enqueue(c change) {
	if c.isEmpty() {
		return
	}
	select {
	case s.changes <- c:
	default:
		s.log.Warn("Archive queue is full, dropped a change.")
	}
}

// apply performs one change. A put is retried until it succeeds. A delete is not: the next read
// of the archive repeats it.
func (s *Service) apply(t *tomb.Tomb, a Archive, c change) {
	if c.put == nil && c.putPart == nil {
		s.deleteArchived(t, a, c)
		return
	}
	for backoff := archiveBackoff; ; backoff = min(2*backoff, maxArchiveBackoff) {
		ctx, cancel := context.WithTimeout(t.Context(context.Background()), archiveTimeout)
		err := c.write(ctx, a)
		cancel()
		if err == nil {
			return
		}
		s.log.Warn("Failed to archive a quarantined request or prompt part, will retry.", "error", err)
		select {
		case <-t.Dying():
			return
		case <-s.opts.Clock.After(backoff):
		}
	}
}

// write puts the record of the change.
func (c change) write(ctx context.Context, a Archive) error {
	if c.put != nil {
		return a.Put(ctx, *c.put)
	}
	return a.PutPart(ctx, *c.putPart)
}

func (s *Service) deleteArchived(t *tomb.Tomb, a Archive, c change) {
	if len(c.deletedParts) > 0 {
		ctx, cancel := context.WithTimeout(t.Context(context.Background()), archiveTimeout)
		defer cancel()
		if err := a.DropParts(ctx, c.deletedParts); err != nil {
			s.log.Warn("Failed to delete prompt parts from the archive.", "parts", len(c.deletedParts), "error", err)
		}
		return
	}
	requests := c.deletes
	for len(requests) > 0 {
		n := min(len(requests), maxDeletes)
		ctx, cancel := context.WithTimeout(t.Context(context.Background()), archiveTimeout)
		err := a.Drop(ctx, requests[:n])
		cancel()
		if err != nil {
			s.log.Warn("Failed to delete requests from the archive.", "requests", len(requests), "error", err)
			return
		}
		requests = requests[n:]
	}
}
