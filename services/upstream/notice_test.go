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

// noticeDialect also reads the fields that a target sends about itself.
type noticeDialect struct{ plainDialect }

func (noticeDialect) ReadAnswer(status int, h http.Header) AnswerInfo {
	v := plainDialect{}.ReadAnswer(status, h)
	v.Leaving = h.Get("Leaving") != ""
	if h.Get("Rest") != "" {
		v.RetryAfter.Delay = time.Second
	}
	return v
}

// Guards against an answer of any kind that does not reach the observer, and against a
// misdirected answer counted for the intended target.
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
		"misdirected": {head(421, "r"), 0},
		"no notice":   {signedAnswer("r", "own"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, func(int, int, string) scriptedAnswer { return scriptedAnswer{text: c.text, close: true} })
			observed := 0
			client := NewClient(NewPool(time.Second, 4, &netopt.Traffic{}), noticeDialect{}, func(target *routing.Target, v AnswerInfo) {
				if target.ID == "t" && v.Leaving && v.RetryAfter.Delay == time.Second {
					observed++
				}
			})
			if _, _, err := send(t, client, s, request("r", "")); err != nil {
				t.Fatal(err)
			}
			if observed != c.want {
				t.Errorf("observed %d answers, want %d", observed, c.want)
			}
		})
	}
	t.Run("list of cached parts", func(t *testing.T) {
		s := startTarget(t, func(int, int, string) scriptedAnswer { return scriptedAnswer{text: head(200, ""), close: true} })
		observed := 0
		client := NewClient(NewPool(time.Second, 4, &netopt.Traffic{}), noticeDialect{}, func(*routing.Target, AnswerInfo) { observed++ })
		if _, err := client.CachedParts(context.Background(), s.target()); err != nil || observed != 1 {
			t.Errorf("observed %d answers, error %v, want 1", observed, err)
		}
	})
}

// Guards against reuse of a connection to a leaving target whose answer does not close it.
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
		t.Error("connection was returned to the pool")
	}
}
