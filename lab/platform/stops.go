// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// StopRounds stops a gateway process again and again, and sends requests at chosen moments of its grace.
type StopRounds struct {
	Site    *Site
	Grace   time.Duration
	Rounds  int
	Seed    uint64
	PerStop int // requests in each stop
	// Start and Stop ask for the start of the first gateway, and for SIGTERM to it.
	Start, Stop func()

	mu    sync.Mutex
	table map[StopCell]map[string]int
}

// StopCell selects requests of a table of stops.
type StopCell struct {
	Moment string // of the first byte
	Bytes  string // how the bytes arrive
	Kind   string // name of a kind of StopKinds
	Work   time.Duration
	Kept   bool // on a connection that was open before the stop
}

// Outcomes of requests in a stop.
const (
	stopServed  = "served"
	stopRefused = "refused" // as not run
	stopUnknown = "unknown" // answered that it may have run, or that its time is over
	stopBroken  = "broken"  // a begun answer was cut
	stopClosed  = "closed"  // no answer, and no worker ran it
	stopLost    = "lost"    // no answer, though a worker ran it
)

// StopOutcomes lists the outcomes in the order of the table.
var StopOutcomes = []string{stopServed, stopRefused, stopUnknown, stopBroken, stopClosed, stopLost}

// StopMoments are the shares of the grace at which requests arrive.
var StopMoments = []string{"begin", "half", "last fifth", "last tenth", "last 50 ms", "after"}

// StopArrivals are the ways in which the bytes of a request arrive.
var StopArrivals = []string{"whole", "head cut", "body cut"}

const (
	stopRestShare    = 0.4 // of the grace, from the first part of a request to the rest
	stopKeptTimeout  = 30 * time.Second
	stopHangingWork  = 60 * time.Second
	stopBodyLength   = 40
	stopProbePause   = 20 * time.Millisecond
	stopWarmRequests = 8
)

// StopKinds returns the kinds of requests of a table of stops: each with work much shorter than the grace,
// of about what is left of it, and longer. The last one outlasts each stop.
func StopKinds(grace time.Duration) []Kind {
	var out []Kind
	for _, work := range []time.Duration{grace / 40, grace / 2, grace * 5 / 4} {
		for _, k := range []Kind{
			{Name: "unsafe", Method: "POST"},
			{Name: "keyed", Method: "POST", Keyed: true},
			{Name: "safe", Method: "POST", Repeatable: true},
			{Name: "stream", Method: "POST", Stream: true, Resumable: true},
		} {
			k.Name = fmt.Sprintf("%s-%d", k.Name, work.Milliseconds())
			k.Path = "/" + k.Name + "/"
			k.Work, k.Objective, k.Deadline, k.Attempts = work, work+grace/8, 4*grace, 2
			out = append(out, k)
		}
	}
	return append(out, Kind{Name: "hanging", Path: "/hanging/", Method: "POST", Work: stopHangingWork, Objective: stopHangingWork, Deadline: 2 * stopHangingWork, Attempts: 1})
}

// Run plays the rounds and returns the table.
func (s *StopRounds) Run(ctx context.Context) (map[StopCell]map[string]int, error) {
	s.table = map[StopCell]map[string]int{}
	rng := rand.New(rand.NewPCG(s.Seed, 0))
	for range s.Rounds {
		if err := s.round(ctx, rng); err != nil {
			return s.table, err
		}
	}
	return s.table, nil
}

func (s *StopRounds) round(ctx context.Context, rng *rand.Rand) error {
	s.Start()
	if err := s.awaitServing(ctx, rng); err != nil {
		return err
	}
	var all, warm sync.WaitGroup
	kinds := s.Site.kinds()
	for _, k := range kinds[:len(kinds)-1] {
		for range stopWarmRequests {
			r := s.newRequest(rng, StopCell{Kind: k.Name, Work: k.Work})
			warm.Go(func() { _ = r.send(0, 0) })
		}
	}
	warm.Wait()
	requests := make([]*stopRequest, 0, s.PerStop)
	for range s.PerStop {
		k := kinds[rng.IntN(len(kinds)-1)]
		c := StopCell{StopMoments[rng.IntN(len(StopMoments))], StopArrivals[rng.IntN(len(StopArrivals))], k.Name, k.Work, rng.IntN(2) == 0}
		r := s.newRequest(rng, c)
		if c.Kept {
			first := s.newRequest(rng, StopCell{Kind: kinds[0].Name})
			warm.Go(func() { r.keep(first) })
		}
		requests = append(requests, r)
	}
	warm.Wait()
	hanging := s.newRequest(rng, StopCell{Moment: "before", Bytes: "whole", Kind: "hanging", Work: stopHangingWork})
	all.Go(func() { s.count(hanging.cell, hanging.send(0, 0)) })
	time.Sleep(stopProbePause)
	stopped := time.Now()
	s.Stop()
	for _, r := range requests {
		at := stopped.Add(s.momentOf(r.cell.Moment, rng))
		all.Go(func() { s.count(r.cell, r.send(time.Until(at), time.Duration(stopRestShare*float64(s.Grace)))) })
	}
	all.Wait()
	return nil
}

