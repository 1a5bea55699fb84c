package socket

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"syscall"
	"unsafe"
)

// Linux socket options that package syscall does not define.
const (
	soReusePort           = 0xf
	soAttachReusePortCBPF = 0x33
)

// ListenShared listens on a TCP address that other processes may share by calling it too. earlierListeners is the
// number of listeners that already use the address. The new listener follows them in the kernel's SO_REUSEPORT group
// and gets all new connections. Otherwise the kernel would still give some connections to a listener that is about to
// close, and closing it resets the connections that it has not accepted.
func ListenShared(address string, earlierListeners int, log *slog.Logger) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // MPTCP is on by default, but steering does not work on MPTCP listeners
	config.Control = func(_, _ string, c syscall.RawConn) error {
		return control(c, func(fd uintptr) error {
			return syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
		})
	}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil || earlierListeners == 0 {
		return listener, err
	}
	if err := steerTo(listener, uint32(earlierListeners)); err != nil {
		// The kernel then spreads new connections over all listeners, and a few may be reset.
		log.Warn("cannot steer new connections to the new listener", "error", err)
	}
	return listener, nil
}

// steerTo makes the kernel give all new connections to the listener at the given index of the SO_REUSEPORT group. When
// earlier listeners have closed, the index is out of range and the kernel chooses a listener by itself again.
func steerTo(listener net.Listener, index uint32) error {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("steer connections: %T is not a TCP listener", listener)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	filter := []syscall.SockFilter{{Code: syscall.BPF_RET | syscall.BPF_K, K: index}}
	program := syscall.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return control(raw, func(fd uintptr) error {
		_, _, errno := syscall.Syscall6(syscall.SYS_SETSOCKOPT, fd, syscall.SOL_SOCKET, soAttachReusePortCBPF,
			uintptr(unsafe.Pointer(&program)), unsafe.Sizeof(program), 0)
		if errno != 0 {
			return errno
		}
		return nil
	})
}
