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

// The test binary stands in for the command, and for the processes that experiments start.
const (
	roleVariable   = "SCALE_TEST_ROLE"
	meetVariable   = "SCALE_TEST_MEET" // where children report to the test
	commandRole    = "command"
	childRole      = "child"
	stubbornRole   = "stubborn child" // heeds no SIGTERM
	fakeProxyRole  = "proxy that ends at once"
	children       = 3
	hurriedPeriod  = 100 * time.Millisecond // for experiments that never return
	testPatience   = time.Minute
	childStartWord = "here\n"
)

func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case commandRole:
		app := application{experiments: testExperiments(), out: os.Stdout, errors: os.Stderr, endPatience: hurriedPeriod}
		os.Exit(app.main(os.Args[1:]))
	case childRole:
		live()
	case stubbornRole:
		signal.Ignore(syscall.SIGTERM)
		live()
	case fakeProxyRole:
		fmt.Fprintln(os.Stderr, "some word of the program\nno settings here")
		os.Exit(3)
	default:
		os.Exit(m.Run())
	}
}

// live reports to the test, and stays until it is ended.
func live() {
	conn, err := net.Dial("tcp", os.Getenv(meetVariable))
	if err == nil {
		_, err = io.WriteString(conn, childStartWord)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	_, _ = io.Copy(io.Discard, conn) // to the end of the test
}

func testExperiments() []scale.Experiment {
	waits := func(role string) func(context.Context, scale.Env) (scale.Result, error) {
		return func(ctx context.Context, env scale.Env) (scale.Result, error) {
			if err := startChildren(ctx, env, role); err != nil {
				return scale.Result{}, err
			}
			<-ctx.Done()
			return scale.Result{}, ctx.Err()
		}
	}
	return []scale.Experiment{
		{Name: "quick", Summary: "gives two figures at once", Run: quick},
		{Name: "waits", Summary: "has children until it is ended", Run: waits(childRole)},
		{Name: "stubborn", Summary: "has children that heed no SIGTERM", Run: waits(stubbornRole)},
		{Name: "deaf", Summary: "never returns", Run: deaf},
		{Name: "forgetful", Summary: "returns with its children at work", Run: forgetful},
		{Name: "greedy", Summary: "takes memory without end", Run: greedy},
		{Name: "crowded", Summary: "starts processes without end", Run: crowded},
		{Name: "panics", Summary: "has children and panics", Run: panics},
		{Name: "proxied", Summary: "starts a real proxy", NeedsProxy: true, Run: proxied},
	}
}

func startChildren(ctx context.Context, env scale.Env, role string) error {
	for range children {
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
		{Case: "idle", Quantity: "memory", Unit: "MiB", Value: 33, Target: scale.Target(32), Source: scale.StandIn},
		{Case: "idle", Quantity: "draw", Unit: "of 1", Value: float64(env.Seed), Source: scale.StandIn, Samples: 2},
	}, Notes: []string{"a note"}}, nil
}

func deaf(ctx context.Context, env scale.Env) (scale.Result, error) {
	if err := startChildren(ctx, env, childRole); err != nil {
		return scale.Result{}, err
	}
	select {}
}

func forgetful(ctx context.Context, env scale.Env) (scale.Result, error) {
	return scale.Result{}, startChildren(ctx, env, childRole)
}

func greedy(ctx context.Context, env scale.Env) (scale.Result, error) {
	if err := startChildren(ctx, env, childRole); err != nil {
		return scale.Result{}, err
	}
	const piece, most = 8 << 20, 64 // 512 MiB in all, should the limit not hold
	var taken [][]byte
	for len(taken) < most {
		taken = append(taken, bytes.Repeat([]byte{1}, piece))
	}
	<-ctx.Done()
	return scale.Result{Notes: []string{fmt.Sprint(len(taken))}}, ctx.Err()
}

func crowded(ctx context.Context, env scale.Env) (scale.Result, error) {
	for {
		if err := env.Budget.StartProcess(ctx); err != nil {
			return scale.Result{}, err
		}
	}
}

func panics(ctx context.Context, env scale.Env) (scale.Result, error) {
	if err := startChildren(ctx, env, childRole); err != nil {
		return scale.Result{}, err
	}
	// The test lets it go on once it has seen all children.
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
	panic("a fault of the experiment")
}

func proxied(ctx context.Context, env scale.Env) (scale.Result, error) {
	_, err := scale.StartProxy(ctx, env, scale.ProxyConfig{Name: "p", Discovery: "127.0.0.1:1",
		Settings: scale.DefaultSettings(scale.Pushed)})
	return scale.Result{}, err
}

