package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"baylock/internal/scale"
)

// The test binary also serves as the command, and as the processes that experiments start.
const (
	roleVariable      = "SCALE_TEST_ROLE"
	reportVariable    = "SCALE_TEST_REPORT" // address at which children report to the test
	commandRole       = "command"
	childRole         = "child"
	ignoreSIGTERMRole = "child that ignores SIGTERM"
	fakeProxyRole     = "proxy that exits at once"
	childCount        = 3
	testStopTimeout   = 100 * time.Millisecond // short, as some experiments never return
	testTimeout       = time.Minute
	childReport       = "started\n"
)

func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case commandRole:
		app := application{experiments: testExperiments(), out: os.Stdout, errors: os.Stderr, stopTimeout: testStopTimeout}
		os.Exit(app.main(os.Args[1:]))
	case childRole:
		runChild()
	case ignoreSIGTERMRole:
		signal.Ignore(syscall.SIGTERM)
		runChild()
	case fakeProxyRole:
		fmt.Fprintln(os.Stderr, "first line\nno settings here")
		os.Exit(3)
	default:
		os.Exit(m.Run())
	}
}

// runChild reports to the test, and runs until it is stopped.
func runChild() {
	conn, err := net.Dial("tcp", os.Getenv(reportVariable))
	if err == nil {
		_, err = io.WriteString(conn, childReport)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	_, _ = io.Copy(io.Discard, conn) // until the end of the test
}

func testExperiments() []scale.Experiment {
	waitWith := func(role string) func(context.Context, scale.Env) (scale.Result, error) {
		return func(ctx context.Context, env scale.Env) (scale.Result, error) {
			if err := startChildren(ctx, env, role); err != nil {
				return scale.Result{}, err
			}
			<-ctx.Done()
			return scale.Result{}, ctx.Err()
		}
	}
	return []scale.Experiment{
		{Name: "quick", Summary: "returns two figures at once", Run: quick},
		{Name: "waiting", Summary: "has children until it is stopped", Run: waitWith(childRole)},
		{Name: "stubborn", Summary: "has children that ignore SIGTERM", Run: waitWith(ignoreSIGTERMRole)},
		{Name: "unresponsive", Summary: "never returns", Run: unresponsive},
		{Name: "leaking", Summary: "returns while its children run", Run: leaking},
		{Name: "memory", Summary: "uses memory without end", Run: useMemory},
		{Name: "processes", Summary: "starts processes without end", Run: startProcesses},
		{Name: "panics", Summary: "has children and panics", Run: panics},
		{Name: "proxied", Summary: "starts a real proxy", NeedsProxy: true, Run: proxied},
	}
}

func startChildren(ctx context.Context, env scale.Env, role string) error {
	for range childCount {
		_, err := scale.StartProgram(ctx, env, scale.Program{Path: os.Args[0], Env: []string{roleVariable + "=" + role}})
		if err != nil {
			return err
		}
	}
	return nil
}

func quick(_ context.Context, env scale.Env) (scale.Result, error) {
	env.Progress("half of %d", 2)
	return scale.Result{Figures: []scale.Figure{
		{Case: "idle", Quantity: "memory", Unit: "MiB", Value: 33, Target: scale.Target(32), Source: scale.Emulator},
		{Case: "idle", Quantity: "draw", Unit: "of 1", Value: float64(env.Seed), Source: scale.Emulator, Samples: 2},
	}, Notes: []string{"a note"}}, nil
}

func unresponsive(ctx context.Context, env scale.Env) (scale.Result, error) {
	if err := startChildren(ctx, env, childRole); err != nil {
		return scale.Result{}, err
	}
	select {}
}

func leaking(ctx context.Context, env scale.Env) (scale.Result, error) {
	return scale.Result{}, startChildren(ctx, env, childRole)
}

func useMemory(ctx context.Context, env scale.Env) (scale.Result, error) {
	if err := startChildren(ctx, env, childRole); err != nil {
		return scale.Result{}, err
	}
	const blockBytes, maxBlocks = 8 << 20, 64 // 512 MiB in all, if the limit fails
	var blocks [][]byte
	for len(blocks) < maxBlocks {
		blocks = append(blocks, bytes.Repeat([]byte{1}, blockBytes))
	}
	<-ctx.Done()
	return scale.Result{Notes: []string{fmt.Sprint(len(blocks))}}, ctx.Err()
}

func startProcesses(ctx context.Context, env scale.Env) (scale.Result, error) {
	for {
		if err := env.Budget.AcquireProcess(ctx); err != nil {
			return scale.Result{}, err
		}
	}
}

func panics(ctx context.Context, env scale.Env) (scale.Result, error) {
	if err := startChildren(ctx, env, childRole); err != nil {
		return scale.Result{}, err
	}
	// The test writes a line once all children have reported.
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
	panic("fault of the experiment")
}

func proxied(ctx context.Context, env scale.Env) (scale.Result, error) {
	_, err := scale.StartProxy(ctx, env, scale.ProxyConfig{Name: "p", Discovery: "127.0.0.1:1",
		Settings: scale.DefaultSettings(scale.Pushed)})
	return scale.Result{}, err
}

// commandRun is a run of the command in a separate process.
type commandRun struct {
	t       *testing.T
	command *exec.Cmd
	stdin   io.WriteCloser
	out     bytes.Buffer
	errors  bytes.Buffer
	reports net.Listener // accepts the connections of the children
	folder  string       // working directory of the command
}

func startCommand(t *testing.T, args ...string) *commandRun {
	t.Helper()
	return startCommandIn(t, t.TempDir(), nil, args...)
}

func startCommandIn(t *testing.T, folder string, env []string, args ...string) *commandRun {
	t.Helper()
	reports, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { reports.Close() })
	r := &commandRun{t: t, reports: reports, folder: folder, command: exec.Command(os.Args[0], args...)}
	r.command.Dir = folder
	r.command.Env = append(os.Environ(), roleVariable+"="+commandRole, reportVariable+"="+reports.Addr().String(),
		"TMPDIR="+t.TempDir(),      // a killed command doesn't remove its temporary folder
		"GORACE=atexit_sleep_ms=0") // by default, the race detector makes each command wait for a second before it exits
	r.command.Env = append(r.command.Env, env...)
	r.command.Stdout, r.command.Stderr = &r.out, &r.errors
	if r.stdin, err = r.command.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	if err := r.command.Start(); err != nil {
		t.Fatal(err)
	}
	return r
}

