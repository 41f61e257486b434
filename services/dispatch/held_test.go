// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"madderway/models/conf"
	"madderway/modules/clock"
	"madderway/services/engine"
	"madderway/services/heldbytes"
)

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against targets that end a router by plain answers without end: each was held up to 16 MB, and
// all together up to no bound.
func TestPlainAnswersAreBoundedTogether(t *testing.T) {
	const (
		answers  = 20
		limit    = 16 << 20
		eachMore = 256 << 10 // buffers of connections
	)
	release, written := make(chan struct{}), make(chan struct{}, answers)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/short" {
			_, _ = w.Write([]byte("short"))
			return
		}
		_, _ = w.Write(bytes.Repeat([]byte("x"), maxPlainResponse-1))
		written <- struct{}{}
		<-release
	}))
	defer target.Close()
	c := engine.NewClient(time.Second)
	defer c.Close()
	s := &Service{opts: Options{Clock: clock.System{}, Engine: c}, held: heldbytes.New(limit)}
	send := func(path string) (*Held, PlainAnswer, error) {
		held := s.Hold(path)
		j := &job{requestID: path, account: &conf.ClientAccount{Name: "a"}, pool: &conf.Pool{TimeoutMS: 60_000}}
		a, err := s.sendPlain(context.Background(), j, Plain{Method: http.MethodGet, Path: path, Header: http.Header{}, Held: held}, &conf.Target{Name: "t", Address: strings.TrimPrefix(target.URL, "http://")}, false)
		return held, a, err
	}
	before := heapBytes()
	var done sync.WaitGroup
	for i := range answers {
		done.Add(1)
		go func() {
			defer done.Done()
			held, _, err := send("/long/" + string(rune('a'+i)))
			if a, ok := engine.AsErrAttempt(err); err != nil && (!ok || !a.MayHaveRun) {
				t.Errorf("got error %v, want an attempt that may have run", err)
			}
			held.Release()
		}()
	}
	for range answers {
		<-written
	}
	if held := heapBytes() - before; held > 2*limit+answers*eachMore { // a buffer is copied as it grows
		t.Errorf("%d answers hold %d MB, want %d MB at most", answers, held>>20, (2*limit+answers*eachMore)>>20)
	}
	held, a, err := send("/short")
	if err != nil || string(a.Body) != "short" {
		t.Errorf("a short answer meanwhile: got %q, error %v", a.Body, err)
	}
	held.Release()
	close(release)
	done.Wait()
	if held := s.held.Held(); held != 0 {
		t.Errorf("%d bytes are counted after the last answer", held)
	}
}
