// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package log

import (
	"regexp"
	"strconv"
	"strings"
)

// Line is one line of a log, read back.
type Line struct {
	Time    string // month, day and time of day, as written
	Part    string // the part of the program
	Process string // the process, empty where the line does not name it
	Message string
	Values  map[string]string
	Text    string // the whole line
}

// linePattern matches what klog writes before a message, and the message; a prefix of
// whoever gathered the logs may stand before it.
var linePattern = regexp.MustCompile(`[IWE](\d{4} \d\d:\d\d:\d\d\.\d+)\s+\d+ \S+\] "?\[(\w+)\] (?:([\w.-]+): )?([^"=]*\.)"?(.*)$`)

var pairPattern = regexp.MustCompile(`([\w ]+?)=("(?:[^"\\]|\\.)*"|\S*)`)

// ParseLine reads a line that a Logger wrote; it reports false for any other.
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
