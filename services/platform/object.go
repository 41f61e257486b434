// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// ErrNotExist matches every ErrObjectNotExist in errors.Is.
var ErrNotExist = errors.New("not there")

// ErrObjectNotExist reports that an object is not in the store.
type ErrObjectNotExist struct{ Key string }

// Error implements error.
func (e ErrObjectNotExist) Error() string { return "no object " + e.Key }

// Unwrap returns ErrNotExist.
func (e ErrObjectNotExist) Unwrap() error { return ErrNotExist }

// IsErrObjectNotExist reports whether err is an ErrObjectNotExist.
func IsErrObjectNotExist(err error) bool {
	var e ErrObjectNotExist
	return errors.As(err, &e)
}

// ObjectInfo describes an object in a listing.
type ObjectInfo struct {
	Key      string    `json:"key"`
	Size     int64     `json:"size"`
	Modified time.Time `json:"modified"`
}

// Objects is the platform's object store.
type Objects interface {
	// Put writes an object. It is idempotent.
	Put(ctx context.Context, key string, content []byte) error
	// Get reads an object. If it is absent, the error is an ErrObjectNotExist.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete removes an object if it exists.
	Delete(ctx context.Context, key string) error
	// List returns the objects whose keys have the prefix.
	List(ctx context.Context, prefix string) ([]ObjectInfo, error)
}

// HTTPObjects is a client of an object store over HTTP.
type HTTPObjects struct {
	base   string
	client *http.Client
}

// NewHTTPObjects returns a client of the store at a base URL. The timeout bounds each call.
func NewHTTPObjects(base string, timeout time.Duration) *HTTPObjects {
	return &HTTPObjects{base, newClient(timeout)}
}

func (o *HTTPObjects) url(key string) string { return o.base + "/v1/objects/" + url.PathEscape(key) }

func (o *HTTPObjects) do(ctx context.Context, method, key string, content []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, o.url(key), bytes.NewReader(content))
	if err != nil {
		return ErrPlatform{"object store", err}
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return ErrPlatform{"object store", err}
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return ErrPlatform{"object store", fmt.Errorf("status %d", resp.StatusCode)}
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponse)); err != nil {
		return ErrPlatform{"object store", err}
	}
	return nil
}

// Put implements Objects.
func (o *HTTPObjects) Put(ctx context.Context, key string, content []byte) error {
	return o.do(ctx, http.MethodPut, key, content)
}

// Delete implements Objects.
func (o *HTTPObjects) Delete(ctx context.Context, key string) error {
	return o.do(ctx, http.MethodDelete, key, nil)
}

// Get implements Objects.
func (o *HTTPObjects) Get(ctx context.Context, key string) ([]byte, error) {
	content, status, err := get(ctx, o.client, o.url(key))
	switch {
	case err != nil:
		return nil, ErrPlatform{"object store", err}
	case status == http.StatusNotFound:
		return nil, ErrObjectNotExist{key}
	case status != http.StatusOK:
		return nil, ErrPlatform{"object store", fmt.Errorf("status %d", status)}
	}
	return content, nil
}

// List implements Objects.
func (o *HTTPObjects) List(ctx context.Context, prefix string) ([]ObjectInfo, error) {
	var infos []ObjectInfo
	err := getJSON(ctx, o.client, "object store", o.base+"/v1/list?prefix="+url.QueryEscape(prefix), &infos)
	return infos, err
}
