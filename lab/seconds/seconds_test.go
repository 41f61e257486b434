// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package seconds

import (
	"bytes"
	"encoding/xml"
	"io"
	"strings"
	"testing"
	"time"

	"madderway/modules/log"
)

const sample = `
  -1.2 front-1 I0906 10:46:08.000000   1 second.go:1] "[forward] front-1: Gateway statistics." in_time=9
   0.1 front-1 I0906 10:46:10.100000   1 second.go:1] "[mesh] front-1: Cell statistics." cell="s/0" span="1s" asked=10 placed=7 refused=2 with_room=1 waiting=3 asked_tokens=50000 placed_tokens=40000 read=20000 reread=1000 copies=2 copied=9000 targets=4 streams=30 reading_share=0.5 booked="100ms"
   0.2 front-2 I0906 10:46:10.200000   1 second.go:1] "[mesh] front-2: Cell statistics." cell="s/1" span="1s" asked=5 placed=5 refused=0 with_room=0 waiting=0 asked_tokens=10000 placed_tokens=10000 read=5000 reread=0 copies=0 copied=0 targets=2 streams=4 reading_share=0.2 booked="40ms"
   0.3 front-2 I0906 10:46:10.300000   1 second.go:1] "[forward] front-2: Gateway statistics." in_time=11 late=1 not_in_time=2 refused_at_entry=4 outcome_unknown=1 aborted=2 gone=3
   0.4 front-1 I0906 10:46:10.400000   1 second.go:1] "[forward] front-1: Request served." id="x"
   1.3 front-1 I0906 10:46:11.300000   1 second.go:1] "[forward] front-1: Gateway statistics." in_time=6
`

func lines(t *testing.T) []log.Line {
	t.Helper()
	var out []log.Line
	for text := range strings.Lines(sample) {
		if l, ok := log.ParseLine(strings.TrimRight(text, "\n")); ok {
			out = append(out, l)
		}
	}
	if len(out) != 6 {
		t.Fatalf("parsed %d lines, want 6", len(out))
	}
	return out
}

func TestGatherSumsOverGateways(t *testing.T) {
	all := Gather(lines(t))
	if len(all) != 2 || all[0].At != 0 || all[1].At != 1 {
		t.Fatalf("got %d seconds, want 0 and 1", len(all))
	}
	s := all[0]
	if s.Asked != 15 || s.Refused != 2 || s.WithRoom != 1 || s.AskedTokens != 60000 || s.Copied != 9000 || s.Streams != 34 {
		t.Errorf("%+v", s)
	}
	// Weighted by engines: four at 0.5, two at 0.2.
	if got := s.PrefillShare(); got < 0.39 || got > 0.41 {
		t.Errorf("reading share %.2f, want 0.40", got)
	}
	if got := s.Booked(); got != 80*time.Millisecond {
		t.Errorf("booked %v on average, want 80ms", got)
	}
	if s.Outcomes["in_time"] != 11 || s.Outcomes["refused_at_entry"] != 4 {
		t.Errorf("%v", s.Outcomes)
	}
	if Gather(nil) != nil {
		t.Error("got seconds without lines")
	}
}

func TestWriteTableAndSVG(t *testing.T) {
	all := Gather(lines(t))
	var table, picture bytes.Buffer
	if err := WriteTable(&table, all); err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(strings.TrimSpace(table.String()), "\n")
	if len(rows) != 3 || !strings.Contains(rows[1], "40%") || !strings.HasSuffix(rows[1], "3") {
		t.Errorf("%s", table.String())
	}
	if err := WriteSVG(&picture, all); err != nil {
		t.Fatal(err)
	}
	decoder := xml.NewDecoder(&picture)
	for {
		if _, err := decoder.Token(); err == io.EOF {
			return
		} else if err != nil {
			t.Fatal(err)
		}
	}
}
