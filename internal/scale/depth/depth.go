// Package depth measures the amplification of calls by retries in a chain of 13 tiers: how many attempts arrive at the
// deepest tier for each user call, and how many user calls are served, while that tier fails or stalls.
package depth

import (
	"context"
	"fmt"
	"time"

	"baylock/internal/emulator/backend"
	"baylock/internal/scale"
)

// Experiment runs a chain of tiers with each of several faults in its deepest tier.
var Experiment = scale.Experiment{
	Name:    "depth",
	Summary: "attempts at the deepest of 13 tiers per user call, and calls answered in time, while that tier fails or stalls",
	Run:     run,
}

// maxAmplification is the target for attempts at the deepest tier per attempt at the first tier: 1.1^12, as the retry
// budget lets each of the 12 steps between tiers add a tenth.
const maxAmplification = 3.14

var (
	fullSize = size{tiers: 13, backends: 4, frontProxies: 4, rate: 400,
		settle: 12 * time.Second, fault: 20 * time.Second, recovery: 5 * time.Second, longRecovery: time.Minute}
	smallSize = size{tiers: 13, backends: 2, frontProxies: 2, rate: 100,
		settle: 2 * time.Second, fault: 3 * time.Second, recovery: 2 * time.Second, longRecovery: 5 * time.Second}
)

// faultCase is one case of the experiment.
type faultCase struct {
	name         string
	faults       backend.Faults
	totalFailure bool // no call can be served, so that the recovery takes longer
}

var faultCases = []faultCase{
	{name: "no trouble"},
	{name: "deepest tier fails 1%", faults: backend.Faults{ErrorRatio: 0.01}},
	{name: "deepest tier fails 10%", faults: backend.Faults{ErrorRatio: 0.1}},
	{name: "deepest tier fails 100%", faults: backend.Faults{ErrorRatio: 1}, totalFailure: true},
	{name: "deepest tier stalls", faults: backend.Faults{StallRatio: 1}, totalFailure: true},
}

// forCase returns the size with the recovery time of a case.
func (s size) forCase(t faultCase) size {
	if t.totalFailure {
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
	for _, t := range faultCases {
		sized := s.forCase(t)
		env.Progress("%s: %v", t.name, sized.end())
		r, err := simulate(ctx, sized, t.faults, env.Seed)
		if err != nil {
			return result, fmt.Errorf("%s: %w", t.name, err)
		}
		sum := summarize(sized, r)
		result.Figures = append(result.Figures, figures(t, sum)...)
		if !sum.recovered {
			result.Notes = append(result.Notes, fmt.Sprintf("%s: the service did not recover within %v.", t.name,
				sum.recovery))
		}
	}
	return result, nil
}

func notes(s size) []string {
	return []string{
		fmt.Sprintf("%d tiers of %d backends, each with its own proxy for the next tier, behind %d front proxies; "+
			"%.0f user calls per second (Poisson), %.0f%% idempotent (safe), %.0f%% with an idempotency key (keyed), the "+
			"others not idempotent (unsafe); users do not retry.",
			s.tiers, s.backends, s.frontProxies, s.rate, 100*idempotentRatio, 100*keyedRatio),
		fmt.Sprintf("A backend has a mean service time of %v, %d workers and a queue of %d; the mean network latency is %v each "+
			"way. Calls have a deadline of one second; an attempt at the next tier gets the time that remains.",
			meanServiceTime, workers, queueSize, networkLatency),
		fmt.Sprintf("A case lasts %v without fault, %v with it, and %v after it, or %v where no call could be served; "+
			"the fractions and attempts are measured during the fault.", s.settle, s.fault, s.recovery, s.longRecovery),
		"In real time a short wait lasts up to a millisecond longer, so that a step takes longer than the sum of its mean times.",
		"Retry budgets are the balancer's defaults: at each proxy, 5 retries and a tenth of its calls, over 10 s. The " +
			"target, 1.1^12, is the effect of that tenth alone over 12 steps; a proxy may spend the budget of 10 s in one second.",
	}
}

// figures returns the figures of a case.
func figures(t faultCase, s summary) []scale.Figure {
	var list []scale.Figure
	add := func(quantity, unit string, value float64, target *float64) {
		list = append(list, scale.Figure{Case: t.name, Quantity: quantity, Unit: unit, Value: value, Target: target,
			Source: scale.HollowProxy, Samples: s.calls})
	}
	target := scale.Target(maxAmplification)
	add("attempts at the deepest tier for a call, mean", "attempts", s.tierAttempts[len(s.tierAttempts)-1], target)
	add("attempts at the deepest tier for a call, worst second", "attempts", s.worstSecond, target)
	add("attempts at the deepest tier for one at the first, mean", "attempts", s.amplification, target)
	add("the same in the second half of the trouble", "attempts", s.lateAmplification, target)
	for class, name := range classNames {
		add("attempts at the deepest tier for a "+name+" call", "attempts", s.classAttempts[class], nil)
	}
	for i, attempts := range s.tierAttempts {
		add(fmt.Sprintf("attempts at tier %d for a call", i+1), "attempts", attempts, nil)
	}
	add("calls answered in time", "part", s.served, nil)
	add("calls refused", "part", s.rejected, nil)
	add("calls failed", "part", s.failed, nil)
	add("attempts turned away by full queues, whole play", "attempts", float64(s.queueRejections), nil)
	add("most attempts at one tier at once, whole play", "attempts", float64(s.inFlightPeak), nil)
	add("runs that the class forbids, whole play", "runs", float64(s.forbiddenRuns), scale.Target(0))
	if t.faults != (backend.Faults{}) {
		add("time until 99% are answered again", "s", s.recovery.Seconds(), nil)
	}
	return list
}
