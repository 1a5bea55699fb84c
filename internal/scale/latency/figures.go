package latency

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"baylock/internal/scale"
)

// percentile is a percentile and its name.
type percentile struct {
	name string
	at   float64
}

func shownPercentiles() []percentile {
	return []percentile{{"median", 50}, {"p99", 99}, {"p99.9", 99.9}}
}

// targetAt is the percentile with a target.
const targetAt = 99

func toMilliseconds(nanoseconds int64) float64 {
	return float64(nanoseconds) / float64(time.Millisecond)
}

// figuresOf returns the figures of one stage.
func figuresOf(s stage, m *measurement) []scale.Figure {
	direct, through := m.direct.calls, m.through.calls
	figures := s.percentiles("time of a call, direct", scale.Emulator, direct, 0)
	figures = append(figures, s.percentiles("time of a call, through", scale.RealProxy, through, 0)...)
	figures = append(figures, s.added(direct, through)...)
	typical := s.percentiles("added to the median", scale.RealProxy, through, direct.ValueAtPercentile(50))
	s.setTarget(typical)
	figures = append(figures, typical...)
	return append(figures,
		scale.Figure{Case: s.name(), Quantity: "processor time of all proxies", Unit: "cores", Value: m.proxyCores,
			Source: scale.RealProxy},
		scale.Figure{Case: s.name(), Quantity: "calls not served, direct", Unit: "calls",
			Value: float64(m.direct.failed), Source: scale.Emulator},
		scale.Figure{Case: s.name(), Quantity: "calls not served, through", Unit: "calls",
			Value: float64(m.through.failed), Source: scale.RealProxy},
		scale.Figure{Case: s.name(), Quantity: "lateness of the load generator, p99", Unit: "ms", Source: scale.Emulator,
			Value:   toMilliseconds(m.through.lateness.ValueAtPercentile(99)),
			Samples: int(m.through.lateness.TotalCount())},
	)
}

// percentiles returns the percentiles of a histogram, less an offset in nanoseconds.
func (s stage) percentiles(quantity string, source scale.Source, h *hdrhistogram.Histogram, less int64) []scale.Figure {
	var figures []scale.Figure
	for _, p := range shownPercentiles() {
		figures = append(figures, scale.Figure{Case: s.name(), Quantity: quantity + ", " + p.name, Unit: "ms",
			Value: toMilliseconds(h.ValueAtPercentile(p.at) - less), Source: source, Samples: int(h.TotalCount())})
	}
	return figures
}

// added returns the percentiles through the proxies less the direct ones; for a chain also per proxy.
func (s stage) added(direct, through *hdrhistogram.Histogram) []scale.Figure {
	var figures, each []scale.Figure
	for _, p := range shownPercentiles() {
		added := toMilliseconds(through.ValueAtPercentile(p.at) - direct.ValueAtPercentile(p.at))
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

// multiple returns what a chain's proxies would add if each added what one proxy alone does.
func (s stage) multiple(one *measurement) scale.Figure {
	added := one.through.calls.ValueAtPercentile(targetAt) - one.direct.calls.ValueAtPercentile(targetAt)
	return scale.Figure{Case: s.name(), Quantity: fmt.Sprintf("%d times what one proxy adds, p%d", s.depth, targetAt),
		Unit: "ms", Value: toMilliseconds(added) * float64(s.depth), Source: scale.RealProxy,
		Samples: int(one.through.calls.TotalCount())}
}

// setTarget sets the target, once for each proxy, of the percentile that has one.
func (s stage) setTarget(figures []scale.Figure) {
	for i, p := range shownPercentiles() {
		if p.at == targetAt {
			figures[i].Target = scale.Target(maxAddedMs * float64(s.depth))
		}
	}
}
