// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package httpresp checks HTTP/1 responses for what net/http accepts although it makes them invalid.
package httpresp

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

const (
	statusDigits = 3
	minStatus    = 100
	maxStatus    = 599
)

// ErrMalformed reports a response that is not valid, so that neither its status nor its body can be relied on.
type ErrMalformed struct{ Reason string }

// Error implements error.
func (e ErrMalformed) Error() string { return "malformed response: " + e.Reason }

// IsErrMalformed reports whether err is an ErrMalformed.
func IsErrMalformed(err error) bool {
	var e ErrMalformed
	return errors.As(err, &e)
}

// Check returns an ErrMalformed if the head of a response is not valid. The response may be an interim one. If it has
// chunks, its Body fails at the end with an ErrMalformed if the trailer is not valid.
func Check(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return ErrMalformed{"version " + resp.Proto}
	}
	if err := checkStatus(resp.Status); err != nil {
		return err
	}
	if err := checkFields(resp.Header); err != nil {
		return err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &chunkedBody{resp.Body, resp}
	}
	return nil
}

// checkStatus checks a status code and its reason. The code is read from the text, since net/http accepts a sign.
func checkStatus(status string) error {
	digits, _, _ := strings.Cut(status, " ")
	code, err := strconv.ParseUint(digits, 10, 16)
	if err != nil || len(digits) != statusDigits || code < minStatus || code > maxStatus {
		return ErrMalformed{fmt.Sprintf("invalid status %q", digits)}
	}
	return nil
}

// checkFields checks the names of fields. Of the invalid ones, net/http accepts those with blanks.
func checkFields(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return ErrMalformed{fmt.Sprintf("blank in the field name %q", name)}
		}
	}
	return nil
}

// chunkedBody checks the trailer, which has been read once the body ends.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = cmp.Or(checkFields(b.resp.Trailer), io.EOF)
	}
	return n, err
}
