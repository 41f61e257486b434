package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case. Work, aim and deadline are those of slot-confirm of haddad-cal.
const (
	stopGateways = 6
	stopClients  = 5400 // each with a kept connection
	stopPauseMin = 2 * time.Second
	stopPauseMax = 9 * time.Second // four fifths of idleTimeoutMs are 12 s
	stopWork     = 15 * time.Millisecond
	stopDeadline = 1500 * time.Millisecond
	stopLength   = 84 * time.Second // of the stops
	graceTime    = 8 * time.Second
	atOnce       = 2           // gateways that are stopped at a time
	rollPause    = time.Second // between the start of a gateway and the stop of the next
	newConnShare = 0.15        // of the requests after which a client opens a new connection
)

// balancer gives new connections to the gateways that are in: two questions in a row without a 200
// take one out, a 200 brings it back.
type balancer struct {
	mu     sync.Mutex
	missed map[*gateway]int
	all    []*gateway
}

func (b *balancer) run(stop <-chan struct{}) {
	for {
		for _, g := range b.all {
			ready := g.isReady()
			b.mu.Lock()
			if b.missed[g]++; ready {
				b.missed[g] = 0
			}
			b.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

func (b *balancer) choose() *gateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*gateway
	for _, g := range b.all {
		if b.missed[g] < 2 {
			in = append(in, g)
		}
	}
	if len(in) == 0 {
		in = b.all
	}
	return in[rand.IntN(len(in))]
}

// stops records when gateways got SIGTERM.
type stops struct {
	mu sync.Mutex
	at map[*gateway]time.Time
}

func (s *stops) set(g *gateway) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[g] = time.Now()
}

// planned reports whether a request ended while its gateway was being stopped, and how long after
// the signal.
func (s *stops) planned(g *gateway, ended time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.at[g]
	since := ended.Sub(at)
	return since, ok && since >= 0 && since <= graceTime+time.Second
}

type stopCounts struct{ sent, answered, refused, unread, lost, broken atomic.Int64 }

// stopClient sends slot confirmations, with pauses, on a connection that it keeps for a while.
func (r *run) stopClient(number int, b *balancer, s *stops, worker *bookingWorker, stop <-chan struct{}, n *stopCounts) {
	random := rand.New(rand.NewPCG(uint64(number), 71))
	var conn net.Conn
	var reader *bufio.Reader
	var at *gateway
	for i := 0; ; i++ {
		pause := stopPauseMin + time.Duration(random.Float64()*float64(stopPauseMax-stopPauseMin))
		if i == 0 {
			pause = time.Duration(random.Float64() * float64(stopPauseMax))
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		if conn != nil && isClosed(conn, reader) {
			_ = conn.Close()
			conn = nil
		}
		if conn == nil {
			at = b.choose()
			c, err := net.DialTimeout("tcp4", at.callers, time.Second)
			if err != nil {
				continue
			}
			conn, reader = c, bufio.NewReader(c)
		}
		attempt := fmt.Sprintf("%04x%08x", number, i)
		n.sent.Add(1)
		status, closes, err := confirmOnce(conn, reader, attempt, i)
		if err == nil {
			if status == http.StatusOK {
				n.answered.Add(1)
			} else {
				n.refused.Add(1)
			}
		} else {
			r.countUnanswered(attempt, at, s, worker, err, n)
		}
		if err != nil || closes || random.Float64() < newConnShare {
			_ = conn.Close()
			conn = nil
		}
	}
}

// isClosed reports whether the other side has closed a connection at rest.
func isClosed(conn net.Conn, reader *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := reader.Peek(1)
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

// confirmOnce sends one request and reads its whole answer.
func confirmOnce(conn net.Conn, reader *bufio.Reader, attempt string, i int) (status int, closes bool, err error) {
	_ = conn.SetDeadline(time.Now().Add(stopDeadline))
	_, err = fmt.Fprintf(conn, "POST /slot/%d HTTP/1.1\r\nHost: counter.example\r\nAttempt-Id: %s\r\nAuthorization: Bearer key-of-salon\r\nDeadline-Ms: %d\r\nContent-Length: 4\r\n\r\nbook",
		i, attempt, stopDeadline.Milliseconds())
	if err != nil {
		return 0, true, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, true, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, true, err
	}
	return resp.StatusCode, resp.Close, nil
}

// countUnanswered judges a request whose connection ended without a whole answer.
func (r *run) countUnanswered(attempt string, at *gateway, s *stops, worker *bookingWorker, err error, n *stopCounts) {
	ended := time.Now()
	time.Sleep(100 * time.Millisecond) // it may be on its way to the worker
	since, planned := s.planned(at, ended)
	_, ran := worker.begun.Load(attempt)
	switch {
	case !ran:
		n.unread.Add(1)
	case planned && !strings.Contains(err.Error(), "timeout"):
		n.lost.Add(1)
		r.note("LOST: attempt %s at %s was run by the worker, and its connection ended without an answer %d ms after SIGTERM: %v", attempt, at.name, since.Milliseconds(), err)
	default:
		n.broken.Add(1)
		r.note("attempt %s at %s was run by the worker and ended without an answer, not beside a stop: %v", attempt, at.name, err)
	}
}

// roll stops and starts every step-th gateway in turn, from the first one on, until the end.
func (r *run) roll(s *stops, first, step int, stop <-chan struct{}) error {
	for i := first; ; i += step {
		select {
		case <-stop:
			return nil
		case <-time.After(rollPause):
		}
		g := r.gateways[i%len(r.gateways)]
		s.set(g)
		r.note("%s gets SIGTERM", g.name)
		_ = syscall.Kill(g.pid(), syscall.SIGTERM)
		select {
		case <-g.exited:
		case <-time.After(graceTime):
			r.note("%s gets SIGKILL", g.name)
			g.kill()
		}
		time.Sleep(200 * time.Millisecond)
		if err := g.start(); err != nil {
			return err
		}
	}
}

// stopCase stops and starts the gateways in turn, while clients send requests on connections that they
// keep. Without the disruption no gateway is stopped.
func stopCase(r *run) int {
	r.putBodiesConfig()
	worker, err := r.startBookingWorker("i-booking-1", "abdali-hall", stopWork)
	if err != nil {
		return r.fail("%v", err)
	}
	if err := r.startGateways(stopGateways); err != nil {
		return r.fail("%v", err)
	}
	time.Sleep(3 * time.Second)
	var n stopCounts
	s, b := &stops{at: map[*gateway]time.Time{}}, &balancer{missed: map[*gateway]int{}, all: r.gateways}
	stop, stopRoll := make(chan struct{}), make(chan struct{})
	var open sync.WaitGroup
	go b.run(stop)
	for client := range stopClients {
		open.Add(1)
		go func() {
			defer open.Done()
			r.stopClient(client, b, s, worker, stop, &n)
		}()
	}
	time.Sleep(4 * time.Second)
	rolled := make(chan error, atOnce)
	for first := range atOnce {
		go func() {
			if !r.trouble {
				rolled <- nil
				return
			}
			rolled <- r.roll(s, first, atOnce, stopRoll)
		}()
	}
	time.Sleep(stopLength)
	close(stopRoll)
	for range atOnce {
		if err := <-rolled; err != nil {
			return r.fail("%v", err)
		}
	}
	close(stop)
	open.Wait()
	r.note("slot confirmations: %d sent, %d answered, %d refused, %d not read by a gateway", n.sent.Load(), n.answered.Load(), n.refused.Load(), n.unread.Load())
	r.note("run by the worker and ended without an answer: %d beside a planned stop, %d at other times", n.lost.Load(), n.broken.Load())
	switch {
	case n.answered.Load() < stopClients:
		return r.fail("too little traffic")
	case n.lost.Load() > 0:
		r.note("LOST is broken")
		return ruleBroken
	default:
		r.note("LOST held")
		return ruleHeld
	}
}
