package proxy

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"syscall"
	"unsafe"
)

const (
	soReusePort           = 0xf
	soAttachReusePortCBPF = 0x33
)

// listenShared listens at an address at which other processes of this proxy may listen too. before is how many do:
// the newest listener has that place among them, and gets all new connections. Without this the kernel would go on
// dealing some to a listener about to close, and a close resets what nobody has accepted.
func listenShared(addr string, before int, log *slog.Logger) (net.Listener, error) {
	var lc net.ListenConfig
	lc.SetMultipathTCP(false) // net turns it on by itself, and such listeners cannot be steered
	lc.Control = func(_, _ string, c syscall.RawConn) error {
		return control(c, func(fd uintptr) error {
			return syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
		})
	}
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil || before == 0 {
		return l, err
	}
	if err := steer(l, uint32(before)); err != nil { // then they are dealt out, and few are lost
		log.Warn("new connections are not steered here", "error", err)
	}
	return l, nil
}

// steer has the kernel give all new connections to the listener at this place of the address. When a place is empty,
// as it is once the others have closed, the kernel chooses by itself again.
func steer(l net.Listener, place uint32) error {
	c, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	filter := []syscall.SockFilter{{Code: syscall.BPF_RET | syscall.BPF_K, K: place}}
	prog := syscall.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return control(c, func(fd uintptr) error {
		_, _, e := syscall.Syscall6(syscall.SYS_SETSOCKOPT, fd, syscall.SOL_SOCKET, soAttachReusePortCBPF,
			uintptr(unsafe.Pointer(&prog)), unsafe.Sizeof(prog), 0)
		if e != 0 {
			return e
		}
		return nil
	})
}

func control(c syscall.RawConn, f func(fd uintptr) error) error {
	var inner error
	if err := c.Control(func(fd uintptr) { inner = f(fd) }); err != nil {
		return err
	}
	return inner
}

// tcpInfo tells the state of a TCP socket and, of one that listens, how many connections wait to be accepted.
func tcpInfo(s any) (state byte, waiting uint32, err error) {
	sc, ok := s.(syscall.Conn)
	if !ok {
		return 0, 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, 0, err
	}
	var info struct { // the beginning of the kernel's struct tcp_info
		state   byte
		_       [7]byte
		_       [4]uint32
		unacked uint32
	}
	err = control(raw, func(fd uintptr) error {
		size := uint32(unsafe.Sizeof(info))
		_, _, e := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
		if e != 0 {
			return e
		}
		return nil
	})
	return info.state, info.unacked, err
}
