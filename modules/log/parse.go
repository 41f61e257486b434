// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package log

import (
	"regexp"
	"strconv"
	"strings"
)

// Line is a parsed log line.
type Line struct {
	Time    string // "MMDD hh:mm:ss.uuuuuu"
	Part    string // part of the program that logged the line
	Process string // name given to Logger.With, or empty
	Message string
	Values  map[string]string
	Text    string // the whole line
}

// linePattern matches klog's header, the prefix and the message. A log collector may have
// put text before the header.
var linePattern = regexp.MustCompile(`[IWE](\d{4} \d\d:\d\d:\d\d\.\d+)\s+\d+ \S+\] "?\[(\w+)\] (?:([\w.-]+): )?([^"=]*\.)"?(.*)$`)

var pairPattern = regexp.MustCompile(`([\w ]+?)=("(?:[^"\\]|\\.)*"|\S*)`)

// ParseLine parses a line that a Logger wrote; it reports false for any other.
func ParseLine(text string) (Line, bool) {
	m := linePattern.FindStringSubmatch(text)
	if m == nil {
		return Line{}, false
	}
	l := Line{Time: m[1], Part: m[2], Process: m[3], Message: m[4], Values: map[string]string{}, Text: text}
	for _, p := range pairPattern.FindAllStringSubmatch(m[5], -1) {
		value := p[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		l.Values[strings.TrimSpace(p[1])] = value
	}
	return l, true
}
