package scale

import (
	"bytes"
	"context"
	"errors"
	"math"
	"os"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

func testResult() Result {
	return Result{Experiment: "sample", Started: time.Date(2026, 12, 2, 5, 6, 7, 0, time.UTC), Duration: 90 * time.Second,
		Seed: 3, Commit: "abc+changes", Machine: Machine{"linux/amd64", "go1", 8, []int{0, 1}},
		Figures: []Figure{
			{Case: "idle", Quantity: "memory", Unit: "MiB", Value: 12.3456, Target: Target(32), Source: RealProxy},
			{Case: "a|b", Quantity: "calls", Unit: "1", Value: 123456.7, Target: Target(5), Source: HollowProxy, Samples: 9},
		}, Notes: []string{"one note"}}
}

func TestResultWriteAndReadGiveSameResult(t *testing.T) {
	folder := t.TempDir()
	written := testResult()
	path, err := written.Write(folder)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(path, "sample-20261202T050607Z-seed3.json") {
		t.Errorf("written to %s", path)
	}
	read, err := ReadResult(path)
	if err != nil || !reflect.DeepEqual(read, written) {
		t.Errorf("wrote %+v, read %+v, %v", written, read, err)
	}
	if paths, err := StoredResults(folder); err != nil || !slices.Equal(paths, []string{path}) {
		t.Errorf("listed %v, %v", paths, err)
	}
}

func TestResultWriteInvalidResultGivesError(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Result)
		want   string // in the error
	}{
		{"no experiment", func(r *Result) { r.Experiment = "" }, "experiment is missing"},
		{"no unit", func(r *Result) { r.Figures[1].Unit = "" }, "figures[1]: quantity, unit or source is missing"},
		{"not a number", func(r *Result) { r.Figures[0].Value = math.NaN() }, "NaN is not finite"},
		{"infinite", func(r *Result) { r.Figures[0].Value = math.Inf(1) }, "+Inf is not finite"},
	} {
		t.Run(test.name, func(t *testing.T) {
			result := testResult()
			test.change(&result)
			if _, err := result.Write(t.TempDir()); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want %q in it", err, test.want)
			}
		})
	}
}

