// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"madderway/handlers/api"
	"madderway/handlers/operator"
	"madderway/lab/load"
	"madderway/lab/standin"
	"madderway/models/result"
	"madderway/modules/setting"
)

// waitFor polls a condition and fails the test after a generous timeout.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		<-time.After(20 * time.Millisecond)
	}
}

func errorOf(t *testing.T, answer []byte) api.Error {
	t.Helper()
	var body api.ErrorBody
	if err := json.Unmarshal(answer, &body); err != nil {
		t.Fatalf("the response is no API error: %s", answer)
	}
	return body.Error
}

func longChat(tokens int) load.Chat {
	return load.Chat{Model: "core-describer", Prompt: "Describe the core.", Class: "long", MaxTokens: 4096, Tokens: tokens}
}

// When a router dies in mid-stream, its caller can resume at another router and gets every event
// exactly once.
func TestStreamResumesAfterRouterKill(t *testing.T) {
	f := newSmallFleet(t, 3, 5*time.Millisecond)
	victim, other := f.Nodes()[0], f.Nodes()[1]
	c := load.NewClient()
	defer c.Close()
	got := make(chan load.Answer, 1)
	go func() {
		got <- c.Chat(context.Background(), victim.Settings.Caller.Listen, Key("alder"), longChat(300))
	}()
	waitFor(t, "the stream runs", func() bool { return runningStreams(f) == 1 })
	f.Kill(victim)
	a := <-got
	if !a.Broken || a.RequestID == "" || a.Resume == "" {
		t.Fatalf("answer of the killed router: %+v, want a broken one with ID and resume token", a)
	}
	before := len(a.Events)
	a = c.Resume(context.Background(), other.Settings.Caller.Listen, Key("alder"), a)
	if !a.Complete() || len(a.Events) != 302 {
		t.Fatalf("got %d events, %d of them before the kill, error %+v; want 302", len(a.Events), before, a.Err)
	}
	for i := range 300 {
		if !strings.Contains(a.Events[i], fmt.Sprintf("%s-%d ", a.RequestID, i+1)) {
			t.Fatalf("event %d is %s, out of order", i+1, a.Events[i])
		}
	}
	// Only the account that sent the request may resume it.
	stolen := c.Resume(context.Background(), other.Settings.Caller.Listen, Key("birch"), load.Answer{RequestID: a.RequestID, Resume: a.Resume})
	if stolen.Err == nil || stolen.Err.Code != result.BadResumeToken {
		t.Fatalf("another account got %+v", stolen)
	}
}

func runningStreams(f *Fleet) int {
	n := 0
	for _, e := range f.Engines {
		running, _, _ := e.Load()
		n += running
	}
	return n
}

// The answer of a caller that disconnected is stored even if the object store is down when it
// ends, and only the account that sent the request can fetch it.
func TestStoredAnswerSurvivesObjectStoreOutage(t *testing.T) {
	f := newSmallFleet(t, 2, 2*time.Millisecond)
	n := f.Nodes()[0]
	c := load.NewClient()
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+n.Settings.Caller.Listen+"/v1/chat/completions", bytes.NewReader(longChat(100).Body()))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+Key("alder"))
	req.Header.Set("X-Madderway-Class", "long")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	id := resp.Header.Get(api.HeaderRequestID)
	f.Objects.SetFaults(standin.Faults{Down: true})
	cancel()
	_ = resp.Body.Close()
	waitFor(t, "the stream ends", func() bool { return runningStreams(f) == 0 })
	f.Objects.SetFaults(standin.Faults{})
	waitFor(t, "the answer is stored", func() bool { return len(f.Objects.List("answer/")) == 1 })
	lost := load.Answer{RequestID: id} // the caller has lost even its token
	whole := c.Resume(context.Background(), f.Nodes()[1].Settings.Caller.Listen, Key("alder"), lost)
	if !whole.Complete() || len(whole.Events) != 102 {
		t.Fatalf("fetched %d events, error %+v; want 102", len(whole.Events), whole.Err)
	}
	stolen := c.Resume(context.Background(), n.Settings.Caller.Listen, Key("birch"), lost)
	if stolen.Err == nil || stolen.Err.Code != result.NotFound {
		t.Fatalf("another account got %+v", stolen)
	}
}

// The read timeout applies to requests only; it must not abort a long answer.
func TestReadTimeoutDoesNotCutLongAnswers(t *testing.T) {
	f := newTunedFleet(t, 1, 5*time.Millisecond, func(s *setting.Settings) { s.Caller.ReadTimeout.Duration = 200 * time.Millisecond })
	c := load.NewClient()
	defer c.Close()
	a := c.Chat(context.Background(), f.Nodes()[0].Settings.Caller.Listen, Key("alder"), longChat(200))
	if !a.Complete() {
		t.Fatalf("aborted after %d events", len(a.Events))
	}
	if n := len(f.Objects.List("answer/")); n != 0 {
		t.Fatal("the router took its caller for disconnected")
	}
	// A caller that does not send its request in time gets an error.
	conn, err := net.Dial("tcp", f.Nodes()[0].Settings.Caller.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+Key("alder")+"\r\nContent-Length: 100\r\n\r\n{")
	if answer, err := io.ReadAll(conn); err != nil || !strings.Contains(string(answer), "1001") {
		t.Fatalf("%s, %v", answer, err)
	}
}

