// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"madderway/models/routing"
	"madderway/modules/netopt"
)

// noticeDialect also reads what a target says of itself.
type noticeDialect struct{ plainDialect }

func (noticeDialect) ReadAnswer(status int, h http.Header) AnswerInfo {
	v := plainDialect{}.ReadAnswer(status, h)
	v.Leaving = h.Get("Leaving") != ""
	if h.Get("Rest") != "" {
		v.RetryAfter.Delay = time.Second
	}
	return v
}

// Whatever kind of answer tells it, what a target says of itself is heard: an answer that comes
// late to an earlier request and a list of kept parts, too. An answer that another target has
// the address says nothing of the one that was asked.
func TestObserverSeesEachAnswer(t *testing.T) {
	head := func(status int, id string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nSigned: yes\r\nLeaving: 1\r\nRest: 1\r\nContent-Length: 2\r\n\r\n[]", status, id)
	}
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"success":     {head(200, "r"), 1},
		"bad request": {head(404, "r"), 1},
		"failure":     {head(500, "r"), 1},
		"refusal":     {head(503, "r"), 1},
		"late answer": {head(200, "earlier") + signedAnswer("r", "own"), 1},
		"moved":       {head(421, "r"), 0},
		"silence":     {signedAnswer("r", "own"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, func(int, int, string) scriptedAnswer { return scriptedAnswer{text: c.text, close: true} })
			heard := 0
			client := NewClient(NewPool(time.Second, 4, &netopt.Traffic{}), noticeDialect{}, func(target *routing.Target, v AnswerInfo) {
				if target.ID == "t" && v.Leaving && v.RetryAfter.Delay == time.Second {
					heard++
				}
			})
			if _, _, err := send(t, client, s, request("r", "")); err != nil {
				t.Fatal(err)
			}
			if heard != c.want {
				t.Errorf("heard %d times, want %d", heard, c.want)
			}
		})
	}
	t.Run("list of kept parts", func(t *testing.T) {
		s := startTarget(t, func(int, int, string) scriptedAnswer { return scriptedAnswer{text: head(200, ""), close: true} })
		heard := 0
		client := NewClient(NewPool(time.Second, 4, &netopt.Traffic{}), noticeDialect{}, func(*routing.Target, AnswerInfo) { heard++ })
		if _, err := client.CachedParts(context.Background(), s.target()); err != nil || heard != 1 {
			t.Errorf("heard %d times, %v", heard, err)
		}
	})
}

// A connection to a target that leaves is not kept for another request, whatever it says.
func TestConnectionToLeavingTargetIsNotReused(t *testing.T) {
	s := startTarget(t, func(_, n int, _ string) scriptedAnswer {
		return scriptedAnswer{text: fmt.Sprintf("HTTP/1.1 200 OK\r\nId: r%d\r\nSigned: yes\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", n)}
	})
	pool := NewPool(time.Second, 4, &netopt.Traffic{})
	client := NewClient(pool, noticeDialect{}, nil)
	if _, _, err := send(t, client, s, request("r0", "")); err != nil {
		t.Fatal(err)
	}
	if len(pool.idle) != 0 {
		t.Error("the connection was kept")
	}
}
