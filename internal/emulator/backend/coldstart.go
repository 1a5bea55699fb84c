package backend

import (
	"fmt"
	"math"
	"time"
)

// ColdStart describes how a backend warms up after its start. Its capacity grows linearly from InitialCapacity to 1
// within WarmUp. Until then it crashes if the load that it receives within OverloadWindow clearly exceeds
// OverloadFactor times its current capacity; overloadThreshold says by how much. The zero ColdStart means that
// backends are warm from the start.
type ColdStart struct {
	InitialCapacity float64 // as a fraction of the warm capacity
	WarmUp          time.Duration
	OverloadFactor  float64
	OverloadWindow  time.Duration
}

func (c ColdStart) check() error {
	switch {
	case c == ColdStart{}:
		return nil
	case !(c.InitialCapacity > 0 && c.InitialCapacity <= 1):
		return fmt.Errorf("ColdStart.InitialCapacity %v is not above 0 and at most 1", c.InitialCapacity)
	case c.WarmUp <= 0:
		return fmt.Errorf("non-positive ColdStart.WarmUp %v", c.WarmUp)
	case !(c.OverloadFactor > 0):
		return fmt.Errorf("non-positive ColdStart.OverloadFactor %v", c.OverloadFactor)
	case c.OverloadWindow <= 0:
		return fmt.Errorf("non-positive ColdStart.OverloadWindow %v", c.OverloadWindow)
	}
	return nil
}

// capacity returns the capacity of a backend that started age ago, as a fraction of its warm capacity.
func (c ColdStart) capacity(age time.Duration) float64 {
	if age >= c.WarmUp {
		return 1
	}
	return c.InitialCapacity + (1-c.InitialCapacity)*float64(age)/float64(c.WarmUp)
}

// sustainableLoad returns the average load within OverloadWindow, in calls of mean work, up to which a backend with
// the given capacity in calls per second does not crash.
func (c ColdStart) sustainableLoad(capacity float64) float64 {
	return c.OverloadFactor * capacity * c.OverloadWindow.Seconds()
}

// The tolerance of overloadThreshold for the randomness of arrivals.
const (
	toleratedDeviations = 2 // standard deviations of a Poisson process
	toleratedCalls      = 2
)

// overloadThreshold returns the load above which a backend crashes, given its sustainable load. The difference keeps
// random peaks of a load that is sustainable on average from crashing it.
func overloadThreshold(sustainable float64) float64 {
	return sustainable + toleratedDeviations*math.Sqrt(sustainable) + toleratedCalls
}

// coldLoad tracks the load that a cold backend received within the last OverloadWindow, including rejected calls.
type coldLoad struct {
	arrivals []arrival // within the window, in order of time
	sum      float64   // of the weights of arrivals
}

// arrival is the arrival of one attempt at a cold backend.
type arrival struct {
	at     time.Time
	weight float64 // its work, as a multiple of the mean work
}

// add records an arrival and returns the load, in calls of mean work, of the window that ends with it.
func (l *coldLoad) add(a arrival, window time.Duration) float64 {
	l.arrivals = append(l.arrivals, a)
	l.sum += a.weight
	for a.at.Sub(l.arrivals[0].at) >= window {
		l.sum -= l.arrivals[0].weight
		l.arrivals = l.arrivals[1:]
	}
	return l.sum
}
