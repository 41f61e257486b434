// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package engine

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a part of an answer that is taken for a whole one, because a long upload took the error of a
// reset from the reader.
func TestResetInUploadIsNeverWhole(t *testing.T) {
	const repetitions = 12
	address := cutServer(t, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart", func(c *net.TCPConn) { _ = c.SetLinger(0) })
	for _, size := range []int{64 << 10, 1 << 20, 4 << 20} {
		for _, once := range []bool{false, true} {
			t.Run(fmt.Sprintf("upload %d/once %t", size, once), func(t *testing.T) {
				t.Parallel()
				c := NewClient(time.Second)
				defer c.Close()
				for range repetitions {
					req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/a", strings.NewReader(strings.Repeat("x", size)))
					if err != nil {
						t.Fatal(err)
					}
					resp, err := c.Do(req, "t", once)
					if err != nil {
						continue
					}
					body, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					if err == nil {
						t.Errorf("got %q as a whole answer", body)
					}
				}
			})
		}
	}
}
