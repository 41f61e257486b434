// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package operator serves the router's HTTP interface for operators: configuration, status,
// dumps, explanations of requests, orders to engines, metrics and health. All but metrics and
// health needs a token.
package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/uptrace/bunrouter"

	"madderway/core/head"
	"madderway/handlers/api"
	"madderway/models/conf"
	"madderway/models/result"
	"madderway/modules/ident"
	"madderway/services/config"
	"madderway/services/engine"
	"madderway/services/order"
	"madderway/services/peer"
)

const (
	maxRequestBytes   = 32 << 20
	operationIDPrefix = "op"
)

// Options configure a Handler.
type Options struct {
	RouterID    string
	TokenSHA256 []string
	Config      *config.Service
	Peers       *peer.Service
	Orders      *order.Service
	Ready       func() error       // returns why the router accepts no requests, or nil
	Dump        func() any         // returns the state of the process
	Metrics     func(w io.Writer)  // writes the metrics in the text format
	Drain       func()             // starts a graceful stop without waiting for it
	Status      func(*StatusReply) // adds the state of the fleet to a reply
}

// Handler serves operators' requests.
type Handler struct {
	opts   Options
	tokens [][]byte
}

// New returns a handler.
func New(o Options) *Handler {
	h := &Handler{opts: o}
	for _, t := range o.TokenSHA256 {
		if raw, err := hex.DecodeString(t); err == nil {
			h.tokens = append(h.tokens, raw)
		}
	}
	return h
}

// Routes returns the HTTP handler of the interface.
func (h *Handler) Routes() http.Handler {
	r := bunrouter.New(bunrouter.WithNotFoundHandler(func(w http.ResponseWriter, req bunrouter.Request) error {
		api.WriteError(w, result.New(result.NotFound, "%s %s", req.Method, req.URL.Path), "")
		return nil
	}))
	r.GET("/healthz", healthCheck(func() error { return nil }))
	r.GET("/readyz", healthCheck(h.opts.Ready))
	r.GET("/metrics", h.metrics)
	r.GET("/operator/config", h.requireToken(h.get))
	r.PUT("/operator/config", h.requireToken(h.apply))
	r.GET("/operator/status", h.requireToken(h.status))
	r.GET("/operator/dump", h.requireToken(h.dump))
	r.GET("/operator/explain/:id", h.requireToken(h.explain))
	r.POST("/operator/orders", h.requireToken(h.order))
	r.POST("/operator/drain", h.requireToken(h.drain))
	return r
}

func healthCheck(check func() error) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, _ bunrouter.Request) error {
		if err := check(); err != nil {
			api.WriteError(w, err, "")
			return nil
		}
		w.Header().Set("Content-Type", "text/plain")
		_, err := io.WriteString(w, "ok\n")
		return err
	}
}

func (h *Handler) metrics(w http.ResponseWriter, _ bunrouter.Request) error {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	h.opts.Metrics(w)
	return nil
}

func (h *Handler) requireToken(serve func(w http.ResponseWriter, req bunrouter.Request) error) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, req bunrouter.Request) error {
		err := h.authenticate(req)
		if err == nil {
			err = serve(w, req)
		}
		if err != nil {
			api.WriteError(w, err, "")
		}
		return nil
	}
}

func (h *Handler) authenticate(req bunrouter.Request) error {
	token, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return result.New(result.BadOperatorToken, "no bearer token")
	}
	sum := sha256.Sum256([]byte(token))
	match := 0
	for _, t := range h.tokens {
		match |= subtle.ConstantTimeCompare(t, sum[:])
	}
	if match == 0 {
		return result.New(result.BadOperatorToken, "the token is not known")
	}
	return nil
}

// ConfigReply is the router's current configuration.
type ConfigReply struct {
	Version  uint64         `json:"version"`
	Hash     string         `json:"hash"`
	Document *conf.Document `json:"document"`
}

func (h *Handler) get(w http.ResponseWriter, _ bunrouter.Request) error {
	s := h.opts.Config.Snapshot()
	if s == nil {
		return result.New(result.NotReady, "no configuration is in force here")
	}
	api.WriteJSON(w, http.StatusOK, ConfigReply{s.Index.Version, s.Index.Hash, s.Index.Document})
	return nil
}

