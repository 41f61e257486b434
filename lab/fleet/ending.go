// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package fleet

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"madderway/lab/standin"
)

// EndsTarget in the body of a request ends each target that begins to run it.
const EndsTarget = "ends-target"

// endable lets a target end under a request that says so, with all that runs there.
func (f *Fleet) endable(name string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if bytes.Contains(body, []byte(EndsTarget)) {
			f.endTarget(name)
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(w, r)
	})
}

func (f *Fleet) endTarget(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets[name].Close()
	f.ended = append(f.ended, name)
	f.endings++
}

// Endings returns how many targets requests have ended.
func (f *Fleet) Endings() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endings
}

// restartTakes is how long a target that has ended takes to start again: those of platforms
// take some seconds.
const restartTakes = 1200 * time.Millisecond

// RestartEnded starts the targets again that requests have ended.
func (f *Fleet) RestartEnded() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ended) > 0 {
		time.Sleep(restartTakes)
	}
	for _, name := range f.ended {
		s, err := standin.Serve(f.targets[name].Address, f.handlers[name])
		if err != nil {
			return err
		}
		f.targets[name] = s
	}
	f.ended = nil
	return nil
}
