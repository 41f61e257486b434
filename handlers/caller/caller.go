// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package caller serves the router's HTTP interface for callers: chat completions, the list of
// models, requests to plain services, and the resumption of answers.
package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"

	"madderway/handlers/api"
	"madderway/models/conf"
	"madderway/models/result"
	"madderway/modules/ident"
	"madderway/services/config"
	"madderway/services/dispatch"
)

// Headers of the callers' interface and their limits.
const (
	HeaderClass          = "X-Madderway-Class"
	HeaderResume         = "X-Madderway-Resume"
	HeaderReplayed       = "X-Madderway-Replayed"
	HeaderRouter         = "X-Madderway-Router"
	HeaderIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
	requestIDPrefix      = "req"
	maxKeyLength         = 256
)

// drainingRetryAfter is long enough for the caller to be sent to another router.
const drainingRetryAfter = 50 * time.Millisecond

// Handler serves callers' requests.
type Handler struct {
	routerID string
	maxBody  int64
	config   *config.Service
	dispatch *dispatch.Service
	dying    <-chan struct{} // closed when the router stops at once

	mu       sync.Mutex
	draining bool
	inflight sync.WaitGroup
}

// New returns a handler whose request bodies have at most maxBody bytes. Once dying is closed or d has given up, a
// partial answer is cut off without an error event, so that the caller resumes it.
func New(routerID string, maxBody int64, c *config.Service, d *dispatch.Service, dying <-chan struct{}) *Handler {
	return &Handler{routerID: routerID, maxBody: maxBody, config: c, dispatch: d, dying: dying}
}

// Routes returns the HTTP handler of the interface.
func (h *Handler) Routes() http.Handler {
	r := bunrouter.New(
		bunrouter.WithNotFoundHandler(notFound),
		bunrouter.WithMethodNotAllowedHandler(notFound),
	)
	r.POST("/v1/chat/completions", h.wrap(h.chat))
	r.GET("/v1/models", h.wrap(h.models))
	r.GET("/v1/responses/:id", h.wrap(h.resume))
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	} {
		r.Handle(method, "/services/:pool/*path", h.wrap(h.plain))
	}
	return r
}

func notFound(w http.ResponseWriter, req bunrouter.Request) error {
	api.WriteError(w, result.New(result.NotFound, "%s %s", req.Method, req.URL.Path), "")
	return nil
}

// call is a request with its ID and, once authenticated, its account.
type call struct {
	http.ResponseWriter
	req     bunrouter.Request
	id      string
	account *conf.ClientAccount
}

// wrap adds the request ID, authentication, the count of requests in flight and error responses.
func (h *Handler) wrap(serve func(c *call) error) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, req bunrouter.Request) error {
		c := &call{ResponseWriter: w, req: req, id: ident.New(requestIDPrefix)}
		w.Header().Set(api.HeaderRequestID, c.id)
		w.Header().Set(HeaderRouter, h.routerID)
		if !h.beginRequest() {
			api.WriteError(w, result.New(result.Draining, "router %s is stopping", h.routerID).WithRetryAfter(drainingRetryAfter), c.id)
			return nil
		}
		defer h.inflight.Done()
		err := h.authenticate(c)
		if err == nil {
			err = serve(c)
		}
		if err != nil {
			api.WriteError(w, err, c.id)
		}
		return nil
	}
}

func (h *Handler) beginRequest() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return false
	}
	h.inflight.Add(1)
	return true
}

// Drain refuses new requests and waits until those in flight have ended or ctx is done. It
// reports whether all have ended.
func (h *Handler) Drain(ctx context.Context) bool {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	done := make(chan struct{})
	go func() {
		h.inflight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (h *Handler) authenticate(c *call) error {
	if err := h.dispatch.Admit(); err != nil {
		return err
	}
	key, ok := strings.CutPrefix(c.req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return result.New(result.Unauthorized, "no bearer key")
	}
	account, ok := h.config.Snapshot().Index.Authenticate(key)
	if !ok {
		return result.New(result.Unauthorized, "no client account has this key")
	}
	c.account = account
	return nil
}

func (h *Handler) readBody(c *call) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.ResponseWriter, c.req.Body, h.maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.New(result.BodyTooLarge, "the body is over %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, result.Wrap(result.BadRequest, err)
	}
	return body, nil
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (h *Handler) models(c *call) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, p := range h.config.Snapshot().Index.Document.Pools {
		for _, m := range p.Models {
			list.Data = append(list.Data, model{m, "model", p.Name})
		}
	}
	api.WriteJSON(c, http.StatusOK, list)
	return nil
}
