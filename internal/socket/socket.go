// Package socket provides operations on TCP sockets that package net lacks: it inspects a connection without reading
// from it, limits writes by the peer's progress, and shares a listening address between processes.
package socket

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"unsafe"
)

// stateEstablished is the kernel's TCP_ESTABLISHED: neither side has closed the connection.
const stateEstablished = 1

// IsQuiet reports whether a connection is open and has nothing to read. It detects, without blocking, that the peer of
// an idle connection has closed it or sent something unexpected. It may be called while a Read is pending.
func IsQuiet(c net.Conn) bool {
	raw, err := rawConn(c)
	if err != nil {
		return false
	}
	quiet := false
	// Control, not Read: Read would wait for a pending Read of another goroutine.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// ReadArrived reads bytes that have already arrived on a connection, without blocking and whatever the read deadline is. If
// there are none, its error is os.ErrDeadlineExceeded. It must not be called while a Read is pending.
func ReadArrived(c net.Conn, b []byte) (n int, err error) {
	raw, err := rawConn(c)
	if errors.Is(err, errors.ErrUnsupported) {
		return 0, os.ErrDeadlineExceeded
	}
	if err != nil {
		return 0, err
	}
	err = control(raw, func(fd uintptr) error {
		var err error
		n, _, err = syscall.Recvfrom(int(fd), b, syscall.MSG_DONTWAIT)
		return err
	})
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return 0, os.ErrDeadlineExceeded
	case err != nil:
		return 0, fmt.Errorf("read: %w", err)
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// PeerClosed reports whether the peer has closed or reset a connection. Unlike Read it detects this even if unread
// bytes precede the close. It may be called at any time; a connection closed by this side counts as closed.
func PeerClosed(c net.Conn) bool {
	info, err := readInfo(c)
	return info.state != stateEstablished && (err == nil || errors.Is(err, net.ErrClosed))
}

// HasPendingConnections reports whether a TCP listener has connections in its accept queue. Closing the listener would
// reset them.
func HasPendingConnections(l net.Listener) bool {
	info, err := readInfo(l)
	return err == nil && info.unacked > 0
}

// tcpInfo is the beginning of the kernel's struct tcp_info.
type tcpInfo struct {
	state   byte
	_       [7]byte
	_       [4]uint32
	unacked uint32 // on a listening socket: length of the accept queue
}

// readInfo reads the kernel's state of a TCP socket. For anything else its error
// matches errors.ErrUnsupported.
func readInfo(socket any) (info tcpInfo, err error) {
	raw, err := rawConn(socket)
	if err != nil {
		return info, err
	}
	err = control(raw, func(fd uintptr) error {
		size := uint32(unsafe.Sizeof(info))
		_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
		if errno != 0 {
			return errno
		}
		return nil
	})
	return info, err
}

// rawConn gives access to the file descriptor of a socket. For anything else its error matches errors.ErrUnsupported.
func rawConn(socket any) (syscall.RawConn, error) {
	sc, ok := socket.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// control calls f with a socket's file descriptor and returns the error of c.Control or of f.
func control(c syscall.RawConn, f func(fd uintptr) error) error {
	var inner error
	if err := c.Control(func(fd uintptr) { inner = f(fd) }); err != nil {
		return err
	}
	return inner
}
