// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package httpresp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"madderway/modules/netopt"
)

// Transport returns a RoundTripper that sends requests by t, without TLS, and returns an ErrMalformed for responses that
// are not valid.
//
// It changes the DialContext of t: if an error ends a connection during the upload, reading the response ends
// with that error. http.Transport takes the end of the connection for that of a response without a length.
func Transport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	dial = netopt.ReportErrorsToRead(dial)
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &headConn{Conn: conn}, nil
	}
	return &checkedTransport{t}
}

type checkedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn *headConn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn.(*headConn)
			conn.keep()
		},
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return checkFields(http.Header(h)) },
	}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkFinal(resp, conn.take()); err != nil {
		_ = conn.Close() // it would be used again if the body is empty
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkFinal checks a response that follows no request for another protocol, given the bytes of its heads.
func checkFinal(resp *http.Response, heads []byte) error {
	if err := Check(resp); err != nil {
		return err
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return ErrMalformed{"unasked change of protocol"}
	}
	return CheckOldHeads(heads)
}
