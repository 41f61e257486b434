// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package netopt

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ReportErrorsToRead returns a DialFunc whose TCP connections return the error that ended them from Read,
// also if another call got it. The kernel reports an error of a connection once: if it ends a Write,
// a Read that follows returns io.EOF, as if the peer had ended its data.
//
// The connections have no CloseWrite.
func ReportErrorsToRead(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &errorKeepingConn{Conn: conn}, nil
	}
}

// errorKeepingConn keeps the error that a Write got for Read.
type errorKeepingConn struct {
	net.Conn
	mu         sync.Mutex    // held during a Write
	firstErrno syscall.Errno // that ended the connection, 0 if none is known
}

// NetConn returns the wrapped connection.
func (c *errorKeepingConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *errorKeepingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.firstErrno == 0 {
		_ = errors.As(err, &c.firstErrno)
	}
	return n, err
}

// Read implements net.Conn.
func (c *errorKeepingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endOfData()
	}
	return n, err
}

// endOfData returns io.EOF if the peer ended its data, or the error that ended the connection before.
func (c *errorKeepingConn) endOfData() error {
	tcp, ok := unwrapTCP(c.Conn)
	if !ok {
		return io.EOF
	}
	if closed, err := isClosedByKernel(tcp); err != nil || !closed {
		return cmp.Or(err, io.EOF)
	}
	// A Write in progress returns at once, since the connection is closed.
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstErrno == 0 {
		var err error
		if c.firstErrno, err = takeErrno(tcp); err != nil {
			return err
		}
	}
	switch c.firstErrno {
	case syscall.EPIPE: // a reset that came after the end of the peer's data
		return io.EOF
	case 0: // another call on the file descriptor, such as Peek, got the error
		c.firstErrno = syscall.ECONNRESET
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", c.firstErrno)}
}

// isClosedByKernel reports whether an error has ended the connection. The end of the peer's data alone leaves it in
// the state CLOSE_WAIT.
func isClosedByKernel(c *net.TCPConn) (closed bool, err error) {
	err = control(c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == unix.BPF_TCP_CLOSE
		return err
	})
	return closed, err
}

// takeErrno returns the error of the connection that no call has got yet, or 0.
func takeErrno(c *net.TCPConn) (errno syscall.Errno, err error) {
	err = control(c, func(fd int) error {
		n, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
		errno = syscall.Errno(n)
		return err
	})
	return errno, err
}

// control calls f with the connection's file descriptor. It fails if the connection is closed locally.
func control(c *net.TCPConn, f func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var inner error
	if err := raw.Control(func(fd uintptr) { inner = f(int(fd)) }); err != nil {
		return err
	}
	return inner
}

// unwrapTCP returns the TCP connection below wrappers with a method NetConn.
func unwrapTCP(c net.Conn) (*net.TCPConn, bool) {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapper.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	return tcp, ok
}
