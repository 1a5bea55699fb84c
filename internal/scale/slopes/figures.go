package slopes

import (
	"fmt"

	"baylock/internal/scale"
)

// The targets for the cost of control of one proxy.
const (
	maxControlMB    = 32
	maxControlCPU   = 42_000 // microseconds a second: 4.2% of a core
	maxControlBytes = 5_000  // bytes a second
)

// quantity describes how a metric is reported.
type quantity struct {
	metric                metric
	situation, name, unit string
	target                *float64
}

func quantities() []quantity {
	memory, cpu, bytes := scale.Target(maxControlMB), scale.Target(maxControlCPU), scale.Target(maxControlBytes)
	return []quantity{
		{idleMemory, "idle", "memory", "MB", memory},
		{idleCPU, "idle", "processor time", "µs/s", cpu},
		{idleBytes, "idle", "bytes of discovery", "B/s", bytes},
		{inUseMemory, "in use", "memory", "MB", memory},
		{inUseCPU, "in use", "processor time, calls included", "µs/s", nil},
		{inUseBytes, "in use", "bytes of discovery", "B/s", bytes},
		{callCPU, "in use", "processor time of a call", "µs", nil},
		{inUseChangeCPU, "in use", "processor time of a change", "µs", nil},
		{changeCPU, "change", "processor time", "µs", nil},
		{changeBytes, "change", "bytes of discovery", "B", nil},
		{snapshotCPU, "whole list", "processor time", "µs", nil},
		{snapshotBytes, "whole list", "bytes of discovery", "B", nil},
		{restartTime, "restart", "time to ready", "ms", nil},
		{restartCPU, "restart", "processor time", "ms", nil},
		{restartBytes, "restart", "bytes of discovery", "kB", nil},
	}
}

// figuresOf returns the figures of each quantity: one per list size, and the slope and intercept of the line fitted
// to them.
func figuresOf(m mode, points []*point) ([]scale.Figure, error) {
	var figures []scale.Figure
	for _, q := range quantities() {
		sizes, values := make([]float64, len(points)), make([]float64, len(points))
		for i, p := range points {
			sizes[i], values[i] = float64(p.size), p.value(q.metric)
			figures = append(figures, scale.Figure{Case: fmt.Sprintf("%s, %s, %d listed", m.name, q.situation, p.size),
				Quantity: q.name, Unit: q.unit, Value: values[i], Target: q.target, Source: scale.RealProxy,
				Samples: len(p.samples[q.metric])})
		}
		line, err := scale.Fit(sizes, values)
		if err != nil {
			return nil, err
		}
		figures = append(figures, lineFigures(m, q, line, len(points))...)
	}
	for _, p := range points {
		figures = append(figures, scale.Figure{Case: fmt.Sprintf("%s, in use, %d listed", m.name, p.size),
			Quantity: "calls not served", Unit: "calls", Value: float64(p.failed), Source: scale.RealProxy,
			Samples: p.calls})
	}
	return figures, nil
}

// lineFigures returns the slope and the intercept of a fitted line as figures.
func lineFigures(m mode, q quantity, line scale.Line, points int) []scale.Figure {
	slope, unit := line.Slope, q.unit
	if smaller, ok := map[string]string{"MB": "kB", "kB": "B", "ms": "µs"}[q.unit]; ok {
		slope, unit = slope*1000, smaller
	}
	situation := m.name + ", " + q.situation
	return []scale.Figure{
		{Case: situation + ", slope", Quantity: q.name, Unit: unit + " per backend", Value: slope, Source: scale.RealProxy,
			Samples: points},
		{Case: situation + ", intercept", Quantity: q.name, Unit: q.unit, Value: line.Intercept, Source: scale.RealProxy,
			Samples: points},
	}
}
