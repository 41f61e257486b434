// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is the network between one machine and another address: a proxy that can be partitioned. As on
// a network, bytes under way while it is partitioned arrive once it has healed.
type link struct {
	to string

	mu     sync.Mutex
	healed chan struct{} // closed while the link works
}

func newLink(to string) *link {
	l := &link{to: to, healed: make(chan struct{})}
	close(l.healed)
	return l
}

// listen starts the proxy and returns its address.
func (l *link) listen() (string, error) {
	in, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := in.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
	return in.Addr().String(), nil
}

// partition cuts the link both ways for a time.
func (l *link) partition(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	healed := make(chan struct{})
	l.healed = healed
	time.AfterFunc(d, func() { close(healed) })
}

func (l *link) wait() {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	<-healed
}

func (l *link) carry(from net.Conn) {
	defer from.Close()
	l.wait()
	to, err := net.Dial("tcp4", l.to)
	if err != nil {
		return
	}
	defer to.Close()
	done := make(chan struct{}, 2)
	copyAll := func(dst, src net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := src.Read(buffer)
			l.wait()
			if n > 0 {
				if _, err := dst.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				if err == io.EOF {
					_ = dst.(*net.TCPConn).CloseWrite()
				}
				break
			}
		}
		done <- struct{}{}
	}
	go copyAll(to, from)
	go copyAll(from, to)
	<-done
	<-done
}
