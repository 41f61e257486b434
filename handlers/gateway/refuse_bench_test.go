// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"madderway/models/result"
	"madderway/modules/log"
	"madderway/modules/netopt"
	"madderway/platform"
)

// refuser refuses each request before its body is read, and keeps its connection open.
var refuser = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	h := &Handler{opts: Options{Dialect: platform.Dialect{}}}
	call := h.opts.Dialect.ReadCall(r.Header)
	h.refuse(w, call.ID, result.New(result.QueueFull, "the account asks for far more than it is given").WithRetryAfter(notReadyRetryAfter))
})

func benchmarkRefusal(b *testing.B, body int, kept, early bool) {
	l, err := netopt.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := NewServer(log.New("callers"), l, refuser, 100, &netopt.Traffic{})
	if early {
		s.SetEarlyAdmission(&keyAdmission{handler: &Handler{opts: Options{Dialect: platform.Dialect{}}}})
	}
	go func() { _ = s.Serve() }()
	defer s.Close()
	request := []byte(fmt.Sprintf("POST /v1/x HTTP/1.1\r\nHost: cuti99.example\r\nAttempt-Id: 6fb40d81ccd12cf7\r\nAuthorization: Bearer flood\r\nDeadline-Ms: 10000\r\nModel: m\r\nToken-Usage: 17020,15\r\nPrompt-Prefix: a1b2c3d4e5f60718:13300,b1b2c3d4e5f60718:3720\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", body, strings.Repeat("x", body)))
	answer := make([]byte, 4096)
	var c net.Conn
	b.ReportAllocs()
	for b.Loop() {
		if c == nil {
			if c, err = net.Dial("tcp4", l.Addr().String()); err != nil {
				b.Fatal(err)
			}
		}
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		if n, err := c.Read(answer); err != nil && err != io.EOF || n == 0 {
			b.Fatal(n, err)
		}
		if !kept {
			_ = c.Close()
			c = nil
		}
	}
}

// BenchmarkRefusal compares refusals by the HTTP server with early ones, including the
// client's side and the kernel.
func BenchmarkRefusal(b *testing.B) {
	for _, early := range []bool{false, true} {
		for _, kept := range []bool{true, false} {
			b.Run(fmt.Sprintf("early=%v/kept=%v/body=17000", early, kept), func(b *testing.B) { benchmarkRefusal(b, 17000, kept, early) })
		}
	}
}
