// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"

	"google.golang.org/protobuf/proto"

	"madderway/modules/wire"
)

// storeNode is the name of the store in a Network.
const storeNode = "store"

// Network stands in for the network between the gateways and the store: proxies whose links can be cut
// in each direction. Bytes sent while a link is cut arrive once it has healed.
type Network struct {
	mu        sync.Mutex
	cut       map[direction]bool
	changed   chan struct{} // closed and replaced when links heal
	closed    bool
	listeners []net.Listener
	conns     map[net.Conn]bool
}

// direction is one direction of a link.
type direction struct{ from, to string }

func newNetwork() *Network {
	return &Network{cut: map[direction]bool{}, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
}

// Cut holds back what one node sends to another.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[direction{from, to}] = true
}

// Heal restores all links.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = map[direction]bool{}
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Network) close() {
	n.Heal()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for c := range n.conns {
		_ = c.Close()
	}
}

// wait waits until a link works in a direction.
func (n *Network) wait(d direction) {
	for {
		n.mu.Lock()
		cut, changed := n.cut[d] && !n.closed, n.changed
		n.mu.Unlock()
		if !cut {
			return
		}
		<-changed
	}
}

// track adds a connection. It closes it and returns false if the network is closed.
func (n *Network) track(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = c.Close()
		return false
	}
	n.conns[c] = true
	return true
}

func (n *Network) end(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	_ = c.Close()
}

// linkStore opens the link of a gateway to the store and returns the address that the gateway dials.
func (n *Network) linkStore(gateway, store string) (string, error) {
	return n.listen("127.0.0.1:0", storeNode, store, func(net.Conn) (string, []byte, error) { return gateway, nil, nil })
}

// linkPeers opens the links of other gateways to one at the address that it advertises.
func (n *Network) linkPeers(gateway, advertised, peers string) error {
	_, err := n.listen(advertised, gateway, peers, readDialler)
	return err
}

// listen starts a proxy to the address of a node. It identifies who has dialled, which may read the
// first bytes of the connection.
func (n *Network) listen(at, node, address string, identify func(net.Conn) (dialler string, read []byte, err error)) (string, error) {
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.carry(c, node, address, identify)
		}
	}()
	return l.Addr().String(), nil
}

func (n *Network) carry(in net.Conn, node, address string, identify func(net.Conn) (string, []byte, error)) {
	if !n.track(in) {
		return
	}
	defer n.end(in)
	dialler, read, err := identify(in)
	if err != nil {
		return
	}
	n.wait(direction{dialler, node})
	out, err := net.Dial("tcp4", address)
	if err != nil || !n.track(out) {
		return
	}
	defer n.end(out)
	var both sync.WaitGroup
	both.Go(func() { n.pipe(out, io.MultiReader(bytes.NewReader(read), in), direction{dialler, node}, in) })
	both.Go(func() { n.pipe(in, out, direction{node, dialler}, out) })
	both.Wait()
}

// pipe copies one direction of a connection. It closes both ends if either fails.
func (n *Network) pipe(dst net.Conn, src io.Reader, d direction, source net.Conn) {
	const bufferSize = 64 << 10
	buffer := make([]byte, bufferSize)
	for {
		read, err := src.Read(buffer)
		n.wait(d)
		if read > 0 {
			if _, writeErr := dst.Write(buffer[:read]); writeErr != nil {
				err = writeErr
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = dst.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			_, _ = dst.Close(), source.Close()
			return
		}
	}
}

// readDialler returns the ID in the hello that begins each connection between gateways, and the bytes
// read.
func readDialler(c net.Conn) (string, []byte, error) {
	const maxHello = 4096
	var read bytes.Buffer
	r := oneByteReader{io.TeeReader(c, &read)}
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return "", nil, err
	}
	if size > maxHello {
		return "", nil, errors.New("no hello")
	}
	message := make([]byte, size)
	if _, err := io.ReadFull(r, message); err != nil {
		return "", nil, err
	}
	var hello wire.Hello
	if err := proto.Unmarshal(message, &hello); err != nil {
		return "", nil, err
	}
	return hello.Id, read.Bytes(), nil
}

// oneByteReader reads no more than it is asked for.
type oneByteReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (r oneByteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}
