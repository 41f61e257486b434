// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peernet

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/libp2p/go-yamux/v5"
	"gopkg.in/tomb.v2"

	"madderway/modules/clock"
	"madderway/modules/netopt"
	"madderway/modules/ring"
	"madderway/modules/wire"
)

// The first byte of a stream is its kind.
const (
	streamFrames = 'F'
	streamCall   = 'C'
)

const (
	minRedialBackoff = 100 * time.Millisecond
	maxRedialBackoff = 2 * time.Second
)

// Link sends frames and calls to one peer. It dials on demand and redials with backoff.
type Link struct {
	t           *tomb.Tomb
	auth        *Auth
	meter       *Meter
	peerID      string
	dialTimeout time.Duration
	idleTimeout time.Duration
	frames      *ring.Ring[*wire.Frame]
	reconnect   reconnectState

	mu      sync.Mutex
	address string
	session *yamux.Session
	retryAt time.Time
	backoff time.Duration
	blocked bool
	lastErr error
}

// LinkOptions configures a Link.
type LinkOptions struct {
	Auth        *Auth
	Meter       *Meter
	PeerID      string // required ID of the peer, empty for any
	Address     string
	DialTimeout time.Duration
	QueueSize   int
	// IdleTimeout closes a connection after this time without a frame; 0 means never. In a
	// large fleet, a router rarely sends to most of the others.
	IdleTimeout time.Duration
}

// NewLink returns a link whose sending goroutine ends with the tomb.
func NewLink(t *tomb.Tomb, o LinkOptions) *Link {
	l := &Link{
		t: t, auth: o.Auth, meter: o.Meter, peerID: o.PeerID, address: o.Address, dialTimeout: o.DialTimeout, idleTimeout: o.IdleTimeout,
		frames: ring.New[*wire.Frame]("peer "+o.PeerID, o.QueueSize), backoff: minRedialBackoff,
	}
	t.Go(l.run)
	return l
}

// now returns the time including suspension of the machine.
func now() time.Time { return clock.System{}.Now() }

// Send queues a frame. It reports false if the queue is full and the frame is dropped.
func (l *Link) Send(f *wire.Frame) bool { return l.frames.TryPut(f) }

// State returns the state of the link's queue.
func (l *Link) State() ring.State { return l.frames.State() }

// SetAddress changes the address for the next dial; an empty one is ignored.
func (l *Link) SetAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address != "" && address != l.address {
		l.address, l.retryAt, l.backoff = address, time.Time{}, minRedialBackoff
	}
}

// Block blocks or unblocks the link; tests use it to partition routers.
func (l *Link) Block(blocked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blocked = blocked
	if blocked && l.session != nil {
		_ = l.session.Close()
		l.session = nil
	}
	l.retryAt = time.Time{}
}

func (l *Link) run() error {
	var stream *yamux.Stream
	var lastFrameAt time.Time
	var idle <-chan time.Time
	for {
		select {
		case <-l.t.Dying():
			l.close()
			return nil
		case f := <-l.frames.Out():
			stream = l.writeFrame(stream, f)
			lastFrameAt = now()
			if idle == nil && l.idleTimeout > 0 {
				idle = time.After(l.idleTimeout)
			}
		case <-idle:
			idle = nil
			if left := l.idleTimeout - now().Sub(lastFrameAt); left > 0 {
				idle = time.After(left)
				continue
			}
			if stream != nil {
				closeAfterRead(stream)
			}
			l.closeSession()
			stream = nil
		}
	}
}

// writeFrame writes a frame and returns the stream for the next one. A frame that
// cannot be written is lost; frames hold only state that is sent again.
func (l *Link) writeFrame(stream *yamux.Stream, f *wire.Frame) *yamux.Stream {
	if l.reconnect.newConnection.Load() {
		stream = nil
	}
	for range 2 {
		if stream == nil {
			var err error
			if stream, err = l.open(streamFrames); err != nil {
				return nil
			}
		}
		if err := writeMessage(stream, f); err == nil {
			return stream
		}
		l.closeSession()
		stream = nil
	}
	return nil
}

func (l *Link) open(kind byte) (*yamux.Stream, error) {
	session, err := l.connect()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	stream, err := session.OpenStream(ctx)
	if err != nil {
		l.closeSession()
		return nil, err
	}
	if _, err := stream.Write([]byte{kind}); err != nil {
		l.closeSession()
		return nil, err
	}
	return stream, nil
}

func (l *Link) connect() (*yamux.Session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reconnect.newConnection.Swap(false) && l.session != nil {
		_ = l.session.Close()
		l.session = nil
	}
	if l.reconnect.resetBackoff.Swap(false) {
		l.retryAt, l.backoff = time.Time{}, minRedialBackoff
	}
	if l.session != nil && !l.session.IsClosed() {
		return l.session, nil
	}
	if l.blocked {
		return nil, ErrHandshake{"the link is cut"}
	}
	if now().Before(l.retryAt) {
		return nil, l.lastErr
	}
	session, err := l.dial()
	l.reconnect.failing.Store(err != nil)
	if err != nil {
		l.lastErr = err
		l.retryAt = now().Add(l.backoff)
		l.backoff = min(2*l.backoff, maxRedialBackoff)
		return nil, err
	}
	l.session, l.backoff, l.retryAt = session, minRedialBackoff, time.Time{}
	return session, nil
}

func (l *Link) dial() (*yamux.Session, error) {
	ctx, end := l.reconnect.beginDial()
	defer end()
	conn, err := dialPeer(ctx, l.auth, l.meter, l.peerID, l.address, l.dialTimeout)
	if err != nil {
		return nil, err
	}
	return clientSession(conn)
}

// dialPeer connects to a peer and checks its ID; an empty id accepts any.
func dialPeer(ctx context.Context, auth *Auth, meter *Meter, id, address string, timeout time.Duration) (net.Conn, error) {
	conn, err := dialConn(ctx, auth, meter, address, timeout)
	if err != nil {
		return nil, err
	}
	peer, err := auth.clientHandshake(conn)
	if err == nil && id != "" && peer != id {
		err = ErrHandshake{"dialled " + id + ", met " + peer}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func dialConn(ctx context.Context, auth *Auth, meter *Meter, address string, timeout time.Duration) (net.Conn, error) {
	raw, err := netopt.Dialer(timeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn, err := auth.wrap(meteredConn{raw, meter}, true)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

func (l *Link) closeSession() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		_ = l.session.Close()
		l.session = nil
	}
}

func (l *Link) close() { l.closeSession() }

// Call sends a request on a new stream and waits for the reply, for callTimeout at most.
func (l *Link) Call(ctx context.Context, call *wire.Call) (*wire.Reply, error) {
	stream, err := l.open(streamCall)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(pastDeadline) })
	defer stop()
	if err := writeMessage(stream, call); err != nil {
		return nil, err
	}
	reply := &wire.Reply{}
	if err := readMessage(bufio.NewReader(stream), reply); err != nil {
		return nil, err
	}
	return reply, nil
}