// run is the command at work in a process of its own.
type run struct {
	t       *testing.T
	command *exec.Cmd
	stdin   io.WriteCloser
	out     bytes.Buffer
	errors  bytes.Buffer
	meet    net.Listener
	folder  string
}

func begin(t *testing.T, args ...string) *run {
	t.Helper()
	return beginIn(t, t.TempDir(), nil, args...)
}

func beginIn(t *testing.T, folder string, env []string, args ...string) *run {
	t.Helper()
	meet, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { meet.Close() })
	r := &run{t: t, meet: meet, folder: folder, command: exec.Command(os.Args[0], args...)}
	r.command.Dir = folder
	r.command.Env = append(os.Environ(), roleVariable+"="+commandRole, meetVariable+"="+meet.Addr().String(),
		"TMPDIR="+t.TempDir(),      // a command that is killed leaves its folder behind
		"GORACE=atexit_sleep_ms=0") // the race detector would have each command wait a second at its end
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

// child is the connection of a child that lives; it ends with the child.
type child struct{ net.Conn }

// children waits until all children have reported.
func (r *run) children() []child {
	r.t.Helper()
	_ = r.meet.(*net.TCPListener).SetDeadline(time.Now().Add(testPatience))
	var list []child
	for range children {
		conn, err := r.meet.Accept()
		if err != nil {
			r.t.Fatalf("a child did not report: %v; %s", err, r.errors.String())
		}
		r.t.Cleanup(func() { conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(testPatience))
		if word, err := bufio.NewReader(conn).ReadString('\n'); err != nil || word != childStartWord {
			r.t.Fatalf("a child said %q, %v", word, err)
		}
		list = append(list, child{conn})
	}
	return list
}

// expectGone fails if a child outlives the command.
func (r *run) expectGone(list []child) {
	r.t.Helper()
	for i, c := range list {
		if _, err := c.Read(make([]byte, 1)); err != io.EOF && !strings.Contains(fmt.Sprint(err), "reset") {
			r.t.Errorf("child %d is still there: %v", i, err)
		}
	}
}

// end waits for the command and returns its exit code.
func (r *run) end() int {
	r.t.Helper()
	late := time.AfterFunc(testPatience, func() { _ = r.command.Process.Kill() })
	defer late.Stop()
	_ = r.command.Wait() // the exit code tells
	return r.command.ProcessState.ExitCode()
}

// expectOneLine fails unless the command ended in vain with one line on standard error that has these words.
func (r *run) expectOneLine(words ...string) {
	r.t.Helper()
	code := r.end()
	text := r.errors.String()
	if code != exitFailed || strings.Count(text, "\n") != 1 || !strings.HasPrefix(text, "scale: ") {
		r.t.Errorf("exit code %d, error output %q", code, text)
	}
	for _, word := range words {
		if !strings.Contains(text, word) {
			r.t.Errorf("%q is not in %q", word, text)
		}
	}
	if kept, _ := scale.KeptResults(filepath.Join(r.folder, defaultFolder)); len(kept) > 0 {
		r.t.Errorf("kept %v", kept)
	}
}

func TestWhatCannotBeDoneIsOneLine(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"run", "nothing"}, `unknown experiment "nothing"; there are: crowded, deaf`},
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
		{[]string{"run", "crowded"}, "limit: 300 processes at once"},
	} {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			begin(t, c.args...).expectOneLine(c.want)
		})
	}
}

func TestAResultIsShownAndKept(t *testing.T) {
	r := begin(t, "run", "quick", "--seed", "7")
	if code := r.end(); code != 0 || !strings.Contains(r.errors.String(), "half of 2") {
		t.Fatalf("exit code %d, error output %q", code, r.errors.String())
	}
	kept, err := scale.KeptResults(filepath.Join(r.folder, defaultFolder))
	if err != nil || len(kept) != 1 {
		t.Fatalf("kept %v, %v", kept, err)
	}
	result, err := scale.ReadResult(kept[0])
	if err != nil {
		t.Fatal(err)
	}
	if result.Experiment != "quick" || result.Seed != 7 || len(result.Figures) != 2 || result.Figures[1].Value != 7 ||
		result.Started.IsZero() || len(result.Machine.Allowed) == 0 {
		t.Errorf("kept %+v", result)
	}
	report := beginIn(t, r.folder, nil, "report")
	if code := report.end(); code != 0 || !strings.HasPrefix(r.out.String(), report.out.String()) {
		t.Errorf("exit code %d: the report %q is not what was shown first, %q", code, report.out.String(), r.out.String())
	}
	markdown := beginIn(t, r.folder, nil, "report", "--markdown", kept[0])
	row := "| idle | memory | 33 | MiB | <= 32 | NO | stand-in |  |"
	if code := markdown.end(); code != 0 || !strings.Contains(markdown.out.String(), row) {
		t.Errorf("exit code %d: no row %q in %q", code, row, markdown.out.String())
	}
}

