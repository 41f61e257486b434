// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package httphead parses the head of an HTTP/1.1 request at less cost than
// net/http. It accepts plain heads only, those with a single interpretation; leave
// the others to net/http.
package httphead

import (
	"bytes"
	"strconv"
)

// maxGetNames is the maximum number of names in a call of Get.
const maxGetNames = 8

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
	version = []byte(" HTTP/1.1")
)

// Head is a parsed head. Its slices share memory with the parsed bytes.
type Head struct {
	Path          []byte // request target without the query, never percent-encoded
	Host          []byte
	Length        int   // bytes of the head, including the blank line
	ContentLength int64 // 0 without the field
	fields        []byte
}

// Parse parses the head at the start of b. It reports false if the head is incomplete or
// not plain.
func Parse(b []byte) (Head, bool) {
	end := bytes.Index(b, headEnd)
	first := bytes.Index(b, lineEnd)
	if end < 0 || first == end {
		return Head{}, false
	}
	h := Head{Length: end + len(headEnd), fields: b[first+len(lineEnd) : end+len(lineEnd)]}
	return h, h.parseRequestLine(b[:first]) && h.parseFields()
}

// parseRequestLine parses the method, target and version.
func (h *Head) parseRequestLine(line []byte) bool {
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

// parseFields validates the header fields and reads Host and those that determine the
// body's length.
func (h *Head) parseFields() bool {
	hosts, lengths := 0, 0
	for rest := h.fields; len(rest) > 0; {
		line, after, _ := bytes.Cut(rest, lineEnd)
		rest = after
		name, value, ok := splitField(line)
		if !ok {
			return false
		}
		switch {
		case equalFold(name, "Host"):
			hosts++
			h.Host = value
		case equalFold(name, "Content-Length"):
			lengths++
			n, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil {
				return false
			}
			h.ContentLength = int64(n)
		case equalFold(name, "Connection"):
			if !equalFold(value, "keep-alive") {
				return false
			}
		case equalFold(name, "Transfer-Encoding"), equalFold(name, "Expect"), equalFold(name, "Upgrade"), equalFold(name, "Trailer"), equalFold(name, "Te"):
			return false
		}
	}
	return hosts == 1 && lengths <= 1
}

// splitField splits a header line into name and value, and validates both.
func splitField(line []byte) (name, value []byte, ok bool) {
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

// equalFold compares a header's name or value without regard to case.
func equalFold(b []byte, name string) bool {
	return len(b) == len(name) && bytes.EqualFold(b, []byte(name))
}

// Value returns the value of the first field with a name, or nil. It is part of the parsed bytes, so
// that a change of it changes them.
func (h *Head) Value(name string) []byte {
	for rest := h.fields; len(rest) > 0; {
		line, after, _ := bytes.Cut(rest, lineEnd)
		rest = after
		if found, value, _ := bytes.Cut(line, []byte(":")); equalFold(found, name) {
			return bytes.Trim(value, " \t")
		}
	}
	return nil
}

// Get sets values to those of the named fields, empty if absent. It reports false if one
// of them occurs more than once. There may be at most maxGetNames names.
func (h *Head) Get(values []string, names ...string) bool {
	var found [maxGetNames]bool
	for rest := h.fields; len(rest) > 0; {
		line, after, _ := bytes.Cut(rest, lineEnd)
		rest = after
		name, value, _ := bytes.Cut(line, []byte(":"))
		for i, wanted := range names {
			if !equalFold(name, wanted) {
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