// momentOf returns the time since the signal of an arrival.
func (s *StopRounds) momentOf(moment string, rng *rand.Rand) time.Duration {
	share := func(from, to float64) time.Duration {
		return time.Duration((from + (to-from)*rng.Float64()) * float64(s.Grace))
	}
	switch moment {
	case "begin":
		return share(0, 0.1)
	case "half":
		return share(0.45, 0.55)
	case "last fifth":
		return share(0.8, 0.9)
	case "last tenth":
		return share(0.9, 1)
	case "last 50 ms":
		return s.Grace - time.Duration(rng.Int64N(int64(50*time.Millisecond)))
	default:
		return share(1, 1.1)
	}
}

func (s *StopRounds) count(c StopCell, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table[c] == nil {
		s.table[c] = map[string]int{}
	}
	s.table[c][outcome]++
}

// awaitServing waits until the gateway serves requests of each service.
func (s *StopRounds) awaitServing(ctx context.Context, rng *rand.Rand) error {
	for _, kind := range s.Site.kinds()[:4] { // the shortest of each
		for s.newRequest(rng, StopCell{Kind: kind.Name}).send(0, 0) != stopServed {
			select {
			case <-ctx.Done():
				return fmt.Errorf("the gateway does not serve: %w", ctx.Err())
			case <-time.After(stopProbePause):
			}
		}
	}
	return nil
}

// stopRequest is a request of a table of stops.
type stopRequest struct {
	site       *Site
	cell       StopCell
	id         string
	head, body string
	stream     bool
	conn       net.Conn
	reader     *bufio.Reader
}

func (s *StopRounds) newRequest(rng *rand.Rand, c StopCell) *stopRequest {
	kinds := s.Site.kinds()
	k := kinds[slices.IndexFunc(kinds, func(k Kind) bool { return k.Name == c.Kind })]
	r := &stopRequest{site: s.Site, cell: c, id: fmt.Sprintf("%016x", rng.Uint64()), body: strings.Repeat("b", stopBodyLength), stream: k.Stream}
	uri, account, extra := k.Path+"item", fmt.Sprint("account-", rng.IntN(s.Site.opts.Accounts)), ""
	if k.Keyed {
		extra = "Idempotency-Key: " + r.id + "\r\n"
	}
	if k.Stream {
		extra = fmt.Sprintf("Model: m\r\nToken-Usage: 200,16\r\nPrompt-Prefix: shared:100,%s:100\r\n", r.id)
	}
	r.head = fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer key-of-%s\r\nAttempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n", uri, host, account, r.id, extra, len(r.body))
	s.Site.ledger.AddRequest(r.id, account, "POST", uri, r.body, k.Repeatable || k.Resumable)
	return r
}

// keep opens the connection and sends another request on it first.
func (r *stopRequest) keep(first *stopRequest) {
	if first.send(0, 0) == stopServed {
		r.conn, r.reader = first.conn, first.reader
	}
}

// send sends the request after a while, in two parts that are pause apart if its bytes come slowly, and returns
// its outcome.
func (r *stopRequest) send(after, pause time.Duration) string {
	time.Sleep(after)
	text := r.head + r.body
	cut := len(text)
	switch r.cell.Bytes {
	case "head cut":
		cut = len(r.head) / 2
	case "body cut":
		cut = len(r.head) + len(r.body)/2
	}
	if r.conn == nil {
		conn, err := net.Dial("tcp4", r.site.gateways[0].setting.Callers)
		if err != nil {
			return stopClosed
		}
		r.conn, r.reader = conn, bufio.NewReader(conn)
	}
	_ = r.conn.SetDeadline(time.Now().Add(stopKeptTimeout))
	_, err := io.WriteString(r.conn, text[:cut])
	if err == nil && cut < len(text) {
		time.Sleep(pause)
		_, _ = io.WriteString(r.conn, text[cut:]) // an answer may have come before
	}
	return r.answer()
}

// answer reads the answer.
func (r *stopRequest) answer() string {
	resp, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		_ = r.conn.Close()
		if r.site.ledger.Ran(r.id) {
			return stopLost
		}
		return stopClosed
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if resp.Close || err != nil {
		_ = r.conn.Close()
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if err != nil || r.stream && !strings.Contains(string(body), " last ") {
			return stopBroken
		}
		return stopServed
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		r.site.ledger.AddRefusal(r.id)
		return stopRefused
	default:
		return stopUnknown
	}
}
