package latency

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"baylock/internal/scale"
)

// percentile is one of those that are shown.
type percentile struct {
	name string
	at   float64
}

func percentiles() []percentile {
	return []percentile{{"median", 50}, {"p99", 99}, {"p99.9", 99.9}}
}

// targetAt is the percentile that the target is for.
const targetAt = 99

func inMs(nanoseconds int64) float64 { return float64(nanoseconds) / float64(time.Millisecond) }

// figuresOf gives the figures of one stage.
func figuresOf(s stage, m *measurement) []scale.Figure {
	direct, through := m.direct.calls, m.through.calls
	figures := s.times("time of a call, direct", scale.Emulator, direct, 0)
	figures = append(figures, s.times("time of a call, through", scale.RealProxy, through, 0)...)
	figures = append(figures, s.added(direct, through)...)
	typical := s.times("added to the median", scale.RealProxy, through, direct.ValueAtPercentile(50))
	s.setTarget(typical)
	figures = append(figures, typical...)
	return append(figures,
		scale.Figure{Case: s.name(), Quantity: "processor time of all proxies", Unit: "cores", Value: m.busy,
			Source: scale.RealProxy},
		scale.Figure{Case: s.name(), Quantity: "calls not served, direct", Unit: "calls",
			Value: float64(m.direct.notServed), Source: scale.Emulator},
		scale.Figure{Case: s.name(), Quantity: "calls not served, through", Unit: "calls",
			Value: float64(m.through.notServed), Source: scale.RealProxy},
		scale.Figure{Case: s.name(), Quantity: "lateness of the load generator, p99", Unit: "ms", Source: scale.Emulator,
			Value: inMs(m.through.lateness.ValueAtPercentile(99)), Samples: int(m.through.lateness.TotalCount())},
	)
}

// times gives the percentiles of a histogram, less an offset.
func (s stage) times(quantity string, source scale.Source, h *hdrhistogram.Histogram, less int64) []scale.Figure {
	var figures []scale.Figure
	for _, p := range percentiles() {
		figures = append(figures, scale.Figure{Case: s.name(), Quantity: quantity + ", " + p.name, Unit: "ms",
			Value: inMs(h.ValueAtPercentile(p.at) - less), Source: source, Samples: int(h.TotalCount())})
	}
	return figures
}

// added gives the percentiles of the calls through less those of the direct ones; in a chain also for each proxy.
func (s stage) added(direct, through *hdrhistogram.Histogram) []scale.Figure {
	var figures, each []scale.Figure
	for _, p := range percentiles() {
		added := inMs(through.ValueAtPercentile(p.at) - direct.ValueAtPercentile(p.at))
		figure := scale.Figure{Case: s.name(), Quantity: "added by percentiles, " + p.name, Unit: "ms", Value: added,
			Source: scale.RealProxy, Samples: int(through.TotalCount())}
		figures = append(figures, figure)
		figure.Quantity += ", for each proxy"
		figure.Value = added / float64(s.depth)
		each = append(each, figure)
	}
	s.setTarget(figures)
	if s.depth == 1 {
		return figures
	}
	return append(figures, each...)
}

// multiple gives what as many proxies as the chain has would add if each added what one alone did.
func (s stage) multiple(one *measurement) scale.Figure {
	added := one.through.calls.ValueAtPercentile(targetAt) - one.direct.calls.ValueAtPercentile(targetAt)
	return scale.Figure{Case: s.name(), Quantity: fmt.Sprintf("%d times what one proxy adds, p%d", s.depth, targetAt),
		Unit: "ms", Value: inMs(added) * float64(s.depth), Source: scale.RealProxy,
		Samples: int(one.through.calls.TotalCount())}
}

// setTarget puts the target, as many times as there are proxies, beside the percentile that it is for.
func (s stage) setTarget(figures []scale.Figure) {
	for i, p := range percentiles() {
		if p.at == targetAt {
			figures[i].Target = scale.Target(mostAddedMs * float64(s.depth))
		}
	}
}
