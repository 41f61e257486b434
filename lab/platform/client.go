// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"madderway/modules/httpresp"
	"madderway/modules/netopt"
)

// Kind describes a kind of request and its load.
type Kind struct {
	Name         string
	Path         string
	Method       string
	Stream       bool
	Repeatable   bool
	Resumable    bool
	Keyed        bool
	Work         time.Duration // time that workers take; 0 for their own
	Upload       int           // bytes of the body of a POST; 0 for a short one
	Prefixes     int           // different shared prompt prefixes
	SharedTokens int           // tokens of a shared prompt prefix
	OwnTokens    int           // mean tokens of the rest of a prompt
	Objective    time.Duration // latency beyond which an answer is late
	Deadline     time.Duration
	PerSecond    float64 // requests of all accounts
	Attempts     int     // attempts that a gateway may make
}

const (
	host      = "site.example"
	maxReason = 1 << 10 // bytes of a refusal's body that are kept
)

// client sends requests of one kind for one account and checks the answers.
type client struct {
	site         *Site
	address      func(c *client) string // gateway for the next request
	uri          func(c *client) string
	body         func(c *client) string
	kind         Kind
	account      string
	key          string
	rng          *rand.Rand
	http         *http.Client
	sent         int
	parts        []string    // IDs of the prompt's shared parts, chosen at random if empty
	stream       *readStream // what the caller has of its stream
	answerHeader http.Header // headers of the last answer
	status       int         // status of the last answer
	refusal      string      // body of the last refusal
}

func newClient(s *Site, k Kind, account, key string, seed uint64) *client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &client{
		address: anyGateway, uri: itemURI, body: anyBody, site: s, kind: k, account: account, key: key, rng: rand.New(rand.NewPCG(seed, 2)),
		http: &http.Client{Transport: &http.Transport{DialContext: netopt.ReportErrorsToRead(dialer.DialContext), MaxIdleConnsPerHost: 4, DisableCompression: true}},
	}
}

func anyGateway(c *client) string { return c.site.gateway(c.rng) }

func itemURI(c *client) string {
	return fmt.Sprintf("%sitem/%%2F%d?q=%d", c.kind.Path, c.sent, c.rng.IntN(100))
}

func anyBody(c *client) string {
	if c.kind.Upload > 0 {
		return strings.Repeat("x", c.kind.Upload)
	}
	return strings.Repeat("x", 50+c.rng.IntN(200))
}

// sendWithRetry sends a request, continues a resumable stream once if it breaks off, retries once if
// it is refused with a short Retry-After, and counts the outcome.
func (c *client) sendWithRetry(ctx context.Context) {
	started := time.Now()
	c.stream = &readStream{}
	ctx, cancel := context.WithTimeout(ctx, c.kind.Deadline)
	defer cancel()
	result, retryAfter := c.attempt(ctx, started)
	if result == outcomeFailed && c.kind.Resumable && c.stream.begun() {
		result, retryAfter = c.attempt(ctx, started)
	}
	if result == outcomeRefused && retryAfter < c.kind.Deadline/3 {
		select {
		case <-time.After(retryAfter):
			result, _ = c.attempt(ctx, time.Now())
		case <-ctx.Done():
		}
	}
	if c.site.ctx.Err() != nil {
		return // the run has ended meanwhile
	}
	c.site.ledger.AddOutcome(c.account, func(n *Counts) {
		switch result {
		case outcomeServed:
			n.Served++
		case outcomeLate:
			n.Served++
			n.Late++
		case outcomeRefused:
			n.Refused++
		default:
			n.Failed++
		}
	})
}

type outcome int

const (
	outcomeServed outcome = iota + 1
	outcomeLate
	outcomeRefused
	outcomeFailed
)

func (c *client) attempt(ctx context.Context, started time.Time) (outcome, time.Duration) {
	id := fmt.Sprintf("%016x", c.rng.Uint64())
	body := ""
	if c.kind.Method == http.MethodPost {
		body = c.body(c)
	}
	uri := c.uri(c)
	c.sent++
	req, err := http.NewRequestWithContext(ctx, c.kind.Method, "http://"+c.address(c)+uri, strings.NewReader(body))
	if err != nil {
		c.site.ledger.AddViolation("client: %v", err)
		return outcomeFailed, 0
	}
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Tenant", "somebody else")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(c.kind.Deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+c.key)
	if c.kind.Stream {
		own := 1 + c.rng.IntN(2*c.kind.OwnTokens)
		req.Header.Set("Model", "m")
		req.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", c.kind.SharedTokens+own, 64))
		req.Header.Set("Prompt-Prefix", fmt.Sprintf("%s,%s:%d", c.sharedParts(), id, own))
	}
	if c.kind.Stream {
		c.stream.setHeaders(req.Header)
	}
	c.site.ledger.AddRequest(id, c.account, c.kind.Method, uri, body, c.kind.Repeatable || c.kind.Resumable)
	resp, err := c.http.Do(req)
	if err != nil {
		return outcomeFailed, 0
	}
	defer resp.Body.Close()
	if err := httpresp.Check(resp); err != nil {
		c.site.ledger.AddViolation("request %s got a %v", id, err)
	}
	c.answerHeader, c.status = resp.Header, resp.StatusCode
	return c.checkAnswer(id, body, resp, started)
}

// sharedParts returns the prompt's parts but the last, with their tokens.
func (c *client) sharedParts() string {
	if len(c.parts) == 0 {
		return fmt.Sprintf("%s%x:%d", c.kind.Name, c.rng.IntN(c.kind.Prefixes), c.kind.SharedTokens)
	}
	parts := make([]string, len(c.parts))
	for i, id := range c.parts {
		parts[i] = fmt.Sprintf("%s:%d", id, c.kind.SharedTokens/len(c.parts))
	}
	return strings.Join(parts, ",")
}

// checkAnswer checks an answer against the one that the worker must send.
func (c *client) checkAnswer(id, sent string, resp *http.Response, started time.Time) (outcome, time.Duration) {
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		c.site.ledger.AddRefusal(id)
		reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReason))
		c.refusal = string(reason)
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return outcomeRefused, time.Duration(seconds * float64(time.Second))
	case http.StatusOK:
	default:
		_, _ = io.Copy(io.Discard, resp.Body)
		return outcomeFailed, 0
	}
	worker, _, _ := strings.Cut(resp.Header.Get("Response-Signature"), ".")
	if resp.Header.Get("Attempt-Id") != id {
		c.site.ledger.AddViolation("request %s got the answer to %s", id, resp.Header.Get("Attempt-Id"))
	}
	if c.kind.Stream {
		return c.checkStream(id, worker, resp, started)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcomeFailed, 0
	}
	want := PlainBody(id, []byte(sent))
	if string(body) != want || resp.Header.Get("Response-Signature") != Signature(worker, id, want) {
		c.site.ledger.AddViolation("request %s got %q, signed %q", id, body, resp.Header.Get("Response-Signature"))
	}
	return c.servedOutcome(started), 0
}

func (c *client) servedOutcome(started time.Time) outcome {
	if time.Since(started) > c.kind.Objective {
		return outcomeLate
	}
	return outcomeServed
}
