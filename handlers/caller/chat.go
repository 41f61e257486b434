// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"madderway/handlers/api"
	"madderway/models/result"
	"madderway/modules/ident"
	"madderway/services/dispatch"
	"madderway/services/engine"
)

const (
	defaultMaxTokens = 1024
	// Bytes of the first message that identify the prompt's prefix.
	maxPrefixBytes = 1024
)

// chatBody holds the fields of a chat completion that the router reads. The engine gets the whole
// body.
type chatBody struct {
	Model     string            `json:"model"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
	Messages  []json.RawMessage `json:"messages"`
}

func (h *Handler) chat(c *call) error {
	raw, err := h.readBody(c)
	if err != nil {
		return err
	}
	var body chatBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return result.New(result.BadRequest, "the body is not a chat completion: %v", err)
	}
	if body.Model == "" || len(body.Messages) == 0 || body.MaxTokens < 0 {
		return result.New(result.BadRequest, "model and messages are needed, and max_tokens must not be negative")
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = defaultMaxTokens
	}
	sent := raw
	if !body.Stream {
		if sent, err = withStreaming(raw); err != nil {
			return result.Wrap(result.BadRequest, err)
		}
	}
	chat := dispatch.Chat{
		RequestID: c.id, Account: c.account, Model: body.Model, Class: c.req.Header.Get(HeaderClass),
		MaxTokens: body.MaxTokens, Stream: body.Stream, Prefix: promptPrefix(body), Body: sent,
	}
	if body.Stream {
		return h.stream(c, func(sink dispatch.Sink) error {
			return h.dispatch.Chat(c.req.Context(), chat, sink)
		})
	}
	return h.collect(c, body.Model, func(ctx context.Context, sink dispatch.Sink) error {
		return h.dispatch.Chat(ctx, chat, sink)
	})
}

// withStreaming turns streaming on, as only streamed answers can be resumed.
func withStreaming(raw []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}

func promptPrefix(body chatBody) string {
	first := body.Messages[0]
	if len(first) > maxPrefixBytes {
		first = first[:maxPrefixBytes]
	}
	return strconv.FormatUint(xxhash.Sum64(append([]byte(body.Model+"\x00"), first...)), 36)
}

// stream runs a request and sends its events as they arrive.
func (h *Handler) stream(c *call, run func(dispatch.Sink) error) error {
	s := &sseSink{w: c.ResponseWriter, flush: http.NewResponseController(c.ResponseWriter)}
	err := run(s)
	if err == nil || !s.started {
		return err
	}
	select {
	case <-h.dying:
		panic(http.ErrAbortHandler)
	default:
	}
	if h.dispatch.GaveUp() {
		panic(http.ErrAbortHandler)
	}
	body, _ := api.NewError(err, c.id)
	s.sendEvent("error", body)
	return nil
}

// sseSink writes server-sent events to a caller.
type sseSink struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	started bool
}

// restartEvent tells a caller to discard the events so far: the answer starts over.
type restartEvent struct {
	Attempt int    `json:"attempt"`
	Resume  string `json:"resume"`
}

// Begin implements dispatch.Sink.
func (s *sseSink) Begin(token string, attempt int) error {
	if s.started {
		return s.sendEvent("restart", restartEvent{attempt, token})
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.Header().Set(HeaderResume, token)
	s.w.WriteHeader(http.StatusOK)
	return s.flush.Flush()
}

// Event implements dispatch.Sink.
func (s *sseSink) Event(ev engine.Event) error {
	if _, err := s.w.Write(ev.Format()); err != nil {
		return err
	}
	return s.flush.Flush()
}

// sendEvent sends a typed event that is not part of the answer.
func (s *sseSink) sendEvent(kind string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if _, err := s.w.Write([]byte("event: " + kind + "\ndata: " + string(data) + "\n\n")); err != nil {
		return err
	}
	return s.flush.Flush()
}

func (h *Handler) resume(c *call) error {
	id := c.req.Param("id")
	if !ident.Valid(requestIDPrefix, id) {
		return result.New(result.NotFound, "%q is not a request ID", id)
	}
	offset := 0
	text := c.req.URL.Query().Get("offset")
	if text == "" {
		text = c.req.Header.Get(headerLastEventID)
	}
	if text != "" {
		var err error
		if offset, err = strconv.Atoi(text); err != nil || offset < 0 {
			return result.New(result.BadRequest, "%q is not an offset", text)
		}
	}
	r := dispatch.Resume{RequestID: id, Account: c.account, Token: c.req.Header.Get(HeaderResume), Offset: offset}
	return h.stream(c, func(sink dispatch.Sink) error { return h.dispatch.Resume(c.req.Context(), r, sink) })
}
