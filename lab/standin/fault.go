// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package standin implements in-memory stand-ins for the platform's services and for targets, with
// faults that can be injected while they run.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Faults configures the faults of a stand-in.
type Faults struct {
	Down       bool `json:"down"`        // answer every call with 503, without effect
	DelayMS    int  `json:"delay_ms"`    // delay before each call
	LoseAnswer int  `json:"lose_answer"` // number of writes that take effect without an answer; -1 for all
	LateWrite  int  `json:"late_write"`  // number of writes that take effect only LateMS after their connection is cut
	LateMS     int  `json:"late_ms"`
	Refuse     int  `json:"refuse"` // number of calls refused with 503 as not run; -1 for all
	// Retry-After of refusals; empty for none.
	RetryAfter string `json:"rest"`
	CutAfter   int    `json:"cut_after"`  // events of a stream after which each connection is cut
	GapEvery   int    `json:"gap_every"`  // drop every n-th cache event
	WrongLoad  int    `json:"wrong_load"` // added to the running streams in load reports
	Garbage    bool   `json:"garbage"`    // send events whose data is invalid JSON
	Hang       bool   `json:"hang"`       // never answer a call
}

// faultInjector holds the faults of a stand-in.
type faultInjector struct {
	mu      sync.Mutex
	faults  Faults
	refused int // calls refused as not run
}

// SetFaults replaces the faults.
func (s *faultInjector) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current faults.
func (s *faultInjector) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// consume decrements a counted fault and reports whether it applies.
func (s *faultInjector) consume(counter func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := counter(&s.faults)
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
	}
	return true
}

// refuse refuses a call as not run if Faults.Refuse applies, and reports whether it did.
func (s *faultInjector) refuse(w http.ResponseWriter) bool {
	if !s.consume(func(f *Faults) *int { return &f.Refuse }) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
	w.Header().Set("X-Not-Run", "1")
	if s.faults.RetryAfter != "" {
		w.Header().Set("Retry-After", s.faults.RetryAfter)
	}
	http.Error(w, "busy", http.StatusServiceUnavailable)
	return true
}

// Refused returns the number of calls refused as not run.
func (s *faultInjector) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// guard applies the faults common to all stand-ins, and serves /fault, which reads and sets them.
func (s *faultInjector) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/fault" {
			s.serveFault(w, r)
			return
		}
		f := s.Faults()
		if f.DelayMS > 0 {
			select {
			case <-time.After(time.Duration(f.DelayMS) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		if f.Hang {
			<-r.Context().Done()
			return
		}
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *faultInjector) serveFault(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	}
	writeJSON(w, s.Faults())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// abortConnection closes the connection of a call without an answer.
func abortConnection() { panic(http.ErrAbortHandler) }

// Server serves a stand-in on a loopback address.
type Server struct {
	Address string
	http    *http.Server
}

// Serve starts a server; port 0 picks a free port.
func Serve(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{l.Addr().String(), &http.Server{Handler: h}}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Close stops the server and closes its connections.
func (s *Server) Close() { _ = s.http.Close() }
