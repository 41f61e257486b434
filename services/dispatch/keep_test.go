// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"strconv"
	"strings"
	"testing"

	"madderway/models/conf"
	"madderway/services/engine"
	"madderway/services/heldbytes"
)

func keepingStream(limit int64) *stream {
	return &stream{j: &job{account: &conf.ClientAccount{KeepAnswers: 1, KeepBytes: limit}}, kept: &Held{}}
}

// Guards against an answer that was too long to be kept and is kept without some of its events, up to its
// last one, so that it looks complete to the caller that fetches it.
func TestAnswerWithMissingEventsIsNotKept(t *testing.T) {
	st := keepingStream(100)
	for _, data := range []string{strings.Repeat("a", 60), strings.Repeat("b", 60), "c", engine.DoneData} {
		st.keep(engine.Event{Data: data})
	}
	if len(st.events) > 0 {
		t.Errorf("events of %q are kept", st.events)
	}
	st = keepingStream(100)
	for _, data := range []string{"a", "b", engine.DoneData} {
		st.keep(engine.Event{Data: data})
	}
	if len(st.events) != 3 {
		t.Errorf("%d events of a short answer are kept, want 3", len(st.events))
	}
}

// Guards against events without data, which no bound on bytes ends.
func TestEmptyEventsAreNotKeptWithoutEnd(t *testing.T) {
	const limit = 1 << 10
	st := keepingStream(limit)
	for range limit {
		st.keep(engine.Event{})
	}
	if len(st.events) > limit/eventOverhead {
		t.Errorf("%d events are kept for %d bytes", len(st.events), limit)
	}
}

// Guards against events of many answers, each within its account's limit, that fill a router's memory.
func TestKeptAnswersAreBoundedTogether(t *testing.T) {
	const (
		answers = 100
		limit   = 1 << 20
		size    = 1 << 10
	)
	s := &Service{held: heldbytes.New(limit)}
	streams := make([]*stream, answers)
	for i := range streams {
		streams[i] = keepingStream(limit)
		streams[i].kept = s.Hold(strconv.Itoa(i))
	}
	for range limit / 2 / size {
		for _, st := range streams {
			st.keep(engine.Event{Data: strings.Repeat("x", size)})
		}
	}
	kept := int64(0)
	for _, st := range streams {
		kept += st.bytes
		if st.tooLong && len(st.events) > 0 {
			t.Error("an answer is kept with events missing")
		}
	}
	if kept > limit {
		t.Errorf("%d bytes are kept, want %d at most", kept, limit)
	}
	for _, st := range streams {
		st.kept.Release()
	}
	if held := s.held.Held(); held != 0 {
		t.Errorf("%d bytes are counted after the last answer", held)
	}
}
