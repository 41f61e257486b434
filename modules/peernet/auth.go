// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package peernet transports protobuf messages between routers over yamux with mutual
// authentication. A Link sends to one peer; a Server receives from all. It also opens and
// accepts plain connections for relayed requests. It does not interpret the messages.
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
	// relayVersion is the version in the hello of a connection for relayed requests. Only the
	// client sends a hello there, which saves a round trip when many connections open at
	// once. A replay allows no more than any caller may do.
	relayVersion     = 2
	nonceSize        = 16
	handshakeTimeout = 3 * time.Second
	maxHello         = 4096
)

// ErrRefused is wrapped by all handshake errors.
var ErrRefused = errors.New("peer refused")

// ErrHandshake reports why a handshake failed.
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

// Auth holds the credentials of this process for mutual authentication with peers.
type Auth struct {
	id        string
	sharedKey []byte
	tls       *tls.Config
}

// NewSharedKey returns an Auth that uses a key shared by all routers. It does not
// encrypt the connection.
func NewSharedKey(id, key string) *Auth {
	return &Auth{id: id, sharedKey: []byte(key)}
}

// NewTLS returns an Auth that uses TLS certificates, whose common name must be the
// router's ID.
func NewTLS(id, certFile, keyFile, caFile string) (*Auth, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("certificate authority: no certificate in %s", caFile)
	}
	return &Auth{id: id, tls: &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		// Peers are dialed by IP address, so there is no host name to verify.
		// verifyChain checks the chain, checkCertName the router's ID.
		InsecureSkipVerify: true,
	}}, nil
}

// wrap performs the TLS handshake if certificates are configured.
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

// verifyChain checks that the authority signed the peer's certificate.
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

// clientHandshake performs the client's handshake and returns the peer's ID.
func (a *Auth) clientHandshake(conn net.Conn) (string, error) {
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

// serverHandshake performs the server's handshake. It returns the peer's ID and whether the
// connection is for relayed requests.
func (a *Auth) serverHandshake(conn net.Conn) (id string, relayed bool, err error) {
	_ = conn.SetDeadline(netopt.DeadlineIn(handshakeTimeout))
	defer conn.SetDeadline(time.Time{})
	r := newByteReader(conn)
	theirs, err := readHello(r)
	if err != nil {
		return "", false, err
	}
	if theirs.Protocol == relayVersion {
		return theirs.Id, true, a.checkRelayHello(conn, theirs)
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
		return checkCertName(conn, theirs.Id)
	}
	return a.proveKey(conn, r, client, mine, theirs)
}

// sendRelayHello sends the only hello of a connection for relayed requests.
func (a *Auth) sendRelayHello(conn net.Conn) error {
	h, err := a.hello(relayVersion)
	if err != nil {
		return err
	}
	if a.tls == nil {
		h.Mac = a.relayMAC(h)
	}
	return writeMessage(conn, h)
}

func (a *Auth) checkRelayHello(conn net.Conn, theirs *wire.Hello) error {
	if a.tls != nil {
		return checkCertName(conn, theirs.Id)
	}
	if !hmac.Equal(theirs.Mac, a.relayMAC(theirs)) {
		return ErrHandshake{"wrong key"}
	}
	return nil
}

func (a *Auth) relayMAC(author *wire.Hello) []byte {
	m := hmac.New(sha256.New, a.sharedKey)
	fmt.Fprintf(m, "madderway carry\x00%s\x00", author.Id)
	m.Write(author.Nonce)
	return m.Sum(nil)
}

func checkCertName(conn net.Conn, id string) error {
	tc, ok := conn.(*tls.Conn)
	if !ok {
		return ErrHandshake{"no certificate"}
	}
	if name := tc.ConnectionState().PeerCertificates[0].Subject.CommonName; name != id {
		return ErrHandshake{fmt.Sprintf("certificate of %q, hello of %q", name, id)}
	}
	return nil
}

// proveKey exchanges and verifies MACs. Each MAC includes the side, which prevents
// reflection to its author.
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
