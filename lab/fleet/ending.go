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

// crashable wraps a target's handler so that a request with PoisonMarker crashes the target and
// aborts everything that runs there.
func (f *Fleet) crashable(name string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if bytes.Contains(body, []byte(PoisonMarker)) {
			f.crashTarget(name)
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(w, r)
	})
}

func (f *Fleet) crashTarget(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets[name].Close()
	f.crashed = append(f.crashed, name)
	f.crashes++
}

// Crashes returns how often a request has crashed a target.
func (f *Fleet) Crashes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}

// restartDelay stands for the startup time of a target, which is seconds on a real platform.
const restartDelay = 1200 * time.Millisecond

// RestartCrashed restarts the targets that requests have crashed.
func (f *Fleet) RestartCrashed() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashed) > 0 {
		time.Sleep(restartDelay)
	}
	for _, name := range f.crashed {
		s, err := standin.Serve(f.targets[name].Address, f.handlers[name])
		if err != nil {
			return err
		}
		f.targets[name] = s
	}
	f.crashed = nil
	return nil
}