func TestReadResultIncompleteFileGivesError(t *testing.T) {
	path := t.TempDir() + "/half.json"
	if err := os.WriteFile(path, []byte(`{"experiment":`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadResult(path); err == nil || !strings.Contains(err.Error(), "half.json") {
		t.Errorf("got error %v, want the file's name in it", err)
	}
}

func TestTablesShowFiguresWithTargets(t *testing.T) {
	var table, markdown bytes.Buffer
	if err := errors.Join(WriteTable(&table, testResult()), WriteMarkdown(&markdown, testResult())); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(table.String(), "\n")
	wants := [][]string{
		{"sample:", "2026-12-02T05:06:07Z,", "commit", "abc+changes,", "seed", "3,"},
		{"CASE", "QUANTITY", "VALUE", "UNIT", "TARGET", "MET", "SOURCE", "SAMPLES"},
		{"idle", "memory", "12.35", "MiB", "<=", "32", "yes", "real", "proxy"},
		{"a|b", "calls", "123457", "1", "<=", "5", "NO", "hollow", "proxies", "9"},
		{"note:", "one", "note"},
	}
	for i, want := range wants {
		if got := strings.Fields(lines[i]); len(got) < len(want) || !slices.Equal(got[:len(want)], want) {
			t.Errorf("line %d: got %q, want %q", i, got, want)
		}
	}
	for _, row := range []string{"| idle | memory | 12.35 | MiB | <= 32 | yes | real proxy |  |\n",
		"| a\\|b | calls | 123457 | 1 | <= 5 | NO | hollow proxies | 9 |\n", "\n- one note\n"} {
		if !strings.Contains(markdown.String(), row) {
			t.Errorf("%q is not in %q", row, markdown.String())
		}
	}
	for i, want := range []bool{true, false} {
		if figure := testResult().Figures[i]; figure.MeetsTarget() != want {
			t.Errorf("%s meets its target: %v, want %v", figure.Quantity, figure.MeetsTarget(), want)
		}
	}
}

func TestBudgetOverLimitGivesLimitError(t *testing.T) {
	budget := NewBudget()
	for range MaxProcesses {
		if err := budget.AcquireProcess(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	var limit *LimitError
	if err := budget.AcquireProcess(t.Context()); !errors.As(err, &limit) {
		t.Errorf("acquire process %d: %v", MaxProcesses+1, err)
	}
	if _, err := StartProgram(t.Context(), Env{Budget: budget}, Program{Path: os.Args[0]}); !errors.As(err, &limit) {
		t.Errorf("start of a program over the process limit: %v", err)
	}
	budget.ReleaseProcess()
	if err := budget.AcquireProcess(t.Context()); err != nil {
		t.Errorf("after the release of a process: %v", err)
	}
	half := machineMemory() / 2
	budget.LowerMemoryLimit(1 << 62)
	if half == 0 || budget.maxMemory != half {
		t.Errorf("limit %d, half of the machine's memory is %d", budget.maxMemory, half)
	}
	budget.LowerMemoryLimit(1)
	if err := budget.WatchMemory(t.Context()); !errors.As(err, &limit) {
		t.Errorf("over the memory limit: %v", err)
	}
}

const readyWord = "ready"

// startProgram starts a program that uses some CPU time and then waits until it is stopped.
func startProgram(t *testing.T, ctx context.Context, budget *Budget, cores []int) *Process {
	t.Helper()
	script := "i=0; while [ $i -lt 20000 ]; do i=$((i+1)); done; echo " + readyWord + "; exec cat <>" + fifo(t)
	log := make(chanWriter, 1)
	process, err := StartProgram(ctx, Env{Budget: budget}, Program{Path: "/bin/sh", Args: []string{"-c", script},
		Cores: cores, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	if word := <-log; word != readyWord+"\n" {
		t.Fatalf("the program wrote %q", word)
	}
	return process
}

// chanWriter sends everything written to it as strings on the channel.
type chanWriter chan string

func (c chanWriter) Write(data []byte) (int, error) {
	c <- string(data)
	return len(data), nil
}

// fifo creates a named pipe and returns its path.
func fifo(t *testing.T) string {
	t.Helper()
	path := t.TempDir() + "/fifo"
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestProcessReportsUsageUntilItEnds(t *testing.T) {
	budget := NewBudget()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	process := startProgram(t, ctx, budget, nil)
	usage, err := process.Usage()
	if err != nil || usage.Resident <= 0 || usage.Peak < usage.Resident || usage.CPU <= 0 {
		t.Errorf("usage %+v, %v", usage, err)
	}
	own, err := residentMemory(selfPID)
	if err != nil {
		t.Fatal(err)
	}
	if total, err := budget.Memory(); err != nil || total <= own/2 || budget.Processes() != 1 {
		t.Errorf("%d processes, %d bytes in total, %d bytes of the tool itself, %v", budget.Processes(), total, own, err)
	}
	cancel()
	<-process.Ended()
	if _, err := process.Usage(); !errors.Is(err, ErrProcessEnded) {
		t.Errorf("usage after the end: %v", err)
	}
	if err := process.Signal(syscall.SIGTERM); !errors.Is(err, ErrProcessEnded) {
		t.Errorf("signal after the end: %v", err)
	}
	if err := process.Err(); err == nil || !strings.Contains(err.Error(), "terminated") {
		t.Errorf("ended with %v", err)
	}
	if budget.Processes() != 0 {
		t.Errorf("%d processes", budget.Processes())
	}
	if _, err := StartProgram(ctx, Env{Budget: budget}, Program{Path: "/bin/sh"}); !errors.Is(err, context.Canceled) {
		t.Errorf("start after the end of the context: %v", err)
	}
}

func TestStopAllEndsEveryProcess(t *testing.T) {
	budget := NewBudget()
	processes := []*Process{startProgram(t, t.Context(), budget, nil), startProgram(t, t.Context(), budget, nil)}
	budget.StopAll()
	for _, process := range processes {
		select {
		case <-process.Ended():
		default:
			t.Error("a process still runs")
		}
	}
}

func TestProcessRunsOnItsCores(t *testing.T) {
	allowed, err := AllowedCores()
	if err != nil || len(allowed) == 0 {
		t.Fatalf("cores %v, %v", allowed, err)
	}
	last := allowed[len(allowed)-1:]
	process := startProgram(t, t.Context(), NewBudget(), last)
	defer process.Kill()
	mask, err := threadMask(process.PID())
	if err != nil || !slices.Equal(mask.cores(), last) {
		t.Errorf("the process runs on %v, %v; want %v", mask.cores(), err, last)
	}
	if now, err := AllowedCores(); err != nil || !slices.Equal(now, allowed) {
		t.Errorf("the tool runs on %v, %v; want %v", now, err, allowed)
	}
	if _, err := StartProgram(t.Context(), Env{Budget: NewBudget()}, Program{Path: "/bin/sh", Cores: []int{-1}}); err == nil {
		t.Error("core -1: no error")
	}
}

func TestReservePortGivesDistinctPorts(t *testing.T) {
	port, err := reservePort()
	if err != nil {
		t.Fatal(err)
	}
	defer port.close()
	if !strings.HasPrefix(port.address, "127.0.0.1:") || strings.HasSuffix(port.address, ":0") {
		t.Errorf("reserved %s", port.address)
	}
	other, err := reservePort()
	if err != nil {
		t.Fatal(err)
	}
	defer other.close()
	if other.address == port.address {
		t.Errorf("%s is reserved twice", port.address)
	}
}