// The target's connection breaks repeatedly; the router resumes and the answer is complete.
func TestStreamResumesAfterTargetCut(t *testing.T) {
	f := newSmallFleet(t, 1, time.Millisecond)
	for _, e := range f.Engines {
		e.SetFaults(standin.Faults{CutAfter: 10})
	}
	resp, answer := send(t, f.Nodes()[0], "POST", "/v1/chat/completions", "alder", "", chatBody(50, true))
	if events := dataLines(answer); len(events) != 52 || events[51] != "[DONE]" {
		t.Fatalf("status %d with %d events, want 52 that end with [DONE]", resp.StatusCode, len(events))
	}
}

// During an outage of the table, keyed calls must not run and everything else is served; a router
// that starts gets its configuration from peers. After the outage the same key runs once.
func TestTableOutage(t *testing.T) {
	f := newSmallFleet(t, 3, time.Millisecond)
	f.Table.SetFaults(standin.Faults{Down: true})
	n := f.Nodes()[0]
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	c := load.NewClient()
	defer c.Close()
	c.Plain(ctx, n.Settings.Caller.Listen, Key("alder"), "/services/samples/submit", "k", []byte("box"))
	if runs := f.Plains["samples-1"].RunsByKey()["alder/k"]; runs != 0 {
		t.Fatalf("ran %d times without a claim, want 0", runs)
	}
	if resp, answer := send(t, n, "POST", "/v1/chat/completions", "alder", "", chatBody(5, false)); resp.StatusCode != 200 {
		t.Fatalf("completion: got status %d %s", resp.StatusCode, answer)
	}
	f.Kill(f.Nodes()[2])
	restarted, err := f.StartRouter(2)
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the restarted router has its configuration from peers", func() bool { return restarted.Router.Ready() == nil })
	f.Table.SetFaults(standin.Faults{})
	waitFor(t, "the key runs after the outage", func() bool {
		resp, _ := send(t, n, "POST", "/services/samples/submit", "alder", "k", "box")
		return resp.StatusCode == 200
	})
	if runs := f.Plains["samples-1"].RunsByKey()["alder/k"]; runs != 1 {
		t.Fatalf("ran %d times, want 1", runs)
	}
}

// A drain completes the streams in flight before the router stops, and new requests are served
// by the other routers.
func TestDrainCompletesStreams(t *testing.T) {
	f := newSmallFleet(t, 2, 5*time.Millisecond)
	n := f.Nodes()[0]
	c := load.NewClient()
	defer c.Close()
	got := make(chan load.Answer, 1)
	go func() {
		got <- c.Chat(context.Background(), n.Settings.Caller.Listen, Key("alder"), longChat(200))
	}()
	waitFor(t, "the stream runs", func() bool { return runningStreams(f) == 1 })
	if err := f.Client(n).Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "readiness fails", func() bool { return n.Router.Ready() != nil })
	if a := <-got; !a.Complete() || len(a.Events) != 202 {
		t.Fatalf("aborted after %d events, error %+v; want 202 events", len(a.Events), a.Err)
	}
	<-n.Router.Dead()
	n.Down = true
	if resp, answer := send(t, f.Nodes()[1], "POST", "/v1/chat/completions", "alder", "", chatBody(5, false)); resp.StatusCode != 200 {
		t.Fatalf("other router: got status %d %s", resp.StatusCode, answer)
	}
}

// A target marked as leaving gets no new requests, and those that run there complete.
func TestLeavingTargetCompletesStream(t *testing.T) {
	f := newSmallFleet(t, 2, 5*time.Millisecond)
	c := load.NewClient()
	defer c.Close()
	got := make(chan load.Answer, 1)
	go func() {
		got <- c.Chat(context.Background(), f.Nodes()[0].Settings.Caller.Listen, Key("alder"), longChat(200))
	}()
	var name string
	waitFor(t, "the stream runs", func() bool {
		for n, e := range f.Engines {
			if running, _, _ := e.Load(); running == 1 {
				name = n
			}
		}
		return name != ""
	})
	d := f.document(t)
	for i := range d.Targets {
		if d.Targets[i].Name == name {
			d.Targets[i].Leaving = true
		}
	}
	if _, err := f.Apply(context.Background(), d, "leaving"); err != nil {
		t.Fatal(err)
	}
	if a := <-got; !a.Complete() {
		t.Fatalf("aborted after %d events", len(a.Events))
	}
	for range 12 {
		send(t, f.Nodes()[1], "POST", "/v1/chat/completions", "birch", "", chatBody(2, false))
	}
	if running, _, peak := f.Engines[name].Load(); running != 0 || peak != 1 {
		t.Fatalf("the leaving target ran %d at most and runs %d now, want 1 and 0", peak, running)
	}
}

