// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a gateway that outgrows its memory under bodies that are still being read, and against
// an account whose bodies shut out the others.
func TestBodiesBeingReadAreBounded(t *testing.T) {
	t.Parallel()
	for name, head := range map[string]string{
		"known length": fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<20),
		"in chunks":    "Transfer-Encoding: chunked\r\n\r\n100000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startSmallSite(t)
			const flood = 60 // of 1 MiB each, where all accounts may hold 71 MB
			address := s.gateways[0].setting.Callers
			part := strings.Repeat("x", 1<<20-1)
			statuses := make(chan int, flood)
			for range flood {
				c, err := net.Dial("tcp4", address)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(30 * time.Second))
				go func() {
					_, _ = io.WriteString(c, "POST /submit/x HTTP/1.1\r\nHost: site.example\r\n"+key+head+part)
				}()
				go func() {
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil {
						statuses <- 0
						return
					}
					_ = resp.Body.Close()
					statuses <- resp.StatusCode
				}()
			}
			if first := <-statuses; first != http.StatusTooManyRequests {
				t.Errorf("got status %d first, want some refused while the others are read", first)
			}
			s.ledger.AddRequest("other", "account-1", "POST", "/submit/x", "book", false)
			other := strings.Replace(key, "account-0", "account-1", 1)
			if got := sendRaw(t, s, "POST /submit/x HTTP/1.1\r\nHost: site.example\r\n"+other+"Attempt-Id: other\r\nContent-Length: 4\r\n\r\nbook"); got != http.StatusOK {
				t.Errorf("another account: got status %d, want 200", got)
			}
			for _, b := range s.ledger.Violations() {
				t.Error(b)
			}
		})
	}
}
