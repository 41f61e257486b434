// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package httpresp checks HTTP/1 responses for what net/http accepts although it makes them invalid.
package httpresp

import (
	"errors"
	"fmt"
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

// Check returns an ErrMalformed if the head of a response is not valid. The response may be an interim one.
func Check(resp *http.Response) error {
	return checkStatus(resp.Status)
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
