// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"net/http"
	"strings"
	"time"
)

// Kinds returns the kinds of requests that clients send. The first two are streams.
func Kinds() []Kind {
	return []Kind{
		{Name: "long", Path: "/long/", Method: "POST", Stream: true, Prefixes: 8, SharedTokens: 2000, OwnTokens: 400, Objective: 800 * time.Millisecond, Deadline: 5 * time.Second, PerSecond: 8, Attempts: 1},
		{Name: "resume", Path: "/resume/", Method: "POST", Stream: true, Resumable: true, Prefixes: 8, SharedTokens: 800, OwnTokens: 300, Objective: 800 * time.Millisecond, Deadline: 5 * time.Second, PerSecond: 6, Attempts: 2},
		{Name: "submit", Path: "/submit/", Method: "POST", Objective: 200 * time.Millisecond, Deadline: 2 * time.Second, PerSecond: 6, Attempts: 1},
		{Name: "look", Path: "/look/", Method: "GET", Repeatable: true, Objective: 200 * time.Millisecond, Deadline: 2 * time.Second, PerSecond: 6, Attempts: 2},
	}
}

// kinds returns the kinds of requests of the site.
func (s *Site) kinds() []Kind {
	if len(s.opts.Kinds) > 0 {
		return s.opts.Kinds
	}
	return Kinds()
}

// workOf returns the time that workers take for a path, or 0 for their own.
func (s *Site) workOf(path string) time.Duration {
	for _, k := range s.opts.Kinds {
		if strings.HasPrefix(path, k.Path) {
			return k.Work
		}
	}
	return 0
}

// step returns the duration of a part of a request.
func (w *Worker) step(r *http.Request, parts int) time.Duration {
	if w.cfg.WorkOf != nil {
		if work := w.cfg.WorkOf(r.URL.Path); work > 0 {
			return work / time.Duration(parts)
		}
	}
	return w.cfg.Step
}
