// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package caller

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"madderway/services/engine"
)

// heldStub counts what is held of an answer, up to a limit.
type heldStub struct{ bytes, limit int64 }

func (h *heldStub) Reserve(n int64) bool {
	if h.bytes+n > h.limit {
		return false
	}
	h.bytes += n
	return true
}

func (h *heldStub) GiveBack(n int64) { h.bytes -= n }

// Guards against a completion that is gathered without end: its target never sends the last event.
func TestCollectedCompletionIsBounded(t *testing.T) {
	const limit = 1 << 20
	text := strings.Repeat("x", 1<<10)
	data, err := json.Marshal(map[string]any{"choices": []any{map[string]any{"delta": map[string]any{"content": text}}}})
	if err != nil {
		t.Fatal(err)
	}
	held, ended := &heldStub{limit: limit}, false
	s := &collectSink{w: httptest.NewRecorder(), held: held, giveUp: func() { ended = true }}
	for range 2 * limit / len(text) {
		if s.Event(engine.Event{Data: string(data)}) != nil {
			break
		}
	}
	if len(s.text) > limit || !ended || s.err() == nil {
		t.Errorf("%d bytes are held, ended %v, error %v", len(s.text), ended, s.err())
	}
	if err := s.Begin("token", 2); err != nil || s.err() != nil || held.bytes != 0 {
		t.Errorf("after a restart: error %v, %d bytes held", s.err(), held.bytes)
	}
	if err := s.Event(engine.Event{Data: string(data)}); err != nil || string(s.text) != text {
		t.Errorf("after a restart: got %d bytes, error %v", len(s.text), err)
	}
}

// Guards against a usage report of any size, which is kept to the end of the answer.
func TestCollectedUsageIsBounded(t *testing.T) {
	s := &collectSink{w: httptest.NewRecorder(), held: &heldStub{}, giveUp: func() {}}
	if _ = s.Event(engine.Event{Data: `{"usage":{"x":"` + strings.Repeat("x", 1<<20) + `"}}`}); len(s.usage) > maxUsage || s.err() == nil {
		t.Errorf("a usage report of %d bytes is held, error %v", len(s.usage), s.err())
	}
}
