// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package setting

import (
	"os"
	"strings"
	"testing"
)

func example(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile("../../madderway.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestExampleIsValid(t *testing.T) {
	if _, err := Parse(example(t)); err != nil {
		t.Fatal(err)
	}
}

// Guards against defaults that differ from the commented lines of the example.
func TestExampleShowsDefaults(t *testing.T) {
	text := example(t)
	want, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	var shown []string
	for _, line := range strings.Split(text, "\n") {
		if rest, ok := strings.CutPrefix(line, "# "); ok && strings.Contains(rest, " = ") && !strings.Contains(rest, `= ""`) {
			line = rest
		}
		shown = append(shown, line)
	}
	got, err := Parse(strings.Join(shown, "\n"))
	if err != nil {
		t.Fatal(err)
	}
	// Slices keep Settings from being compared directly.
	want.Operator.TokenSHA256, got.Operator.TokenSHA256 = nil, nil
	if got.Caller != want.Caller || got.Peer != want.Peer || got.Platform != want.Platform || got.Control != want.Control || got.Answer != want.Answer || got.Log != want.Log {
		t.Fatalf("defaults in the example: got\n%+v\nwant\n%+v", got, want)
	}
}

func TestParseErrorNamesKey(t *testing.T) {
	for _, c := range []struct{ old, new, key string }{
		{`id        = "router-1"`, `id = "Router 1"`, "router.id"},
		{`data_hall = "hall-a"`, ``, "router.data_hall"},
		{`"127.0.0.1:8080"`, `"localhost:8080"`, "caller.listen"},
		{`# max_body_bytes   = 4194304`, `max_body_bytes = 1`, "caller.max_body_bytes"},
		{`# max_body_bytes   = 4194304`, `max_body = 1`, "caller.max_body"},
		{`# timeout    = "2s"`, `timeout = "soon"`, "timeout"},
		{`"127.0.0.1:8082"`, `"192.0.2.1:8082"`, "peer.shared_key"},
		{`shared_key   = "change-me-change-me"`, `shared_key = "short"`, "peer.shared_key"},
		{`"http://127.0.0.1:9001"`, `"table"`, "platform.table_url"},
		{`# dispatch       = "fleet"`, `dispatch = "random"`, "control.dispatch"},
		{`# suspect_after  = "2500ms"`, `suspect_after = "1s"`, "control.suspect_after"},
	} {
		text := strings.Replace(example(t), c.old, c.new, 1)
		if text == example(t) {
			t.Fatalf("%q is not in the example", c.old)
		}
		_, err := Parse(text)
		if !IsErrSetting(err) || !strings.Contains(err.Error(), c.key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("error for invalid %s: got %v", c.key, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(example(f))
	f.Add("[router]\nid = 1")
	f.Add("[caller]\nread_timeout = \"-1s\"")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if err == nil && s.Check() != nil {
			t.Error("Parse accepted settings that Check rejects")
		}
	})
}