// ApplyRequest is a configuration change.
type ApplyRequest struct {
	Document  *conf.Document `json:"document"`
	Author    string         `json:"author"`
	Operation string         `json:"operation"`
	Base      *uint64        `json:"base"` // version that the change is based on; nil skips the check
}

func (h *Handler) apply(w http.ResponseWriter, req bunrouter.Request) error {
	var a ApplyRequest
	if err := decodeJSON(w, req, &a); err != nil {
		return err
	}
	if a.Document == nil {
		return result.New(result.BadConfig, "no document")
	}
	if a.Operation == "" {
		a.Operation = ident.New(operationIDPrefix)
	}
	base := head.AnyBase
	if a.Base != nil {
		base = *a.Base
	}
	receipt, err := h.opts.Config.Submit(req.Context(), config.Change{
		Document: a.Document, Author: a.Author, Operation: a.Operation, Base: base,
	})
	if err != nil {
		return err
	}
	api.WriteJSON(w, http.StatusOK, receipt)
	return nil
}

func decodeJSON(w http.ResponseWriter, req bunrouter.Request, into any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxRequestBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return result.Wrap(result.BadRequest, err)
	}
	return nil
}

// StatusReply is the state of the fleet as seen by one router.
type StatusReply struct {
	Router   string           `json:"router"`
	Version  uint64           `json:"version"`
	Wanted   uint64           `json:"wanted_version"`
	Admits   bool             `json:"admits"`
	State    string           `json:"state"`
	Missing  []config.Missing `json:"missing"`
	Members  []MemberStatus   `json:"members"`
	Queued   int              `json:"queued"`
	Running  int              `json:"running"`
	Targets  int              `json:"targets_scheduled"`
	Draining bool             `json:"draining"`
}

// MemberStatus is one member of the fleet.
type MemberStatus struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	DataHall string `json:"data_hall"`
}

func (h *Handler) status(w http.ResponseWriter, req bunrouter.Request) error {
	v := h.opts.Config.InForce()
	reply := StatusReply{
		Router: h.opts.RouterID, Version: v.Number, Wanted: h.opts.Config.Wanted().Number,
		Admits: h.opts.Config.Admits(), Missing: []config.Missing{}, Members: []MemberStatus{},
	}
	if v.Number > 0 {
		receipt := h.opts.Config.Confirm(req.Context(), v)
		reply.State, reply.Missing = receipt.State, receipt.Missing
	}
	h.opts.Status(&reply)
	api.WriteJSON(w, http.StatusOK, reply)
	return nil
}

func (h *Handler) dump(w http.ResponseWriter, _ bunrouter.Request) error {
	api.WriteJSON(w, http.StatusOK, h.opts.Dump())
	return nil
}

func (h *Handler) explain(w http.ResponseWriter, req bunrouter.Request) error {
	records := h.opts.Peers.Explain(req.Context(), req.Param("id"))
	if len(records) == 0 {
		return result.New(result.TraceNotFound, "no reachable router remembers %q", req.Param("id"))
	}
	api.WriteJSON(w, http.StatusOK, records)
	return nil
}

// OrderRequest is an order to an engine.
type OrderRequest struct {
	Target string `json:"target"`
	Action string `json:"action"`
	Model  string `json:"model,omitempty"`
	Role   string `json:"role,omitempty"`
}

// OrderReply returns the epoch under which an order was sent.
type OrderReply struct {
	Target string `json:"target"`
	Epoch  uint64 `json:"epoch"`
}

func (h *Handler) order(w http.ResponseWriter, req bunrouter.Request) error {
	var o OrderRequest
	if err := decodeJSON(w, req, &o); err != nil {
		return err
	}
	s := h.opts.Config.Snapshot()
	if s == nil {
		return result.New(result.NotReady, "no configuration is in force here")
	}
	target, ok := s.Index.Target(o.Target)
	if !ok {
		return result.New(result.NotFound, "no target %q", o.Target)
	}
	epoch, err := h.opts.Orders.Give(req.Context(), target, engine.Order{Action: o.Action, Model: o.Model, Role: o.Role})
	if err != nil {
		return err
	}
	api.WriteJSON(w, http.StatusOK, OrderReply{o.Target, epoch})
	return nil
}

func (h *Handler) drain(w http.ResponseWriter, _ bunrouter.Request) error {
	h.opts.Drain()
	api.WriteJSON(w, http.StatusAccepted, map[string]bool{"draining": true})
	return nil
}
