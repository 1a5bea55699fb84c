package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// progress shows the progress of a run: one line that is overwritten on a terminal, separate lines elsewhere.
type progress struct {
	mu       sync.Mutex // guards writes to out
	out      io.Writer
	terminal bool
	started  time.Time
}

// eraseLine is the control sequence that moves a terminal's cursor to the start of the line and clears the line.
const eraseLine = "\r\033[K"

func newProgress(out io.Writer, started time.Time) *progress {
	return &progress{out: out, terminal: isTerminal(out), started: started}
}

func isTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// show shows one line. It ignores write errors, as a run can go on without its progress being shown.
func (p *progress) show(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	line := fmt.Sprintf("[%4.0fs] ", time.Since(p.started).Seconds()) + fmt.Sprintf(format, args...)
	if p.terminal {
		fmt.Fprint(p.out, eraseLine+line)
		return
	}
	fmt.Fprintln(p.out, line)
}

// clear removes the line from a terminal.
func (p *progress) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminal {
		fmt.Fprint(p.out, eraseLine)
	}
}
