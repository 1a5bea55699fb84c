package latency

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"baylock/internal/scale"
)

// percentile is a percentile with its name in figures.
type percentile struct {
	name    string
	percent float64
}

func reportedPercentiles() []percentile {
	return []percentile{{"median", 50}, {"p99", 99}, {"p99.9", 99.9}}
}

// targetPercentile is the percentile that has a target.
const targetPercentile = 99

func toMilliseconds(nanoseconds int64) float64 {
	return float64(nanoseconds) / float64(time.Millisecond)
}

// figuresOf returns the figures of one stage.
func figuresOf(s stage, m *measurement) []scale.Figure {
	direct, proxied := m.direct.calls, m.proxied.calls
	figures := s.percentiles("time of a call, direct", scale.Emulator, direct, 0)
	figures = append(figures, s.percentiles("time of a call, through", scale.RealProxy, proxied, 0)...)
	figures = append(figures, s.addedByPercentile(direct, proxied)...)
	addedToMedian := s.percentiles("added to the median", scale.RealProxy, proxied, direct.ValueAtPercentile(50))
	s.setTarget(addedToMedian)
	figures = append(figures, addedToMedian...)
	return append(figures,
		scale.Figure{Case: s.name(), Quantity: "processor time of all proxies", Unit: "cores", Value: m.proxyCores,
			Source: scale.RealProxy},
		scale.Figure{Case: s.name(), Quantity: "calls not served, direct", Unit: "calls",
			Value: float64(m.direct.failed), Source: scale.Emulator},
		scale.Figure{Case: s.name(), Quantity: "calls not served, through", Unit: "calls",
			Value: float64(m.proxied.failed), Source: scale.RealProxy},
		scale.Figure{Case: s.name(), Quantity: "lateness of the load generator, p99", Unit: "ms", Source: scale.Emulator,
			Value:   toMilliseconds(m.proxied.lateness.ValueAtPercentile(99)),
			Samples: int(m.proxied.lateness.TotalCount())},
	)
}

// percentiles returns the reported percentiles of a histogram, less a baseline in nanoseconds.
func (s stage) percentiles(
	quantity string, source scale.Source, h *hdrhistogram.Histogram, baseline int64,
) []scale.Figure {
	var figures []scale.Figure
	for _, p := range reportedPercentiles() {
		figures = append(figures, scale.Figure{Case: s.name(), Quantity: quantity + ", " + p.name, Unit: "ms",
			Value: toMilliseconds(h.ValueAtPercentile(p.percent) - baseline), Source: source,
			Samples: int(h.TotalCount())})
	}
	return figures
}

// addedByPercentile returns, for each reported percentile, the difference between calls through the proxies and direct
// calls. For a chain it also returns the differences divided by the number of proxies.
func (s stage) addedByPercentile(direct, proxied *hdrhistogram.Histogram) []scale.Figure {
	var figures, perProxy []scale.Figure
	for _, p := range reportedPercentiles() {
		added := toMilliseconds(proxied.ValueAtPercentile(p.percent) - direct.ValueAtPercentile(p.percent))
		figure := scale.Figure{Case: s.name(), Quantity: "added by percentiles, " + p.name, Unit: "ms", Value: added,
			Source: scale.RealProxy, Samples: int(proxied.TotalCount())}
		figures = append(figures, figure)
		figure.Quantity += ", for each proxy"
		figure.Value = added / float64(s.depth)
		perProxy = append(perProxy, figure)
	}
	s.setTarget(figures)
	if s.depth == 1 {
		return figures
	}
	return append(figures, perProxy...)
}

// extrapolate returns the latency that a chain would add if each of its proxies added as much as a single proxy does.
func (s stage) extrapolate(single *measurement) scale.Figure {
	added := single.proxied.calls.ValueAtPercentile(targetPercentile) -
		single.direct.calls.ValueAtPercentile(targetPercentile)
	return scale.Figure{Case: s.name(),
		Quantity: fmt.Sprintf("%d times what one proxy adds, p%d", s.depth, targetPercentile), Unit: "ms",
		Value: toMilliseconds(added) * float64(s.depth), Source: scale.RealProxy,
		Samples: int(single.proxied.calls.TotalCount())}
}

// setTarget sets the target of the figure of targetPercentile: the target of one proxy times the number of proxies.
func (s stage) setTarget(figures []scale.Figure) {
	for i, p := range reportedPercentiles() {
		if p.percent == targetPercentile {
			figures[i].Target = scale.Target(maxAddedMs * float64(s.depth))
		}
	}
}
