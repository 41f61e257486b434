// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package peernet carries protobuf messages between routers over yamux, with
// mutual authentication. It knows nothing of what the messages mean.
package peernet

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"madderway/modules/netopt"
	"madderway/modules/wire"
)

const (
	protocolVersion = 1
	// carryVersion is the version in the hello of a connection that carries requests of
	// callers. It is the only one sent there: a thousand of these are opened in a second
	// where a flood begins. Whoever repeats one can send what any caller can.
	carryVersion     = 2
	nonceSize        = 16
	handshakeTimeout = 3 * time.Second
	maxHello         = 4096
)

// ErrRefused is the general kind of failed handshakes.
var ErrRefused = errors.New("peer refused")

// ErrHandshake tells why a peer was refused.
type ErrHandshake struct{ Reason string }

// Error implements error.
func (e ErrHandshake) Error() string { return "handshake: " + e.Reason }

// Unwrap returns ErrRefused.
func (e ErrHandshake) Unwrap() error { return ErrRefused }

// IsErrHandshake reports whether err is an ErrHandshake.
func IsErrHandshake(err error) bool {
	var e ErrHandshake
	return errors.As(err, &e)
}

// Auth holds how this process proves itself and checks others.
type Auth struct {
	id        string
	sharedKey []byte
	tls       *tls.Config
}

// NewSharedKey returns an Auth by a key that all routers know. It does not
// encrypt, so settings allow it on loopback only.
func NewSharedKey(id, key string) *Auth {
	return &Auth{id: id, sharedKey: []byte(key)}
}

// NewTLS returns an Auth by certificates. The common name of each certificate
// is the router's ID.
func NewTLS(id, certFile, keyFile, caFile string) (*Auth, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("authority: no certificate in %s", caFile)
	}
	return &Auth{id: id, tls: &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		// Peers are dialled by IP number; their name is checked against the
		// router's ID in verifyChain and the hello.
		InsecureSkipVerify: true,
	}}, nil
}

// wrap puts TLS around a connection where certificates are in use.
func (a *Auth) wrap(conn net.Conn, client bool) (net.Conn, error) {
	if a.tls == nil {
		return conn, nil
	}
	var tc *tls.Conn
	if client {
		tc = tls.Client(conn, a.tls)
	} else {
		tc = tls.Server(conn, a.tls)
	}
	_ = conn.SetDeadline(netopt.DeadlineIn(handshakeTimeout))
	if err := tc.Handshake(); err != nil {
		return nil, ErrHandshake{err.Error()}
	}
	if err := a.verifyChain(tc); err != nil {
		return nil, err
	}
	return tc, nil
}

// verifyChain checks that the peer's certificate was signed by the authority.
func (a *Auth) verifyChain(tc *tls.Conn) error {
	certs := tc.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return ErrHandshake{"no certificate"}
	}
	rest := x509.NewCertPool()
	for _, c := range certs[1:] {
		rest.AddCert(c)
	}
	_, err := certs[0].Verify(x509.VerifyOptions{
		Roots: a.tls.RootCAs, Intermediates: rest, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return ErrHandshake{err.Error()}
	}
	return nil
}

func (a *Auth) hello(version uint32) (*wire.Hello, error) {
	h := &wire.Hello{Protocol: version, Id: a.id, Nonce: make([]byte, nonceSize)}
	_, err := rand.Read(h.Nonce)
	return h, err
}

// dial exchanges hellos with the peer that was dialled and returns its ID.
func (a *Auth) dial(conn net.Conn) (string, error) {
	_ = conn.SetDeadline(netopt.DeadlineIn(handshakeTimeout))
	defer conn.SetDeadline(time.Time{})
	mine, err := a.hello(protocolVersion)
	if err != nil {
		return "", err
	}
	if err := writeMessage(conn, mine); err != nil {
		return "", err
	}
	r := newByteReader(conn)
	theirs, err := readHello(r)
	if err != nil {
		return "", err
	}
	return theirs.Id, a.check(conn, r, true, mine, theirs)
}

