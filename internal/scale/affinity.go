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

const maxCores = 1024

// coreMask is the kernel's set of cores.
type coreMask [maxCores / 64]uint64

func maskOf(cores []int) (coreMask, error) {
	var mask coreMask
	for _, core := range cores {
		if core < 0 || core >= maxCores {
			return mask, fmt.Errorf("core %d: no such core", core)
		}
		mask[core/64] |= 1 << (core % 64)
	}
	return mask, nil
}

func (m coreMask) cores() []int {
	var list []int
	for core := range maxCores {
		if m[core/64]&(1<<(core%64)) != 0 {
			list = append(list, core)
		}
	}
	return list
}

// threadMask reads the cores on which a thread may run; 0 is the calling one.
func threadMask(thread int) (coreMask, error) {
	var mask coreMask
	_, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, uintptr(thread), unsafe.Sizeof(mask),
		uintptr(unsafe.Pointer(&mask)))
	if errno != 0 {
		return mask, fmt.Errorf("cores of thread %d: %w", thread, errno)
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

// MachineCores counts the cores of the machine, also those that the tool may not use.
func MachineCores() int {
	folders, err := filepath.Glob("/sys/devices/system/cpu/cpu[0-9]*")
	if err != nil || len(folders) == 0 {
		return runtime.NumCPU()
	}
	return len(folders)
}

// AllowedCores lists the cores on which the tool may run.
func AllowedCores() ([]int, error) {
	mask, err := threadMask(0)
	return mask.cores(), err
}

// sleepers are goroutines that may hold a place of the scheduler while they sleep in the kernel, as those do that pace
// load.
const sleepers = 2

// RunOn keeps every thread of the tool on these cores.
func RunOn(cores []int) error {
	mask, err := maskOf(cores)
	if err != nil {
		return err
	}
	for range 2 { // a thread that was begun during the first pass may have the old set
		if err := setAllThreads(mask); err != nil {
			return err
		}
	}
	runtime.GOMAXPROCS(len(cores) + sleepers)
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

// Apart keeps the tool on all cores of the run but the last while it measures; that one is left to the proxies that are
// measured. With one core they share it. The tool has all cores of the run again when Apart returns.
func Apart(cores []int, measure func(forProxies []int) (Result, error)) (result Result, err error) {
	if len(cores) < 2 {
		return measure(cores)
	}
	last := len(cores) - 1
	if err := RunOn(cores[:last]); err != nil {
		return Result{}, err
	}
	defer func() {
		if undoErr := RunOn(cores); err == nil {
			err = undoErr
		}
	}()
	return measure(cores[last:])
}
