// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package result

import (
	"errors"
	"fmt"
	"time"
)

// ErrResult is an error with a numbered code. It unwraps to its cause.
type ErrResult struct {
	Code       Code
	Detail     string
	RetryAfter time.Duration // RetryAfter is zero where the caller need not wait.
	Ran        Ran           // Ran overrides the code's own value where set.
	Cause      error
}

// New returns an ErrResult with a formatted detail.
func New(code Code, format string, args ...any) *ErrResult {
	return &ErrResult{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an ErrResult around cause.
func Wrap(code Code, cause error) *ErrResult {
	return &ErrResult{Code: code, Detail: cause.Error(), Cause: cause}
}

// WithRetryAfter sets the time after which the caller may come back.
func (e *ErrResult) WithRetryAfter(d time.Duration) *ErrResult {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *ErrResult) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Detail)
}

// Unwrap returns the cause, which may be nil.
func (e *ErrResult) Unwrap() error { return e.Cause }

// Execution returns whether the work ran.
func (e *ErrResult) Execution() Ran {
	if e.Ran != "" {
		return e.Ran
	}
	return Lookup(e.Code).Ran
}

// IsErrResult reports whether err carries a numbered code.
func IsErrResult(err error) bool {
	_, ok := FromError(err)
	return ok
}

// FromError returns the ErrResult inside err.
func FromError(err error) (*ErrResult, bool) {
	var e *ErrResult
	ok := errors.As(err, &e)
	return e, ok
}

// Convert returns the ErrResult inside err, or an Internal one around it.
func Convert(err error) *ErrResult {
	if e, ok := FromError(err); ok {
		return e
	}
	return Wrap(Internal, err)
}
