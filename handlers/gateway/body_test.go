// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"testing"
	"testing/iotest"
)

// Guards against a body that is changed while its buffer grows, and against bytes that stay reserved.
func TestBodyIsReadWhole(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	q := newBodyQuota(8 << 20)
	for range 300 {
		want := make([]byte, rng.IntN(1<<uint(1+rng.IntN(20))))
		for i := range want {
			want[i] = byte(rng.Uint32())
		}
		for _, length := range []int64{int64(len(want)), -1} {
			if length == 0 {
				continue // the HTTP server passes no body
			}
			b := q.hold("account")
			got, err := b.read(iotest.HalfReader(bytes.NewReader(want)), length)
			if err != nil || !bytes.Equal(got, want) {
				t.Fatalf("length %d: got %d bytes, %v, want %d", length, len(got), err, len(want))
			}
			if b.bytes < int64(len(want)) || b.bytes != int64(cap(got)) {
				t.Fatalf("length %d: %d bytes reserved for a buffer of %d", length, b.bytes, cap(got))
			}
			b.release()
		}
	}
	if held := q.quota.Held(); held != 0 {
		t.Errorf("%d bytes stay reserved", held)
	}
}

// Guards against a caller that holds the whole announced length by sending a part, and against bodies
// that pass the bound while they are read.
func TestBodyIsReservedAsItArrives(t *testing.T) {
	const length, limit = 4 << 20, 16 << 20
	for _, sent := range []int{1, 5_000, 100_000, length - 1} {
		for _, announced := range []int64{length, -1} {
			q := newBodyQuota(limit)
			refused, cut := 0, errors.New("cut")
			var held []*heldBody
			for range 100 {
				b := q.hold("account")
				held = append(held, b)
				_, err := b.read(io.MultiReader(bytes.NewReader(make([]byte, sent)), iotest.ErrReader(cut)), announced)
				switch {
				case errors.Is(err, errTooManyBytes):
					refused++
				case !errors.Is(err, cut):
					t.Fatalf("got %v", err)
				}
				if most := int64(max(firstBodyBuffer, bodyGrowth*sent)); b.bytes > most {
					t.Fatalf("%d bytes sent: %d reserved, want %d at most", sent, b.bytes, most)
				}
			}
			if sum := q.quota.Held(); sum > limit {
				t.Errorf("%d bytes sent: %d held, want %d at most", sent, sum, limit)
			}
			if fits := 100*max(firstBodyBuffer, bodyGrowth*sent) < limit/2; fits && refused > 0 || sent == length-1 && refused == 0 {
				t.Errorf("%d bytes sent: %d refused", sent, refused)
			}
			for _, b := range held {
				b.release()
			}
			if sum := q.quota.Held(); sum != 0 {
				t.Errorf("%d bytes stay reserved", sum)
			}
		}
	}
}
