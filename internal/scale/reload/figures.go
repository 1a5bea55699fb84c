package reload

import (
	"math"
	"os"
	"slices"
	"time"

	"baylock/internal/scale"
)

// mostSeconds is how long a change may take to be in force everywhere.
const mostSeconds = 3

// measurement is what was seen.
type measurement struct {
	times            []time.Duration // of each change at each proxy; the patience where it was not taken within it
	calls, notServed int
	writing          time.Duration // of the files of all proxies, at the slowest change
	fileBytes        int64
	reloadCPU        time.Duration
}

func (m *measurement) figures(p plan) []scale.Figure {
	const situation = "class added"
	var seconds []float64
	notTaken := 0
	for _, t := range m.times {
		seconds = append(seconds, t.Seconds())
		if t >= p.patience {
			notTaken++
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
		figure("time to in force, worst", "s", quantile(seconds, 1), scale.Target(mostSeconds), len(seconds)),
		figure("proxies not in force", "proxies", float64(notTaken), scale.Target(0), len(seconds)),
		figure("calls not served", "calls", float64(m.notServed), scale.Target(0), m.calls),
		{Case: situation, Quantity: "time to replace all files, worst", Unit: "s", Value: m.writing.Seconds(),
			Source: scale.Emulator, Samples: len(seconds) / p.proxies},
		figure("bytes to each proxy", "B", float64(m.fileBytes), nil, 0),
		figure("processor time of a reload", "ms", float64(m.reloadCPU)/float64(time.Millisecond), nil, p.reloads),
	}
}

// quantile gives the least value that a part of the sorted ones does not exceed; 0 of none.
func quantile(sorted []float64, part float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(math.Ceil(part * float64(len(sorted))))
	return sorted[min(max(rank, 1), len(sorted))-1]
}

func fileSize(path string) (int64, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
