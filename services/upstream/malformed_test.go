// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
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

// brokenLines are no fields, in a head or a trailer.
var brokenLines = map[string]string{
	"blank before the colon":  "X-Y : 1",
	"blanks before the colon": "X-Y   : 1",
	"blank in the name":       "X Y: 1",
	"blank of the length":     "Content-Length : 2",
	"blank of the encoding":   "Transfer-Encoding : chunked",
	"blank of the signature":  "Signed : no",
	"tab before the colon":    "X-Y\t: 1",
	"tab in the name":         "X\tY: 1",
	"no-break space":          "X\u00a0Y: 1",
	"NUL in the name":         "X\x00Y: 1",
	"CR in the name":          "X\rY: 1",
	"bell in the name":        "X\aY: 1",
	"DEL in the name":         "X\x7fY: 1",
	"separator in the name":   "X(Y): 1",
	"empty name":              ": 1",
	"no colon":                "X-Y 1",
	"NUL in the value":        "X-Y: 1\x002",
	"CR in the value":         "X-Y: 1\r2",
	"bell in the value":       "X-Y: 1\a2",
	"DEL in the value":        "X-Y: 1\x7f2",
}

// brokenFraming are fields that do not tell where a body ends.
var brokenFraming = map[string]string{
	"two lengths":        "Content-Length: 4\r\nContent-Length: 5",
	"length with a sign": "Content-Length: +4",
	"negative length":    "Content-Length: -4",
	"unknown encoding":   "Transfer-Encoding: gzip",
	"two encodings":      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
}

func brokenFields() map[string]string {
	fields := maps.Clone(brokenLines)
	maps.Copy(fields, brokenFraming)
	return fields
}

// Guards against an answer with a broken field in its head that reaches a caller, with that line or with a body that is not
// the target's.
func TestBrokenFieldIsNoAnswer(t *testing.T) {
	for name, line := range brokenFields() {
		for _, status := range earlyStatuses {
			for _, first := range []bool{true, false} {
				fields := ownFields + line + "\r\n"
				if first {
					fields = line + "\r\n" + ownFields
				}
				for framing, rest := range map[string]string{
					"length": "Content-Length: 4\r\n\r\nbody",
					"chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
					"close":  "\r\n4\r\nbody\r\n0\r\n\r\n",
				} {
					t.Run(fmt.Sprintf("%s/%s/%s/first %t", name, status, framing, first), func(t *testing.T) {
						t.Parallel()
						expectMalformed(t, "HTTP/1.1 "+status+"\r\n"+fields+rest)
					})
				}
			}
		}
	}
}

// Guards against an answer after an interim one with a broken field, which shows that the connection's bytes are not the
// target's answers.
func TestBrokenFieldOfInterimAnswerIsNoAnswer(t *testing.T) {
	for name, line := range brokenFields() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expectMalformed(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\n"+otherAnswer)
		})
	}
}

// Guards against an answer that is taken for a whole one although what follows its last chunk is no trailer.
func TestBrokenTrailerIsNoEnd(t *testing.T) {
	for name, line := range brokenLines {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := answersWith(t, "HTTP/1.1 200 OK\r\n"+ownFields+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+line+"\r\n\r\n", false)
			c, _ := newClient()
			if status, body, err := sendTo(t, c, target, request("1", "")); err == nil {
				t.Errorf("got status %d and body %q as a whole answer", status, body)
			}
		})
	}
}

