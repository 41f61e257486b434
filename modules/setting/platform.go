// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package setting

import (
	"net/url"
	"time"
)

// Platform configures the access to the platform's services.
type Platform struct {
	TableURL  string   `toml:"table_url"`
	ObjectURL string   `toml:"object_url"`
	VMListURL string   `toml:"vm_list_url"`
	Timeout   Duration `toml:"timeout"`    // of one call
	PollHead  Duration `toml:"poll_head"`  // interval between reads of the configuration's head row
	PollVMs   Duration `toml:"poll_vms"`   // interval between reads of the VM list
	PollLoad  Duration `toml:"poll_load"`  // interval between load reports of an owned target
	Isolation Duration `toml:"isolation"`  // stop admission after this time without store and peers
	ClaimKept Duration `toml:"claim_kept"` // retention of an idempotency key's row
}

func defaultPlatform() Platform {
	return Platform{
		Timeout:   Duration{2 * time.Second},
		PollHead:  Duration{2 * time.Second},
		PollVMs:   Duration{2 * time.Second},
		PollLoad:  Duration{time.Second},
		Isolation: Duration{10 * time.Second},
		ClaimKept: Duration{24 * time.Hour},
	}
}

func (p Platform) check() error {
	urls := []struct{ key, value string }{
		{"platform.table_url", p.TableURL},
		{"platform.object_url", p.ObjectURL},
		{"platform.vm_list_url", p.VMListURL},
	}
	for _, u := range urls {
		parsed, err := url.Parse(u.value)
		if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
			return ErrSetting{u.key, "is not an http or https URL"}
		}
	}
	return checkAll(
		checkDuration("platform.timeout", p.Timeout, 10*time.Millisecond, time.Minute),
		checkDuration("platform.poll_head", p.PollHead, 50*time.Millisecond, 4*time.Second),
		checkDuration("platform.poll_vms", p.PollVMs, 50*time.Millisecond, time.Minute),
		checkDuration("platform.poll_load", p.PollLoad, 50*time.Millisecond, time.Minute),
		checkDuration("platform.isolation", p.Isolation, time.Second, time.Hour),
		checkDuration("platform.claim_kept", p.ClaimKept, time.Minute, 90*24*time.Hour),
	)
}
