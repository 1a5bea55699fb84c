package scale

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"syscall"
	"unsafe"
)

const (
	maxCores = 1024 // number of cores that a coreMask can hold
	wordBits = 64   // bits in one element of a coreMask
)

// coreMask is a set of CPU cores as a bit mask, in the format of sched_setaffinity.
type coreMask [maxCores / wordBits]uint64

func maskOf(cores []int) (coreMask, error) {
	var mask coreMask
	for _, core := range cores {
		if core < 0 || core >= maxCores {
			return mask, fmt.Errorf("core %d: out of range", core)
		}
		mask[core/wordBits] |= 1 << (core % wordBits)
	}
	return mask, nil
}

func (m coreMask) cores() []int {
	var list []int
	for core := range maxCores {
		if m[core/wordBits]&(1<<(core%wordBits)) != 0 {
			list = append(list, core)
		}
	}
	return list
}

// threadMask returns the cores on which a thread may run. Thread 0 is the calling thread.
func threadMask(thread int) (coreMask, error) {
	var mask coreMask
	_, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, uintptr(thread), unsafe.Sizeof(mask),
		uintptr(unsafe.Pointer(&mask)))
	if errno != 0 {
		return mask, fmt.Errorf("get the cores of thread %d: %w", thread, errno)
	}
	return mask, nil
}

func setThreadMask(thread int, mask coreMask) error {
	_, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, uintptr(thread), unsafe.Sizeof(mask),
		uintptr(unsafe.Pointer(&mask)))
	if errno != 0 {
		return fmt.Errorf("set the cores of thread %d to %v: %w", thread, mask.cores(), errno)
	}
	return nil
}

// MachineCores returns the number of the machine's cores, including those that the tool may not use.
func MachineCores() int {
	folders, err := filepath.Glob("/sys/devices/system/cpu/cpu[0-9]*")
	if err != nil || len(folders) == 0 {
		return runtime.NumCPU()
	}
	return len(folders)
}

// AllowedCores returns the cores on which the tool may run.
func AllowedCores() ([]int, error) {
	mask, err := threadMask(0)
	return mask.cores(), err
}

// pacingGoroutines is the number of goroutines that may hold a processor of the Go scheduler while they sleep in a
// system call, as load generators do. GOMAXPROCS is raised by this number, so that other goroutines can run meanwhile.
const pacingGoroutines = 2

// RestrictToCores restricts every thread of the tool to the given cores, and sets GOMAXPROCS to their number plus
// pacingGoroutines.
func RestrictToCores(cores []int) error {
	mask, err := maskOf(cores)
	if err != nil {
		return err
	}
	for range 2 { // a thread that starts during the first pass may inherit the previous mask
		if err := setAllThreads(mask); err != nil {
			return err
		}
	}
	runtime.GOMAXPROCS(len(cores) + pacingGoroutines)
	return nil
}

func setAllThreads(mask coreMask) error {
	threads, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return err
	}
	for _, thread := range threads {
		id, err := strconv.Atoi(thread.Name())
		if err != nil {
			return fmt.Errorf("thread %q: %w", thread.Name(), err)
		}
		if err := setThreadMask(id, mask); err != nil && !errors.Is(err, syscall.ESRCH) {
			return err
		}
	}
	return nil
}

// WithSeparateCores calls measure with the last of the cores, on which measure is to run the proxies, and restricts the
// tool to the other cores meanwhile. If there is only one core, the tool and the proxies share it. When
// WithSeparateCores returns, the tool may use all of the cores again.
func WithSeparateCores(cores []int, measure func(forProxies []int) (Result, error)) (result Result, err error) {
	if len(cores) < 2 {
		return measure(cores)
	}
	last := len(cores) - 1
	if err := RestrictToCores(cores[:last]); err != nil {
		return Result{}, err
	}
	defer func() {
		if restoreErr := RestrictToCores(cores); err == nil {
			err = restoreErr
		}
	}()
	return measure(cores[last:])
}
