package reload

import (
	"math"
	"os"
	"slices"
	"time"

	"baylock/internal/scale"
)

// maxSeconds is the target for the time until a change is in force at all proxies.
const maxSeconds = 3

// measurement holds the results of a run.
type measurement struct {
	times              []time.Duration // time to in force for each change and proxy, capped at the timeout
	calls, failedCalls int
	writeTime          time.Duration // time to replace the files of all proxies, for the slowest change
	fileBytes          int64         // largest size of the first proxy's file
	reloadCPU          time.Duration // mean CPU time of one reload
}

func (m *measurement) figures(p plan) []scale.Figure {
	const situation = "class added"
	var seconds []float64
	notApplied := 0
	for _, t := range m.times {
		seconds = append(seconds, t.Seconds())
		if t >= p.timeout {
			notApplied++
		}
	}
	slices.Sort(seconds)
	figure := func(quantity, unit string, value float64, target *float64, samples int) scale.Figure {
		return scale.Figure{Case: situation, Quantity: quantity, Unit: unit, Value: value, Target: target,
			Source: scale.RealProxy, Samples: samples}
	}
	return []scale.Figure{
		figure("time to in force, median", "s", quantile(seconds, 0.5), nil, len(seconds)),
		figure("time to in force, p99", "s", quantile(seconds, 0.99), nil, len(seconds)),
		figure("time to in force, worst", "s", quantile(seconds, 1), scale.Target(maxSeconds), len(seconds)),
		figure("proxies not in force", "proxies", float64(notApplied), scale.Target(0), len(seconds)),
		figure("calls not served", "calls", float64(m.failedCalls), scale.Target(0), m.calls),
		{Case: situation, Quantity: "time to replace all files, worst", Unit: "s", Value: m.writeTime.Seconds(),
			Source: scale.Emulator, Samples: len(seconds) / p.proxies},
		figure("bytes to each proxy", "B", float64(m.fileBytes), nil, 0),
		figure("processor time of a reload", "ms", float64(m.reloadCPU)/float64(time.Millisecond), nil, p.reloads),
	}
}

// quantile returns a quantile of sorted values by the nearest-rank method, or 0 if there are no values.
func quantile(sorted []float64, fraction float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(math.Ceil(fraction * float64(len(sorted))))
	return sorted[min(max(rank, 1), len(sorted))-1]
}

func fileSize(path string) (int64, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
