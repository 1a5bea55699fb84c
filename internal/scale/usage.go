package scale

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

const selfPID = 0 // denotes the tool's own process in place of a process ID

// Usage is the resource usage of a process since its start, and its current memory.
type Usage struct {
	CPU       time.Duration // user and system time of all threads
	Resident  int64         // resident memory in bytes
	Anonymous int64         // the part of Resident that is heap and stacks
	Peak      int64         // highest Resident so far
	// Bytes and number of read and write calls, on sockets as well as files.
	ReadBytes, WrittenBytes int64
	ReadCalls, WriteCalls   int64
}

// Minus returns the usage between an earlier measurement and u. The memory fields stay those of u.
func (u Usage) Minus(earlier Usage) Usage {
	u.CPU -= earlier.CPU
	u.ReadBytes -= earlier.ReadBytes
	u.WrittenBytes -= earlier.WrittenBytes
	u.ReadCalls -= earlier.ReadCalls
	u.WriteCalls -= earlier.WriteCalls
	return u
}

// processUsage reads a process's usage from /proc and its CPU clock.
func processUsage(pid int) (Usage, error) {
	cpu, err := cpuTime(pid)
	if err != nil {
		return Usage{}, err
	}
	status, err := procFields(pid, "status")
	if err != nil {
		return Usage{}, err
	}
	io, err := procFields(pid, "io")
	if err != nil {
		return Usage{}, err
	}
	const kib = 1 << 10
	return Usage{CPU: cpu,
		Resident: status["VmRSS"] * kib, Anonymous: status["RssAnon"] * kib, Peak: status["VmHWM"] * kib,
		ReadBytes: io["rchar"], WrittenBytes: io["wchar"], ReadCalls: io["syscr"], WriteCalls: io["syscw"]}, nil
}

// residentMemory returns a process's resident memory in bytes. It is cheaper than processUsage.
func residentMemory(pid int) (int64, error) {
	data, err := os.ReadFile(procFile(pid, "statm"))
	if err != nil {
		return 0, err
	}
	words := strings.Fields(string(data))
	const residentPages = 1 // index of the field
	if len(words) <= residentPages {
		return 0, fmt.Errorf("memory of process %d: unknown format %q", pid, data)
	}
	pages, err := strconv.ParseInt(words[residentPages], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// cpuTime returns a process's CPU time from its CPU clock, which counts nanoseconds, while /proc counts ticks of 10 ms.
func cpuTime(pid int) (time.Duration, error) {
	const (
		schedClock = 2 // CPUCLOCK_SCHED: user and system time
		pidShift   = 3 // position of the process ID in a clock ID
	)
	clock := uintptr(^pid<<pidShift | schedClock)
	var t syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clock, uintptr(unsafe.Pointer(&t)), 0)
	if errno != 0 {
		return 0, fmt.Errorf("CPU time of process %d: %w", pid, errno)
	}
	return time.Duration(t.Nano()), nil
}

// procFields reads a file of /proc with "name: number" on each line. Other lines are ignored.
func procFields(pid int, file string) (map[string]int64, error) {
	data, err := os.ReadFile(procFile(pid, file))
	if err != nil {
		return nil, err
	}
	return parseFields(string(data)), nil
}

func procFile(pid int, file string) string {
	if pid == selfPID {
		return "/proc/self/" + file
	}
	return "/proc/" + strconv.Itoa(pid) + "/" + file
}

func parseFields(text string) map[string]int64 {
	fields := map[string]int64{}
	for line := range strings.Lines(text) {
		name, rest, _ := strings.Cut(line, ":")
		words := strings.Fields(rest)
		if len(words) == 0 {
			continue
		}
		if n, err := strconv.ParseInt(words[0], 10, 64); err == nil {
			fields[name] = n
		}
	}
	return fields
}

// machineMemory returns the memory of this machine in bytes. It returns 0 if that is unknown, so that a run may use
// none.
func machineMemory() int64 {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	return parseFields(string(data))["MemTotal"] << 10
}

// isProcessGone reports whether an error from reading a process's usage means that the process has ended.
func isProcessGone(err error) bool {
	return errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) || errors.Is(err, syscall.EINVAL)
}
