// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"madderway/handlers/api"
	"madderway/models/result"
	"madderway/services/dispatch"
	"madderway/services/engine"
)

// completion is an answer that is not streamed.
type completion struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// streamChunk is the data of an engine's event.
type streamChunk struct {
	Choices []struct {
		Delta        message `json:"delta"`
		FinishReason string  `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

// collectSink collects the events of a streamed answer into one completion.
type collectSink struct {
	w            http.ResponseWriter
	text         strings.Builder
	finishReason string
	usage        json.RawMessage
	decodeErr    error
}

// Begin implements dispatch.Sink. It discards the events of an earlier attempt.
func (s *collectSink) Begin(token string, _ int) error {
	s.text.Reset()
	s.finishReason, s.usage, s.decodeErr = "", nil, nil
	s.w.Header().Set(HeaderResume, token)
	return nil
}

// Event implements dispatch.Sink.
func (s *collectSink) Event(ev engine.Event) error {
	if ev.Done() || s.decodeErr != nil {
		return nil
	}
	var d streamChunk
	if err := json.Unmarshal([]byte(ev.Data), &d); err != nil {
		s.decodeErr = err
		return nil
	}
	if len(d.Usage) > 0 && string(d.Usage) != "null" {
		s.usage = d.Usage
	}
	for _, c := range d.Choices {
		s.text.WriteString(c.Delta.Content)
		if c.FinishReason != "" {
			s.finishReason = c.FinishReason
		}
	}
	return nil
}

func (h *Handler) collect(c *call, model string, run func(dispatch.Sink) error) error {
	s := &collectSink{w: c.ResponseWriter}
	if err := run(s); err != nil {
		return err
	}
	if s.decodeErr != nil {
		return result.New(result.TargetFailed, "the target sent an event that is not JSON: %v", s.decodeErr)
	}
	api.WriteJSON(c, http.StatusOK, completion{
		ID: c.id, Object: "chat.completion", Model: model, Usage: s.usage,
		Choices: []choice{{Message: message{"assistant", s.text.String()}, FinishReason: s.finishReason}},
	})
	return nil
}
