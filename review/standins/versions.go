package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case. The deadline is that of appt-chat of sablah-booking; the aim is twice the
// longest of the site files, so that a client may wait for 12 s (four times the aim) between events.
const (
	streams       = 8
	streamEvents  = 24
	eventInterval = 250 * time.Millisecond
	streamTimeout = 15 * time.Second
	streamAim     = 3 * time.Second
	drainTime     = 2 * time.Second
	// Streams that may hold events of two versions.
	mixedAllowed = 2
)

// comeBackAfter holds the times after the break of its stream at which a client comes back.
var comeBackAfter = []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 11 * time.Second}

// streamWorker is a model worker of one software version.
type streamWorker struct {
	run      *run
	id       string
	software string
	address  string
	server   *http.Server
}

func (r *run) startStreamWorker(id, software, zone string) (*streamWorker, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &streamWorker{run: r, id: id, software: software, address: l.Addr().String()}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(l) }()
	r.store.put("servers", id, map[string]any{
		"service": "assistant-llm", "address": w.address, "zone": zone, "version": software, "slots": 64, "state": "ready",
		"coldRemainingMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	r.note("worker %s of version %s starts at %s", id, software, w.address)
	return w, nil
}

// ServeHTTP implements http.Handler.
func (w *streamWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/kv-list" {
		rw.Header().Set("Content-Type", "application/json")
		_, _ = rw.Write([]byte(`{"epoch":1,"nextPageToken":0,"held":[]}`))
		return
	}
	if r.Header.Get("Expect-Instance") != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	attempt, from := r.Header.Get("Attempt-Id"), 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		from, _ = strconv.Atoi(last)
	}
	w.run.note("worker %s (version %s) runs attempt %s, Resumes %q, Last-Event-Id %q", w.id, w.software, attempt, r.Header.Get("Resumes"), r.Header.Get("Last-Event-Id"))
	rw.Header().Set("Attempt-Id", attempt)
	rw.Header().Set("Response-Signature", w.id+"."+attempt)
	rw.Header().Set("Weight-Versions", "1")
	rw.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(rw)
	for n := from + 1; n <= streamEvents; n++ {
		_, err := fmt.Fprintf(rw, "id: %d\ndata: %s %s\n\n", n, w.software, w.id)
		if err != nil || flusher.Flush() != nil {
			return
		}
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// streamClient reads one stream over its tries.
type streamClient struct {
	run    *run
	number int
	began  time.Time
	first  string // attempt that brought the first event
	last   int    // ID of the last event

	versions []string // of the events, without repetitions
}

// try sends one attempt. It returns the status, 0 without an answer, and how long to wait if refused.
func (c *streamClient) try(n int, g *gateway) (status int, retryAfter time.Duration) {
	left := streamTimeout - time.Since(c.began)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	attempt := fmt.Sprintf("%04x%04x%08x", c.number, n, time.Now().UnixMilli()&0xffffffff)
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callers+"/rota/"+strconv.Itoa(c.number), strings.NewReader(`{"prompt":"rebuild the rota"}`))
	req.Host = "counter.example"
	for name, value := range map[string]string{
		"Attempt-Id": attempt, "Authorization": "Bearer key-of-salon", "Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10),
		"Model": "m", "Token-Usage": "900,72", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:600,%08x:300", 0x1000+c.number),
	} {
		req.Header.Set(name, value)
	}
	if c.last > 0 {
		req.Header.Set("Resumes", c.first)
		req.Header.Set("Last-Event-Id", strconv.Itoa(c.last))
	}
	c.run.note("client %d sends attempt %s to %s, Resumes %q, after event %d, %d ms left", c.number, attempt, g.name, req.Header.Get("Resumes"), c.last, left.Milliseconds())
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		c.run.note("client %d gets no answer: %v", c.number, err)
		return 0, 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		body := make([]byte, 300)
		n, _ := resp.Body.Read(body)
		c.run.note("client %d gets %d, Retry-After %q: %s", c.number, resp.StatusCode, resp.Header.Get("Retry-After"), strings.TrimSpace(string(body[:n])))
		return resp.StatusCode, time.Duration(seconds * float64(time.Second))
	}
	c.read(resp, attempt)
	return resp.StatusCode, 0
}

// read reads the events of an answer.
func (c *streamClient) read(resp *http.Response, attempt string) {
	lines := bufio.NewScanner(resp.Body)
	id := 0
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			id, _ = strconv.Atoi(text)
			continue
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if !lines.Scan() || lines.Text() != "" {
			break // the event broke off
		}
		if c.last == 0 {
			c.first = attempt
		}
		if id != c.last+1 {
			c.run.note("client %d gets event %d after event %d", c.number, id, c.last)
		}
		c.last = id
		software, _, _ := strings.Cut(data, " ")
		if len(c.versions) == 0 || c.versions[len(c.versions)-1] != software {
			c.versions = append(c.versions, software)
			c.run.note("client %d gets event %d from a worker of version %s", c.number, id, software)
		}
	}
	c.run.note("client %d: the answer ends after event %d: %v", c.number, c.last, lines.Err())
}

