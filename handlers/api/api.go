// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package api formats the errors and JSON responses that the handlers for callers and operators
// share.
package api

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"madderway/models/result"
	"madderway/modules/saturate"
)

// HeaderRequestID is the response header with the ID of the request.
const HeaderRequestID = "X-Request-Id"

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error describes a failure, whether the request ran and when to retry.
type Error struct {
	Code         result.Code `json:"code"`
	Name         string      `json:"name"`
	Message      string      `json:"message"`
	Ran          result.Ran  `json:"ran"`
	Retry        bool        `json:"retry"`
	RetryAfterMS int64       `json:"retry_after_ms"`
	RequestID    string      `json:"request_id,omitempty"`
}

// NewError returns the response body for err, and err converted to a result.
func NewError(err error, requestID string) (ErrorBody, *result.ErrResult) {
	e := result.Convert(err)
	info := result.Lookup(e.Code)
	return ErrorBody{Error{
		Code: e.Code, Name: info.Name, Message: e.Detail, Ran: e.Execution(), Retry: info.Retry,
		RetryAfterMS: e.RetryAfter.Milliseconds(), RequestID: requestID,
	}}, e
}

// WriteError writes an error response with a Retry-After header if err has a delay.
func WriteError(w http.ResponseWriter, err error, requestID string) {
	body, e := NewError(err, requestID)
	if e.RetryAfter > 0 {
		seconds := math.Ceil(float64(e.RetryAfter) / float64(time.Second))
		w.Header().Set("Retry-After", strconv.Itoa(saturate.Int(seconds)))
	}
	WriteJSON(w, result.Lookup(e.Code).Status, body)
}

// WriteJSON writes v as a JSON response.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
