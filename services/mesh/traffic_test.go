// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"bytes"
	"strings"
	"testing"

	"madderway/modules/wire"
)

// For equal frames the estimate from the sample is exact.
func TestTrafficIsCountedByKind(t *testing.T) {
	tr := newTraffic()
	f := &wire.Frame{EngineAsks: []*wire.EngineAsk{{Cell: "s/0", Id: 1}}, Versions: &wire.Versions{Configuration: 1}}
	for range 10 * frameSampling {
		tr.countFrame(sentToPeers, f)
	}
	tr.countState(true, 1000)
	var out bytes.Buffer
	tr.set.WritePrometheus(&out)
	for _, line := range []string{
		`madderway_gateway_peer_message_bytes_total{kind="ask",direction="sent"} 1120`,
		`madderway_gateway_peer_message_bytes_total{kind="versions",direction="sent"} 320`,
		`madderway_gateway_peer_message_bytes_total{kind="targets",direction="sent"} 1000`,
	} {
		if !strings.Contains(out.String(), line+"\n") {
			t.Errorf("metrics lack %s:\n%s", line, out.String())
		}
	}
}
