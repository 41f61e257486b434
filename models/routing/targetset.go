// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package routing

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// setBuckets divides a target set into parts that are copied when one of their targets changes.
const setBuckets = 256

// TargetSet is the platform's list of targets at one revision. It is immutable: Edit derives a
// changed set, which shares what stays the same. That keeps the cost of a change independent of
// the number of targets, and lets Changes find the difference of two sets quickly.
type TargetSet struct {
	Revision  Revision
	buckets   [setBuckets]*bucket
	byService map[string][]*Target // sorted by ID
	count     int
}

// bucket holds the targets whose worker names have the same hash, sorted by name.
type bucket struct{ targets []*Target }

// NewTargetSet returns a set of these targets.
func NewTargetSet(revision Revision, targets ...Target) *TargetSet {
	e := (&TargetSet{}).Edit()
	for i := range targets {
		e.Put(&targets[i])
	}
	return e.Done(revision)
}

// Len returns the number of targets.
func (s *TargetSet) Len() int { return s.count }

// ByService returns the targets of a service, sorted by ID, including those that do
// not accept work.
func (s *TargetSet) ByService(service string) []*Target { return s.byService[service] }

// All yields all targets, in no particular order.
func (s *TargetSet) All() iter.Seq[*Target] {
	return func(yield func(*Target) bool) {
		for _, targets := range s.byService {
			for _, t := range targets {
				if !yield(t) {
					return
				}
			}
		}
	}
}

// LeavingIDs returns the sorted IDs of the targets that are shutting down.
func (s *TargetSet) LeavingIDs() []string {
	var out []string
	for t := range s.All() {
		if t.Leaving {
			out = append(out, t.ID)
		}
	}
	slices.Sort(out)
	return out
}

// FindWorker returns the current incarnation of the worker with this name, or nil.
func (s *TargetSet) FindWorker(name string) *Target {
	b := s.buckets[bucketOf(name)]
	if b == nil {
		return nil
	}
	at, found := b.search(name)
	if !found {
		return nil
	}
	return b.targets[at]
}

// Find returns the target with this ID, or nil.
func (s *TargetSet) Find(id string) *Target {
	if t := s.FindWorker(WorkerNameOf(id)); t != nil && t.ID == id {
		return t
	}
	if t := s.FindWorker(id); t != nil && t.ID == id {
		return t
	}
	return nil
}

// WorkerNameOf returns the worker's name in an ID made by TargetID.
func WorkerNameOf(id string) string {
	at := strings.LastIndexByte(id, '@')
	if at < 0 {
		return id
	}
	if _, err := strconv.ParseInt(id[at+1:], 10, 64); err != nil {
		return id // not a start time: part of the name
	}
	return id[:at]
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % setBuckets) }

func (b *bucket) search(name string) (at int, found bool) {
	return slices.BinarySearchFunc(b.targets, name, func(t *Target, name string) int { return cmp.Compare(t.WorkerName(), name) })
}

// TargetChange is the difference in one worker between two sets; Before or After is nil if the
// worker is missing there.
type TargetChange struct{ Before, After *Target }

// Changes returns the differences from an older set, which may be nil.
func (s *TargetSet) Changes(older *TargetSet) []TargetChange {
	if older == nil {
		older = &TargetSet{}
	}
	var out []TargetChange
	for i, b := range s.buckets {
		if b != older.buckets[i] {
			out = b.changes(older.buckets[i], out)
		}
	}
	return out
}

// changes appends the differences from an older bucket to out. Both may be nil.
func (b *bucket) changes(older *bucket, out []TargetChange) []TargetChange {
	var before, after []*Target
	if older != nil {
		before = older.targets
	}
	if b != nil {
		after = b.targets
	}
	for len(before) > 0 || len(after) > 0 {
		switch order := compareFirst(before, after); {
		case order < 0:
			out, before = append(out, TargetChange{Before: before[0]}), before[1:]
		case order > 0:
			out, after = append(out, TargetChange{After: after[0]}), after[1:]
		default:
			if before[0] != after[0] {
				out = append(out, TargetChange{before[0], after[0]})
			}
			before, after = before[1:], after[1:]
		}
	}
	return out
}

