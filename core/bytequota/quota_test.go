// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package bytequota

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against holding more than the limit, against bytes that are never given back, and against an
// account that is shut out by others.
func TestQuotaHoldsInAnyOrder(t *testing.T) {
	const limit = 1 << 20
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("sums and shares", prop.ForAll(func(steps []int64) bool {
		q := New(limit)
		held := map[string]int64{}
		for _, s := range steps {
			account, n := fmt.Sprint("account-", s%7), s/7
			if s%3 == 0 {
				q.Release(account, held[account]/2)
				held[account] -= held[account] / 2
			} else if q.Reserve(account, n) {
				held[account] += n
			}
			sum, largest := int64(0), int64(0)
			for _, h := range held {
				sum += h
				largest = max(largest, h)
			}
			if sum != q.Held() || sum > limit || largest > limit*freeFactor/(freeFactor+1) {
				return false
			}
		}
		for account, h := range held {
			q.Release(account, h)
		}
		return q.Held() == 0 && len(q.accounts) == 0
	}, gen.SliceOfN(200, gen.Int64Range(0, limit))))
	properties.TestingRun(t)
}

// Guards against accounts that take all, however many bodies they send.
func TestFloodingAccountsLeaveRoom(t *testing.T) {
	const limit, body, small = 71 << 20, 4 << 20, 64 << 10
	for flooding := 1; flooding <= 4; flooding++ {
		q := New(limit)
		for range 100 {
			for a := range flooding {
				q.Reserve(fmt.Sprint("flooding-", a), body)
			}
		}
		n := 0
		for q.Reserve("other", small) {
			n++
		}
		if n < 10 {
			t.Errorf("%d flooding accounts: got room for %d small bodies, want 10 and more", flooding, n)
		}
	}
}
