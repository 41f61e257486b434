// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"madderway/core/attempt"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/services/quarantine"
	"madderway/services/upstream"
)

// stallingBody returns so many bytes that end no event, then calls stalled and waits for release.
type stallingBody struct {
	remaining int
	stalled   func()
	release   <-chan struct{}
}

// Read implements io.Reader.
func (b *stallingBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		b.stalled()
		<-b.release
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.remaining)
	b.remaining -= n
	return copy(p, bytes.Repeat([]byte("x"), n)), nil
}

// discardingWriter is a caller that reads everything.
type discardingWriter struct{ header http.Header }

func (w discardingWriter) Header() http.Header         { return w.header }
func (w discardingWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w discardingWriter) WriteHeader(int)             {}
func (w discardingWriter) Flush()                      {}

var answerRoutes = map[string]*routing.Route{
	"stream":  {Stream: true, Resumable: true},
	"plain":   {Repeat: routing.RepeatSafe},
	"failure": {Repeat: routing.RepeatSafe},
}

// answerJob returns a request whose answer of a target is forwarded.
func answerJob(s *Service, target string, route *routing.Route, w http.ResponseWriter) *job {
	now := s.opts.Clock.Now()
	j := &job{
		s: s, ctx: context.Background(), w: w, r: &Request{Route: route, Received: now, Deadline: now.Add(time.Hour)},
		history: attempt.History{Route: route}, takeFromRetryBudget: func() bool { return false },
	}
	j.holdFor(target)
	return j
}

// forwardAnswer forwards an answer of a kind in answerRoutes.
func forwardAnswer(j *job, kind string, body io.Reader) (attempt.Outcome, *failure) {
	timer := j.s.opts.Clock.AfterFunc(time.Hour, func() {})
	defer timer.Stop()
	a := &upstream.Answer{Status: http.StatusOK, Header: http.Header{}, Framing: upstream.FramedByChunks, Body: body}
	switch kind {
	case "stream":
		return j.forwardStream(slowPlacement{}, a, timer), nil
	case "plain":
		return j.forwardWhole(slowPlacement{}, a, timer), nil
	default:
		a.Status = http.StatusInternalServerError
		return j.readFailure(slowPlacement{}, a)
	}
}

func newAnswerService(limit int64) *Service {
	fake := clock.NewFake()
	return New(log.New("forward"), Options{
		Clock: fake, Guard: newTestGuard(fake), Quarantine: quarantine.New(log.New("quarantine"), quarantine.Options{Clock: fake}), MaxHeldAnswerBytes: limit,
	})
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a target that ends a gateway by answers without end: each was held up to a bound of its
// own, and all together up to none.
func TestEndlessAnswersOfTargetAreBoundedTogether(t *testing.T) {
	const (
		answers   = 200
		limit     = 8 << 20
		eachMore  = 64 << 10 // buffers of a request that do not depend on its answer
		ownBuffer = 4 << 10
	)
	for kind, route := range answerRoutes {
		t.Run(kind, func(t *testing.T) {
			s, release := newAnswerService(limit), make(chan struct{})
			before := heapBytes()
			var settled, done sync.WaitGroup
			for range answers {
				settled.Add(1)
				settle := sync.OnceFunc(settled.Done)
				done.Add(1)
				go func() {
					defer done.Done()
					defer settle()
					j := answerJob(s, "faulty", route, discardingWriter{http.Header{}})
					defer j.releaseAnswer()
					size := maxBufferedResponse - 1
					if kind == "stream" {
						size = maxHeldEvent - 1
					}
					if outcome, _ := forwardAnswer(j, kind, &stallingBody{size, settle, release}); outcome == 0 {
						t.Error("an answer that did not end looks complete")
					}
				}()
			}
			settled.Wait()
			if held := heapBytes() - before; held > limit+answers*eachMore {
				t.Errorf("%d answers hold %d MB, want %d MB at most", answers, held>>20, (limit+answers*eachMore)>>20)
			}
			w := httptest.NewRecorder()
			j := answerJob(s, "healthy", route, w)
			body := "data: " + strings.Repeat("x", 8*ownBuffer) + "\n\n"
			if outcome, failed := forwardAnswer(j, kind, strings.NewReader(body)); outcome != 0 && (failed == nil || string(failed.body) != body) {
				t.Errorf("an answer of another target: got outcome %v (%s)", outcome, j.reason)
			}
			j.releaseAnswer()
			close(release)
			done.Wait()
			if held := s.answers.Held(); held != 0 {
				t.Errorf("%d bytes are counted after the last answer", held)
			}
		})
	}
}

// Guards against an event that is lost: another target must go on after the last event that the caller
// got, not after one that was read and not forwarded.
func TestStreamEndedByQuotaContinuesAfterForwardedEvent(t *testing.T) {
	const limit = 32 << 10
	s, w := newAnswerService(limit), httptest.NewRecorder()
	j := answerJob(s, "faulty", answerRoutes["stream"], w)
	first := "id: 1\ndata: a\n\n"
	outcome, _ := forwardAnswer(j, "stream", strings.NewReader(first+"id: 2\ndata: "+strings.Repeat("x", limit)+"\n\nid: 3\ndata: c\n\n"))
	if outcome != attempt.Cut || j.lastEvent != "1" || w.Body.String() != first {
		t.Errorf("got outcome %v, last event %q, %d bytes forwarded, want a cut after event 1", outcome, j.lastEvent, w.Body.Len())
	}
}

// Guards against a plain answer that fails since others hold all bytes: it is forwarded as it comes.
func TestPlainAnswerIsForwardedUnheld(t *testing.T) {
	s, w := newAnswerService(0), httptest.NewRecorder()
	body := strings.Repeat("x", maxBufferedResponse)
	if outcome, _ := forwardAnswer(answerJob(s, "a", answerRoutes["plain"], w), "plain", strings.NewReader(body)); outcome != 0 || w.Body.String() != body {
		t.Errorf("got outcome %v and %d bytes, want all %d", outcome, w.Body.Len(), len(body))
	}
	broken := io.MultiReader(strings.NewReader(body), &failingReader{errors.New("reset")})
	if outcome, _ := forwardAnswer(answerJob(s, "a", answerRoutes["plain"], httptest.NewRecorder()), "plain", broken); outcome != attempt.Cut {
		t.Errorf("a broken answer: got outcome %v, want a cut", outcome)
	}
}

type failingReader struct{ err error }

// Read implements io.Reader.
func (r *failingReader) Read([]byte) (int, error) { return 0, r.err }
