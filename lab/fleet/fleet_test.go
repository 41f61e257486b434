// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"madderway/lab/standin"
	"madderway/models/conf"
	"madderway/modules/log"
	"madderway/modules/setting"
)

func TestMain(m *testing.M) {
	log.Setup(io.Discard, 0)
	os.Exit(m.Run())
}

const serviceOnce = `
def retry(request, attempt):
    return attempt.outcome == "not_run" or request.method == "GET"
`

// newSmallFleet starts a fleet with a pool of three engines and a plain service.
func newSmallFleet(t *testing.T, routers int, gap time.Duration) *Fleet {
	t.Helper()
	return newTunedFleet(t, routers, gap, nil)
}

// newTunedFleet starts the fleet of newSmallFleet with changed settings.
func newTunedFleet(t *testing.T, routers int, gap time.Duration, tune func(*setting.Settings)) *Fleet {
	t.Helper()
	f, err := New(Options{Routers: routers, Tune: tune})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	d := &conf.Document{
		Policies: []conf.Policy{{Name: "once", Source: serviceOnce}},
		Pools: []conf.Pool{
			{Name: "chat", Kind: conf.KindModel, Models: []string{"core-describer"}},
			{Name: "samples", Kind: conf.KindService},
		},
	}
	for _, name := range []string{"alder", "birch"} {
		a := Account(name)
		a.Policy = "once"
		d.Accounts = append(d.Accounts, a)
	}
	for i := range 3 {
		tg, err := f.AddEngine("chat", f.Hall(i), standin.EngineConfig{Name: fmt.Sprintf("engine-%d", i+1), Slots: 4, FirstToken: gap, TokenGap: gap})
		if err != nil {
			t.Fatal(err)
		}
		d.Targets = append(d.Targets, tg)
	}
	tg, err := f.AddPlain("samples", f.Hall(0), standin.PlainConfig{Name: "samples-1", Slots: 4, Duration: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	d.Targets = append(d.Targets, tg)
	if err := f.StartRouters(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := f.Apply(ctx, d, "first"); err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return f
}

func send(t *testing.T, n *Node, method, path, account, key string, body any) (*http.Response, []byte) {
	t.Helper()
	content, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(method, "http://"+n.Settings.Caller.Listen+path, bytes.NewReader(content))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+Key(account))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, answer
}

func chatBody(tokens int, stream bool) map[string]any {
	return map[string]any{
		"model": "core-describer", "stream": stream, "max_tokens": 4096, "lab_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": "Describe the core."}},
	}
}

func TestAllRoutersServe(t *testing.T) {
	f := newSmallFleet(t, 3, time.Millisecond)
	for _, n := range f.Nodes() {
		resp, answer := send(t, n, "POST", "/v1/chat/completions", "alder", "", chatBody(20, false))
		if resp.StatusCode != 200 || strings.Count(string(answer), "-20 ") != 1 {
			t.Fatalf("%s: got status %d %s", n.ID, resp.StatusCode, answer)
		}
		resp, answer = send(t, n, "POST", "/v1/chat/completions", "birch", "", chatBody(20, true))
		if events := dataLines(answer); len(events) != 22 || events[21] != "[DONE]" {
			t.Fatalf("%s: got status %d %s", n.ID, resp.StatusCode, answer)
		}
		resp, answer = send(t, n, "POST", "/services/samples/submit", "birch", "the-key", "box 7")
		if resp.StatusCode != 200 {
			t.Fatalf("%s: got status %d %s", n.ID, resp.StatusCode, answer)
		}
	}
	if runs := f.Plains["samples-1"].RunsByKey()["birch/the-key"]; runs != 1 {
		t.Fatalf("the keyed call ran %d times, want 1", runs)
	}
}

func dataLines(answer []byte) []string {
	var out []string
	scan := bufio.NewScanner(bytes.NewReader(answer))
	for scan.Scan() {
		if data, ok := strings.CutPrefix(scan.Text(), "data: "); ok {
			out = append(out, data)
		}
	}
	return out
}
