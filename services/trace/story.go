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

// ReadLines reads the lines of a log; what is not a line of the program is
// passed over.
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

// LinesOfRequest returns the lines about a request in the order of their times: those
// that carry its ID, and those of schedulers, which know it by the entry
// gateway and the number that it has there.
func LinesOfRequest(lines []log.Line, id string) []log.Line {
	type number struct{ process, number string }
	numbers := map[number]bool{}
	for _, l := range lines {
		if l.Values["id"] == id && l.Values["number"] != "" {
			numbers[number{l.Process, l.Values["number"]}] = true
		}
	}
	var story []log.Line
	for _, l := range lines {
		if l.Values["id"] == id || l.Values["entry"] != "" && numbers[number{l.Values["entry"], l.Values["number"]}] {
			story = append(story, l)
		}
	}
	sort.SliceStable(story, func(i, j int) bool { return story[i].Time < story[j].Time })
	return story
}
