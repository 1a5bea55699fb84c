// Package admission is the experiment that measures what proxies refuse unsent: while calls fail or come late for reasons
// other than load, while more is asked for than backends can do, and after a time of overload that slows backends down.
package admission

import (
	"context"
	"fmt"
	"time"

	"fernlanding/internal/emulator/backend"
	"fernlanding/internal/scale"
)

// Experiment measures admission under faults and under load.
var Experiment = scale.Experiment{
	Name:    "admission",
	Summary: "calls refused unsent under faults without load, and calls served under overload and after it",
	Run:     run,
}

// size says how large a service is and how long it is driven.
type size struct {
	callers  int
	backends int
	warmUp   time.Duration // before the load or the faults
	overload time.Duration // of the cases with a surge
	settle   time.Duration // between the end of the surge and the watched time
	watched  time.Duration
}

var (
	fullSize = size{callers: 33, backends: 12, warmUp: 4 * time.Second, overload: 10 * time.Second,
		settle: 10 * time.Second, watched: 20 * time.Second}
	smallSize = size{callers: 8, backends: 4, warmUp: 2 * time.Second, overload: 6 * time.Second,
		settle: 10 * time.Second, watched: 5 * time.Second}
)

// circumstances are a case of the experiment.
type circumstances struct {
	name    string
	load    float64 // part of the capacity of all backends that is called for
	surge   float64 // the same, beside load, during the overload
	faults  backend.Faults
	crowded backend.Crowding
}

var cases = []circumstances{
	{name: "no fault, load 10%", load: 0.1},
	{name: "late, failed and reset calls, load 10%", load: 0.1,
		faults: backend.Faults{FailPart: 0.1, ResetPart: 0.05, LatePart: 0.3, LateMost: 1500 * time.Millisecond}},
	{name: "load 140%", load: 1.4},
	{name: "load 140%, then 70%, backends slow down when crowded", load: 0.7, surge: 0.7,
		crowded: backend.Crowding{Calls: 20, Slowdown: 2}},
}

// The targets: the most that may be refused unsent without load, or of calls unserved after it, and the most of the
// capacity that may be lost under overload.
const (
	mostRefused  = 0.01
	mostUnserved = 0.05
	mostLost     = 0.1
)

func run(ctx context.Context, env scale.Env) (scale.Result, error) {
	s := fullSize
	if env.Small {
		s = smallSize
	}
	result := scale.Result{Notes: notes(s)}
	for _, c := range cases {
		env.Progress("%s", c.name)
		seen, err := play(ctx, s, c, env.Seed)
		if err != nil {
			return result, fmt.Errorf("%s: %w", c.name, err)
		}
		result.Figures = append(result.Figures, figures(s, c, seen)...)
	}
	return result, nil
}

// play drives a fresh service and returns the answers of the watched time.
func play(ctx context.Context, s size, c circumstances, seed uint64) (tally, error) {
	svc, err := newService(s, c, seed)
	if err != nil {
		return tally{}, err
	}
	ctx, stop := context.WithCancel(ctx)
	end := svc.start(ctx)
	seen, err := svc.watch(ctx, s, c)
	stop()
	end()
	if err != nil {
		return tally{}, fmt.Errorf("play a load: %w", err)
	}
	return seen, nil
}

func notes(s size) []string {
	return []string{
		fmt.Sprintf("%d proxies of the first tier draw safe calls by themselves for %d backends, each for %.0f calls a second; calls "+
			"have %v, and clients do not come again.", s.callers, s.backends, backendRate, deadline),
		fmt.Sprintf("The watched time is %v: from %v on, or, with a surge of %v, from %v after its end.", s.watched, s.warmUp,
			s.overload, s.settle),
		"Refused unsent means that no attempt went out. A call is served if its answer came within its time.",
	}
}

// figures are those of one case.
func figures(s size, c circumstances, seen tally) []scale.Figure {
	var list []scale.Figure
	add := func(quantity string, value float64, target *float64) {
		list = append(list, scale.Figure{Case: c.name, Quantity: quantity, Unit: "part", Value: value, Target: target,
			Source: scale.HollowProxy, Samples: int(seen.calls())})
	}
	refused, unserved := 1-float64(seen.calls()-seen.unsent)/float64(seen.calls()), 1-float64(seen.served)/float64(seen.calls())
	capacity := backendRate * float64(s.backends) * s.watched.Seconds()
	switch {
	case c.load > 1:
		add("calls refused unsent", refused, nil)
		add("capacity that served nothing in time", max(0, 1-float64(seen.served)/capacity), scale.Target(mostLost))
	case c.surge > 0:
		add("calls refused unsent", refused, nil)
		add("calls not served", unserved, scale.Target(mostUnserved))
	default:
		add("calls refused unsent", refused, scale.Target(mostRefused))
		add("calls not served", unserved, nil)
	}
	return list
}
