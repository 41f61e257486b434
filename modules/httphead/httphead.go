// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package httphead looks at the head of an HTTP/1.1 request in the bytes as they came,
// without the cost of an HTTP server's parse. It knows plain heads only, those that can be
// understood in one way; all others are for the server.
package httphead

import (
	"bytes"
	"strconv"
)

// maxNames is how many fields Get looks for at once.
const maxNames = 8

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
	version = []byte(" HTTP/1.1")
)

// Head is a plain head. Its bytes are those that were parsed.
type Head struct {
	Path          []byte // Path is the target of the request without its query.
	Host          []byte
	Length        int   // Length is that of the head, the blank line included.
	ContentLength int64 // Body is the length of the body.
	lines         []byte
}

// Parse reads the head at the beginning of b. It reports false where the head is not whole
// or not plain.
func Parse(b []byte) (Head, bool) {
	end := bytes.Index(b, headEnd)
	first := bytes.Index(b, lineEnd)
	if end < 0 || first == end {
		return Head{}, false
	}
	h := Head{Length: end + len(headEnd), lines: b[first+len(lineEnd) : end+len(lineEnd)]}
	return h, h.parseFirst(b[:first]) && h.parseLines()
}

// parseFirst reads the method and the target.
func (h *Head) parseFirst(line []byte) bool {
	rest, ok := bytes.CutSuffix(line, version)
	if !ok {
		return false
	}
	method, target, ok := bytes.Cut(rest, []byte(" "))
	if !ok || len(method) == 0 || len(target) == 0 || target[0] != '/' {
		return false
	}
	for _, c := range method {
		if c < 'A' || c > 'Z' {
			return false
		}
	}
	for _, c := range target {
		if c <= ' ' || c >= 0x7f || c == '%' || c == '#' {
			return false
		}
	}
	h.Path, _, _ = bytes.Cut(target, []byte("?"))
	return true
}

// parseLines checks all fields, and reads those that say where the request ends.
func (h *Head) parseLines() bool {
	hosts, lengths := 0, 0
	for rest := h.lines; len(rest) > 0; {
		line, after, _ := bytes.Cut(rest, lineEnd)
		rest = after
		name, value, ok := field(line)
		if !ok {
			return false
		}
		switch {
		case is(name, "Host"):
			hosts++
			h.Host = value
		case is(name, "Content-Length"):
			lengths++
			n, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil {
				return false
			}
			h.ContentLength = int64(n)
		case is(name, "Connection"):
			if !is(value, "keep-alive") {
				return false
			}
		case is(name, "Transfer-Encoding"), is(name, "Expect"), is(name, "Upgrade"), is(name, "Trailer"), is(name, "Te"):
			return false
		}
	}
	return hosts == 1 && lengths <= 1
}

// field divides a line into the name and the value of a field.
func field(line []byte) (name, value []byte, ok bool) {
	name, value, ok = bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 {
		return nil, nil, false
	}
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
		if !letter {
			return nil, nil, false
		}
	}
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, nil, false
		}
	}
	return name, bytes.Trim(value, " \t"), true
}

// is compares without regard to case; name is the canonical form.
func is(b []byte, name string) bool {
	return len(b) == len(name) && bytes.EqualFold(b, []byte(name))
}

// Get returns the values of some fields, empty where one is not there. It reports false
// where one of them is there more than once.
func (h *Head) Get(values []string, names ...string) bool {
	var found [maxNames]bool
	for rest := h.lines; len(rest) > 0; {
		line, after, _ := bytes.Cut(rest, lineEnd)
		rest = after
		name, value, _ := bytes.Cut(line, []byte(":"))
		for i, wanted := range names {
			if !is(name, wanted) {
				continue
			}
			if found[i] {
				return false
			}
			found[i], values[i] = true, string(bytes.Trim(value, " \t"))
		}
	}
	return true
}
