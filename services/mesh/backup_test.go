// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	coreorigin "madderway/core/origin"
	"madderway/modules/wire"
	"madderway/services/origin"
)

// Guards against records that change on their way to a backup, and against messages that grow beyond
// 40 bytes a stream at a gateway with ten new streams in a second.
func TestBackupKeepsRecords(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	sent := origin.Backup{Service: "assistant-llm", Sender: 7}
	for i := range 5 {
		at := now.Add(-time.Duration(500-90*i) * time.Millisecond)
		sent.Records = append(sent.Records, coreorigin.Record{
			Key: coreorigin.KeyOf("account", fmt.Sprint(i)), Target: fmt.Sprintf("i-7f3a91c%d@1700000000000", i%3), Software: "v1", Sender: 7, Try: uint32(1 + i%2), SentAt: at.UnixMilli(), At: at,
		})
	}
	sent.Records[0], sent.Records[4] = sent.Records[4], sent.Records[0] // not in order
	content, err := proto.Marshal(backupToWire(now, sent))
	if err != nil {
		t.Fatal(err)
	}
	var w wire.StreamBackup
	if err := proto.Unmarshal(content, &w); err != nil {
		t.Fatal(err)
	}
	if got := backupFromWire(now, &w); !reflect.DeepEqual(got, sent) {
		t.Errorf("got %+v, want %+v", got, sent)
	}
	if per := len(content) / len(sent.Records); per > 40 {
		t.Errorf("got %d bytes a stream, want 40 at most", per)
	}
	t.Logf("%d bytes for %d streams", len(content), len(sent.Records))
}

// Guards against a malformed message that ends the process.
func TestMalformedBackupIsCut(t *testing.T) {
	w := &wire.StreamBackup{Streams: []uint64{1, 2, 3}, Target: []uint32{0, 9}, Try: []uint32{1, 1, 1}, AfterMs: []uint32{0, 0, 0}, Targets: []*wire.StreamTarget{{Target: "a"}}}
	if got := backupFromWire(time.Now(), w); len(got.Records) != 1 || got.Records[0].Target != "a" {
		t.Errorf("got %+v, want the one whole record", got)
	}
	if got := backupFromWire(time.Now(), &wire.StreamBackup{}); len(got.Records) != 0 {
		t.Errorf("got %+v from an empty message", got)
	}
}
