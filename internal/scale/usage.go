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

const selfPID = 0 // stands for the tool's own process

// Usage is what a process has used since its start, and the memory that it holds now.
type Usage struct {
	CPU       time.Duration // user and system time, of all threads
	Resident  int64         // bytes of resident memory
	Anonymous int64         // the part of it that is no file: heap and stacks
	Peak      int64         // the most that Resident has been
	// What read and write calls have moved, on sockets as well as files.
	ReadBytes, WrittenBytes int64
	ReadCalls, WriteCalls   int64
}

// Minus gives what was used since an earlier look; memory stays as it is now.
func (u Usage) Minus(earlier Usage) Usage {
	u.CPU -= earlier.CPU
	u.ReadBytes -= earlier.ReadBytes
	u.WrittenBytes -= earlier.WrittenBytes
	u.ReadCalls -= earlier.ReadCalls
	u.WriteCalls -= earlier.WriteCalls
	return u
}

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

// residentMemory reads one figure only, since it is looked at often and for many processes.
func residentMemory(pid int) (int64, error) {
	data, err := os.ReadFile(procFile(pid, "statm"))
	if err != nil {
		return 0, err
	}
	words := strings.Fields(string(data))
	const residentPages = 1 // its place in the line
	if len(words) <= residentPages {
		return 0, fmt.Errorf("memory of process %d: unknown form %q", pid, data)
	}
	pages, err := strconv.ParseInt(words[residentPages], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// OwnCPU is the processor time that the tool's own process has used.
func OwnCPU() (time.Duration, error) { return cpuTime(selfPID) }

// cpuTime reads the clock of a process's CPU time, which counts nanoseconds where /proc counts in ticks of 10 ms.
func cpuTime(pid int) (time.Duration, error) {
	const (
		ownCPUClock = 2 // CLOCK_PROCESS_CPUTIME_ID
		schedClock  = 2 // CPUCLOCK_SCHED: user and system time
		pidShift    = 3
	)
	clock := uintptr(ownCPUClock)
	if pid != selfPID {
		clock = uintptr(^pid<<pidShift | schedClock)
	}
	var t syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clock, uintptr(unsafe.Pointer(&t)), 0)
	if errno != 0 {
		return 0, fmt.Errorf("CPU time of process %d: %w", pid, errno)
	}
	return time.Duration(t.Nano()), nil
}

// procFields reads a file of /proc that has "name: number" on each line; other lines are left out.
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

// machineMemory is the memory of this machine in bytes.
func machineMemory() int64 {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0 // nothing may be used of what can't be known
	}
	return parseFields(string(data))["MemTotal"] << 10
}

// gone tells whether an error of a look at a process means that it has ended.
func gone(err error) bool {
	return errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) || errors.Is(err, syscall.EINVAL)
}
