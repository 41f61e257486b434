// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package load

import (
	"bufio"
	"io"
	"strings"
)

const maxLine = 1 << 20

// lineReader reads server-sent events.
type lineReader struct{ scan *bufio.Scanner }

func newLineReader(r io.Reader) *lineReader {
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, 4096), maxLine)
	return &lineReader{scan}
}

func (l *lineReader) next() (kind, id, data string, err error) {
	for l.scan.Scan() {
		line := l.scan.Text()
		if line == "" {
			if data != "" {
				return kind, id, data, nil
			}
			continue
		}
		field, value, _ := strings.Cut(line, ": ")
		switch field {
		case "event":
			kind = value
		case "id":
			id = value
		case "data":
			data = value
		}
	}
	if l.scan.Err() != nil {
		return "", "", "", l.scan.Err()
	}
	return "", "", "", errEnd
}
