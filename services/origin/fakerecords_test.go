// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import (
	"context"
	"time"

	coreorigin "madderway/core/origin"
)

// fakeRecords keeps records in the same store as a fakeArchive.
type fakeRecords struct {
	archive *fakeArchive
	batches map[string]fakeBatch
	writes  int
}

type fakeBatch struct {
	era     uint64
	records []coreorigin.Record
}

// ReadRecords implements RecordStore.
func (s *fakeRecords) ReadRecords(context.Context) ([]StoredBatch, error) {
	if s.archive.down {
		return nil, errDown
	}
	var out []StoredBatch
	for id, b := range s.batches {
		batch := StoredBatch{ID: id}
		if b.era == s.archive.era {
			batch.Records = b.records
			batch.Age = s.archive.clock.Now().Sub(coreorigin.Pack(b.records).First)
		}
		out = append(out, batch)
	}
	return out, nil
}

// WriteRecords implements RecordStore.
func (s *fakeRecords) WriteRecords(_ context.Context, id string, records []coreorigin.Record, drop []string) error {
	if s.archive.down {
		return errDown
	}
	s.writes++
	if len(records) > 0 {
		s.batches[id] = fakeBatch{s.archive.era, append([]coreorigin.Record(nil), records...)}
	}
	for _, old := range drop {
		delete(s.batches, old)
	}
	return nil
}

// age returns the age of the oldest batch.
func (s *fakeRecords) age() time.Duration {
	var oldest time.Duration
	for _, b := range s.batches {
		oldest = max(oldest, s.archive.clock.Now().Sub(coreorigin.Pack(b.records).First))
	}
	return oldest
}