// compareFirst compares the names of the first targets of two lists; an empty list comes last.
func compareFirst(a, b []*Target) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	default:
		return cmp.Compare(a[0].WorkerName(), b[0].WorkerName())
	}
}

// TargetEditor derives a set from another one. It is not safe for concurrent use.
type TargetEditor struct {
	set      *TargetSet
	own      [setBuckets]bool // buckets that the editor may change in place
	services map[string]*serviceEdit
}

// serviceEdit collects the changes of one service's list.
type serviceEdit struct{ added, removed []*Target }

// Edit returns an editor that starts with the targets of the set.
func (s *TargetSet) Edit() *TargetEditor {
	changed := *s
	return &TargetEditor{set: &changed, services: map[string]*serviceEdit{}}
}

// Put adds a target or replaces the worker's previous one. The caller must not change the target
// any more.
func (e *TargetEditor) Put(t *Target) {
	b := e.bucket(t.WorkerName())
	at, found := b.search(t.WorkerName())
	if found {
		e.service(b.targets[at].Service).remove(b.targets[at])
		b.targets[at] = t
	} else {
		b.targets = slices.Insert(b.targets, at, t)
		e.set.count++
	}
	s := e.service(t.Service)
	s.added = append(s.added, t)
}

// Remove removes a worker's target if it is in the set.
func (e *TargetEditor) Remove(name string) {
	b := e.bucket(name)
	at, found := b.search(name)
	if !found {
		return
	}
	e.service(b.targets[at].Service).remove(b.targets[at])
	b.targets = slices.Delete(b.targets, at, at+1)
	e.set.count--
}

// bucket returns the bucket of a worker, which the editor may change.
func (e *TargetEditor) bucket(name string) *bucket {
	i := bucketOf(name)
	if !e.own[i] {
		own := &bucket{}
		if old := e.set.buckets[i]; old != nil {
			own.targets = slices.Clone(old.targets)
		}
		e.set.buckets[i], e.own[i] = own, true
	}
	return e.set.buckets[i]
}

func (e *TargetEditor) service(name string) *serviceEdit {
	s := e.services[name]
	if s == nil {
		s = &serviceEdit{}
		e.services[name] = s
	}
	return s
}

func (s *serviceEdit) remove(t *Target) {
	if at := slices.Index(s.added, t); at >= 0 {
		s.added = slices.Delete(s.added, at, at+1)
		return
	}
	s.removed = append(s.removed, t)
}

// Done returns the edited set. The editor must not be used any more.
func (e *TargetEditor) Done(revision Revision) *TargetSet {
	e.set.Revision = revision
	if len(e.services) == 0 {
		return e.set
	}
	byService := make(map[string][]*Target, len(e.set.byService)+1)
	maps.Copy(byService, e.set.byService)
	for name, edit := range e.services {
		byService[name] = edit.apply(byService[name])
		if len(byService[name]) == 0 {
			delete(byService, name)
		}
	}
	e.set.byService = byService
	return e.set
}

// apply returns a changed copy of a service's list. It compares only near the changes.
func (s *serviceEdit) apply(old []*Target) []*Target {
	slices.SortFunc(s.removed, compareIDs)
	slices.SortFunc(s.added, compareIDs)
	out := make([]*Target, 0, len(old)+len(s.added)-len(s.removed))
	removed, added := s.removed, s.added
	for len(removed) > 0 || len(added) > 0 {
		if len(added) == 0 || len(removed) > 0 && compareIDs(removed[0], added[0]) <= 0 {
			at, _ := slices.BinarySearchFunc(old, removed[0], compareIDs)
			out = append(out, old[:at]...)
			old, removed = old[at+1:], removed[1:]
			continue
		}
		at, _ := slices.BinarySearchFunc(old, added[0], compareIDs)
		out = append(append(out, old[:at]...), added[0])
		old, added = old[at:], added[1:]
	}
	return append(out, old...)
}

func compareIDs(a, b *Target) int { return cmp.Compare(a.ID, b.ID) }