// Orders carry a rising epoch, and an engine that checks it refuses an order of a lower one.
func TestEngineRejectsOrderOfLowerEpoch(t *testing.T) {
	f := newSmallFleet(t, 2, time.Millisecond)
	for i, n := range f.Nodes() {
		reply, err := f.Client(n).Order(context.Background(), operator.OrderRequest{Target: "engine-1", Action: "load", Model: "m"})
		if err != nil || reply.Epoch != uint64(i+1) {
			t.Fatalf("%+v, %v", reply, err)
		}
	}
	orders := f.Engines["engine-1"].Orders()
	if err := f.Engines["engine-1"].Order(context.Background(), orders[0]); err == nil {
		t.Fatal("an order of a lower epoch was accepted")
	}
}

func TestExplainShowsRequestEvents(t *testing.T) {
	f := newSmallFleet(t, 2, time.Millisecond)
	resp, _ := send(t, f.Nodes()[0], "POST", "/services/samples/submit", "alder", "k", "box")
	records, err := f.Client(f.Nodes()[1]).Explain(context.Background(), resp.Header.Get(api.HeaderRequestID))
	if err != nil || len(records) != 1 {
		t.Fatalf("%v, %v", records, err)
	}
	seen := map[string]bool{}
	for _, ev := range records[0].Events {
		seen[ev.Kind] = true
	}
	for _, what := range []string{"order", "claim", "grant", "attempt", "outcome"} {
		if !seen[what] {
			t.Errorf("no %q event in %+v", what, records[0].Events)
		}
	}
}

// Bad input gets its specific error code and does not affect the router.
func TestBadInputGetsErrorCode(t *testing.T) {
	f := newSmallFleet(t, 1, time.Millisecond)
	n := f.Nodes()[0]
	base := "http://" + n.Settings.Caller.Listen
	for _, c := range []struct {
		name, method, path, key, body string
		want                          result.Code
	}{
		{"malformed JSON", "POST", "/v1/chat/completions", Key("alder"), "{", result.BadRequest},
		{"no messages", "POST", "/v1/chat/completions", Key("alder"), `{"model":"core-describer"}`, result.BadRequest},
		{"unknown model", "POST", "/v1/chat/completions", Key("alder"), `{"model":"x","messages":[{}]}`, result.UnknownModel},
		{"unknown service", "POST", "/services/x/y", Key("alder"), "", result.UnknownPool},
		{"wrong key", "GET", "/v1/models", "wrong", "", result.Unauthorized},
		{"oversize body", "POST", "/v1/chat/completions", Key("alder"), strings.Repeat("x", 5<<20), result.BodyTooLarge},
		{"no path", "GET", "/nowhere", Key("alder"), "", result.NotFound},
		{"bad request ID", "GET", "/v1/responses/x", Key("alder"), "", result.NotFound},
		{"bad offset", "GET", "/v1/responses/req-aaaaaaaaaaaaaaaa?offset=-1", Key("alder"), "", result.BadRequest},
	} {
		req, err := http.NewRequest(c.method, base+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+c.key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		answer, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if e := errorOf(t, answer); e.Code != c.want || e.Ran != result.RanNo || resp.StatusCode != result.Lookup(c.want).Status {
			t.Errorf("%s: got status %d, error %+v", c.name, resp.StatusCode, e)
		}
	}
	garbagePeer(t, n)
	for _, e := range f.Engines {
		e.SetFaults(standin.Faults{Garbage: true})
	}
	resp, answer := send(t, n, "POST", "/v1/chat/completions", "alder", "", chatBody(5, false))
	if e := errorOf(t, answer); resp.StatusCode != 502 || e.Code != result.StreamBroken || e.Ran != result.RanUnknown {
		t.Errorf("broken events: got status %d, error %+v", resp.StatusCode, e)
	}
	if n.Router.Ready() != nil {
		t.Error("the router is no longer ready")
	}
}

// garbagePeer sends garbage and a hello without the shared key to the peer port.
func garbagePeer(t *testing.T, n *Node) {
	t.Helper()
	for _, noise := range []string{"GET / HTTP/1.1\r\n\r\n", strings.Repeat("\xff", 100), "\x05\x08\x01\x12\x01x"} {
		conn, err := net.Dial("tcp", n.Settings.Peer.Listen)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, noise)
		_ = conn.Close()
	}
	waitFor(t, "the noise is refused", func() bool { return n.Router.Dump().PeersRefused >= 3 })
}

func TestOperatorAPIRejectsBadTokenAndPolicy(t *testing.T) {
	f := newSmallFleet(t, 1, time.Millisecond)
	resp, err := http.Get("http://" + f.Nodes()[0].Settings.Operator.Listen + "/operator/dump")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	if e := errorOf(t, answer); e.Code != result.BadOperatorToken {
		t.Fatalf("%+v", e)
	}
	d := f.document(t)
	d.Policies[0].Source = "def order(request, account):\n    return nothing\n"
	_, err = f.Apply(context.Background(), d, "bad")
	if e, ok := result.FromError(err); !ok || e.Code != result.BadPolicy || !strings.Contains(e.Detail, "line 2, column 12") {
		t.Fatalf("got %v", err)
	}
}
