package operatorstate

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"
)

// Offsets of the bytes in the lock file. Other versions of the program that run at the same time lock the same bytes.
const (
	stateByte     = 0 // locked while the state file is replaced
	firstSlotByte = 1 // each process keeps the byte of one slot locked until it exits
	processSlots  = 8
	// From this byte on, each process keeps a second byte of its slot locked while it accepts connections.
	firstAcceptingByte = firstSlotByte + processSlots
)

// Commands of fcntl for locks that belong to an open file description instead of a process (F_OFD_GETLK, F_OFD_SETLK).
// The kernel releases these locks when the file is closed, even if the process is killed.
const (
	fcntlGetOpenFileLock = 36
	fcntlSetOpenFileLock = 37
)

const (
	stateLockTimeout  = 500 * time.Millisecond
	stateLockInterval = 5 * time.Millisecond
)

var (
	// ErrNoFreeSlot is returned if the maximum number of processes of the proxy is already running.
	ErrNoFreeSlot = errors.New("all process slots are taken")
	// ErrStateLocked is returned if another process keeps the state file locked for longer than stateLockTimeout.
	ErrStateLocked = errors.New("state file is locked by another process")
)

// lockFile is a file whose locked bytes show which processes of a proxy are running and which accept connections.
type lockFile struct {
	file *os.File
	slot int64 // of this process
}

// openLockFile opens the file and reserves the first free process slot.
func openLockFile(path string) (*lockFile, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	l := &lockFile{file: file}
	for l.slot < processSlots {
		if l.lock(firstSlotByte+l.slot) == nil {
			return l, nil
		}
		l.slot++
	}
	file.Close()
	return nil, fmt.Errorf("%s: %w", path, ErrNoFreeSlot)
}

func (l *lockFile) close() { l.file.Close() }

// lock locks a byte. It doesn't wait: if another process holds the lock, it returns an error.
func (l *lockFile) lock(offset int64) error {
	return syscall.FcntlFlock(l.file.Fd(), fcntlSetOpenFileLock, byteLock(offset, syscall.F_WRLCK))
}

// unlock releases the lock on a byte. It ignores errors, because the lock is released at the latest when the process
// exits.
func (l *lockFile) unlock(offset int64) {
	_ = syscall.FcntlFlock(l.file.Fd(), fcntlSetOpenFileLock, byteLock(offset, syscall.F_UNLCK))
}

// lockState locks stateByte, and waits up to stateLockTimeout for it. The caller unlocks stateByte.
func (l *lockFile) lockState() error {
	deadline := time.Now().Add(stateLockTimeout)
	for l.lock(stateByte) != nil {
		if time.Now().After(deadline) {
			return ErrStateLocked
		}
		time.Sleep(stateLockInterval)
	}
	return nil
}

// heldByOthers counts the slots whose byte is locked by another process, in the range of bytes that begins at first.
func (l *lockFile) heldByOthers(first int64) int {
	held := 0
	for offset := first; offset < first+processSlots; offset++ {
		if l.isHeldByOther(offset) {
			held++
		}
	}
	return held
}

// isHeldByOther reports whether another process has locked a byte.
func (l *lockFile) isHeldByOther(offset int64) bool {
	query := byteLock(offset, syscall.F_WRLCK)
	err := syscall.FcntlFlock(l.file.Fd(), fcntlGetOpenFileLock, query)
	return err == nil && query.Type != syscall.F_UNLCK
}

func byteLock(offset int64, lockType int16) *syscall.Flock_t {
	return &syscall.Flock_t{Type: lockType, Whence: io.SeekStart, Start: offset, Len: 1}
}
