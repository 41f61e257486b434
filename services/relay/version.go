// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"sync"
)

// ErrOtherConfiguration is returned for an unsent request if the other gateway has another configuration
// in force: it may lack the route or the key by which this gateway has admitted the request.
var ErrOtherConfiguration = errors.New("the gateway has another configuration")

// versionSize is the size in bytes of the version in a probe.
const versionSize = 8

// announcedVersion is the version of the configuration that the other end of a tunnel has announced. A
// process never returns to an older one, so that an old announcement is never too new.
type announcedVersion struct {
	mu       sync.Mutex
	version  uint64
	partial  []byte        // what has been read of an announcement, a byte more than a version at most
	first    chan struct{} // closed by the first announcement, or when the tunnel is closed
	isFirst  sync.Once
	observed func(version uint64) // called with each newer version; may be nil
}

// observe handles a piece of a probe. A gateway of an older release names no version, which counts as 0.
func (a *announcedVersion) observe(piece []byte, last bool) {
	a.partial = append(a.partial, piece[:min(len(piece), versionSize+1-len(a.partial))]...)
	if !last {
		return
	}
	version := uint64(0)
	if len(a.partial) == versionSize {
		version = binary.BigEndian.Uint64(a.partial)
	}
	a.partial = a.partial[:0]
	a.mu.Lock()
	newer := version > a.version
	a.version = max(a.version, version)
	a.mu.Unlock()
	a.isFirst.Do(func() { close(a.first) })
	if newer && a.observed != nil {
		a.observed(version)
	}
}

// is reports whether the other gateway has a version in force.
func (a *announcedVersion) is(version uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.version == version
}

// awaitVersion waits until the other gateway has announced its configuration.
func (t *tunnel) awaitVersion(ctx context.Context) error {
	if err := t.sendControl(kindProbe, 0); err != nil {
		return err
	}
	select {
	case <-t.configuration.first:
	case <-ctx.Done():
		return ctx.Err()
	}
	if t.isClosed() {
		return net.ErrClosed
	}
	return nil
}

// checkSend reports why a request must not be written to a tunnel now.
func (s *Service) checkSend(t *tunnel, check func() error) error {
	if !t.configuration.is(s.opts.Version()) {
		return ErrOtherConfiguration
	}
	return check()
}

// hasOtherVersion reports whether the gateway has announced another version than the given one. p may
// be nil.
func (p *peer) hasOtherVersion(version uint64) bool {
	if p == nil {
		return false
	}
	t := p.tunnel.Load()
	return t != nil && !t.isClosed() && !t.configuration.is(version)
}

// observeVersion handles the announcement of a newer configuration by a gateway.
func (s *Service) observeVersion(id string, version uint64) {
	s.log.Info("Gateway announced its configuration.", "peer", id, "version", version, "own", s.opts.Version())
	if s.opts.OnNewerVersion != nil {
		s.opts.OnNewerVersion(id, version)
	}
}

// AnnounceVersion tells the connected gateways the version of the configuration in force, if it has
// changed. It does not block.
func (s *Server) AnnounceVersion() {
	version := s.version()
	s.mu.Lock()
	defer s.mu.Unlock()
	if version == s.announced {
		return
	}
	s.announced = version
	for c := range s.conns {
		go c.sendVersion()
	}
}

func (s *Server) addConn(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
}

func (s *Server) removeConn(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// sendVersion sends a probe with the version of the configuration in force.
func (c *serverConn) sendVersion() {
	var b [HeaderSize + versionSize]byte
	putHeader(b[:], kindProbe, 0, versionSize)
	binary.BigEndian.PutUint64(b[HeaderSize:], c.s.version())
	_ = c.write(b[:]) // closes the connection if it fails
}
