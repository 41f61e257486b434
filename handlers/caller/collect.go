// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

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

const (
	// The buffer of a completion's text starts with firstText bytes and grows by textGrowth.
	firstText  = 4 << 10
	textGrowth = 2
	// textCopies is the number of copies of the text while it is encoded.
	textCopies = 3
	maxUsage   = 4 << 10 // bytes
)

var (
	errTextTooLarge  = errors.New("too many bytes of answers are held")
	errUsageTooLarge = fmt.Errorf("a usage report is over %d bytes", maxUsage)
)

// heldBytes counts what is held of an answer; dispatch.Held implements it.
type heldBytes interface {
	Reserve(n int64) bool
	GiveBack(n int64)
}

// collectSink collects the events of a streamed answer into one completion.
type collectSink struct {
	w            http.ResponseWriter
	held         heldBytes
	giveUp       func() // ends the request
	text         []byte
	finishReason string
	usage        json.RawMessage
	decodeErr    error
	heldErr      error // the answer is too large
}

// err returns why the events are no completion.
func (s *collectSink) err() error {
	if s.heldErr != nil {
		return s.heldErr
	}
	return s.decodeErr
}

// Begin implements dispatch.Sink. It discards the events of an earlier attempt.
func (s *collectSink) Begin(token string, _ int) error {
	s.held.GiveBack(textCopies * int64(cap(s.text)))
	s.text, s.finishReason, s.usage, s.decodeErr, s.heldErr = nil, "", nil, nil, nil
	s.w.Header().Set(HeaderResume, token)
	return nil
}

// Event implements dispatch.Sink. An answer that is too large is given up.
func (s *collectSink) Event(ev engine.Event) error {
	if ev.Done() || s.decodeErr != nil {
		return nil
	}
	var d streamChunk
	if err := json.Unmarshal([]byte(ev.Data), &d); err != nil {
		s.decodeErr = err
		return nil
	}
	if len(d.Usage) > maxUsage {
		s.decodeErr = errUsageTooLarge
		return nil
	}
	if len(d.Usage) > 0 && string(d.Usage) != "null" {
		s.usage = d.Usage
	}
	for _, c := range d.Choices {
		if !s.add(c.Delta.Content) {
			s.heldErr = errTextTooLarge
			s.giveUp()
			return s.heldErr
		}
		if c.FinishReason != "" {
			s.finishReason = c.FinishReason
		}
	}
	return nil
}

// add appends to the text, unless that is more than may be held.
func (s *collectSink) add(text string) bool {
	if need := len(s.text) + len(text); need > cap(s.text) {
		size := max(need, firstText, textGrowth*cap(s.text))
		if !s.held.Reserve(textCopies * int64(size)) {
			return false
		}
		grown := append(make([]byte, 0, size), s.text...)
		s.held.GiveBack(textCopies * int64(cap(s.text)))
		s.text = grown
	}
	s.text = append(s.text, text...)
	return true
}

func (h *Handler) collect(c *call, model string, run func(context.Context, dispatch.Sink) error) error {
	ctx, cancel := context.WithCancel(c.req.Context())
	defer cancel()
	held := h.dispatch.Hold(c.id)
	defer held.Release()
	s := &collectSink{w: c.ResponseWriter, held: held, giveUp: cancel}
	if err := run(ctx, s); err != nil && s.heldErr == nil {
		return err
	}
	if err := s.err(); err != nil {
		return result.New(result.TargetFailed, "the events of the target are no completion: %v", err)
	}
	api.WriteJSON(c, http.StatusOK, completion{
		ID: c.id, Object: "chat.completion", Model: model, Usage: s.usage,
		Choices: []choice{{Message: message{"assistant", string(s.text)}, FinishReason: s.finishReason}},
	})
	return nil
}
