// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import (
	"fmt"
	"net/http"
	"testing"

	"madderway/models/routing"
)

const ownFields = "Id: 1\r\nSigned: yes\r\n"

// otherAnswer follows a malformed one on its connection.
const otherAnswer = "HTTP/1.1 200 OK\r\n" + ownFields + "Content-Length: 5\r\n\r\nother"

// answersWith starts a target that sends a text to each request, after a whole answer if the connection is to be kept.
func answersWith(t *testing.T, text string, kept bool) *routing.Target {
	t.Helper()
	return cutTarget(t, text, kept, endByClose)
}

// expectMalformed checks that a text is no answer, on a new connection and on a kept one.
func expectMalformed(t *testing.T, text string) {
	t.Helper()
	for _, kept := range []bool{false, true} {
		target := answersWith(t, text, kept)
		c, pool := newClient()
		if kept {
			if _, body, err := sendTo(t, c, target, request("0", "")); err != nil || body != "whole" {
				t.Fatalf("first answer: %q, %v", body, err)
			}
		}
		status, body, err := sendTo(t, c, target, request("1", ""))
		if e, ok := AsErrExchange(err); status != 0 || !ok || !e.Sent {
			t.Errorf("%q, kept %t: got status %d, body %q, error %v; want an error that says that the request was sent", text, kept, status, body, err)
		}
		pool.CloseIdle()
	}
}

// Guards against an answer with an invalid status that reaches a caller, or after which the next answer on the
// connection does.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-20", "600", "601", "700", "999", "20", "2000", "0x2", "2 0", "\u0662\u0660", ""} {
		for name, text := range map[string]string{
			"length": "HTTP/1.1 " + status + " S\r\n" + ownFields + "Content-Length: 4\r\n\r\nbody",
			"chunks": "HTTP/1.1 " + status + " S\r\n" + ownFields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
			"close":  "HTTP/1.1 " + status + " S\r\n" + ownFields + "\r\nbody",
			"other":  "HTTP/1.1 " + status + " S\r\n" + ownFields + "\r\n" + otherAnswer,
			"bare":   "HTTP/1.1 " + status + "\r\n\r\n" + otherAnswer,
		} {
			t.Run(status+"/"+name, func(t *testing.T) {
				t.Parallel()
				expectMalformed(t, text)
			})
		}
	}
}

// Guards against refusing the statuses that an answer may have.
func TestValidStatusIsAnswer(t *testing.T) {
	for _, status := range []int{200, 204, 250, 299, 304, 400, 404, 499, 500, 503, 599} {
		target := answersWith(t, fmt.Sprintf("HTTP/1.1 %d\r\n%sContent-Length: 0\r\n\r\n", status, ownFields), false)
		c, _ := newClient()
		if got, _, err := sendTo(t, c, target, request("1", "")); err != nil || got != status {
			t.Errorf("got status %d, error %v; want %d", got, err, status)
		}
	}
	target := answersWith(t, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 199 S\r\n\r\n"+otherAnswer, false)
	c, _ := newClient()
	if status, body, err := sendTo(t, c, target, request("1", "")); err != nil || status != http.StatusOK || body != "other" {
		t.Errorf("after interim answers: got status %d, body %q, error %v", status, body, err)
	}
}