// child is the connection of a child process. It is closed when the child ends.
type child struct{ net.Conn }

// waitForChildren waits until all children have reported.
func (r *commandRun) waitForChildren() []child {
	r.t.Helper()
	_ = r.reports.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	var children []child
	for range childCount {
		conn, err := r.reports.Accept()
		if err != nil {
			r.t.Fatalf("a child did not report: %v; error output %q", err, r.errors.String())
		}
		r.t.Cleanup(func() { conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		if word, err := bufio.NewReader(conn).ReadString('\n'); err != nil || word != childReport {
			r.t.Fatalf("a child reported %q, %v", word, err)
		}
		children = append(children, child{conn})
	}
	return children
}

// expectEnded waits for the end of each child and fails the test if one is still running after testTimeout.
func (r *commandRun) expectEnded(children []child) {
	r.t.Helper()
	for i, c := range children {
		if _, err := c.Read(make([]byte, 1)); err != io.EOF && !strings.Contains(fmt.Sprint(err), "reset") {
			r.t.Errorf("child %d still runs: %v", i, err)
		}
	}
}

// wait waits for the command and returns its exit code.
func (r *commandRun) wait() int {
	r.t.Helper()
	timeout := time.AfterFunc(testTimeout, func() { _ = r.command.Process.Kill() })
	defer timeout.Stop()
	_ = r.command.Wait() // the exit code tells whether it failed
	return r.command.ProcessState.ExitCode()
}

// expectFailure fails the test unless the command failed with one line of error output that contains the words, and
// stored no result.
func (r *commandRun) expectFailure(words ...string) {
	r.t.Helper()
	code := r.wait()
	text := r.errors.String()
	if code != exitFailed || strings.Count(text, "\n") != 1 || !strings.HasPrefix(text, "scale: ") {
		r.t.Errorf("exit code %d, error output %q", code, text)
	}
	for _, word := range words {
		if !strings.Contains(text, word) {
			r.t.Errorf("%q is not in %q", word, text)
		}
	}
	if stored, _ := scale.StoredResults(filepath.Join(r.folder, defaultFolder)); len(stored) > 0 {
		r.t.Errorf("stored %v", stored)
	}
}

func TestCommandFailureGivesOneErrorLine(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"run", "nothing"}, `unknown experiment "nothing"; known experiments: leaking, memory, panics`},
		{[]string{"run", "quick", "--speed", "9"}, "unknown flag --speed"},
		{[]string{"run", "quick", "--seed", "low"}, "--seed"},
		{[]string{"run", "quick", "--timeout", "0s"}, "--timeout 0s"},
		{[]string{"run", "quick", "--cpus", "100000"}, "core 100000"},
		{[]string{"run", "quick", "--memory-mb=-4"}, "--memory-mb -4"},
		{[]string{"run", "quick", "--proxy", "absent"}, "--proxy absent: no such program; build it with: " + scale.BuildCommand},
		{[]string{"run", "proxied"}, "is missing; build it with: " + scale.BuildCommand},
		{[]string{"run"}, "<experiment>"},
		{[]string{"walk"}, "walk"},
		{[]string{"report", "absent.json"}, "absent.json"},
		{[]string{"report"}, defaultFolder},
		{[]string{"run", "processes"}, "limit: 300 processes at once"},
	} {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			startCommand(t, c.args...).expectFailure(c.want)
		})
	}
}

