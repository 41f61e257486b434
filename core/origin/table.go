// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import "time"

// maxRecords bounds a table, to about 5 MB. The oldest records are dropped first.
const maxRecords = 32 << 10

// Table holds records for as long as their streams may continue. It is not safe for concurrent use.
type Table struct {
	entries map[Key]*entry
	order   []queued // by age; may hold dropped entries
	dropped uint64   // records that were dropped before their time
}

type entry struct {
	Record
	ambiguous bool // two gateways served attempts of the same ID
	local     *localState
	// backupOf is the service of a stream that another gateway serves and whose record it has told
	// to its backups only; empty for other records.
	backupOf string
}

// localState is kept of attempts that this gateway serves.
type localState struct {
	service string
	shared  bool // other gateways have the record
}

type queued struct {
	key Key
	at  time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[Key]*entry{}} }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.entries) }

// Dropped returns the number of records that were dropped since the table was full.
func (t *Table) Dropped() uint64 { return t.dropped }

// Put adds a record of another gateway, unless a later one of the same sender is known.
func (t *Table) Put(r Record) { t.put(r).backupOf = "" }

// PutBackup adds a record of a stream of a service that another gateway has told to its backups only.
func (t *Table) PutBackup(r Record, service string) {
	_, known := t.entries[r.Key]
	if e := t.put(r); !known {
		e.backupOf = service
	}
}

// TakeBackups returns the records of a service that were told to backups only. They count as shared
// from now on.
func (t *Table) TakeBackups(service string) []Record {
	var out []Record
	for _, e := range t.entries {
		if e.backupOf == service {
			e.backupOf = ""
			out = append(out, e.Record)
		}
	}
	return out
}

// NoteShared records that a sender has told others of its streams of a service.
func (t *Table) NoteShared(service string, sender uint32) {
	for _, e := range t.entries {
		if e.backupOf == service && e.Sender == sender {
			e.backupOf = ""
		}
	}
}

// PutLocal adds a record of an attempt that this gateway serves for a service. It reports whether
// other gateways must get it: if share is set, or if they have an earlier record of the attempt.
func (t *Table) PutLocal(r Record, service string, share bool) bool {
	e := t.put(r)
	if e.local == nil {
		e.local = &localState{service: service}
	}
	e.local.shared = e.local.shared || share
	return e.local.shared
}

func (t *Table) put(r Record) *entry {
	e := t.entries[r.Key]
	switch {
	case e == nil:
		e = &entry{Record: r}
		t.entries[r.Key] = e
		t.order = append(t.order, queued{r.Key, r.At})
		t.dropExcess()
	case r.Conflicts(e.Record):
		e.ambiguous = true
	case r.Follows(e.Record):
		r.At = e.At // order stays sorted
		e.Record = r
	}
	return e
}

// Get returns the record of a stream. ok is false if there is none; ambiguous reports that it
// cannot be known where the stream began.
func (t *Table) Get(k Key) (r Record, ambiguous, ok bool) {
	e := t.entries[k]
	if e == nil {
		return Record{}, false, false
	}
	return e.Record, e.ambiguous, true
}

// Unshared marks the local records of a service as shared and returns those that were not.
func (t *Table) Unshared(service string) []Record {
	var out []Record
	for _, e := range t.entries {
		if e.local != nil && e.local.service == service && !e.local.shared {
			e.local.shared = true
			out = append(out, e.Record)
		}
	}
	return out
}

// Expire drops the records made before a time.
func (t *Table) Expire(before time.Time) {
	for len(t.order) > 0 && (t.order[0].at.Before(before) || !t.current(t.order[0])) {
		t.dropOldest()
	}
}

// current reports whether a queued entry is still in the table.
func (t *Table) current(q queued) bool {
	e := t.entries[q.key]
	return e != nil && e.At.Equal(q.at)
}

func (t *Table) dropOldest() {
	q := t.order[0]
	t.order = t.order[1:]
	if t.current(q) {
		delete(t.entries, q.key)
	}
}

func (t *Table) dropExcess() {
	for len(t.entries) > maxRecords {
		before := len(t.entries)
		t.dropOldest()
		t.dropped += uint64(before - len(t.entries))
	}
}
