package microtime

import (
	"math"
	"testing"
	"time"
)

func TestFromDurationRoundsTowardsZero(t *testing.T) {
	for duration, want := range map[time.Duration]Microseconds{
		0:                       0,
		time.Second:             1_000_000,
		1999 * time.Nanosecond:  1,
		-1999 * time.Nanosecond: -1,
	} {
		if got := FromDuration(duration); got != want {
			t.Errorf("%v: got %d, want %d", duration, got, want)
		}
	}
}

func TestDurationInvertsFromDuration(t *testing.T) {
	for _, want := range []time.Duration{0, time.Microsecond, -time.Hour, 26 * time.Hour} {
		if got := FromDuration(want).Duration(); got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	}
}

func TestDurationSaturates(t *testing.T) {
	const longest = 292 * 365 * 24 * time.Hour
	for _, m := range []Microseconds{math.MaxInt64, math.MaxInt64 / 2, maxMicroseconds + 1} {
		if got := m.Duration(); got < longest {
			t.Errorf("%d us: got %v", m, got)
		}
		if got := (-m).Duration(); got > -longest {
			t.Errorf("%d us: got %v", -m, got)
		}
	}
}