func TestRunShowsAndStoresResult(t *testing.T) {
	r := startCommand(t, "run", "quick", "--seed", "7")
	if code := r.wait(); code != 0 || !strings.Contains(r.errors.String(), "half of 2") {
		t.Fatalf("exit code %d, error output %q", code, r.errors.String())
	}
	stored, err := scale.StoredResults(filepath.Join(r.folder, defaultFolder))
	if err != nil || len(stored) != 1 {
		t.Fatalf("stored %v, %v", stored, err)
	}
	result, err := scale.ReadResult(stored[0])
	if err != nil {
		t.Fatal(err)
	}
	if result.Experiment != "quick" || result.Seed != 7 || len(result.Figures) != 2 || result.Figures[1].Value != 7 ||
		result.Started.IsZero() || len(result.Machine.Allowed) == 0 {
		t.Errorf("stored %+v", result)
	}
	report := startCommandIn(t, r.folder, nil, "report")
	if code := report.wait(); code != 0 || !strings.HasPrefix(r.out.String(), report.out.String()) {
		t.Errorf("exit code %d: got the report %q, want the beginning of %q", code, report.out.String(), r.out.String())
	}
	markdown := startCommandIn(t, r.folder, nil, "report", "--markdown", stored[0])
	row := "| idle | memory | 33 | MiB | <= 32 | NO | stand-in |  |"
	if code := markdown.wait(); code != 0 || !strings.Contains(markdown.out.String(), row) {
		t.Errorf("exit code %d: no row %q in %q", code, row, markdown.out.String())
	}
}

func TestListShowsEveryExperiment(t *testing.T) {
	r := startCommand(t, "list")
	if code := r.wait(); code != 0 || strings.Count(r.out.String(), "\n") != len(testExperiments()) {
		t.Errorf("exit code %d: %q", code, r.out.String())
	}
}

