// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package setting

import "time"

const minSharedKey = 16

// Peer configures the listener for other routers and the mutual authentication by
// certificates, or by a shared key on loopback.
type Peer struct {
	Listen      string   `toml:"listen"`
	Advertise   string   `toml:"advertise"` // address that other routers dial; default Listen
	SharedKey   string   `toml:"shared_key"`
	TLSCert     string   `toml:"tls_cert"`
	TLSKey      string   `toml:"tls_key"`
	TLSCA       string   `toml:"tls_ca"`
	DialTimeout Duration `toml:"dial_timeout"`
	Ring        int      `toml:"ring"` // frames queued per peer
}

func defaultPeer() Peer {
	return Peer{DialTimeout: Duration{time.Second}, Ring: 256}
}

// TLS reports whether certificates are configured.
func (p Peer) TLS() bool { return p.TLSCert != "" }

// Address returns the address that other routers dial.
func (p Peer) Address() string {
	if p.Advertise != "" {
		return p.Advertise
	}
	return p.Listen
}

func (p Peer) check() error {
	if err := checkAddress("peer.listen", p.Listen); err != nil {
		return err
	}
	if p.Advertise != "" {
		if err := checkAddress("peer.advertise", p.Advertise); err != nil {
			return err
		}
	}
	if err := p.checkAuthentication(); err != nil {
		return err
	}
	return checkAll(
		checkDuration("peer.dial_timeout", p.DialTimeout, 10*time.Millisecond, time.Minute),
		checkRange("peer.ring", p.Ring, 8, 1<<16),
	)
}

func (p Peer) checkAuthentication() error {
	if p.TLS() {
		if p.TLSKey == "" || p.TLSCA == "" {
			return ErrSetting{"peer.tls_cert", "needs peer.tls_key and peer.tls_ca too"}
		}
		return nil
	}
	if len(p.SharedKey) < minSharedKey {
		return ErrSetting{"peer.shared_key", "needs at least 16 characters if no certificate is set"}
	}
	if !isLoopback(p.Listen) || !isLoopback(p.Address()) {
		return ErrSetting{"peer.shared_key", "is allowed on loopback only; set peer.tls_cert, peer.tls_key and peer.tls_ca"}
	}
	return nil
}
