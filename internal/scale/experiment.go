// Package scale is the framework of the scale tool: the interface of experiments, the processes that they start, and
// the format of their results. Each experiment is a package in a subdirectory; cmd/scale is the command.
package scale

import (
	"context"
	"errors"
	"log/slog"
	"time"
)

// Experiment is one measurement of proxies at scale.
type Experiment struct {
	Name    string // one word, as the user gives it on the command line
	Summary string // one line: what it measures
	Run     func(ctx context.Context, env Env) (Result, error)

	NeedsProxy bool // Run requires the real proxy's program
}

// ErrProxyMissing reports that the program of the real proxy is missing, and how to build it.
var ErrProxyMissing = errors.New("the program of the real proxy is missing; build it with: " + BuildCommand)

// Env is the environment of an experiment. An experiment must stop everything that it has started before its Run
// returns.
type Env struct {
	Seed         uint64 // of all random numbers
	Small        bool   // a small and short form of the experiment
	ProxyProgram string // path of the real proxy's program; empty if there is none
	TempDir      string // a directory for this run alone, removed afterwards
	Cores        []int  // cores that the run may use; the tool is already restricted to them
	Budget       *Budget
	Progress     func(format string, args ...any) // shows one line to the user
	Log          *slog.Logger
}

// Source is the kind of system that a figure was measured on.
type Source string

// The sources of figures.
const (
	RealProxy   Source = "real proxy"
	HollowProxy Source = "hollow proxies" // the real balancer and discovery client, without client sockets
	Emulator    Source = "stand-in"       // an emulator of something outside the proxy
)

// Figure is one measured quantity.
type Figure struct {
	Case     string   `json:"case"`     // conditions of the measurement, such as "one replica killed"
	Quantity string   `json:"quantity"` // such as "time to in force, p99"
	Unit     string   `json:"unit"`     // "s", "ms", "KiB per backend"
	Value    float64  `json:"value"`
	Target   *float64 `json:"target,omitempty"` // largest acceptable Value; nil if there is none
	Source   Source   `json:"source"`
	Samples  int      `json:"samples,omitempty"` // number of measurements behind the value; 0 means one
}

// Target returns a value for Figure.Target.
func Target(limit float64) *float64 { return &limit }

// MeetsTarget reports whether a figure is within its target. A figure without a target always is.
func (f Figure) MeetsTarget() bool { return f.Target == nil || f.Value <= *f.Target }

// Machine describes the machine of a run.
type Machine struct {
	System  string `json:"system"`  // operating system and processor architecture
	Go      string `json:"go"`      // release of Go that built the tool
	Cores   int    `json:"cores"`   // of the machine
	Allowed []int  `json:"allowed"` // indexes of the cores that the run could use
}

// Result is the result of one run of an experiment. The experiment sets Figures and Notes; the command sets all other
// fields.
type Result struct {
	Experiment string        `json:"experiment"`
	Started    time.Time     `json:"started"`
	Duration   time.Duration `json:"took_ns"`
	Seed       uint64        `json:"seed"`
	Small      bool          `json:"small"`
	Commit     string        `json:"commit"` // of the measured program; with "+changes" if some were uncommitted; empty if unknown
	Machine    Machine       `json:"machine"`
	Figures    []Figure      `json:"figures"`
	Notes      []string      `json:"notes,omitempty"` // sizes and limitations of the run, one sentence each
}
