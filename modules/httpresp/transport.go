// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package httpresp

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"madderway/modules/netopt"
)

// Transport returns a RoundTripper that sends requests by t and returns an ErrMalformed for responses that are not valid.
//
// It changes the DialContext of t: if an error ends a connection during the upload, reading the response ends
// with that error. http.Transport takes the end of the connection for that of a response without a length.
func Transport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = netopt.ReportErrorsToRead(dial)
	return &checkedTransport{t}
}

type checkedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return checkFields(http.Header(h)) },
	}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	err = Check(resp)
	if err == nil && resp.StatusCode == http.StatusSwitchingProtocols {
		err = ErrMalformed{"unasked change of protocol"}
	}
	if err != nil {
		_ = conn.Close() // it would be used again if the body is empty
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
