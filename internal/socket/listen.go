package socket

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"syscall"
	"unsafe"
)

// Socket options of Linux that package syscall does not name.
const (
	soReusePort           = 0xf
	soAttachReusePortCBPF = 0x33
)

// ListenShared listens at a TCP address at which other processes may listen in the same way. earlier is how many do:
// the newest listener comes behind them in the kernel's group, and gets all new connections. Otherwise the kernel would
// go on giving some to a listener that is about to close, and a close resets what nobody has accepted.
func ListenShared(address string, earlier int, log *slog.Logger) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // on by default, and such listeners cannot be steered
	config.Control = func(_, _ string, c syscall.RawConn) error {
		return control(c, func(fd uintptr) error {
			return syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
		})
	}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil || earlier == 0 {
		return listener, err
	}
	if err := steerTo(listener, uint32(earlier)); err != nil { // the kernel then spreads them: a few may be reset
		log.Warn("new connections are not steered here", "error", err)
	}
	return listener, nil
}

// steerTo has the kernel give all new connections to the listener at an index of the address's group. Once the index
// is out of range, as it is when earlier listeners have closed, the kernel chooses by itself again.
func steerTo(listener net.Listener, index uint32) error {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("steer connections: %T is no TCP listener", listener)
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
