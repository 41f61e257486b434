// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import (
	"context"
	"errors"
	"time"

	coreorigin "madderway/core/origin"
	"madderway/models/routing"
	"madderway/modules/clock"
)

// fakeArchive keeps a history with its time, and can be restored from an older copy.
type fakeArchive struct {
	clock         *clock.Fake
	down          bool
	stored, saved fakeHistory
	era, revision uint64
	calls         int
	onRead        func() // called before the answer is used; may be nil
}

type fakeHistory struct {
	found     bool
	history   coreorigin.History
	writtenAt time.Time
	writtenIn uint64
	revision  uint64
}

func newFakeArchive(c *clock.Fake) *fakeArchive { return &fakeArchive{clock: c} }

var errDown = errors.New("the store does not answer")

// Read implements Archive.
func (a *fakeArchive) Read(context.Context) (StoredHistory, error) {
	a.calls++
	if a.down {
		return StoredHistory{}, errDown
	}
	s := a.stored
	if a.onRead != nil {
		a.onRead()
	}
	return StoredHistory{History: aged(s.history, a.clock.Now().Sub(s.writtenAt)), Found: s.found, Era: a.era, WrittenIn: s.writtenIn, Revision: routing.Revision(s.revision)}, nil
}

// Write implements Archive.
func (a *fakeArchive) Write(_ context.Context, old StoredHistory, h coreorigin.History) error {
	a.calls++
	switch {
	case a.down:
		return errDown
	case uint64(old.Revision) != a.stored.revision:
		return ErrReplaced
	}
	a.revision++
	a.stored = fakeHistory{true, h, a.clock.Now(), old.Era, a.revision}
	return nil
}

func (a *fakeArchive) save() { a.saved = a.stored }

// restore brings back what was saved.
func (a *fakeArchive) restore() {
	a.stored = a.saved
	a.era++
}

// aged returns a history by its ages some time later.
func aged(h coreorigin.History, by time.Duration) coreorigin.History {
	out := coreorigin.History{Coverage: coreorigin.CoverageAge{All: h.Coverage.All, Later: map[string]time.Duration{}}}
	if h.Coverage.All < coreorigin.Always {
		out.Coverage.All += by
	}
	for service, age := range h.Coverage.Later {
		out.Coverage.Later[service] = age + by
	}
	for _, v := range h.Versions {
		if !v.Listed {
			v.UnlistedFor += by
		}
		out.Versions = append(out.Versions, v)
	}
	return out
}
