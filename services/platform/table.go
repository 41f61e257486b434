// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package platform has the clients of the platform's table, object store and VM list. Callers use
// the interfaces, so that tests can replace the clients by fakes.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"madderway/modules/httpresp"
	"madderway/modules/netopt"
)

// Outcome is the outcome of a transaction.
type Outcome uint8

// Outcomes of a transaction.
const (
	OutcomeOK          Outcome = iota + 1
	OutcomeConflict            // a condition did not hold; nothing was written
	OutcomeUnknown             // the answer was lost; the transaction may have taken effect or may still do so
	OutcomeUnavailable         // the transaction did not and will not take effect
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"none", "ok", "conflict", "unknown", "unavailable"}[o]
}

// Condition requires that a row has the version; 0 requires that the row is absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Row is a row of the table; version 0 means that the row is absent.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Tx is a transaction. It takes effect as a whole if all conditions hold, else not at all.
type Tx struct {
	Conditions []Condition `json:"conditions"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// TxResult is the result of a transaction. Rows holds the written rows after OutcomeOK, and the
// current rows of the conditions after OutcomeConflict.
type TxResult struct {
	Outcome Outcome `json:"-"`
	Rows    []Row   `json:"rows"`
}

// Row returns the row with the key, or an absent one.
func (r TxResult) Row(key string) Row {
	for _, row := range r.Rows {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}

// ErrUnavailable matches every ErrPlatform in errors.Is.
var ErrUnavailable = errors.New("platform unavailable")

// ErrPlatform reports that a service of the platform gave no usable answer.
type ErrPlatform struct {
	Service string
	Cause   error
}

// Error implements error.
func (e ErrPlatform) Error() string { return e.Service + ": " + e.Cause.Error() }

// Unwrap returns ErrUnavailable.
func (e ErrPlatform) Unwrap() error { return ErrUnavailable }

// IsErrPlatform reports whether err is an ErrPlatform.
func IsErrPlatform(err error) bool {
	var e ErrPlatform
	return errors.As(err, &e)
}

// Table is the platform's transactional table.
type Table interface {
	// Commit runs a transaction. Failures are reported by the outcome.
	Commit(ctx context.Context, tx Tx) TxResult
	// Get reads a row. If it is absent, its version is 0.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows in the order of their keys, which have the prefix and are
	// greater than after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

const maxResponse = 32 << 20 // bytes

// HTTPTable is a client of a table over HTTP and JSON.
type HTTPTable struct {
	base   string
	client *http.Client
}

// NewHTTPTable returns a client of the table at a base URL. The timeout bounds each call.
func NewHTTPTable(base string, timeout time.Duration) *HTTPTable {
	return &HTTPTable{base, newClient(timeout)}
}

func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: httpresp.Transport(&http.Transport{
		MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, DisableCompression: true, MaxResponseHeaderBytes: netopt.MaxResponseHead,
	})}
}

// Commit implements Table.
func (t *HTTPTable) Commit(ctx context.Context, tx Tx) TxResult {
	body, err := json.Marshal(tx)
	if err != nil {
		return TxResult{Outcome: OutcomeUnavailable}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.base+"/v1/tx", bytes.NewReader(body))
	if err != nil {
		return TxResult{Outcome: OutcomeUnavailable}
	}
	// Without GetBody the HTTP client cannot retry the request by itself.
	req.GetBody = nil
	resp, err := t.client.Do(req)
	if err != nil {
		return TxResult{Outcome: outcomeOf(err)}
	}
	defer resp.Body.Close()
	return readTx(resp)
}

// outcomeOf returns OutcomeUnavailable if the connection failed, so that nothing was sent, and
// OutcomeUnknown for all other errors.
func outcomeOf(err error) Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return OutcomeUnavailable
	}
	return OutcomeUnknown
}

func readTx(resp *http.Response) TxResult {
	result := TxResult{}
	switch resp.StatusCode {
	case http.StatusOK:
		result.Outcome = OutcomeOK
	case http.StatusConflict:
		result.Outcome = OutcomeConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return TxResult{Outcome: OutcomeUnavailable}
	default:
		return TxResult{Outcome: OutcomeUnknown}
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil || json.Unmarshal(content, &result) != nil {
		return TxResult{Outcome: OutcomeUnknown}
	}
	return result
}

// Get implements Table.
func (t *HTTPTable) Get(ctx context.Context, key string) (Row, error) {
	row := Row{Key: key}
	err := getJSON(ctx, t.client, "table", t.base+"/v1/row?key="+url.QueryEscape(key), &row)
	return row, err
}

// Scan implements Table.
func (t *HTTPTable) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	u := fmt.Sprintf("%s/v1/rows?prefix=%s&after=%s&limit=%d", t.base, url.QueryEscape(prefix), url.QueryEscape(after), limit)
	err := getJSON(ctx, t.client, "table", u, &rows)
	return rows, err
}

func getJSON(ctx context.Context, client *http.Client, service, u string, into any) error {
	content, status, err := get(ctx, client, u)
	if err != nil {
		return ErrPlatform{service, err}
	}
	if status != http.StatusOK {
		return ErrPlatform{service, fmt.Errorf("status %d", status)}
	}
	if err := json.Unmarshal(content, into); err != nil {
		return ErrPlatform{service, err}
	}
	return nil
}

func get(ctx context.Context, client *http.Client, u string) (content []byte, status int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	content, err = io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	return content, resp.StatusCode, err
}
