package backend

import (
	"fmt"
	"math"
	"time"
)

// ColdStart describes how a backend warms up. Its capacity grows linearly from InitialCapacity to 1 within WarmUp. It
// crashes of overload when, while cold, it receives clearly more than OverloadFactor times its present capacity within
// OverloadWindow. The zero ColdStart means that backends are warm at once.
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
		return fmt.Errorf("ColdStart.InitialCapacity %v: want above 0 and at most 1", c.InitialCapacity)
	case c.WarmUp <= 0:
		return fmt.Errorf("non-positive ColdStart.WarmUp %v", c.WarmUp)
	case !(c.OverloadFactor > 0):
		return fmt.Errorf("non-positive ColdStart.OverloadFactor %v", c.OverloadFactor)
	case c.OverloadWindow <= 0:
		return fmt.Errorf("non-positive ColdStart.OverloadWindow %v", c.OverloadWindow)
	}
	return nil
}

// capacity is a backend's capacity at an age, as a fraction of its warm capacity.
func (c ColdStart) capacity(age time.Duration) float64 {
	if age >= c.WarmUp {
		return 1
	}
	return c.InitialCapacity + (1-c.InitialCapacity)*float64(age)/float64(c.WarmUp)
}

// sustainableLoad is the number of calls of mean work that a backend of the given capacity, in calls a second, is
// expected to survive within OverloadWindow.
func (c ColdStart) sustainableLoad(capacity float64) float64 {
	return c.OverloadFactor * capacity * c.OverloadWindow.Seconds()
}

// The tolerance of overloadThreshold for random arrivals.
const (
	toleratedDeviations = 2 // standard deviations of a Poisson process
	toleratedCalls      = 2
)

// overloadThreshold is the load above which a backend crashes that sustains the given load on average.
func overloadThreshold(sustainable float64) float64 {
	return sustainable + toleratedDeviations*math.Sqrt(sustainable) + toleratedCalls
}

// coldLoad is the load that a cold backend has received within the last OverloadWindow, rejected calls included.
type coldLoad struct {
	arrivals []arrival // in order of time
	sum      float64   // of their weights
}

type arrival struct {
	at     time.Time
	weight float64 // its work in calls of mean work
}

// add adds a call and returns the load of the window that ends with it, in calls of mean work.
func (l *coldLoad) add(a arrival, window time.Duration) float64 {
	l.arrivals = append(l.arrivals, a)
	l.sum += a.weight
	for a.at.Sub(l.arrivals[0].at) >= window {
		l.sum -= l.arrivals[0].weight
		l.arrivals = l.arrivals[1:]
	}
	return l.sum
}