// play reads the stream, and comes back a few times within its deadline when it breaks.
func (c *streamClient) play() {
	c.began = time.Now()
	c.try(0, c.run.gateways[c.number%len(c.run.gateways)])
	broke := time.Now()
	notBefore := broke
	for n, after := range comeBackAfter {
		if c.last == streamEvents {
			return
		}
		at := broke.Add(after)
		if at.Before(notBefore) {
			at = notBefore
		}
		time.Sleep(time.Until(at))
		if time.Since(c.began) >= streamTimeout {
			return
		}
		_, retryAfter := c.try(n+1, c.run.gateways[(c.number+n+1)%len(c.run.gateways)])
		left := streamTimeout - time.Since(c.began)
		notBefore = time.Now().Add(min(retryAfter, left/3))
	}
}

func (r *run) putVersionsConfig() {
	r.store.put("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "rota-rebuild", "host": "counter.example", "pathPrefix": "/rota/", "kind": "streaming", "canResume": true, "sticky": true,
			"timeoutMs": streamTimeout.Milliseconds(), "targetLatencyMs": streamAim.Milliseconds(), "gapAimMs": 400, "maxAttempts": 2, "priority": 1,
			"service": "assistant-llm",
		}},
		"services": []map[string]any{{
			"name": "assistant-llm", "healthPath": "/health", "maxConnections": 370, "engine": map[string]any{"slots": 64, "kvTokens": 646546, "stride": 3},
		}},
		"tenants": []map[string]any{{"name": "salon", "apiKeys": []string{"key-of-salon"}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 400000},
	})
}

// versionsCase replaces all workers by those of another software version while streams run, kills
// all gateways at once, and lets the clients come back.
func versionsCase(r *run) int {
	r.putVersionsConfig()
	zones := []string{"abdali-hall", "sweileh-hall", "marka-hall"}
	var old []*streamWorker
	for i, zone := range zones {
		w, err := r.startStreamWorker(fmt.Sprintf("i-old-%d", i+1), "v1", zone)
		if err != nil {
			return r.fail("%v", err)
		}
		old = append(old, w)
	}
	if err := r.startGateways(3); err != nil {
		return r.fail("%v", err)
	}
	time.Sleep(3 * time.Second)
	clients := make([]*streamClient, streams)
	var open sync.WaitGroup
	for i := range clients {
		clients[i] = &streamClient{run: r, number: i + 1}
		open.Add(1)
		go func() {
			defer open.Done()
			clients[i].play()
		}()
	}
	time.Sleep(500 * time.Millisecond)
	// The release: the new workers start first; the old ones are removed from the list without having
	// said draining, serve on for longer than drainMs, and end.
	for i, zone := range zones {
		if _, err := r.startStreamWorker(fmt.Sprintf("i-new-%d", i+1), "v2", zone); err != nil {
			return r.fail("%v", err)
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, w := range old {
		r.store.remove("servers", w.id)
		r.note("the entry of worker %s is removed; it serves on", w.id)
		time.AfterFunc(drainTime+6*time.Second, func() {
			_ = w.server.Close()
			r.note("worker %s ends", w.id)
		})
	}
	time.Sleep(500 * time.Millisecond)
	if r.trouble {
		r.note("disruption: all gateways are killed at the same moment")
		var killed sync.WaitGroup
		for _, g := range r.gateways {
			killed.Add(1)
			go func() {
				defer killed.Done()
				g.kill()
			}()
		}
		killed.Wait()
		time.Sleep(200 * time.Millisecond)
		for _, g := range r.gateways {
			if err := g.start(); err != nil {
				return r.fail("%v", err)
			}
		}
	}
	open.Wait()
	return r.judgeVersions(clients)
}

func (r *run) judgeVersions(clients []*streamClient) int {
	mixed, begun, whole := 0, 0, 0
	for _, c := range clients {
		if c.last > 0 {
			begun++
		}
		if c.last == streamEvents {
			whole++
		}
		if len(c.versions) > 1 {
			mixed++
		}
		r.note("stream %d: %d of %d events, of versions %v", c.number, c.last, streamEvents, c.versions)
	}
	r.note("%d streams began, %d are whole, %d hold events of two versions; allowed %d", begun, whole, mixed, mixedAllowed)
	switch {
	case begun < streams:
		return r.fail("only %d streams began", begun)
	case mixed > mixedAllowed:
		r.note("ORDER is broken")
		return ruleBroken
	default:
		r.note("ORDER held")
		return ruleHeld
	}
}
