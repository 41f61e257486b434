// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package standin

import (
	"fmt"
	"net/http"
	"time"

	"madderway/services/engine"
)

func (e *Engine) generate(s *engineStream) {
	select {
	case <-s.start:
	case <-s.canceled:
		if e.dequeue(s) {
			s.end()
			return
		}
		<-s.start
	}
	defer e.finish(s)
	timer := time.NewTimer(e.cfg.FirstToken)
	defer timer.Stop()
	next := time.Now().Add(e.cfg.FirstToken)
	for i := 1; i <= s.tokens; i++ {
		select {
		case <-s.canceled:
			s.end()
			return
		case <-timer.C:
		}
		s.append(fmt.Sprintf(`{"choices":[{"delta":{"content":"%s-%d "}}]}`, s.request, i))
		e.serve(s.account, 0, 1)
		next = next.Add(e.cfg.TokenGap)
		timer.Reset(time.Until(next))
	}
	s.append(fmt.Sprintf(`{"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"cached_tokens":%d}}`,
		s.prompt, s.tokens, s.cached))
	s.append(engine.DoneData)
	s.end()
}

func (e *Engine) dequeue(s *engineStream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, w := range e.waiting {
		if w == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func (s *engineStream) cancel() { s.cancelOnce.Do(func() { close(s.canceled) }) }

func (s *engineStream) append(data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, data)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *engineStream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *engineStream) after(offset int) (events []string, done bool, grown chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset < len(s.events) {
		events = s.events[offset:len(s.events):len(s.events)]
	}
	return events, s.done, s.changed
}

// send writes a stream's events after an offset. The stream continues if the reader disconnects.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *engineStream, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	cutAt := e.Faults().CutAfter
	sent := 0
	for {
		events, done, grown := s.after(offset)
		for _, data := range events {
			if cutAt > 0 && sent == cutAt {
				_ = flush.Flush() // deliver the events before the cut
				abortConnection()
			}
			offset++
			sent++
			if e.Faults().Garbage {
				data = "}{"
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data); err != nil {
				return
			}
		}
		_ = flush.Flush()
		if len(events) > 0 {
			continue
		}
		if done {
			return
		}
		select {
		case <-grown:
		case <-r.Context().Done():
			return
		}
	}
}
