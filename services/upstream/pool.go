// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/httpresp"
	"madderway/modules/netopt"
	"madderway/modules/saturate"
)

const (
	readBuffer = 8 << 10
	// defaultKeepAlive is the time for which an idle connection is reused if the target states no
	// keep-alive timeout; otherwise it is keepAliveShare of that timeout.
	defaultKeepAlive = 4 * time.Second
	keepAliveShare   = 0.6
	// Shares of the timeout for requests that trust it, and for those of them that must not run
	// twice.
	trustedShare     = 0.8
	trustedShareOnce = 0.5
	noKeepAlive      = -1 // the target states no timeout
	// maxIdleOnce bounds the idle time of a connection for a request that must not run twice: if
	// the target has dropped the connection, the request is lost.
	maxIdleOnce = 1500 * time.Millisecond
)

type conn struct {
	net.Conn
	limiter   *headLimiter
	reader    *bufio.Reader // reads the connection by the limiter
	idleSince time.Time
	promised  time.Duration // keep-alive timeout that the target states, or noKeepAlive
	reused    bool
}

func newConn(c net.Conn) *conn {
	limiter := &headLimiter{r: c}
	return &conn{Conn: c, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBuffer), promised: noKeepAlive}
}

// maxIdle returns the idle time after which a request must not use the connection.
func (c *conn) maxIdle(r *Request) time.Duration {
	share, bound := keepAliveShare, time.Duration(maxKeepAlive)
	switch {
	case r.TrustKeepAlive && c.promised != noKeepAlive && r.MayRepeat:
		share = trustedShare
	case r.TrustKeepAlive && c.promised != noKeepAlive:
		share = trustedShareOnce
	case !r.MayRepeat:
		bound = maxIdleOnce
	}
	if c.promised == noKeepAlive {
		return min(defaultKeepAlive, bound)
	}
	return min(saturate.Duration(share*float64(c.promised)), bound)
}

// readHead reads the head of an answer to a request with this method. It skips interim answers.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.limiter.startHead()
	defer c.limiter.endHead()
	for {
		resp, err := c.readAnyHead(method)
		if err != nil {
			return nil, err
		}
		if hasTooManyFields(resp.Header) {
			return nil, errHeadTooManyLines
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("unasked change of protocol")
		}
	}
}

// readAnyHead reads a valid head of an answer, which may be an interim one.
func (c *conn) readAnyHead(method string) (*http.Response, error) {
	version, _ := c.reader.Peek(len(httpresp.OldVersion)) // an error is returned by the read that follows
	if string(version) == httpresp.OldVersion {
		read, _ := c.reader.Peek(c.reader.Buffered())
		c.limiter.capture(read)
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if err := httpresp.Check(resp); err != nil {
		return nil, err
	}
	return resp, httpresp.CheckOldHeads(c.limiter.captured)
}

// Pool holds the idle connections to all targets.
type Pool struct {
	dial     netopt.DialFunc
	clock    clock.Clock
	traffic  *netopt.Traffic
	counters connCounters

	mu      sync.Mutex
	idle    map[string][]*conn // by target ID, least recently used first
	maxIdle int
	dials   uint64
}

// NewPool returns a pool that keeps at most maxIdle connections to each target and counts their
// bytes in traffic.
func NewPool(dialTimeout time.Duration, maxIdle int, traffic *netopt.Traffic) *Pool {
	dial := netopt.ReportErrorsToRead(netopt.Dialer(dialTimeout).DialContext)
	return &Pool{dial: dial, clock: clock.System{}, traffic: traffic, counters: newConnCounters(), idle: map[string][]*conn{}, maxIdle: maxIdle}
}

// Prune closes the idle connections to targets that are leaving or not in the set.
func (p *Pool) Prune(targets *routing.TargetSet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, conns := range p.idle {
		if t := targets.Find(id); t != nil && !t.Leaving {
			continue
		}
		p.counters.pruned.Add(len(conns))
		for _, c := range conns {
			_ = c.Close()
		}
		delete(p.idle, id)
	}
}

// CloseIdle closes all idle connections. After a suspension of the process the targets may have
// dropped them, and a request that must not run twice would be lost.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, conns := range p.idle {
		p.counters.closedInStandstill.Add(len(conns))
		for _, c := range conns {
			_ = c.Close()
		}
		delete(p.idle, id)
	}
}

// Dials returns the number of connections opened.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// get returns an idle connection that still looks usable, or a new one.
func (p *Pool) get(ctx context.Context, t *routing.Target, r *Request) (*conn, error) {
	for {
		c := p.take(t.ID)
		if c == nil {
			return p.open(ctx, t)
		}
		if p.clock.Now().Sub(c.idleSince) >= c.maxIdle(r) {
			p.counters.expired.Inc()
			_ = c.Close()
			continue
		}
		if !isQuiet(c) {
			p.counters.closedByTarget.Inc()
			_ = c.Close()
			continue
		}
		p.counters.reused.Inc()
		c.reused = true
		return c, nil
	}
}

func (p *Pool) take(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[id]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[id] = conns[:len(conns)-1]
	return c
}

func (p *Pool) open(ctx context.Context, t *routing.Target) (*conn, error) {
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	raw, err := p.dial(ctx, "tcp4", t.Address)
	if err != nil {
		return nil, err
	}
	return newConn(p.traffic.Wrap(raw)), nil
}

func (p *Pool) put(id string, c *conn) {
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[id]
	if len(conns) >= p.maxIdle {
		p.counters.surplus.Inc()
		_ = conns[0].Close()
		conns = conns[1:]
	}
	p.idle[id] = append(conns, c)
}

// isQuiet reports whether nothing has arrived on an idle connection, neither data nor a close.
func isQuiet(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return netopt.Peek(c.Conn) == netopt.PeekEmpty
}
