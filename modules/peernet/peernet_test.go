// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peernet

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/modules/log"
	"madderway/modules/wire"
)

var testLog = log.New("peer")

func TestMain(m *testing.M) {
	log.Setup(io.Discard, 0)
	os.Exit(m.Run())
}

// recorder hands over what it gets.
type recorder struct{ frames chan string }

func (r *recorder) HandleFrame(peer string, f *wire.Frame) {
	r.frames <- peer + "/" + f.Demands[0].Account
}

func (r *recorder) HandleCall(peer string, c *wire.Call) *wire.Reply {
	return &wire.Reply{Ok: true, Content: []byte(peer + "/" + c.GetChunkFetch().GetHash())}
}

func serve(t *testing.T, auth *Auth) (*recorder, *Server, *tomb.Tomb) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tb := &tomb.Tomb{}
	r := &recorder{make(chan string, 16)}
	s := NewServer(tb, log.New("peer"), auth, &Meter{}, l, r)
	t.Cleanup(func() {
		tb.Kill(nil)
		_ = tb.Wait()
	})
	return r, s, tb
}

func linkTo(tb *tomb.Tomb, s *Server, auth *Auth, meter *Meter) *Link {
	return NewLink(tb, LinkOptions{Auth: auth, Meter: meter, PeerID: "server", Address: s.listener.Addr().String(), DialTimeout: time.Second, Ring: 16})
}

func frame(account string) *wire.Frame {
	return &wire.Frame{Demands: []*wire.Demand{{Account: account}}}
}

func TestFramesAndCalls(t *testing.T) {
	r, s, tb := serve(t, NewSharedKey("server", "the shared key"))
	meter := &Meter{}
	link := linkTo(tb, s, NewSharedKey("client", "the shared key"), meter)
	link.Send(frame("a"))
	link.Send(frame("b"))
	for _, want := range []string{"client/a", "client/b"} {
		if got := <-r.frames; got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
	}
	reply, err := link.Call(context.Background(), &wire.Call{Body: &wire.Call_ChunkFetch{ChunkFetch: &wire.ChunkFetch{Hash: "h"}}})
	if err != nil || string(reply.Content) != "client/h" {
		t.Fatalf("%v, %v", reply, err)
	}
	if meter.Sent.Load() == 0 || meter.Bytes() <= meter.Sent.Load() {
		t.Fatal("the traffic is not counted")
	}
	link.Block(true)
	if _, err := link.Call(context.Background(), &wire.Call{}); err == nil {
		t.Fatal("a cut link carried a call")
	}
	link.Block(false)
	link.Send(frame("c"))
	if got := <-r.frames; got != "client/c" {
		t.Fatalf("after mending: %s", got)
	}
}

// A connection that carries nothing is closed after a while, and the next frame opens
// another one.
func TestIdleConnectionIsClosed(t *testing.T) {
	r, s, tb := serve(t, NewSharedKey("server", "the shared key"))
	link := NewLink(tb, LinkOptions{
		Auth: NewSharedKey("client", "the shared key"), Meter: &Meter{}, PeerID: "server", Address: s.listener.Addr().String(),
		DialTimeout: time.Second, Ring: 16, IdleTimeout: 5 * time.Millisecond,
	})
	for _, name := range []string{"a", "b"} {
		link.Send(frame(name))
		if got := <-r.frames; got != "client/"+name {
			t.Fatalf("got %s", got)
		}
		for s.connections() > 0 {
			runtime.Gosched()
		}
	}
}

func TestWrongKeyIsRefused(t *testing.T) {
	_, s, tb := serve(t, NewSharedKey("server", "the shared key"))
	link := linkTo(tb, s, NewSharedKey("client", "another key here"), &Meter{})
	if _, err := link.Call(context.Background(), &wire.Call{}); err == nil {
		t.Fatal("a call went through without the key")
	}
	wrongName := NewLink(tb, LinkOptions{Auth: NewSharedKey("client", "the shared key"), Meter: &Meter{}, PeerID: "somebody", Address: s.listener.Addr().String(), DialTimeout: time.Second, Ring: 1})
	if _, err := wrongName.Call(context.Background(), &wire.Call{}); !IsErrHandshake(err) {
		t.Fatalf("dialled one router and met another: %v", err)
	}
}

// authority writes certificates for tests.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.key, a.cert = a.make("authority", nil, nil)
	return a
}

func (a *authority) make(name string, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*ecdsa.PrivateKey, *x509.Certificate) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: parent == nil, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", raw)
	return key, cert
}

func (a *authority) write(name, kind string, der []byte) {
	a.t.Helper()
	if err := os.WriteFile(a.path(name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

func (a *authority) path(name string) string { return filepath.Join(a.dir, name) }

// auth returns the Auth of a router with a certificate in a name.
func (a *authority) auth(id, name, ca string) *Auth {
	a.t.Helper()
	a.make(name, a.cert, a.key)
	auth, err := NewTLS(id, a.path(name+".pem"), a.path(name+".key"), ca)
	if err != nil {
		a.t.Fatal(err)
	}
	return auth
}

func TestMutualTLS(t *testing.T) {
	ca := newAuthority(t)
	root := ca.path("authority.pem")
	_, s, tb := serve(t, ca.auth("server", "server", root))
	call := &wire.Call{Body: &wire.Call_ChunkFetch{ChunkFetch: &wire.ChunkFetch{Hash: "h"}}}
	if _, err := linkTo(tb, s, ca.auth("client", "client", root), &Meter{}).Call(context.Background(), call); err != nil {
		t.Fatalf("a router with a certificate: %v", err)
	}
	if _, err := linkTo(tb, s, ca.auth("mallory", "client", root), &Meter{}).Call(context.Background(), call); err == nil {
		t.Fatal("a hello in another name than the certificate's was taken")
	}
	other := newAuthority(t)
	if _, err := linkTo(tb, s, other.auth("client", "client", root), &Meter{}).Call(context.Background(), call); err == nil {
		t.Fatal("a certificate of another authority was taken")
	}
	if _, err := linkTo(tb, s, NewSharedKey("client", "the shared key"), &Meter{}).Call(context.Background(), call); err == nil {
		t.Fatal("a peer without TLS was taken")
	}
}