// accept exchanges hellos with a peer that has dialled. It returns the peer's ID and
// whether the connection carries requests.
func (a *Auth) accept(conn net.Conn) (id string, carries bool, err error) {
	_ = conn.SetDeadline(netopt.DeadlineIn(handshakeTimeout))
	defer conn.SetDeadline(time.Time{})
	r := newByteReader(conn)
	theirs, err := readHello(r)
	if err != nil {
		return "", false, err
	}
	if theirs.Protocol == carryVersion {
		return theirs.Id, true, a.checkCarrying(conn, theirs)
	}
	mine, err := a.hello(protocolVersion)
	if err != nil {
		return "", false, err
	}
	if err := writeMessage(conn, mine); err != nil {
		return "", false, err
	}
	return theirs.Id, false, a.check(conn, r, false, mine, theirs)
}

func (a *Auth) check(conn net.Conn, r *byteReader, client bool, mine, theirs *wire.Hello) error {
	if theirs.Protocol != protocolVersion {
		return ErrHandshake{fmt.Sprintf("protocol %d, not %d", theirs.Protocol, protocolVersion)}
	}
	if a.tls != nil {
		return checkName(conn, theirs.Id)
	}
	return a.proveKey(conn, r, client, mine, theirs)
}

// sayCarrying sends the hello of a connection that carries requests.
func (a *Auth) sayCarrying(conn net.Conn) error {
	h, err := a.hello(carryVersion)
	if err != nil {
		return err
	}
	if a.tls == nil {
		h.Mac = a.carryMAC(h)
	}
	return writeMessage(conn, h)
}

func (a *Auth) checkCarrying(conn net.Conn, theirs *wire.Hello) error {
	if a.tls != nil {
		return checkName(conn, theirs.Id)
	}
	if !hmac.Equal(theirs.Mac, a.carryMAC(theirs)) {
		return ErrHandshake{"wrong key"}
	}
	return nil
}

func (a *Auth) carryMAC(author *wire.Hello) []byte {
	m := hmac.New(sha256.New, a.sharedKey)
	fmt.Fprintf(m, "madderway carry\x00%s\x00", author.Id)
	m.Write(author.Nonce)
	return m.Sum(nil)
}

func checkName(conn net.Conn, id string) error {
	tc, ok := conn.(*tls.Conn)
	if !ok {
		return ErrHandshake{"no certificate"}
	}
	if name := tc.ConnectionState().PeerCertificates[0].Subject.CommonName; name != id {
		return ErrHandshake{fmt.Sprintf("certificate of %q, hello of %q", name, id)}
	}
	return nil
}

// proveKey exchanges MACs. The side is part of the MAC, so that none can be
// sent back to its author.
func (a *Auth) proveKey(conn net.Conn, r *byteReader, client bool, mine, theirs *wire.Hello) error {
	proof := &wire.Hello{Protocol: protocolVersion, Id: a.id, Mac: a.mac(client, mine, theirs)}
	if err := writeMessage(conn, proof); err != nil {
		return err
	}
	got, err := readHello(r)
	if err != nil {
		return err
	}
	if !hmac.Equal(got.Mac, a.mac(!client, theirs, mine)) {
		return ErrHandshake{"wrong key"}
	}
	return nil
}

func (a *Auth) mac(client bool, author, other *wire.Hello) []byte {
	m := hmac.New(sha256.New, a.sharedKey)
	side := "server"
	if client {
		side = "client"
	}
	fmt.Fprintf(m, "madderway peer\x00%s\x00%s\x00%s\x00", side, author.Id, other.Id)
	m.Write(author.Nonce)
	m.Write(other.Nonce)
	return m.Sum(nil)
}

func readHello(r *byteReader) (*wire.Hello, error) {
	h := &wire.Hello{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxHello}).UnmarshalFrom(r, h); err != nil {
		return nil, ErrHandshake{err.Error()}
	}
	return h, nil
}
