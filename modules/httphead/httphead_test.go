// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package httphead

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

const plain = "POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\nauthorization:  Bearer k \r\nContent-Length: 3\r\nConnection: Keep-Alive\r\n\r\nabc"

func TestParsePlainHead(t *testing.T) {
	h, ok := Parse([]byte(plain))
	if !ok || string(h.Path) != "/a/b" || string(h.Host) != "h.example" || h.ContentLength != 3 || h.Length != len(plain)-3 {
		t.Fatalf("Parse: got %+v, %v", h, ok)
	}
	values := make([]string, 2)
	if ok := h.Get(values, "Authorization", "Nothing"); !ok || values[0] != "Bearer k" || values[1] != "" {
		t.Errorf("Get: got %q, %v", values, ok)
	}
}

// Guards against request smuggling: heads that another parser may interpret differently.
func TestParseRejectsAmbiguousHeads(t *testing.T) {
	for name, head := range map[string]string{
		"incomplete":           "GET / HTTP/1.1\r\nHost: h\r\n",
		"no host":              "GET / HTTP/1.1\r\nA: b\r\n\r\n",
		"no header field":      "GET / HTTP/1.1\r\n\r\n",
		"two hosts":            "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
		"old version":          "GET / HTTP/1.0\r\nHost: h\r\n\r\n",
		"chunked":              "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
		"two lengths":          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n",
		"signed length":        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\n",
		"list of lengths":      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\n",
		"no length":            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n",
		"folded line":          "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n",
		"space before name":    "GET / HTTP/1.1\r\nHost: h\r\n A: b\r\n\r\n",
		"space after name":     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\n",
		"bare line feed":       "GET / HTTP/1.1\r\nHost: h\nContent-Length: 3\r\n\r\n",
		"bare carriage return": "GET / HTTP/1.1\r\nHost: h\rContent-Length: 3\r\n\r\n",
		"expect":               "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n",
		"connection close":     "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"upgrade":              "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: x\r\n\r\n",
		"absolute URL":         "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
		"escaped path":         "GET /%2e HTTP/1.1\r\nHost: h\r\n\r\n",
		"space in path":        "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		if h, ok := Parse([]byte(head)); ok {
			t.Errorf("%s: Parse accepted the head: %+v", name, h)
		}
	}
	if h, ok := Parse([]byte("GET / HTTP/1.1\r\nHost: h\r\nKey: a\r\nkey: b\r\n\r\n")); ok {
		if values := make([]string, 1); h.Get(values, "Key") {
			t.Errorf("Get accepted a repeated field: got %q", values[0])
		}
	}
}

// Accepted heads mean the same to net/http, which ends the request at the same byte.
func FuzzParse(f *testing.F) {
	f.Add([]byte(plain))
	f.Add([]byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\nGET /y HTTP/1.1\r\nHost: i\r\n\r\n"))
	f.Add([]byte(strings.ReplaceAll(plain, "3", "0")))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, ok := Parse(b)
		if !ok {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			return // net/http is stricter in some cases
		}
		if r.Host != string(h.Host) || r.URL.Path != string(h.Path) || r.ContentLength != h.ContentLength || len(r.TransferEncoding) > 0 {
			t.Fatalf("got %+v, net/http has host %q, path %q, length %d", h, r.Host, r.URL.Path, r.ContentLength)
		}
		body, _ := io.ReadAll(r.Body)
		if int64(len(b)-h.Length) >= h.ContentLength && int64(len(body)) != h.ContentLength {
			t.Fatalf("net/http reads a body of %d bytes, want %d", len(body), h.ContentLength)
		}
	})
}

// Guards against a value that is a copy, so that a change of it is lost.
func TestValueIsPartOfTheHead(t *testing.T) {
	raw := []byte("POST /x HTTP/1.1\r\nHost: h\r\ndeadline-ms:  1000 \r\nX: y\r\n\r\n")
	h, plain := Parse(raw)
	if !plain {
		t.Fatal("the head is not plain")
	}
	copy(h.Value("Deadline-Ms"), "0744")
	if want := "POST /x HTTP/1.1\r\nHost: h\r\ndeadline-ms:  0744 \r\nX: y\r\n\r\n"; string(raw) != want {
		t.Errorf("got %q, want %q", raw, want)
	}
	if v := h.Value("Absent"); v != nil {
		t.Errorf("absent field: got %q, want nil", v)
	}
}
