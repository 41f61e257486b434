// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package result

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
)

// The table in the docs and the table in the code are the same.
func TestDocsHoldTheTable(t *testing.T) {
	text, err := os.ReadFile("../../docs/result-codes.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, i := range Table {
		want = append(want, fmt.Sprintf("| %d | `%s` | %d | %s | %t | %s |", i.Code, i.Name, i.Status, i.Ran, i.Retry, i.Meaning))
	}
	var got []string
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| code") {
			got = append(got, line)
		}
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("docs/result-codes.md should hold:\n%s", strings.Join(want, "\n"))
	}
}

func TestErrResult(t *testing.T) {
	cause := errors.New("cause")
	err := fmt.Errorf("outer: %w", Wrap(QueueFull, cause))
	if !IsErrResult(err) || !errors.Is(err, cause) || Convert(err).Code != QueueFull || Convert(err).Execution() != RanNo {
		t.Errorf("%v", err)
	}
	if Convert(cause).Code != Internal {
		t.Errorf("%v", Convert(cause))
	}
}
