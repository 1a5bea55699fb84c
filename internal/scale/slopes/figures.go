package slopes

import (
	"fmt"

	"fernlanding/internal/scale"
)

// What a proxy may spend for control at most.
const (
	mostControlMB  = 32
	mostControlCPU = 42_000 // microseconds a second: 4.2% of a core
	mostControlBPS = 5_000  // bytes a second
)

// quantity is one of the figures of a point.
type quantity struct {
	situation, name, unit string
	of                    func(point) float64
	target                *float64
}

func quantities() []quantity {
	return []quantity{
		{"idle", "memory", "MB", func(p point) float64 { return p.idleMB }, scale.Target(mostControlMB)},
		{"idle", "processor time", "µs/s", func(p point) float64 { return p.idleCPUUs }, scale.Target(mostControlCPU)},
		{"idle", "bytes of discovery", "B/s", func(p point) float64 { return p.idleBytes }, scale.Target(mostControlBPS)},
		{"in use", "memory", "MB", func(p point) float64 { return p.useMB }, scale.Target(mostControlMB)},
		{"in use", "processor time, calls included", "µs/s", func(p point) float64 { return p.useCPUMs * 1000 }, nil},
		{"in use", "bytes of discovery", "B/s", func(p point) float64 { return p.useBytes }, scale.Target(mostControlBPS)},
		{"in use", "processor time of a call", "µs", func(p point) float64 { return p.callCPUUs }, nil},
		{"in use", "processor time of a change", "µs", func(p point) float64 { return p.useChangeCPUUs }, nil},
		{"change", "processor time", "µs", func(p point) float64 { return p.changeCPUUs }, nil},
		{"change", "bytes of discovery", "B", func(p point) float64 { return p.changeBytes }, nil},
		{"whole list", "processor time", "µs", func(p point) float64 { return p.wholeCPUUs }, nil},
		{"whole list", "bytes of discovery", "B", func(p point) float64 { return p.wholeBytes }, nil},
		{"restart", "time to ready", "ms", func(p point) float64 { return p.restartMs }, nil},
		{"restart", "processor time", "ms", func(p point) float64 { return p.restartCPUMs }, nil},
		{"restart", "bytes of discovery", "kB", func(p point) float64 { return p.restartKB }, nil},
	}
}

// figuresOf gives each quantity at each size, and the line through these.
func figuresOf(m mode, points []point) ([]scale.Figure, error) {
	var figures []scale.Figure
	for _, q := range quantities() {
		sizes, values := make([]float64, len(points)), make([]float64, len(points))
		for i, p := range points {
			sizes[i], values[i] = float64(p.size), q.of(p)
			figures = append(figures, scale.Figure{Case: fmt.Sprintf("%s, %s, %d listed", m.name, q.situation, p.size),
				Quantity: q.name, Unit: q.unit, Value: values[i], Target: q.target, Source: scale.RealProxy})
		}
		line, err := scale.Fit(sizes, values)
		if err != nil {
			return nil, err
		}
		figures = append(figures, lineFigures(m, q, line, len(points))...)
	}
	for _, p := range points {
		figures = append(figures, scale.Figure{Case: fmt.Sprintf("%s, in use, %d listed", m.name, p.size),
			Quantity: "calls not served", Unit: "calls", Value: float64(p.notServed), Source: scale.RealProxy,
			Samples: p.calls})
	}
	return figures, nil
}

// lineFigures gives a line's slope and intercept.
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
