// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Framing is the way in which a worker's answers mark the end of their body.
type Framing int

// Framings of an answer. DefaultFraming is that of net/http.
const (
	DefaultFraming Framing = iota
	LengthFraming
	ChunkFraming
	CloseFraming // neither: the end of the connection
)

// BreakOff is the way in which a worker ends an answer early, or makes it malformed.
type BreakOff int

// Ways to end an answer early, or to send what is no answer.
const (
	NoBreakOff       BreakOff = iota
	BreakByClose              // an orderly close of the connection
	BreakByReset              // a reset of the connection
	BreakByCrash              // the worker crashes; its connections are closed in order
	BreakByHalfClose          // the worker writes no more and goes on reading
	BreakByFinish             // the framing says that the answer is complete
	BreakInUpload             // the connection is reset before a long upload has been read
	BadStatus                 // the status is 000, and another answer follows
	BadField                  // a blank is in the name of a field
	EndlessHead               // header lines come until the connection is closed
	EndlessBody               // bytes that end no line come until the connection is closed
)

// A worker whose answers are endless sends endlessPiece bytes at a time, with pauses.
const (
	endlessPiece    = 1 << 10
	endlessInterval = time.Millisecond
	// endlessLength is announced for an endless body.
	endlessLength = 1 << 40
)

// Answers describes how a worker frames its answers and ends them.
type Answers struct {
	Framing  Framing
	BreakOff BreakOff
	// After is the number of bytes of the body that are sent before the answer breaks off.
	After int
	// HeadBytes, if not 0, is the number of bytes of the answer, its head first, that are sent
	// before it breaks off. After is not used then.
	HeadBytes int
	Interim   bool // interim answers come first
	// LineEnd ends the lines of events; "\n" if empty.
	LineEnd string
}

// minUpload is the size from which a body is a long upload, in bytes. A shorter one fits into the buffers of its connection.
const minUpload = 64 << 10

// SetAnswers sets how the worker frames its answers and ends them.
func (w *Worker) SetAnswers(a Answers) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers = a
}

func (w *Worker) framedAnswers() Answers {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answers
}

// areOwn reports whether the worker writes the answers to requests that it has read by itself, not by net/http.
func (a Answers) areOwn() bool { return a != (Answers{}) && a.BreakOff != BreakInUpload }

// write writes an answer with its own framing and end, on the connection of the request.
func (a Answers) write(w *Worker, rw http.ResponseWriter, body string) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\n", rw.Header().Get("Attempt-Id"), rw.Header().Get("Response-Signature"))
	malformed := a.BreakOff == BadStatus || a.BreakOff == BadField
	if a.BreakOff != NoBreakOff && !malformed && a.HeadBytes == 0 {
		body = body[:min(a.After, len(body))]
	}
	if a.LineEnd != "" {
		body = strings.ReplaceAll(body, "\n", a.LineEnd)
	}
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	whole := a.BreakOff == NoBreakOff || a.BreakOff == BreakByFinish || malformed
	switch a.BreakOff {
	case BadStatus:
		head = strings.Replace(head, "200", "000", 1) + "\r\n" + head
	case BadField:
		head += "X-Field : 1\r\n"
	}
	text := head + a.frame(body, whole || a.HeadBytes > 0)
	if a.Interim {
		text = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + text
	}
	if a.HeadBytes > 0 {
		text = text[:min(a.HeadBytes, len(text))]
	}
	if a.BreakOff == EndlessHead {
		text = head
	}
	_, _ = io.WriteString(conn, text)
	switch a.BreakOff {
	case EndlessHead:
		writeEndless(conn, "A: b\r\n")
	case EndlessBody:
		writeEndless(conn, "x")
	case BreakByHalfClose:
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	case BreakByReset, BreakInUpload:
		_ = conn.(*net.TCPConn).SetLinger(0)
	case BreakByCrash:
		w.Crash()
		if w.cfg.OnCrash != nil {
			w.cfg.OnCrash(w)
		}
	}
}

// writeEarly answers an upload before it has been read, with the first part of an answer and no length.
func (w *Worker) writeEarly(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	part := PlainBody(id, nil)
	if w.cfg.Model {
		content, from := continuedStream(r)
		first, _, _ := strings.Cut(streamBody(content, w.cfg.Software, from), "\n\n")
		part = first + "\n\n"
		w.setHeaders(rw, id, "")
	} else {
		w.setHeaders(rw, id, part)
	}
	Answers{Framing: CloseFraming, BreakOff: BreakInUpload, After: len(part)}.write(w, rw, part)
}

// writeEndless repeats a text until the connection is closed.
func writeEndless(conn net.Conn, text string) {
	piece := []byte(strings.Repeat(text, endlessPiece/len(text)))
	for {
		if _, err := conn.Write(piece); err != nil {
			return
		}
		time.Sleep(endlessInterval)
	}
}

// frame returns the header's last fields and the framed body.
func (a Answers) frame(body string, whole bool) string {
	const missing = 10 // bytes that a body that is not whole lacks of its length
	switch a.Framing {
	case LengthFraming:
		length := len(body)
		switch {
		case a.BreakOff == EndlessBody:
			length = endlessLength
		case !whole:
			length += missing
		}
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, body)
	case ChunkFraming:
		text := "Transfer-Encoding: chunked\r\n\r\n"
		if a.BreakOff == EndlessBody {
			return text + fmt.Sprintf("%x\r\n%s", endlessLength, body)
		}
		if body != "" {
			text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		if whole {
			text += "0\r\n\r\n"
		}
		return text
	default:
		return "\r\n" + body
	}
}
