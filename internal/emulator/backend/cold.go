package backend

import (
	"errors"
	"math"
	"time"
)

// ColdStart describes how a backend comes up. Its capacity grows evenly from Capacity to the whole over Span. It falls
// when, while cold, it gets clearly more than TipMultiple times its present capacity within FallAfter. The zero
// ColdStart is that of backends that are warm at once.
type ColdStart struct {
	Capacity    float64 // part of the whole that a backend starts with
	Span        time.Duration
	TipMultiple float64
	FallAfter   time.Duration
}

func (c ColdStart) check() error {
	switch {
	case c == ColdStart{}:
		return nil
	case !(c.Capacity > 0 && c.Capacity <= 1):
		return errors.New("backends: Cold.Capacity is not above 0 and at most 1")
	case c.Span <= 0:
		return errors.New("backends: Cold.Span is not positive")
	case !(c.TipMultiple > 0):
		return errors.New("backends: Cold.TipMultiple is not positive")
	case c.FallAfter <= 0:
		return errors.New("backends: Cold.FallAfter is not positive")
	}
	return nil
}

// capacity is the part of its whole capacity that a backend has at an age.
func (c ColdStart) capacity(age time.Duration) float64 {
	if age >= c.Span {
		return 1
	}
	return c.Capacity + (1-c.Capacity)*float64(age)/float64(c.Span)
}

// coldLoad keeps what a cold backend has got within the last FallAfter. A call weighs as much as the mean call times
// its work over the mean; those turned away count as well.
type coldLoad struct {
	arrivals []arrival
	sum      float64
}

type arrival struct {
	at     time.Time
	weight float64
}

// add takes a call and returns the load of the window that ends with it, in calls of mean work.
func (l *coldLoad) add(a arrival, window time.Duration) float64 {
	l.arrivals = append(l.arrivals, a)
	l.sum += a.weight
	for a.at.Sub(l.arrivals[0].at) >= window {
		l.sum -= l.arrivals[0].weight
		l.arrivals = l.arrivals[1:]
	}
	return l.sum
}

// expected is how many calls of mean work a cold backend is built to bear within FallAfter: TipMultiple times its
// capacity, given in calls a second.
func (c ColdStart) expected(capacity float64) float64 {
	return c.TipMultiple * capacity * c.FallAfter.Seconds()
}

// withChance is the number of calls at which a backend falls that is expected to bear so many: twice the standard
// deviation of chance is allowed for, and two more.
func withChance(expected float64) float64 { return expected + 2*math.Sqrt(expected) + 2 }
