package socket

import (
	"net"
	"syscall"
	"unsafe"
)

// Unread returns how many bytes have arrived on a TCP connection that have not been read. ok is false if the connection
// cannot tell. It does not block, and may be called while a Read is pending.
func Unread(c net.Conn) (n int, ok bool) {
	raw, err := rawConn(c)
	if err != nil {
		return 0, false
	}
	var unread int32
	err = control(raw, func(fd uintptr) error {
		_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&unread)))
		if errno != 0 {
			return errno
		}
		return nil
	})
	return int(unread), err == nil
}