func TestRunHelpNamesFlags(t *testing.T) {
	r := startCommand(t, "run", "--help")
	code := r.wait()
	for _, flag := range []string{"--seed", "--small", "--out", "--proxy", "--timeout", "--cpus", "--memory-mb"} {
		if !strings.Contains(r.out.String(), flag) {
			t.Errorf("%s is not in %q", flag, r.out.String())
		}
	}
	if code != 0 {
		t.Errorf("exit code %d", code)
	}
}

func TestSignalEndsChildren(t *testing.T) {
	for _, name := range []string{"waiting", "unresponsive"} {
		for _, signal := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM} {
			t.Run(name+" "+signal.String(), func(t *testing.T) {
				r := startCommand(t, "run", name)
				children := r.waitForChildren()
				if err := r.command.Process.Signal(signal); err != nil {
					t.Fatal(err)
				}
				r.expectFailure("ended by a signal: " + signal.String())
				r.expectEnded(children)
			})
		}
	}
}

func TestSignalEndsChildrenThatIgnoreSIGTERM(t *testing.T) {
	t.Parallel()
	r := startCommand(t, "run", "stubborn")
	children := r.waitForChildren()
	if err := r.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	r.expectFailure("ended by a signal")
	r.expectEnded(children)
}

func TestTimeoutEndsChildren(t *testing.T) {
	t.Parallel()
	r := startCommand(t, "run", "waiting", "--timeout", "8s") // long enough for the children to report
	children := r.waitForChildren()
	r.expectFailure("exceeded its limit: a time of 8s (--timeout)")
	r.expectEnded(children)
}

func TestMemoryLimitEndsChildren(t *testing.T) {
	r := startCommand(t, "run", "memory", "--memory-mb", "300")
	children := r.waitForChildren()
	r.expectFailure("exceeded its limit: 300 MiB of memory")
	r.expectEnded(children)
}

func TestRunEndsChildrenOfReturnedExperiment(t *testing.T) {
	r := startCommand(t, "run", "leaking")
	if code := r.wait(); code != 0 {
		t.Errorf("exit code %d: %s", code, r.errors.String())
	}
	r.expectNoChild()
}

// expectNoChild fails the test if a child still runs that has reported or that reports within testStopTimeout.
func (r *commandRun) expectNoChild() {
	r.t.Helper()
	_ = r.reports.(*net.TCPListener).SetDeadline(time.Now().Add(testStopTimeout))
	for {
		conn, err := r.reports.Accept()
		if err != nil {
			return
		}
		r.expectEndedAfterReport(conn)
	}
}

// expectEndedAfterReport reads a child's report and fails the test if the child doesn't end within testTimeout.
func (r *commandRun) expectEndedAfterReport(conn net.Conn) {
	r.t.Helper()
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadAll(conn); err != nil && !strings.Contains(err.Error(), "reset") {
		r.t.Errorf("a child still runs: %v", err)
	}
}

func TestPanicEndsChildren(t *testing.T) {
	r := startCommand(t, "run", "panics")
	children := r.waitForChildren()
	if _, err := io.WriteString(r.stdin, "\n"); err != nil {
		t.Fatal(err)
	}
	if code := r.wait(); code == 0 {
		t.Error("exit code 0")
	}
	r.expectEnded(children)
}

func TestKillEndsChildren(t *testing.T) {
	r := startCommand(t, "run", "waiting")
	children := r.waitForChildren()
	if err := r.command.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	r.wait()
	r.expectEnded(children)
}

func TestProxyExitGivesOneErrorLine(t *testing.T) {
	program := filepath.Join(t.TempDir(), "proxy")
	script := fmt.Sprintf("#!/bin/sh\n%s=%q exec %q\n", roleVariable, fakeProxyRole, os.Args[0])
	if err := os.WriteFile(program, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	startCommand(t, "run", "proxied", "--proxy", program).expectFailure("proxy p", "exit status 3", "no settings here")
}
