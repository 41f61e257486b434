// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package httpresp

import (
	"net"
	"net/http"

	"madderway/modules/netopt"
)

// Transport returns t after a change of its DialContext: if an error ends a connection during the upload, reading the
// response ends with that error. http.Transport takes the end of the connection for that of a response without
// a length.
func Transport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = netopt.ReportErrorsToRead(dial)
	return t
}
