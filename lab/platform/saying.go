// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import "net/http"

// AnnounceLeaving makes the worker announce in the headers of its answers that it leaves. Its entry in
// the store stays unchanged.
func (w *Worker) AnnounceLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// AskForPause makes the worker refuse all requests with the given Retry-After value; an empty value
// ends that.
func (w *Worker) AskForPause(value string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retryAfter, w.fault = value, FaultNone
	if value != "" {
		w.fault = FaultRefuse
	}
}

// Arrived returns the number of requests, refused ones included, and of listings of the cache.
func (w *Worker) Arrived() (requests, listed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrived, w.cacheListings
}

// announce counts a call and sets the headers that announce that the worker leaves.
func (w *Worker) announce(rw http.ResponseWriter, isRequest bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if isRequest {
		w.arrived++
	} else {
		w.cacheListings++
	}
	if w.leaving {
		rw.Header().Set("Server-Leaving", "1")
		rw.Header().Set("Connection", "close")
	}
}

// refuse refuses a request as not run, with the Retry-After of AskForPause.
func (w *Worker) refuse(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("Not-Executed", "1")
	if w.retryAfter != "" {
		rw.Header().Set("Retry-After", w.retryAfter)
	}
	rw.WriteHeader(http.StatusServiceUnavailable)
}
