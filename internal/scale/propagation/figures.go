package propagation

import (
	"fmt"
	"time"

	"baylock/internal/scale"
)

const (
	propagationTarget  = 3.0 // seconds
	proxyTrafficTarget = 5.0 // KB/s

	kilobyte = 1000.0
)

// measurement is the result of one job.
type measurement struct {
	times        trackedLatencies
	accepted     int // number of accepted changes
	neverInForce int // number of changes that were not in force at the end
	polled       bool
	outage       bool // some changes could not reach some proxies when they were accepted
	loads        []load
	traffic      []int64 // bytes on each proxy's discovery connections, over all phases
	real         *realProxies
}

// measurement returns the results of the fleet's run. Apart from the proxies' watches, nothing may still be running.
func (f *fleet) measurement() *measurement {
	t := f.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	return &measurement{
		times:        t.times,
		accepted:     t.accepted,
		neverInForce: t.pending,
		polled:       f.poll,
		outage:       f.scenario.hasOutage,
		loads:        f.load.loads,
		traffic:      f.load.traffic,
		real:         f.real,
	}
}

// figures returns the figures of the case with the given name.
func (m *measurement) figures(name string) []scale.Figure {
	b := &figureBuilder{name: name, source: scale.HollowProxy}
	target := scale.Target(propagationTarget)
	if m.outage {
		b.addLatencies("accepted, or back in reach, to in force at the last proxy", m.times.inForce, target)
		b.addLatencies("accepted to in force at the last proxy, those out of reach included", m.times.fromAcceptance, nil)
	} else {
		b.addLatencies("accepted to in force at the last proxy", m.times.inForce, target)
	}
	b.add("changes never in force", "changes", float64(m.neverInForce), scale.Target(0), m.accepted)
	b.addLatencies("start of a proxy to its list", m.times.startToList, nil)
	b.addLatencies("accepted, or back in reach, to in force at the last started proxy", m.times.atStartedProxies, target)
	if m.polled {
		b.addLoad(m.loads)
	}
	b.addTraffic(m.loads, m.traffic)
	return append(b.figures, m.real.figures(name)...)
}

// figureBuilder collects the figures of one case.
type figureBuilder struct {
	name    string
	source  scale.Source
	figures []scale.Figure
}

func (b *figureBuilder) add(quantity, unit string, value float64, target *float64, samples int) {
	b.figures = append(b.figures, scale.Figure{Case: b.name, Quantity: quantity, Unit: unit, Value: value, Target: target,
		Source: b.source, Samples: samples})
}

func (b *figureBuilder) addLatencies(quantity string, l *latencyHistogram, target *float64) {
	if l.count() == 0 {
		return
	}
	b.add(quantity+", median", "s", l.quantile(0.5), target, l.count())
	b.add(quantity+", p99", "s", l.quantile(0.99), target, l.count())
	b.add(quantity+", worst", "s", l.quantile(1), target, l.count())
}

func (b *figureBuilder) addLoad(loads []load) {
	all := peakLoad(loads)
	b.add("calls at all replicas, mean", "calls/s", all.allCalls, nil, 0)
	b.add("bytes at all replicas, mean", "KB/s", all.allBytes/kilobyte, nil, 0)
	b.add("calls at the replica with the most, mean", "calls/s", all.calls, nil, 0)
	b.add("calls at a replica, busiest second", "calls/s", float64(all.peakCalls), nil, 0)
	b.add("bytes at the replica with the most, mean", "KB/s", all.bytes/kilobyte, nil, 0)
	b.add("bytes at a replica, busiest second", "KB/s", float64(all.peakBytes)/kilobyte, nil, 0)
	b.add("calls refused", "calls", float64(all.rejected), nil, 0)
	for _, l := range loads {
		if l.phase == "" {
			continue
		}
		phase := peakLoad([]load{l})
		b.add(fmt.Sprintf("calls at a replica, busiest second %s", l.phase), "calls/s", float64(phase.peakCalls), nil, 0)
		b.add(fmt.Sprintf("bytes at a replica, busiest second %s", l.phase), "KB/s", float64(phase.peakBytes)/kilobyte,
			nil, 0)
	}
}

func (b *figureBuilder) addTraffic(loads []load, traffic []int64) {
	length := time.Duration(0)
	for _, l := range loads {
		length += l.length
	}
	total, highest := int64(0), int64(0)
	for _, bytes := range traffic {
		total += bytes
		highest = max(highest, bytes)
	}
	perSecond := func(bytes float64) float64 { return bytes / length.Seconds() / kilobyte }
	mean := float64(total) / float64(len(traffic))
	target := scale.Target(proxyTrafficTarget)
	b.add("bytes of a proxy, mean of all", "KB/s", perSecond(mean), target, len(traffic))
	b.add("bytes of a proxy, the most", "KB/s", perSecond(float64(highest)), target, len(traffic))
}
