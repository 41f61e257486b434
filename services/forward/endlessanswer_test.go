// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"madderway/core/attempt"
	"madderway/models/routing"
)

// expiringBody repeats a text until its connection's deadline has passed.
type expiringBody struct {
	text      string
	remaining int
}

// Read implements io.Reader.
func (b *expiringBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	n := min(copy(p, strings.Repeat(b.text, len(p)/len(b.text)+1)), b.remaining)
	b.remaining -= n
	return n, nil
}

// Guards against an answer without end that looks complete to its caller once the time is over.
func TestEndlessAnswerIsBrokenAtDeadline(t *testing.T) {
	const size = 4 << 20
	for name, c := range map[string]struct {
		route *routing.Route
		text  string
	}{
		"whole events":           {&routing.Route{Stream: true, Resumable: true}, "id: 1\ndata: a\n\n"},
		"whole events, once":     {&routing.Route{Stream: true}, "data: a\n\n"},
		"comments":               {&routing.Route{Stream: true, Resumable: true}, ": x\n\n"},
		"an event without end":   {&routing.Route{Stream: true, Resumable: true}, "data: a\n"},
		"a line without end":     {&routing.Route{Stream: true}, "x"},
		"a line of CR":           {&routing.Route{Stream: true, Resumable: true}, "\r"},
		"plain":                  {&routing.Route{Repeat: routing.RepeatSafe}, "x"},
		"plain, must run once":   {&routing.Route{}, "x"},
		"stream without events":  {&routing.Route{Stream: true}, "\x00"},
		"event without a colon":  {&routing.Route{Stream: true, Resumable: true}, "y"},
		"an ID without its line": {&routing.Route{Stream: true, Resumable: true}, "id: 1"},
	} {
		t.Run(name, func(t *testing.T) {
			kind, s := "plain", newAnswerService(maxHeldEvent/2)
			if c.route.Stream {
				kind = "stream"
			}
			outcomes := make(chan attempt.Outcome, 1)
			gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				j := answerJob(s, "faulty", c.route, w)
				outcome, _ := forwardAnswer(j, kind, &expiringBody{c.text, size})
				j.releaseAnswer()
				outcomes <- outcome
				if outcome != 0 {
					panic(http.ErrAbortHandler)
				}
			}))
			defer gateway.Close()
			resp, err := http.Get(gateway.URL)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			if outcome := <-outcomes; err == nil || outcome == 0 {
				t.Errorf("got outcome %v, and the caller error %v", outcome, err)
			}
			if resp != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("got error %v, want io.ErrUnexpectedEOF", err)
			}
			if held := s.answers.Held(); held != 0 {
				t.Errorf("%d bytes are counted at the end", held)
			}
		})
	}
}
