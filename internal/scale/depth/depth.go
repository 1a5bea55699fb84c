// Package depth is the experiment that measures how many attempts the deepest of 13 tiers sees for each call of a user,
// and how many calls are answered, while that tier fails or stalls.
package depth

import (
	"context"
	"fmt"
	"time"

	"baylock/internal/emulator/backend"
	"baylock/internal/scale"
)

// Experiment measures a chain of 13 tiers whose last one is in trouble.
var Experiment = scale.Experiment{
	Name:    "depth",
	Summary: "attempts at the last of 13 tiers for each user's call, and calls answered, while it fails or stalls",
	Run:     run,
}

// mostGrowth is how many attempts the deepest tier may get for each at the first: a tenth more at each of 12 steps,
// 1.1^12 in all.
const mostGrowth = 3.14

var (
	fullSize = size{tiers: 13, backends: 4, fronts: 4, rate: 400,
		settle: 12 * time.Second, trouble: 20 * time.Second, recovery: 5 * time.Second, longRecovery: time.Minute}
	smallSize = size{tiers: 13, backends: 2, fronts: 2, rate: 100,
		settle: 2 * time.Second, trouble: 3 * time.Second, recovery: 2 * time.Second, longRecovery: 5 * time.Second}
)

// trouble is a case of the experiment.
type trouble struct {
	name   string
	faults backend.Faults
	whole  bool // no call can be served, and it takes long until calls are let through again
}

var troubles = []trouble{
	{name: "no trouble"},
	{name: "deepest tier fails 1%", faults: backend.Faults{ErrorRatio: 0.01}},
	{name: "deepest tier fails 10%", faults: backend.Faults{ErrorRatio: 0.1}},
	{name: "deepest tier fails 100%", faults: backend.Faults{ErrorRatio: 1}, whole: true},
	{name: "deepest tier stalls", faults: backend.Faults{StallRatio: 1}, whole: true},
}

// in is the size for a case.
func (s size) in(t trouble) size {
	if t.whole {
		s.recovery = s.longRecovery
	}
	return s
}

func run(ctx context.Context, env scale.Env) (scale.Result, error) {
	s := fullSize
	if env.Small {
		s = smallSize
	}
	result := scale.Result{Notes: notes(s)}
	for _, t := range troubles {
		sized := s.in(t)
		env.Progress("%s: %v", t.name, sized.end())
		r, err := play(ctx, sized, t.faults, env.Seed)
		if err != nil {
			return result, fmt.Errorf("%s: %w", t.name, err)
		}
		sum := summarize(sized, r)
		result.Figures = append(result.Figures, figures(t, sum)...)
		if !sum.recovered {
			result.Notes = append(result.Notes, fmt.Sprintf("%s: not recovered within the %v that were watched.", t.name, sum.recovery))
		}
	}
	return result, nil
}

func notes(s size) []string {
	return []string{
		fmt.Sprintf("%d tiers of %d backends, each with a proxy of its own for the next tier, behind %d front proxies; "+
			"%.0f calls of users a second (Poisson), %.0f%% safe, %.0f%% keyed, the others unsafe; users do not come again.",
			s.tiers, s.backends, s.fronts, s.rate, 100*safePart, 100*keyedPart),
		fmt.Sprintf("A backend works %v for a call on the mean, the network takes %v each way, and it has %d workers and %d places "+
			"in its queue; calls have a second, of which what remains is told to the next tier.", work, latency, workers, queue),
		fmt.Sprintf("%v without trouble, %v with it, %v after it or %v where no call could be served; the parts and attempts are those of the "+
			"time of the trouble.", s.settle, s.trouble, s.recovery, s.longRecovery),
		"In real time a short wait lasts up to a millisecond longer, so that one step takes longer than its means say.",
		"Retry budgets are the module's own: at each proxy, 5 and a tenth of the calls that it took, over 10 s. The target is " +
			"1.1^12, what that tenth alone makes of 12 steps; a proxy may use the budget of 10 s in one.",
	}
}

// figures are those of one case.
func figures(t trouble, s summary) []scale.Figure {
	var list []scale.Figure
	add := func(quantity, unit string, value float64, target *float64) {
		list = append(list, scale.Figure{Case: t.name, Quantity: quantity, Unit: unit, Value: value, Target: target,
			Source: scale.HollowProxy, Samples: s.calls})
	}
	add("attempts at the deepest tier for a call, mean", "attempts", s.perTier[len(s.perTier)-1], scale.Target(mostGrowth))
	add("attempts at the deepest tier for a call, worst second", "attempts", s.worstSecond, scale.Target(mostGrowth))
	add("attempts at the deepest tier for one at the first, mean", "attempts", s.growth, scale.Target(mostGrowth))
	add("the same in the second half of the trouble", "attempts", s.lateGrowth, scale.Target(mostGrowth))
	for class, name := range classNames {
		add("attempts at the deepest tier for a "+name+" call", "attempts", s.perClass[class], nil)
	}
	for i, attempts := range s.perTier {
		add(fmt.Sprintf("attempts at tier %d for a call", i+1), "attempts", attempts, nil)
	}
	add("calls answered in time", "part", s.answered, nil)
	add("calls refused", "part", s.refused, nil)
	add("calls failed", "part", s.fails, nil)
	add("attempts turned away by full queues, whole play", "attempts", float64(s.turnedAway), nil)
	add("most attempts at one tier at once, whole play", "attempts", float64(s.inFlightPeak), nil)
	add("runs that the class forbids, whole play", "runs", float64(s.forbiddenRuns), scale.Target(0))
	if t.faults != (backend.Faults{}) {
		add("time until 99% are answered again", "s", s.recovery.Seconds(), nil)
	}
	return list
}
