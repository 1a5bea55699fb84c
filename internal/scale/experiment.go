// Package scale is the framework of the scale tool: what an experiment is, what it is given, what it gives, and how a
// result is shown and kept. The experiments are in the folders below it, one each; cmd/scale is the command.
package scale

import (
	"context"
	"errors"
	"log/slog"
	"time"
)

// Experiment is one measurement of proxies at a size.
type Experiment struct {
	Name    string // one word, as given on the command line
	Summary string // one line: what it gives
	Run     func(ctx context.Context, env Env) (Result, error)

	NeedsProxy bool // it can't run without the real proxy's program
}

// ErrNoProxy says that the program of the real proxy is missing, and how to build it.
var ErrNoProxy = errors.New("the program of the real proxy is missing; build it with: " + BuildCommand)

// Env is what an experiment is given. It ends what it has started before Run returns, also when the context ends.
type Env struct {
	Seed         uint64 // for every random draw
	Small        bool   // a small and short form of the experiment, to try it
	ProxyProgram string // the path of the real proxy's program; empty if none was found
	TempDir      string // a folder of the run's own, removed after it
	Cores        []int  // on which the run may work; the tool itself is kept on them already
	Budget       *Budget
	Progress     func(format string, args ...any) // shows one line on the terminal
	Log          *slog.Logger
}

// Source tells what a figure was measured on.
type Source string

// The sources of figures.
const (
	RealProxy   Source = "real proxy"
	HollowProxy Source = "hollow proxies" // the real client of discovery and the real module, without sockets
	StandIn     Source = "stand-in"       // a stand-in of this tool for something outside the proxy
)

// Figure is one measured quantity.
type Figure struct {
	Case     string   `json:"case"`     // the circumstances: "idle", "one replica killed", "134 calls/s"
	Quantity string   `json:"quantity"` // what was measured: "time to in force, p99"
	Unit     string   `json:"unit"`     // "s", "ms", "KiB per backend"
	Value    float64  `json:"value"`
	Target   *float64 `json:"target,omitempty"` // the most that Value may be; nil where none is stated
	Source   Source   `json:"source"`
	Samples  int      `json:"samples,omitempty"` // measurements behind the value, where it stands for several
}

// Target makes a Figure's target.
func Target(most float64) *float64 { return &most }

// Meets tells whether a figure keeps to its target; one without a target does.
func (f Figure) Meets() bool { return f.Target == nil || f.Value <= *f.Target }

// Machine is what a run had to work on.
type Machine struct {
	System  string `json:"system"`  // operating system and processor architecture
	Go      string `json:"go"`      // release of Go that built the tool
	Cores   int    `json:"cores"`   // of the machine
	Allowed []int  `json:"allowed"` // the numbers of those that the run could use
}

// Result is what one run of an experiment gave. The command fills in all but Figures and Notes.
type Result struct {
	Experiment string        `json:"experiment"`
	Started    time.Time     `json:"started"`
	Took       time.Duration `json:"took_ns"`
	Seed       uint64        `json:"seed"`
	Small      bool          `json:"small"`
	Commit     string        `json:"commit"` // of the proxy's source, with "+changes" where the tree had any; may be empty
	Machine    Machine       `json:"machine"`
	Figures    []Figure      `json:"figures"`
	Notes      []string      `json:"notes,omitempty"` // sizes of the run and what limits it, one sentence each
}
