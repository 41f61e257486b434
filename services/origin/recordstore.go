// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"gopkg.in/tomb.v2"

	coreorigin "madderway/core/origin"
)

// RecordStore keeps records of streams outside the fleet while versions differ, so that streams
// continue after the loss of all gateways.
type RecordStore interface {
	// ReadRecords returns all batches with their ages.
	ReadRecords(ctx context.Context) ([]StoredBatch, error)
	// WriteRecords writes a batch, unless it has no records, and drops others by their IDs.
	WriteRecords(ctx context.Context, id string, records []coreorigin.Record, drop []string) error
}

// StoredBatch holds records that were written together. Those of an era of the store that is over have
// no records, since the store's clock does not tell their age.
type StoredBatch struct {
	ID      string
	Age     time.Duration // of the earliest record
	Records []coreorigin.Record
}

const (
	// Keepers write a batch every minWriteInterval, and less often if together they would write more
	// than maxWritesPerSecond. Streams that began since the last batch are refused after the loss of
	// all gateways.
	minWriteInterval   = 200 * time.Millisecond
	maxWritesPerSecond = 40
	maxRecordBackoff   = 5 * time.Second
	// maxPendingRecords bounds the records that wait to be written, maxBatchRecords those of a batch.
	maxPendingRecords = 4096
	maxBatchRecords   = 1000
	// loadTime is the age of a process up to which a stream that is not known waits for the stored
	// records to be read.
	loadTime = 2 * time.Second
)

// storing is the state of the records in the store; guarded by Service.mu.
type storing struct {
	pending []coreorigin.Record
	written []writtenBatch // by this process, oldest first
	count   uint64         // batches so far
	loaded  bool           // the records from before the start were read, or are not needed
	keeps   bool           // this gateway keeps records, so that it reads them
	// cleaned is set if batches that other processes left behind were dropped since versions differ.
	cleaned bool
}

type writtenBatch struct {
	id string
	at time.Time
}

// Store takes records that this gateway is to write to the store.
func (s *Service) Store(records []coreorigin.Record) {
	if len(records) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	room := max(maxPendingRecords-len(s.storing.pending), 0)
	if len(records) > room {
		s.counters.notStored.Add(len(records) - room)
		records = records[:room]
	}
	s.storing.pending = append(s.storing.pending, records...)
}

// RecordStoreOptions configure the use of a record store.
type RecordStoreOptions struct {
	Store RecordStore
	// Keeps returns whether this gateway keeps records of other gateways' streams.
	Keeps func() bool
	// Fleet returns whether this gateway is one of the watchers, which drop what others left behind,
	// and the number of gateways.
	Fleet func() (watcher bool, members int)
}

// RunRecordStore starts reading and writing records, until the tomb dies.
func (s *Service) RunRecordStore(t *tomb.Tomb, o RecordStoreOptions) {
	t.Go(func() error {
		ctx, backoff, nextWrite := t.Context(context.Background()), time.Duration(0), time.Time{}
		for {
			select {
			case <-t.Dying():
				return nil
			case <-s.opts.Clock.After(archivePollInterval + backoff/2 + rand.N(backoff+1)):
			}
			watcher, members := o.Fleet()
			err := s.loadRecords(ctx, o.Store, o.Keeps(), watcher)
			if now := s.opts.Clock.Now(); err == nil && !now.Before(nextWrite) {
				nextWrite = now.Add(writeInterval(members))
				err = s.writeRecords(ctx, o.Store)
			}
			if err == nil {
				backoff = 0
				continue
			}
			backoff = min(max(2*backoff, minArchiveBackoff), maxRecordBackoff)
			s.counters.storeFailures.Inc()
			s.log.Warn("Records of streams are not read or stored, will retry.", "error", err, "retry_in", backoff)
		}
	})
}

// writeInterval returns the time between two batches of a keeper in a fleet of a size.
func writeInterval(members int) time.Duration {
	return max(minWriteInterval, time.Duration(coreorigin.KeeperCount(members))*time.Second/maxWritesPerSecond)
}

// anyMixed reports whether streams of any service may have begun at several versions; the caller holds
// mu.
func (s *Service) anyMixed(now time.Time) bool { return s.versions.AnyMixed(now, s.life.at(now)) }

// loadRecords reads the records from before the start of this process, if they are needed, and drops
// batches that nobody else will.
func (s *Service) loadRecords(ctx context.Context, store RecordStore, keeps, watcher bool) error {
	s.mu.Lock()
	now := s.opts.Clock.Now()
	mixed := s.anyMixed(now)
	s.storing.keeps = keeps
	if !mixed {
		s.storing.cleaned = false
	}
	missesStreams := keeps && !s.storing.loaded && now.Sub(s.started) < s.life.at(now)
	due := mixed && (missesStreams || watcher && !s.storing.cleaned)
	s.mu.Unlock()
	if !due || !s.opts.InContact() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	batches, err := store.ReadRecords(ctx)
	if err != nil {
		return err
	}
	expired, records := s.learnBatches(batches)
	s.log.Info("Stored records of streams read.", "batches", len(batches), "records", records, "expired_batches", len(expired))
	if !watcher || len(expired) == 0 {
		return nil
	}
	return store.WriteRecords(ctx, "", nil, expired)
}

// learnBatches takes the records of batches. It returns the IDs of batches without use and the number
// of records.
func (s *Service) learnBatches(batches []StoredBatch) (expired []string, records int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	oldest := now.Add(-s.life.at(now))
	for _, b := range batches {
		if b.Age >= coreorigin.MaxMemory || len(b.Records) == 0 {
			expired = append(expired, b.ID)
			continue
		}
		for _, r := range b.Records {
			if r.At.After(oldest) {
				r.Tentative = true
				s.table.Put(r)
				records++
			}
		}
	}
	s.storing.loaded, s.storing.cleaned = true, true
	return expired, records
}

// writeRecords writes the records that wait, and drops own batches whose streams may no longer continue.
func (s *Service) writeRecords(ctx context.Context, store RecordStore) error {
	s.mu.Lock()
	now := s.opts.Clock.Now()
	st := &s.storing
	batch := st.pending[:min(len(st.pending), maxBatchRecords)]
	old := 0
	for old < len(st.written) && now.Sub(st.written[old].at) >= s.life.at(now) {
		old++
	}
	drop := make([]string, old)
	for i := range drop {
		drop[i] = st.written[i].id
	}
	idle := len(batch) == 0 && (old == 0 || s.anyMixed(now))
	id := fmt.Sprintf("%08x-%06d", s.opts.Sender, st.count)
	s.mu.Unlock()
	if idle {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	// A batch whose answer was lost is written once more under its ID.
	if err := store.WriteRecords(ctx, id, batch, drop); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st.written = st.written[old:]
	if len(batch) > 0 {
		st.written = append(st.written, writtenBatch{id, now})
		st.count++
		st.pending = st.pending[len(batch):]
		s.counters.stored.Add(len(batch))
	}
	return nil
}

// awaitRecords waits until the stored records are read, if this gateway has just started and may need
// them.
func (s *Service) awaitRecords(ctx context.Context, service string) {
	for ctx.Err() == nil && s.isLoading(service) {
		select {
		case <-ctx.Done():
		case <-s.opts.Clock.After(joinPollInterval):
		}
	}
}

func (s *Service) isLoading(service string) bool {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storing.keeps && !s.storing.loaded && now.Sub(s.started) < loadTime && s.versions.Mixed(now, service, s.life.at(now))
}
