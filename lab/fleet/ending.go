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

// PoisonMarker in the body of a request crashes every target that starts it.
const PoisonMarker = "ends-target"

// endable wraps a target's handler so that a request with EndsTarget crashes the target and
// aborts everything that runs there.
func (f *Fleet) endable(name string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if bytes.Contains(body, []byte(PoisonMarker)) {
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

// Crashes returns how often a request has crashed a target.
func (f *Fleet) Crashes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endings
}

// restartTakes stands for the startup time of a target, which is seconds on a real platform.
const restartTakes = 1200 * time.Millisecond

// RestartCrashed restarts the targets that requests have crashed.
func (f *Fleet) RestartCrashed() error {
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
