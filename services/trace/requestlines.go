// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package trace

import (
	"bufio"
	"io"
	"sort"

	"madderway/modules/log"
)

const maxLineLen = 1 << 20

// ReadLines parses the lines of a log and skips lines of other programs.
func ReadLines(r io.Reader) ([]log.Line, error) {
	var lines []log.Line
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, 64<<10), maxLineLen)
	for scan.Scan() {
		if l, ok := log.ParseLine(scan.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, scan.Err()
}

// LinesOfRequest returns the lines about a request in the order of time. The lines of schedulers
// lack its ID; they are found by the gateway that received it and its number there.
func LinesOfRequest(lines []log.Line, id string) []log.Line {
	type entryNumber struct{ process, number string }
	numbers := map[entryNumber]bool{}
	for _, l := range lines {
		if l.Values["id"] == id && l.Values["number"] != "" {
			numbers[entryNumber{l.Process, l.Values["number"]}] = true
		}
	}
	var out []log.Line
	for _, l := range lines {
		if l.Values["id"] == id || l.Values["entry"] != "" && numbers[entryNumber{l.Values["entry"], l.Values["number"]}] {
			out = append(out, l)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Time < out[j].Time })
	return out
}
