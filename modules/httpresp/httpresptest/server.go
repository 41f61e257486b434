// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package httpresptest has a server for tests whose responses need not be valid.
package httpresptest

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// Serve starts a server that reads the head of one request on each connection, passes both to answer and closes the connection
// then. It returns the server's address and ends with the test.
func Serve(t testing.TB, answer func(c *net.TCPConn, r *http.Request)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return l.Addr().String()
}