// Guards against refusing a folded field, which is read as one line, and trailers.
func TestFoldedFieldAndTrailersAreSound(t *testing.T) {
	target := answersWith(t, "HTTP/1.1 200 OK\r\nX-Y: 1,\r\n \t2\r\n"+ownFields+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSum: 7\r\n\r\n", false)
	c, _ := newClient()
	a, err := c.Send(t.Context(), target, request("1", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	if body, err := io.ReadAll(a.Body); err != nil || string(body) != "body" {
		t.Errorf("got body %q, error %v", body, err)
	}
	if got := a.Header["X-Y"]; !slices.Equal(got, []string{"1, 2"}) {
		t.Errorf("got field %q", got)
	}
	expectMalformed(t, "HTTP/1.1 200 OK\r\n X-Y: 1\r\n"+ownFields+"Content-Length: 4\r\n\r\nbody")
}

// Guards against an answer in another protocol that reaches a caller, read as HTTP/1.1.
func TestOtherVersionIsNoAnswer(t *testing.T) {
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/3.0", "HTTP/1", "HTTP/1.10", "HTTP/11", "http/1.1", "SIP/2.0", ""} {
		for _, status := range earlyStatuses {
			t.Run(version+"/"+status, func(t *testing.T) {
				t.Parallel()
				expectMalformed(t, version+" "+status+"\r\n"+ownFields+"Content-Length: 4\r\n\r\nbody")
			})
		}
	}
}

// Guards against chunk sizes that reach a caller as part of a body, since HTTP/1.0 has no chunks.
func TestChunksOfOldVersionAreNoAnswer(t *testing.T) {
	const chunks = "4\r\nbody\r\n0\r\n\r\n"
	long := strings.Repeat("X-Y: 1\r\n", 100) + "X-Z: " + strings.Repeat("z", 2*readBuffer) + "\r\n"
	for name, fields := range map[string]string{
		"last field":    ownFields + "Transfer-Encoding: chunked\r\n",
		"first field":   "Transfer-Encoding: chunked\r\n" + ownFields,
		"lower case":    "transfer-encoding:chunked\r\n" + ownFields,
		"with length":   "Transfer-Encoding: chunked\r\nContent-Length: 14\r\n" + ownFields,
		"long head":     long + "Transfer-Encoding: chunked\r\n" + ownFields,
		"other coding":  "Transfer-Encoding: identity\r\n" + ownFields,
		"kept alive":    "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n" + ownFields,
		"lines end LF":  "Transfer-Encoding: chunked\n" + ownFields,
		"folded before": "X-Y: 1\r\n 2\r\nTransfer-Encoding: chunked\r\n" + ownFields,
	} {
		for _, status := range earlyStatuses {
			t.Run(name+"/"+status, func(t *testing.T) {
				t.Parallel()
				expectMalformed(t, "HTTP/1.0 "+status+"\r\n"+fields+"\r\n"+chunks)
				expectMalformed(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 "+status+"\r\n"+fields+"\r\n"+chunks)
			})
		}
	}
}

// Guards against refusing sound answers of HTTP/1.0, and of HTTP/1.1 with both a length and chunks, which end by their chunks.
func TestSoundVersionsAndFramingsAreAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"1.0, length":     "HTTP/1.0 200 OK\r\n" + ownFields + "Content-Length: 4\r\n\r\nbody",
		"1.0, close":      "HTTP/1.0 200 OK\r\n" + ownFields + "\r\nbody",
		"1.0, long head":  "HTTP/1.0 200 OK\r\n" + ownFields + "X-Y: " + strings.Repeat("y", 2*readBuffer) + "\r\n\r\nbody",
		"1.0, in a value": "HTTP/1.0 200 OK\r\n" + ownFields + "X-Y: Transfer-Encoding: chunked\r\n\r\nbody",
		"1.9":             "HTTP/1.9 200 OK\r\n" + ownFields + "Content-Length: 4\r\n\r\nbody",
		"both":            "HTTP/1.1 200 OK\r\n" + ownFields + "Content-Length: 14\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newClient()
			a, err := c.Send(t.Context(), answersWith(t, text, false), request("1", ""))
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			if body, err := io.ReadAll(a.Body); err != nil || string(body) != "body" {
				t.Errorf("got body %q, error %v", body, err)
			}
			if name == "both" && a.Header.Get("Content-Length") != "" {
				t.Error("the length of the chunks is passed on as that of the body")
			}
		})
	}
}

// Guards against a list of cached parts that is read from an answer that is malformed or not whole.
func TestBrokenListOfCachedPartsIsNone(t *testing.T) {
	const list = "[]"
	for name, text := range map[string]string{
		"status":      "HTTP/1.1 000 S\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + list,
		"field":       "HTTP/1.1 200 OK\r\nX-Y : 1\r\n\r\n" + list,
		"trailer":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n" + list + "\r\n0\r\nX-Y : 1\r\n\r\n",
		"version":     "HTTP/2.0 200 OK\r\n\r\n" + list,
		"old version": "HTTP/1.0 200 OK\r\nTransfer-Encoding: identity\r\n\r\n" + list,
		"cut chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n" + list + "\r\n",
		"cut length":  "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" + list,
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newClient()
			if parts, err := c.CachedParts(t.Context(), answersWith(t, text, false)); err == nil {
				t.Errorf("got %v as a list", parts)
			}
		})
	}
	c, _ := newClient()
	if _, err := c.CachedParts(t.Context(), cutTarget(t, "HTTP/1.1 200 OK\r\n\r\n"+list, false, endByReset)); err == nil {
		t.Error("got a list from an answer whose connection was reset")
	}
	if _, err := c.CachedParts(t.Context(), answersWith(t, "HTTP/1.1 200 OK\r\n\r\n"+list, false)); err != nil {
		t.Errorf("sound list: %v", err)
	}
}
