// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Events returns the number of events in the stream of a request.
func Events(id string) int { return 3 + int(hash(id)%8) }

// EventData returns the data of event n, which names the version of the worker's software. The last
// event is marked.
func EventData(id, software string, n, of int) string {
	if n == of {
		return fmt.Sprintf("%s %s last %d", id, software, n)
	}
	return fmt.Sprintf("%s %s part %d", id, software, n)
}

// streamBody returns the events of a stream after event from.
func streamBody(id, software string, from int) string {
	var b strings.Builder
	for n := from + 1; n <= Events(id); n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, EventData(id, software, n, Events(id)))
	}
	return b.String()
}

// readStream holds what a caller has read of one stream, over all attempts. It is safe for
// concurrent use.
type readStream struct {
	mu       sync.Mutex
	id       string // of the attempt that brought the first event; empty before
	events   int
	software []string // versions that the events name, without repetitions
}

// setHeaders makes a request continue the stream, if it has begun.
func (r *readStream) setHeaders(h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.events > 0 {
		h.Set("Resumes", r.id)
		h.Set("Last-Event-Id", strconv.Itoa(r.events))
	}
}

// add adds the data of an event that an attempt brought, and returns a violation or "".
func (r *readStream) add(attempt, data string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.events == 0 {
		r.id = attempt
	}
	_, rest, _ := strings.Cut(data, " ")
	software, _, _ := strings.Cut(rest, " ")
	if data != EventData(r.id, software, r.events+1, Events(r.id)) {
		return fmt.Sprintf("stream of request %s has %q after event %d", r.id, data, r.events)
	}
	r.events++
	if len(r.software) == 0 || r.software[len(r.software)-1] != software {
		r.software = append(r.software, software)
	}
	if len(r.software) > 1 {
		return fmt.Sprintf("stream of request %s"+joinText+"%v", r.id, r.software)
	}
	return ""
}

const joinText = " has events of "

// isJoin reports whether a violation is that a stream has events of several versions.
func isJoin(violation string) bool { return strings.Contains(violation, joinText) }

// begun reports whether the stream has an event but not all of them.
func (r *readStream) begun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events > 0 && r.events < Events(r.id)
}

// progress returns the number of events read, and whether they are all.
func (r *readStream) progress() (events int, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events, r.events > 0 && r.events == Events(r.id)
}

func (c *client) checkStream(id, worker string, resp *http.Response, started time.Time) (outcome, time.Duration) {
	if resp.Header.Get("Response-Signature") != Signature(worker, id, "") {
		c.site.ledger.AddViolation("stream of request %s is signed %q", id, resp.Header.Get("Response-Signature"))
	}
	result := outcome(0)
	lines := bufio.NewScanner(resp.Body)
	lines.Split(splitLine)
	for lines.Scan() {
		if result == 0 {
			result = c.servedOutcome(started)
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		// The last line of a response that breaks off may be incomplete.
		more := lines.Scan()
		if !more && lines.Err() != nil {
			return outcomeFailed, 0
		}
		if violation := c.stream.add(id, data); violation != "" {
			c.site.ledger.AddViolation("%s", violation)
			_, _ = io.Copy(io.Discard, resp.Body) // the gateway logs the end of the stream
			return outcomeFailed, 0
		}
	}
	if lines.Err() != nil {
		return outcomeFailed, 0
	}
	if n, whole := c.stream.progress(); !whole {
		c.site.ledger.AddViolation("stream of request %s ended without an error after %d events", id, n)
	}
	return result, 0
}

// splitLine is a bufio.SplitFunc for lines that end with LF, CR LF or CR.
func splitLine(data []byte, atEOF bool) (advance int, line []byte, err error) {
	n := bytes.IndexAny(data, "\r\n")
	switch {
	case n < 0 && atEOF && len(data) > 0:
		return len(data), data, nil
	case n < 0, data[n] == '\r' && n+1 == len(data) && !atEOF:
		return 0, nil, nil
	case bytes.HasPrefix(data[n:], []byte("\r\n")):
		return n + 2, data[:n], nil
	default:
		return n + 1, data[:n], nil
	}
}

// StreamCaller reads one stream of a site, over as many attempts at its gateways as it takes.
type StreamCaller struct {
	site    *Site
	kind    Kind
	account string
	seed    uint64
	stream  readStream
}

// NewStreamCaller returns a caller that has nothing of its stream yet.
func (s *Site) NewStreamCaller(kind Kind, account string, seed uint64) *StreamCaller {
	return &StreamCaller{site: s, kind: kind, account: account, seed: seed}
}

// Try sends an attempt to a gateway, which continues the stream if it has begun, and returns once
// the response has ended.
func (c *StreamCaller) Try(ctx context.Context, gateway int) Answer {
	c.seed++
	one := c.site.newSingleClient(gateway, c.kind, c.account, c.kind.Path+"item", c.seed)
	one.stream = &c.stream
	return one.answer(one.sendOnce(ctx))
}

// Events returns the number of events read, and whether the stream is whole.
func (c *StreamCaller) Events() (n int, whole bool) { return c.stream.progress() }

// Versions returns the ID of the attempt that began the stream and the software versions of its events,
// without repetitions.
func (c *StreamCaller) Versions() (attempt string, software []string) {
	c.stream.mu.Lock()
	defer c.stream.mu.Unlock()
	return c.stream.id, slices.Clone(c.stream.software)
}

// Rename makes the next attempts name another attempt as the one that began the stream.
func (c *StreamCaller) Rename(attempt string) {
	c.stream.mu.Lock()
	defer c.stream.mu.Unlock()
	c.stream.id = attempt
}
