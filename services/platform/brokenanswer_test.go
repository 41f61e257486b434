// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"madderway/modules/httpresp/httpresptest"
)

// rawService sends a text to each request and closes the connection.
func rawService(t *testing.T, text string) (base string) {
	t.Helper()
	return "http://" + httpresptest.Serve(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, text)
	})
}

// brokenFormats are answers that are malformed or not whole, given the length of a body and the body.
var brokenFormats = map[string]string{
	"status 000":       "HTTP/1.1 000 S\r\nContent-Length: %d\r\n\r\n%s",
	"status 099":       "HTTP/1.1 099 S\r\nContent-Length: %d\r\n\r\n%s",
	"blank in name":    "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: %d\r\n\r\n%s",
	"blank of length":  "HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n%s",
	"blank in trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX-Y : 1\r\n\r\n",
	"cut length":       "HTTP/1.1 200 OK\r\nX-Length: %d\r\nContent-Length: 1000\r\n\r\n%s",
	"cut chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
}

// Guards against a broken answer that is taken for a commit, rows, an object, or the end of an object.
func TestBrokenAnswerIsNone(t *testing.T) {
	for name, format := range brokenFormats {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx := t.Context()
			base := func(body string) string { return rawService(t, fmt.Sprintf(format, len(body), body)) }
			if r := NewHTTPTable(base(`{"rows":[]}`), time.Minute).Commit(ctx, Tx{}); r.Outcome != OutcomeUnknown {
				t.Errorf("Commit: got outcome %v, want unknown", r.Outcome)
			}
			if r, err := NewHTTPTable(base(`{"version":1}`), time.Minute).Get(ctx, "k"); err == nil {
				t.Errorf("Get: got %+v", r)
			}
			if rows, err := NewHTTPTable(base(`[]`), time.Minute).Scan(ctx, "", "", 1); err == nil {
				t.Errorf("Scan: got %v", rows)
			}
			if vms, err := NewHTTPVMs(base(`[]`), time.Minute).List(ctx); err == nil {
				t.Errorf("VMs: got %v", vms)
			}
			if content, err := NewHTTPObjects(base("object"), time.Minute).Get(ctx, "k"); err == nil {
				t.Errorf("Get object: got %q", content)
			}
			if infos, err := NewHTTPObjects(base("[]"), time.Minute).List(ctx, ""); err == nil {
				t.Errorf("List: got %v", infos)
			}
			if err := NewHTTPObjects(base("{}"), time.Minute).Put(ctx, "k", []byte("object")); err == nil {
				t.Error("Put: the object counts as stored")
			}
			if err := NewHTTPObjects(base("{}"), time.Minute).Delete(ctx, "k"); err == nil {
				t.Error("Delete: the object counts as deleted")
			}
		})
	}
}
