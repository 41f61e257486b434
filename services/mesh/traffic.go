// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"madderway/modules/wire"
)

// frameSampling is the number of frames per measured frame: sizes cost about as much as encoding.
const frameSampling = 16

// Directions of messages between gateways.
const (
	sentToPeers       = "sent"
	receivedFromPeers = "received"
)

// traffic estimates the bytes of messages between gateways by kind, from a sample of frames and
// without headers. Only the loop's goroutine counts frames.
type traffic struct {
	set    *metrics.Set
	frames int
}

func newTraffic() traffic { return traffic{set: metrics.NewSet()} }

func (t *traffic) countFrame(direction string, f *wire.Frame) {
	t.frames++
	if t.frames%frameSampling != 0 {
		return
	}
	add := func(kind string, size int) {
		if size == 0 {
			return
		}
		name := fmt.Sprintf("madderway_gateway_peer_message_bytes_total{kind=%q,direction=%q}", kind, direction)
		t.set.GetOrCreateCounter(name).Add(size * frameSampling)
	}
	add("heartbeat", sizeOf(f.Heartbeat != nil, f.Heartbeat))
	add("versions", sizeOf(f.Versions != nil, f.Versions))
	add("ask", sizeOfAll(f.EngineAsks))
	add("placement", sizeOfAll(f.EnginePlacements))
	add("wait", sizeOfAll(f.EngineWaits))
	add("refusal", sizeOfAll(f.EngineRefusals))
	add("progress", sizeOfAll(f.EngineProgress))
	add("inventory", sizeOfAll(f.EngineInventories))
	add("tally", sizeOfAll(f.EngineTallies))
	add("handover", sizeOfAll(f.EngineHandovers))
	add("request_record", sizeOfAll(f.RequestRecords))
	add("prompt_part_record", sizeOfAll(f.PromptPartRecords))
	add("stream_backup", sizeOfAll(f.StreamBackups))
	add("stream_origin", sizeOfAll(f.StreamOrigins)+sizeOfAll(f.StreamOriginReplies)+len(f.StreamOriginAsks)*8)
}

// countState counts a configuration or target list sent to a peer.
func (t *traffic) countState(targets bool, size int) {
	kind := "configuration"
	if targets {
		kind = "targets"
	}
	t.set.GetOrCreateCounter(fmt.Sprintf("madderway_gateway_peer_message_bytes_total{kind=%q,direction=%q}", kind, sentToPeers)).Add(size)
}

func sizeOf(there bool, m proto.Message) int {
	if !there {
		return 0
	}
	return proto.Size(m)
}

func sizeOfAll[M proto.Message](ms []M) int {
	size := 0
	for _, m := range ms {
		size += proto.Size(m)
	}
	return size
}

// WriteMetrics writes the counters of bytes and of promises.
func (l *Loop) WriteMetrics(w io.Writer) {
	l.traffic.set.WritePrometheus(w)
	l.promised.set.WritePrometheus(w)
}