func TestExperimentsAreListed(t *testing.T) {
	r := begin(t, "list")
	if code := r.end(); code != 0 || strings.Count(r.out.String(), "\n") != len(testExperiments()) {
		t.Errorf("exit code %d: %q", code, r.out.String())
	}
}

func TestHelpNamesTheFlags(t *testing.T) {
	r := begin(t, "run", "--help")
	code := r.end()
	for _, flag := range []string{"--seed", "--small", "--out", "--proxy", "--timeout", "--cpus", "--memory-mb"} {
		if !strings.Contains(r.out.String(), flag) {
			t.Errorf("%s is not in %q", flag, r.out.String())
		}
	}
	if code != 0 {
		t.Errorf("exit code %d", code)
	}
}

func TestNothingIsLeftAfterASignal(t *testing.T) {
	for _, name := range []string{"waits", "deaf"} {
		for _, signal := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM} {
			t.Run(name+" "+signal.String(), func(t *testing.T) {
				r := begin(t, "run", name)
				list := r.children()
				if err := r.command.Process.Signal(signal); err != nil {
					t.Fatal(err)
				}
				r.expectOneLine("ended by a signal: " + signal.String())
				r.expectGone(list)
			})
		}
	}
}

func TestNothingIsLeftOfProcessesThatHeedNoSignal(t *testing.T) {
	t.Parallel()
	r := begin(t, "run", "stubborn")
	list := r.children()
	if err := r.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	r.expectOneLine("ended by a signal")
	r.expectGone(list)
}

func TestNothingIsLeftAfterTheTime(t *testing.T) {
	t.Parallel()
	r := begin(t, "run", "waits", "--timeout", "8s") // time enough for the children to report
	list := r.children()
	r.expectOneLine("passed its limit: a time of 8s (--timeout)")
	r.expectGone(list)
}

func TestNothingIsLeftOverTheMemory(t *testing.T) {
	r := begin(t, "run", "greedy", "--memory-mb", "300")
	list := r.children()
	r.expectOneLine("passed its limit: 300 MiB of memory")
	r.expectGone(list)
}

func TestNothingIsLeftWhereTheExperimentForgets(t *testing.T) {
	r := begin(t, "run", "forgetful")
	if code := r.end(); code != 0 {
		t.Errorf("exit code %d: %s", code, r.errors.String())
	}
	r.expectNoneWaiting()
}

// expectNoneWaiting fails if a child that had reported, or had begun to, is still there.
func (r *run) expectNoneWaiting() {
	r.t.Helper()
	_ = r.meet.(*net.TCPListener).SetDeadline(time.Now().Add(hurriedPeriod))
	for {
		conn, err := r.meet.Accept()
		if err != nil {
			return
		}
		r.expectGoneAfterWord(conn)
	}
}

func (r *run) expectGoneAfterWord(conn net.Conn) {
	r.t.Helper()
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testPatience))
	if _, err := io.ReadAll(conn); err != nil && !strings.Contains(err.Error(), "reset") {
		r.t.Errorf("a child is still there: %v", err)
	}
}

func TestNothingIsLeftAfterAPanicOrAKill(t *testing.T) {
	r := begin(t, "run", "panics")
	list := r.children()
	if _, err := io.WriteString(r.stdin, "\n"); err != nil {
		t.Fatal(err)
	}
	if code := r.end(); code == 0 {
		t.Error("exit code 0")
	}
	r.expectGone(list)

	r = begin(t, "run", "waits")
	list = r.children()
	if err := r.command.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	r.end()
	r.expectGone(list)
}

func TestAProxyThatEndsIsOneLine(t *testing.T) {
	program := filepath.Join(t.TempDir(), "proxy")
	script := fmt.Sprintf("#!/bin/sh\n%s=%q exec %q\n", roleVariable, fakeProxyRole, os.Args[0])
	if err := os.WriteFile(program, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	begin(t, "run", "proxied", "--proxy", program).expectOneLine("proxy p", "exit status 3", "no settings here")
}
