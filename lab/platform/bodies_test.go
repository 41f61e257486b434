// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"madderway/handlers/api"
	"madderway/models/result"
)

// bodiesWatchdog ends a test whose gateway does not decide.
const bodiesWatchdog = time.Minute

// Guards against a gateway that outgrows its memory under bodies that are still being read, and against
// an account whose bodies shut out the others.
func TestBodiesBeingReadAreBounded(t *testing.T) {
	t.Parallel()
	for name, head := range map[string]string{
		"known length": fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<20),
		"in chunks":    "Transfer-Encoding: chunked\r\n\r\n100000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			o := SmallSite(5, time.Second)
			o.HeaderTimeout, o.RouteTimeout = time.Hour, time.Hour // a body that is not refused is read until the test ends
			s := startSite(t, o)
			const flood = 60 // of 1 MiB each, where all accounts may hold 71 MB
			part := strings.Repeat("x", 1<<20-1)
			statuses := make(chan int, flood)
			ctx, cancel := context.WithTimeout(t.Context(), bodiesWatchdog)
			defer cancel()
			var senders sync.WaitGroup
			t.Cleanup(senders.Wait)
			for range flood {
				senders.Go(func() {
					statuses <- sendUntilDecided(ctx, s, "POST /submit/x HTTP/1.1\r\nHost: site.example\r\n"+key+head+part)
				})
			}
			if first := <-statuses; first != http.StatusTooManyRequests {
				t.Errorf("got status %d first, want some refused while the others are read", first)
			}
			s.ledger.AddRequest("other", "account-1", "POST", "/submit/x", "book", false)
			other := strings.Replace(key, "account-0", "account-1", 1)
			if got := sendUntilDecided(ctx, s, "POST /submit/x HTTP/1.1\r\nHost: site.example\r\n"+other+"Attempt-Id: other\r\nContent-Length: 4\r\n\r\nbook"); got != http.StatusOK {
				t.Errorf("another account: got status %d, want 200", got)
			}
			for _, b := range s.ledger.Violations() {
				t.Error(b)
			}
		})
	}
}

// sendUntilDecided sends bytes to a gateway, again after each refusal for a standstill or a lack of
// processor time, and returns the status of the first other answer, or 0 if the connection ends without
// one or ctx is done.
func sendUntilDecided(ctx context.Context, s *Site, text string) int {
	for {
		status, refusal := exchangeRaw(ctx, s.gateways[0].setting.Callers, text)
		if status != http.StatusServiceUnavailable || refusal.Code != result.NotReady && refusal.Code != result.Overloaded {
			return status
		}
		select {
		case <-time.After(time.Duration(refusal.RetryAfterMS) * time.Millisecond):
		case <-ctx.Done():
			return 0
		}
	}
}

// exchangeRaw sends bytes on a new connection and returns the status of the first answer, or 0 if the
// connection ends without one, and what a refusal says.
func exchangeRaw(ctx context.Context, address, text string) (int, api.Error) {
	c, err := new(net.Dialer).DialContext(ctx, "tcp4", address)
	if err != nil {
		return 0, api.Error{}
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	go func() { _, _ = io.WriteString(c, text) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, api.Error{}
	}
	defer resp.Body.Close()
	var refusal api.ErrorBody
	if resp.StatusCode != http.StatusOK {
		_ = json.NewDecoder(resp.Body).Decode(&refusal)
	}
	return resp.StatusCode, refusal.Error
}
