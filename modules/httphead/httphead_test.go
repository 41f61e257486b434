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

func TestPlainHead(t *testing.T) {
	h, ok := Parse([]byte(plain))
	if !ok || string(h.Path) != "/a/b" || string(h.Host) != "h.example" || h.ContentLength != 3 || h.Length != len(plain)-3 {
		t.Fatalf("%v, %+v", ok, h)
	}
	values := make([]string, 2)
	if ok := h.Get(values, "Authorization", "Nothing"); !ok || values[0] != "Bearer k" || values[1] != "" {
		t.Errorf("%q, %v", values, ok)
	}
}

// What could be understood in two ways, or ends a request in another way than by its
// length, is not plain.
func TestOtherHeadsAreNotPlain(t *testing.T) {
	for name, head := range map[string]string{
		"not whole":         "GET / HTTP/1.1\r\nHost: h\r\n",
		"no host":           "GET / HTTP/1.1\r\nA: b\r\n\r\n",
		"no field":          "GET / HTTP/1.1\r\n\r\n",
		"two hosts":         "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
		"old version":       "GET / HTTP/1.0\r\nHost: h\r\n\r\n",
		"chunked":           "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
		"two lengths":       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n",
		"signed length":     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\n",
		"list of lengths":   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\n",
		"no length":         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n",
		"folded line":       "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n",
		"blank before name": "GET / HTTP/1.1\r\nHost: h\r\n A: b\r\n\r\n",
		"blank after name":  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\n",
		"bare line feed":    "GET / HTTP/1.1\r\nHost: h\nContent-Length: 3\r\n\r\n",
		"bare return":       "GET / HTTP/1.1\r\nHost: h\rContent-Length: 3\r\n\r\n",
		"expects":           "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n",
		"closes":            "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"upgrades":          "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: x\r\n\r\n",
		"whole URL":         "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
		"escaped path":      "GET /%2e HTTP/1.1\r\nHost: h\r\n\r\n",
		"blank in path":     "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		if h, ok := Parse([]byte(head)); ok {
			t.Errorf("%s: taken for plain: %+v", name, h)
		}
	}
	if h, ok := Parse([]byte("GET / HTTP/1.1\r\nHost: h\r\nKey: a\r\nkey: b\r\n\r\n")); ok {
		if values := make([]string, 1); h.Get(values, "Key") {
			t.Errorf("a field that is there twice is %q", values[0])
		}
	}
}

// Where a head is plain, the standard library ends the request at the same byte.
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
			return // the library refuses more
		}
		if r.Host != string(h.Host) || r.URL.Path != string(h.Path) || r.ContentLength != h.ContentLength || len(r.TransferEncoding) > 0 {
			t.Fatalf("%+v, the library has %q %q %d", h, r.Host, r.URL.Path, r.ContentLength)
		}
		body, _ := io.ReadAll(r.Body)
		if int64(len(b)-h.Length) >= h.ContentLength && int64(len(body)) != h.ContentLength {
			t.Fatalf("the library reads a body of %d, not %d", len(body), h.ContentLength)
		}
	})
}
