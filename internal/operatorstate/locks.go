package operatorstate

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"
)

// Bytes of the lock file. Other versions of the program that run beside this one lock the same bytes.
const (
	stateByte          = 0 // locked while the state file is replaced
	firstSlotByte      = 1 // each process locks one slot's byte for as long as it lives
	processSlots       = 8
	firstAcceptingByte = firstSlotByte + processSlots // and the one of the same slot here while it accepts connections
)

// Commands of fcntl for locks that belong to an open file instead of a process: they end with it, however it ends.
const (
	fcntlGetOpenFileLock = 36
	fcntlSetOpenFileLock = 37
)

const (
	stateLockTimeout  = 500 * time.Millisecond
	stateLockInterval = 5 * time.Millisecond
)

var (
	// ErrNoFreeSlot is returned where as many processes of the proxy live as can share a state.
	ErrNoFreeSlot = errors.New("all process slots are taken")
	// ErrStateLocked is returned where another process has been replacing the state file for too long.
	ErrStateLocked = errors.New("another process holds it")
)

// lockFile is a file whose locked bytes show the processes of a proxy to each other.
type lockFile struct {
	file *os.File
	slot int64 // this process's
}

// openLockFile opens the file and takes the first free process slot.
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

// lock locks a byte, or returns an error at once.
func (l *lockFile) lock(offset int64) error {
	return syscall.FcntlFlock(l.file.Fd(), fcntlSetOpenFileLock, byteLock(offset, syscall.F_WRLCK))
}

// unlock ends the lock of a byte. The end of the process does the same, so nothing depends on its success.
func (l *lockFile) unlock(offset int64) {
	_ = syscall.FcntlFlock(l.file.Fd(), fcntlSetOpenFileLock, byteLock(offset, syscall.F_UNLCK))
}

// lockState waits until it has locked the state file. The caller unlocks stateByte.
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

// heldByOthers counts the slots whose bytes other processes have locked, in the range that begins at first.
func (l *lockFile) heldByOthers(first int64) int {
	held := 0
	for offset := first; offset < first+processSlots; offset++ {
		query := byteLock(offset, syscall.F_WRLCK)
		err := syscall.FcntlFlock(l.file.Fd(), fcntlGetOpenFileLock, query)
		if err == nil && query.Type != syscall.F_UNLCK {
			held++
		}
	}
	return held
}

func byteLock(offset int64, lockType int16) *syscall.Flock_t {
	return &syscall.Flock_t{Type: lockType, Whence: io.SeekStart, Start: offset, Len: 1}
}
